// Accepts TCP connections on an event loop.
#ifndef TROUTLINK_RUNTIME_LISTENER_H_
#define TROUTLINK_RUNTIME_LISTENER_H_

#include <ev++.h>

#include <functional>

#include "base/result.h"
#include "config/settings.h"
#include "runtime/socket.h"
#include "runtime/unique_fd.h"

namespace troutlink::runtime {

// Listens on one address and hands over each connection. Use on the loop's thread only.
class Listener {
 public:
  // Receives each accepted connection; may close it at once. Must not destroy the listener.
  using OnConnection = std::function<void(UniqueFd connection)>;

  // Accepts at most `max_accepts` connections per loop iteration.
  Listener(ev::loop_ref loop, int max_accepts, OnConnection on_connection);

  // Starts to accept connections and returns the address, with the chosen port if it was 0. Call
  // once.
  [[nodiscard]] Result<Endpoint, SocketError> Open(const Endpoint& address);

 private:
  void OnReadable(ev::io& watcher, int events);

  int max_accepts_;
  OnConnection on_connection_;
  UniqueFd socket_;
  ev::io watcher_;  // declared after `socket_`: stopped before it is closed
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_LISTENER_H_
