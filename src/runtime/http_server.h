// HTTP server with a bounded number of connections and one request at a time on each.
#ifndef TROUTLINK_RUNTIME_HTTP_SERVER_H_
#define TROUTLINK_RUNTIME_HTTP_SERVER_H_

#include <ev++.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

#include "base/micros.h"
#include "base/result.h"
#include "config/settings.h"
#include "core/io/io.h"
#include "runtime/http_server_connection.h"
#include "runtime/listener.h"
#include "runtime/socket.h"

namespace troutlink::runtime {

// Accepts requests, assigns ids, and sends the replies. Use on the loop's thread only.
class HttpServer final : private HttpServerConnection::Owner {
 public:
  // Receives each request. May call Send() at once or later.
  using RequestHandler = std::function<void(Request request)>;

  // Keeps at most `max_connections` connections. At the limit, the one that has been idle longest
  // is closed for a new one; if none is idle, the new one is refused with status 503.
  HttpServer(ev::loop_ref loop, size_t max_connections, RequestHandler on_request);
  ~HttpServer() override = default;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to accept connections and returns the address, with the chosen port if it was 0. Call
  // once.
  [[nodiscard]] Result<Endpoint, SocketError> Open(const Endpoint& address) {
    return listener_.Open(address);
  }
  // Sends the reply to the request with its id. Ignored if the connection has ended.
  void Send(const Reply& reply);
  // Closes connections that stalled or idled too long. Call a few times a second.
  void Tick(Micros now);
  // Open connections.
  [[nodiscard]] size_t connections() const { return connections_.size(); }

 private:
  using IdleList = std::list<HttpServerConnection*>;

  // A connection and its place in the server.
  struct Entry {
    std::unique_ptr<HttpServerConnection> connection;
    uint64_t request_id = 0;                          // request in progress; 0: none
    std::optional<IdleList::iterator> idle_position;  // in `idle_`
  };

  void OnConnection(UniqueFd socket);
  void OnRequest(HttpServerConnection& connection, http::Message request) override;
  void OnIdle(HttpServerConnection& connection) override;
  void OnActive(HttpServerConnection& connection) override;
  void OnClosed(HttpServerConnection& connection) override;
  void RemoveFromIdle(Entry& entry);
  // Closes the connection that has been idle longest. Returns false if none may be closed.
  [[nodiscard]] bool CloseLongestIdle();
  // Whether nearly all connections are in use.
  [[nodiscard]] bool IsCrowded() const;

  ev::loop_ref loop_;
  size_t max_connections_;
  RequestHandler on_request_;
  uint64_t next_request_id_ = 1;
  std::unordered_map<HttpServerConnection*, Entry> connections_;
  std::unordered_map<uint64_t, HttpServerConnection*>
      requests_;   // with a request in progress, by its id
  IdleList idle_;  // connections between requests, longest idle first
  Listener listener_;
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_HTTP_SERVER_H_
