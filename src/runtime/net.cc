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
  timespec time;
  clock_gettime(clock, &time);
  return static_cast<Micros>(time.tv_sec) * kSecond + time.tv_nsec / 1000;
}

sockaddr_in Address(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
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
  sockaddr_in address = Address(at);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 256) != 0) {
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
  sockaddr_in address = Address(to);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
      errno != EINPROGRESS) {
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
  socklen_t size = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

}  // namespace troutlink::runtime
