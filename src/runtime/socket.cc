#include "runtime/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>

namespace troutlink::runtime {
namespace {

// Backlog of a listener.
constexpr int kListenBacklog = 256;
constexpr int kSocketFlags = SOCK_NONBLOCK | SOCK_CLOEXEC;

// Error for errno. Call before anything else may set errno.
Error<SocketError> LastError() {
  const int error = errno;
  if (error == EAGAIN || error == EINTR) return {SocketError::kWouldBlock, ""};
  return {SocketError::kFailed, std::generic_category().message(error)};
}

sockaddr_in ToSystemAddress(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}

// Socket functions take addresses of every family through one pointer type.
sockaddr* Generic(sockaddr_in* address) {
  return reinterpret_cast<sockaddr*>(address);  // NOLINT(*-reinterpret-cast): see above
}

void SendWithoutDelay(int fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

Result<UniqueFd, SocketError> NewSocket() {
  UniqueFd fd(socket(AF_INET, SOCK_STREAM | kSocketFlags, 0));
  if (!fd) return LastError();
  SendWithoutDelay(fd.get());
  return fd;
}

}  // namespace

std::string_view NameOf(SocketError error) {
  switch (error) {
    case SocketError::kWouldBlock: return "would_block";
    case SocketError::kClosed: return "closed";
    case SocketError::kFailed: return "failed";
  }
  return "unknown";
}

Result<UniqueFd, SocketError> Listen(const Endpoint& address) {
  Result<UniqueFd, SocketError> fd = NewSocket();
  if (!fd) return fd;
  const int enabled = 1;
  setsockopt(fd->get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in system_address = ToSystemAddress(address);
  if (bind(fd->get(), Generic(&system_address), sizeof system_address) != 0 ||
      listen(fd->get(), kListenBacklog) != 0) {
    return LastError();
  }
  return fd;
}

Result<UniqueFd, SocketError> Connect(const Endpoint& address) {
  Result<UniqueFd, SocketError> fd = NewSocket();
  if (!fd) return fd;
  sockaddr_in system_address = ToSystemAddress(address);
  if (connect(fd->get(), Generic(&system_address), sizeof system_address) != 0 &&
      errno != EINPROGRESS) {
    return LastError();
  }
  return fd;
}

std::error_code ConnectOutcome(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
  return {error, std::generic_category()};
}

Result<UniqueFd, SocketError> Accept(int listener) {
  UniqueFd fd(accept4(listener, nullptr, nullptr, kSocketFlags));
  if (!fd) return LastError();
  SendWithoutDelay(fd.get());
  return fd;
}

Result<Endpoint, SocketError> LocalEndpoint(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (getsockname(fd, Generic(&address), &size) != 0) return LastError();
  std::array<char, INET_ADDRSTRLEN> host{};
  if (inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size()) == nullptr) {
    return LastError();
  }
  Endpoint endpoint;
  endpoint.host = host.data();
  endpoint.port = ntohs(address.sin_port);
  endpoint.text = endpoint.host + ":" + std::to_string(endpoint.port);
  return endpoint;
}

Result<size_t, SocketError> Receive(int fd, std::span<char> buffer) {
  const ssize_t count = recv(fd, buffer.data(), buffer.size(), 0);
  if (count < 0) return LastError();
  if (count == 0) return Error<SocketError>{SocketError::kClosed, ""};
  return static_cast<size_t>(count);
}

Result<size_t, SocketError> Send(int fd, std::string_view bytes) {
  const ssize_t count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (count < 0) return LastError();
  if (count == 0) return Error<SocketError>{SocketError::kClosed, ""};
  return static_cast<size_t>(count);
}

}  // namespace troutlink::runtime
