// Non-blocking TCP sockets over IPv4. Every socket is close-on-exec and sends without delay
// (TCP_NODELAY). Functions may be called from any thread; none of them blocks.
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

// Why a socket operation gave nothing.
enum class SocketError {
  kWouldBlock,  // nothing to be had now, or a signal came: try again once the socket is ready
  kClosed,      // the peer has closed the connection in order
  kFailed,      // any other failure; the text of the error is the system's
};
// The error's name in logs and test messages.
[[nodiscard]] std::string_view NameOf(SocketError error);

// Bytes that a connection reads at a time, which also bounds the time spent on one connection
// before the event loop turns to the others.
inline constexpr size_t kReadBytes = 16384;

// A socket that listens at `address`; the system chooses the port if that is 0.
[[nodiscard]] Result<UniqueFd, SocketError> Listen(const Endpoint& address);
// A socket that is connecting or connected to `address`. Once it is writable, ConnectOutcome()
// tells which.
[[nodiscard]] Result<UniqueFd, SocketError> Connect(const Endpoint& address);
// How an attempt to connect ended; no error when `fd` is connected.
[[nodiscard]] std::error_code ConnectOutcome(int fd);
// The next connection that waits on `listener`.
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
