#include "runtime/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>

namespace troutlink::runtime {
namespace {

Micros Read(clockid_t clock) {
  timespec ts;
  clock_gettime(clock, &ts);
  return static_cast<Micros>(ts.tv_sec) * kSecond + ts.tv_nsec / 1000;
}

sockaddr_in Address(const Endpoint& e) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<uint16_t>(e.port));
  inet_pton(AF_INET, e.host.c_str(), &a.sin_addr);
  return a;
}

void SetUp(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL, 0) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

Micros SteadyNow() { return Read(CLOCK_MONOTONIC); }
Micros WallNow() { return Read(CLOCK_REALTIME); }

int Listen(const Endpoint& at) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (fd < 0) return -1;
  SetUp(fd);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in a = Address(at);
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd, 256) != 0) {
    int error = errno;
    close(fd);
    errno = error;
    return -1;
  }
  return fd;
}

int Dial(const Endpoint& to) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (fd < 0) return -1;
  SetUp(fd);
  sockaddr_in a = Address(to);
  if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

int Accept(int listener) {
  int fd = accept(listener, nullptr, nullptr);
  if (fd >= 0) SetUp(fd);
  return fd;
}

int ConnectError(int fd) {
  int error = 0;
  socklen_t n = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0) return errno;
  return error;
}

}  // namespace troutlink::runtime
