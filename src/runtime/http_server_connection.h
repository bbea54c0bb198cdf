// One incoming HTTP connection: its socket, watcher and current request.
#ifndef TROUTLINK_RUNTIME_HTTP_SERVER_CONNECTION_H_
#define TROUTLINK_RUNTIME_HTTP_SERVER_CONNECTION_H_

#include <ev++.h>

#include "base/micros.h"
#include "core/io/io.h"
#include "http/message.h"
#include "runtime/unique_fd.h"
#include "runtime/write_buffer.h"

namespace troutlink::runtime {

// Handles one request at a time. Pipelining is not supported: a client that sends more before it
// has its reply may lose the connection. Use on the loop's thread only.
class HttpServerConnection {
 public:
  // Receives the events of its connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    // A request has arrived, to be answered by Respond() at once or later.
    virtual void OnRequest(HttpServerConnection& connection, http::Message request) = 0;
    // The connection is between requests. May be repeated.
    virtual void OnIdle(HttpServerConnection& connection) = 0;
    // Bytes of a request have arrived. May be repeated.
    virtual void OnActive(HttpServerConnection& connection) = 0;
    // The connection has ended. Must destroy it.
    virtual void OnClosed(HttpServerConnection& connection) = 0;
  };

  // Takes an accepted connection and waits for a request. `owner` must outlive it.
  HttpServerConnection(ev::loop_ref loop, UniqueFd socket, Owner& owner);
  ~HttpServerConnection() = default;
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;

  // Sends the reply to the current request, and closes the connection after it if `close` is set or
  // the client asked for it. May call OnClosed(), which destroys the connection.
  void Respond(const Reply& reply, bool close);

  // Last time that bytes were received or sent; initially the time of acceptance.
  [[nodiscard]] Micros last_activity() const { return last_activity_; }
  // Whether it waited too long for the rest of a request, for its reply to be read or for another
  // request. Never while a request is in progress.
  [[nodiscard]] bool IsExpired(Micros now) const;

 private:
  // Whether the connection still exists. After kClosed it must not be used.
  enum class Liveness { kOpen, kClosed };

  void OnReady(ev::io& watcher, int events);
  void Read();
  // Takes the next request from the received bytes, if it is complete.
  void ParseRequest();
  // Sends what it can and, when done, continues with the next request.
  [[nodiscard]] Liveness Write();
  // Watches for the events needed next.
  void Watch();

  Owner& owner_;
  bool answering_ = false;  // a request was handed over and not answered
  bool close_after_reply_ = false;
  Micros last_activity_;
  WriteBuffer output_;
  http::Parser parser_;
  UniqueFd socket_;
  ev::io watcher_;  // declared after `socket_`: stopped before it is closed
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_HTTP_SERVER_CONNECTION_H_
