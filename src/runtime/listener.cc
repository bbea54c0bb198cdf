#include "runtime/listener.h"

#include <utility>

namespace troutlink::runtime {

Listener::Listener(ev::loop_ref loop, int max_accepts, OnConnection on_connection)
    : max_accepts_(max_accepts), on_connection_(std::move(on_connection)), watcher_(loop) {
  watcher_.set<Listener, &Listener::OnReadable>(this);
}

Result<Endpoint, SocketError> Listener::Open(const Endpoint& address) {
  Result<UniqueFd, SocketError> socket = Listen(address);
  if (!socket) return socket.error();
  socket_ = std::move(*socket);
  watcher_.start(socket_.get(), ev::READ);
  return LocalEndpoint(socket_.get());
}

void Listener::OnReadable(ev::io& /*watcher*/, int /*events*/) {
  for (int accepted = 0; accepted < max_accepts_; ++accepted) {
    Result<UniqueFd, SocketError> connection = Accept(socket_.get());
    if (!connection) return;
    on_connection_(std::move(*connection));
  }
}

}  // namespace troutlink::runtime
