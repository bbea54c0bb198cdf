// HTTP client with a connection pool per endpoint.
#ifndef TROUTLINK_RUNTIME_HTTP_CLIENT_H_
#define TROUTLINK_RUNTIME_HTTP_CLIENT_H_

#include <ev++.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/micros.h"
#include "config/settings.h"
#include "core/io/io.h"
#include "runtime/http_client_connection.h"

namespace troutlink::runtime {

// Result of a call; each call has exactly one.
struct CallResult {
  uint64_t call_id = 0;
  int status = kNoAnswer;  // an HTTP status, kNoAnswer or kNotSent
  std::string body;        // empty without an answer
};

// How connections to an endpoint are pooled.
struct PoolOptions {
  // Maximum number of open connections to the endpoint.
  int max_connections = 1;
  // Whether they count towards the client's limit over all endpoints. Those to essential services
  // do not, so that they never wait for others.
  bool shares_limit = true;
};

// Sends calls and reports the result of each exactly once. A call without a free connection is
// queued. Use on the loop's thread only.
class HttpClient final : private HttpClientConnection::Owner {
 public:
  // Receives each result, from the loop or from Tick() but never from within Send(). May call
  // Send().
  using OnResult = std::function<void(CallResult result)>;

  // Opens at most `max_connections` connections that share the limit over all endpoints. At the
  // limit, the connection that has been idle longest is closed for a new one; calls wait while none
  // is idle.
  HttpClient(ev::loop_ref loop, size_t max_connections, OnResult on_result)
      : loop_(loop), max_connections_(max_connections), on_result_(std::move(on_result)) {}
  ~HttpClient() override = default;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `call` to `endpoint` as soon as the pool has a free connection. The timeout starts now
  // and includes the wait.
  void Send(const Endpoint& endpoint, const PoolOptions& options, const Call& call);
  // Ends calls that timed out and closes connections that idled too long. Call a few times a
  // second.
  void Tick(Micros now);
  // Open connections of all pools.
  [[nodiscard]] size_t connections() const { return connections_.size(); }

 private:
  using IdleList = std::list<HttpClientConnection*>;

  struct QueuedCall {
    Call call;
    Micros deadline = 0;
  };
  // Connections to one endpoint, and the calls that wait for one.
  struct Pool {
    Endpoint endpoint;
    PoolOptions options;
    std::vector<HttpClientConnection*> connections;
    std::deque<QueuedCall> queue;
  };
  // A connection and its place in the client.
  struct Entry {
    std::unique_ptr<HttpClientConnection> connection;
    Pool* pool = nullptr;  // exists as long as it has connections
    bool shares_limit = true;
    std::optional<IdleList::iterator> idle_position;  // in `idle_`
  };

  void OnOutcome(HttpClientConnection& connection, HttpClientConnection::Outcome outcome) override;
  // Sends queued calls over free connections, and opens new ones within the limits.
  void SendQueued(Pool& pool);
  // A free connection of `pool`, or null.
  [[nodiscard]] static HttpClientConnection* FindIdle(const Pool& pool);
  // A new connection of `pool`; null if a limit or an error prevents it.
  [[nodiscard]] HttpClientConnection* Open(Pool& pool);
  void Close(HttpClientConnection& connection);
  void RemoveFromIdle(Entry& entry);
  void CloseExpired(Micros now);
  void EndOverdue(Micros now);
  void EndQueued(Pool& pool, Micros now);

  ev::loop_ref loop_;
  size_t max_connections_;
  OnResult on_result_;
  std::map<std::string, Pool> pools_;  // by the endpoint's text
  std::unordered_map<HttpClientConnection*, Entry> connections_;
  size_t sharing_ = 0;  // connections that share the limit
  IdleList idle_;       // of these, the idle ones, longest idle first
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_HTTP_CLIENT_H_
