#include "runtime/http_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "runtime/clock.h"
#include "runtime/socket.h"

namespace troutlink::runtime {

namespace {
// Maximum number of calls that wait for a connection to one endpoint; older ones fail.
constexpr size_t kMaxQueuedCalls = 256;
}  // namespace

void HttpClient::Send(const Endpoint& endpoint, const PoolOptions& options, const Call& call) {
  Pool& pool = pools_[endpoint.text];
  pool.endpoint = endpoint;
  pool.options = options;
  pool.queue.push_back({call, SteadyNow() + call.timeout});
  SendQueued(pool);
}

void HttpClient::SendQueued(Pool& pool) {
  while (!pool.queue.empty()) {
    HttpClientConnection* connection = FindIdle(pool);
    if (connection == nullptr) connection = Open(pool);
    if (connection == nullptr) return;  // Tick() tries again, or ends calls that timed out
    const QueuedCall next = std::move(pool.queue.front());
    pool.queue.pop_front();
    RemoveFromIdle(connections_.at(connection));
    connection->Send(next.call, next.deadline);
  }
}

HttpClientConnection* HttpClient::FindIdle(const Pool& pool) {
  const auto found = std::find_if(pool.connections.rbegin(), pool.connections.rend(),
                                  [](const HttpClientConnection* other) {
                                    return other->state() == HttpClientConnection::State::kIdle;
                                  });
  return found == pool.connections.rend() ? nullptr : *found;
}

HttpClientConnection* HttpClient::Open(Pool& pool) {
  if (static_cast<int>(pool.connections.size()) >= pool.options.max_connections) return nullptr;
  if (pool.options.shares_limit && sharing_ >= max_connections_) {
    if (idle_.empty()) return nullptr;
    Close(*idle_.front());
  }
  Result<UniqueFd, SocketError> socket = Connect(pool.endpoint);
  if (!socket) return nullptr;
  HttpClientConnection::Owner& owner = *this;
  Entry entry;
  entry.connection =
      std::make_unique<HttpClientConnection>(loop_, std::move(*socket), pool.endpoint.text, owner);
  entry.pool = &pool;
  entry.shares_limit = pool.options.shares_limit;
  if (entry.shares_limit) ++sharing_;
  HttpClientConnection* connection = entry.connection.get();
  connections_[connection] = std::move(entry);
  pool.connections.push_back(connection);
  return connection;
}

void HttpClient::OnOutcome(HttpClientConnection& connection,
                           HttpClientConnection::Outcome outcome) {
  Entry& entry = connections_.at(&connection);
  Pool& pool = *entry.pool;
  const bool had_call = connection.state() != HttpClientConnection::State::kIdle;
  const uint64_t call_id = connection.call_id();
  if (outcome.reusable) {
    connection.Release(SteadyNow());
    if (entry.shares_limit && !entry.idle_position) {
      entry.idle_position = idle_.insert(idle_.end(), &connection);
    }
  } else {
    Close(connection);
  }
  // The receiver may send calls, which may reuse or close the connection: do not use it any more.
  if (had_call) on_result_({call_id, outcome.status, std::move(outcome.body)});
  SendQueued(pool);
}

void HttpClient::Close(HttpClientConnection& connection) {
  const auto found = connections_.find(&connection);
  Entry& entry = found->second;
  RemoveFromIdle(entry);
  if (entry.shares_limit) --sharing_;
  std::erase(entry.pool->connections, &connection);
  connections_.erase(found);
}

void HttpClient::RemoveFromIdle(Entry& entry) {
  if (!entry.idle_position) return;
  idle_.erase(*entry.idle_position);
  entry.idle_position.reset();
}

void HttpClient::Tick(Micros now) {
  CloseExpired(now);
  EndOverdue(now);
  for (auto position = pools_.begin(); position != pools_.end();) {
    Pool& pool = position->second;
    EndQueued(pool, now);
    SendQueued(pool);
    const bool unused = pool.connections.empty() && pool.queue.empty();
    position = unused ? pools_.erase(position) : std::next(position);
  }
}

void HttpClient::CloseExpired(Micros now) {
  std::vector<HttpClientConnection*> expired;
  for (const auto& [connection, entry] : connections_) {
    if (connection->IsExpired(now)) expired.push_back(connection);
  }
  for (HttpClientConnection* connection : expired) Close(*connection);
}

void HttpClient::EndOverdue(Micros now) {
  std::vector<HttpClientConnection*> overdue;
  for (const auto& [connection, entry] : connections_) {
    if (connection->IsOverdue(now)) overdue.push_back(connection);
  }
  for (HttpClientConnection* connection : overdue) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) continue;
    // After a timeout, idle connections to the same host are probably dead too.
    const Pool& pool = *found->second.pool;
    while (HttpClientConnection* idle = FindIdle(pool)) Close(*idle);
    const bool connecting = connection->state() == HttpClientConnection::State::kConnecting;
    OnOutcome(*connection, {connecting ? kNotSent : kNoAnswer, "", false});
  }
}

void HttpClient::EndQueued(Pool& pool, Micros now) {
  while (!pool.queue.empty() &&
         (now >= pool.queue.front().deadline || pool.queue.size() > kMaxQueuedCalls)) {
    const uint64_t call_id = pool.queue.front().call.id;
    pool.queue.pop_front();
    on_result_({call_id, kNotSent, ""});
  }
}

}  // namespace troutlink::runtime
