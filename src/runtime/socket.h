// Non-blocking TCP sockets over IPv4, close-on-exec and with TCP_NODELAY. Functions may be called
// from any thread and never block.
#ifndef TROUTLINK_RUNTIME_SOCKET_H_
#define TROUTLINK_RUNTIME_SOCKET_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <system_error>

#include "base/result.h"
#include "config/settings.h"
#include "runtime/unique_fd.h"

namespace troutlink::runtime {

// Reason why a socket operation failed.
enum class SocketError {
  kWouldBlock,  // not ready, or interrupted by a signal: try again when the socket is ready
  kClosed,      // the peer has closed the connection
  kFailed,      // any other failure; the error text is the system's
};
// Name of the error for logs and test messages.
[[nodiscard]] std::string_view NameOf(SocketError error);

// Maximum number of bytes read at a time, which bounds the time spent on one connection per loop
// iteration.
inline constexpr size_t kReadBytes = 16384;

// Creates a socket that listens on `address`; the system chooses the port if it is 0.
[[nodiscard]] Result<UniqueFd, SocketError> Listen(const Endpoint& address);
// Creates a socket that is connecting to `address`. When it becomes writable, ConnectOutcome()
// tells the result.
[[nodiscard]] Result<UniqueFd, SocketError> Connect(const Endpoint& address);
// Result of an attempt to connect; no error if `fd` is connected.
[[nodiscard]] std::error_code ConnectOutcome(int fd);
// Accepts the next connection on `listener`.
[[nodiscard]] Result<UniqueFd, SocketError> Accept(int listener);
// The address that `fd` is bound to.
[[nodiscard]] Result<Endpoint, SocketError> LocalEndpoint(int fd);

// Reads what there is into `buffer`: the number of bytes, at least one.
[[nodiscard]] Result<size_t, SocketError> Receive(int fd, std::span<char> buffer);
// Sends as much of `bytes`, which must not be empty, as the system takes now: the number of
// bytes, at least one. A closed connection is an error and raises no signal.
[[nodiscard]] Result<size_t, SocketError> Send(int fd, std::string_view bytes);

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_SOCKET_H_
