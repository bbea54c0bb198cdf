#include "runtime/http_server.h"

#include <string>
#include <utility>
#include <vector>

#include "http/message.h"
#include "runtime/clock.h"

namespace troutlink::runtime {

namespace {
// Connections idle for less are kept, as a request may be on its way.
constexpr Micros kMinIdleToClose = 500 * kMillisecond;
constexpr int kMaxAcceptsAtOnce = 32;
// Above this share of used connections the server counts as crowded.
constexpr size_t kCrowdedPercent = 90;
constexpr int kStatusUnavailable = 503;
constexpr int kRefusalRetryAfterSeconds = 1;
}  // namespace

HttpServer::HttpServer(ev::loop_ref loop, size_t max_connections, RequestHandler on_request)
    : loop_(loop),
      max_connections_(max_connections),
      on_request_(std::move(on_request)),
      listener_(loop, kMaxAcceptsAtOnce,
                [this](UniqueFd socket) { OnConnection(std::move(socket)); }) {}

void HttpServer::OnConnection(UniqueFd socket) {
  if (connections_.size() >= max_connections_ && !CloseLongestIdle()) {
    // Refuse at once rather than wait for a free connection. If the reply cannot be sent, the
    // client sees the connection close.
    (void)runtime::Send(
        socket.get(), http::WriteResponse(kStatusUnavailable, "", true, kRefusalRetryAfterSeconds));
    return;
  }
  HttpServerConnection::Owner& owner = *this;
  auto connection = std::make_unique<HttpServerConnection>(loop_, std::move(socket), owner);
  HttpServerConnection& added = *connection;
  connections_[&added].connection = std::move(connection);
  OnIdle(added);
}

void HttpServer::OnRequest(HttpServerConnection& connection, http::Message request) {
  const uint64_t id = next_request_id_++;
  connections_.at(&connection).request_id = id;
  requests_[id] = &connection;
  on_request_({id, std::move(request.method), std::move(request.target), std::move(request.body)});
}

void HttpServer::Send(const Reply& reply) {
  const auto found = requests_.find(reply.id);
  if (found == requests_.end()) return;
  HttpServerConnection& connection = *found->second;
  requests_.erase(found);
  connections_.at(&connection).request_id = 0;
  // When crowded, each reply closes its connection, so that all clients get a turn: one controller
  // may have to serve all agents.
  connection.Respond(reply, IsCrowded());
}

void HttpServer::OnIdle(HttpServerConnection& connection) {
  Entry& entry = connections_.at(&connection);
  if (!entry.idle_position) entry.idle_position = idle_.insert(idle_.end(), &connection);
}

void HttpServer::OnActive(HttpServerConnection& connection) {
  RemoveFromIdle(connections_.at(&connection));
}

void HttpServer::OnClosed(HttpServerConnection& connection) {
  const auto found = connections_.find(&connection);
  Entry& entry = found->second;
  RemoveFromIdle(entry);
  if (entry.request_id != 0) requests_.erase(entry.request_id);
  connections_.erase(found);
}

void HttpServer::RemoveFromIdle(Entry& entry) {
  if (!entry.idle_position) return;
  idle_.erase(*entry.idle_position);
  entry.idle_position.reset();
}

bool HttpServer::IsCrowded() const {
  constexpr size_t kWhole = 100;
  return connections_.size() * kWhole > max_connections_ * kCrowdedPercent;
}

bool HttpServer::CloseLongestIdle() {
  if (idle_.empty() || SteadyNow() - idle_.front()->last_activity() < kMinIdleToClose) return false;
  OnClosed(*idle_.front());
  return true;
}

void HttpServer::Tick(Micros now) {
  std::vector<HttpServerConnection*> expired;
  for (const auto& [connection, entry] : connections_) {
    if (connection->IsExpired(now)) expired.push_back(connection);
  }
  for (HttpServerConnection* connection : expired) OnClosed(*connection);
}

}  // namespace troutlink::runtime
