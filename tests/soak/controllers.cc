#include "controllers.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "runtime/socket.h"

namespace troutlink::soak {

namespace {
constexpr int kFirstPort = 10000;
constexpr int kLastPort = 32000;

bool MayListen(int port) { return static_cast<bool>(runtime::Listen(Loopback(port))); }
}  // namespace

std::string LoopbackHost() {
  const int pid = getpid();
  return "127." + std::to_string(1 + pid % 250) + "." + std::to_string(pid / 250 % 250) + ".1";
}

int FreePort() {
  static int next_port = kFirstPort;
  while (next_port < kLastPort) {
    const int port = next_port++;
    if (MayListen(port)) return port;
  }
  return 0;
}

Endpoint Loopback(int port) {
  return ParseEndpoint(LoopbackHost() + ":" + std::to_string(port)).value_or(Endpoint());
}

bool Controller::Start() {
  const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) return false;
  pid_ = fork();
  if (pid_ == 0) {
    // The child must not outlive the soak.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDERR_FILENO);
    setenv("LOG_LEVEL", "debug", 1);
    execl(binary_.c_str(), binary_.c_str(), "serve", "--config", settings_.c_str(), nullptr);
    _exit(127);
  }
  close(log);
  return pid_ > 0;
}

void Controller::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

void Controller::Pause() {
  if (pid_ > 0) kill(pid_, SIGSTOP);
}

void Controller::Continue() {
  if (pid_ > 0) kill(pid_, SIGCONT);
}

bool Controller::EndedByItself() {
  if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = -1;
  return true;
}

}  // namespace troutlink::soak
