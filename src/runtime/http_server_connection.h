// One incoming HTTP connection: the socket, its watcher and the request being answered.
#ifndef TROUTLINK_RUNTIME_HTTP_SERVER_CONNECTION_H_
#define TROUTLINK_RUNTIME_HTTP_SERVER_CONNECTION_H_

#include <ev++.h>

#include "base/micros.h"
#include "core/io/io.h"
#include "http/message.h"
#include "runtime/unique_fd.h"
#include "runtime/write_buffer.h"

namespace troutlink::runtime {

// Takes one request at a time and sends its reply. Pipelining is not supported: a client that
// sends more before it has its reply may lose the connection. To be used on the loop's thread.
class HttpServerConnection {
 public:
  // Is told what happens on its connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    // `connection` has received a request, to be answered by Respond(), at once or later.
    virtual void OnRequest(HttpServerConnection& connection, http::Message request) = 0;
    // `connection` is between two requests. May be repeated.
    virtual void OnIdle(HttpServerConnection& connection) = 0;
    // Bytes of a request have arrived. May be repeated.
    virtual void OnActive(HttpServerConnection& connection) = 0;
    // `connection` is of no use any more. Must destroy it.
    virtual void OnClosed(HttpServerConnection& connection) = 0;
  };

  // Takes an accepted connection and waits for a request. `owner` must outlive it.
  HttpServerConnection(ev::loop_ref loop, UniqueFd socket, Owner& owner);
  ~HttpServerConnection() = default;
  HttpServerConnection(const HttpServerConnection&) = delete;
  HttpServerConnection& operator=(const HttpServerConnection&) = delete;

  // Sends the reply to the present request, and closes the connection after it if `close` is
  // set or the client asked for it. May end with OnClosed(), which destroys the connection.
  void Respond(const Reply& reply, bool close);

  // When bytes last came or went; when it was accepted, before any did.
  [[nodiscard]] Micros last_activity() const { return last_activity_; }
  // Whether it waited too long for the rest of a request, for its reply to be taken or for
  // another request. Never while a request is being answered.
  [[nodiscard]] bool IsExpired(Micros now) const;

 private:
  // Whether the connection is still there. After kClosed nothing of it may be used.
  enum class Liveness { kOpen, kClosed };

  void OnReady(ev::io& watcher, int events);
  void Read();
  // Takes the next request from the bytes that have arrived, if it is complete.
  void ParseRequest();
  // Sends what it can and, when all is sent, goes on to the next request.
  [[nodiscard]] Liveness Write();
  // Waits for what the connection needs next.
  void Watch();

  Owner& owner_;
  bool answering_ = false;  // a request has been handed over and not answered
  bool close_after_reply_ = false;
  Micros last_activity_;
  WriteBuffer output_;
  http::Parser parser_;
  UniqueFd socket_;
  ev::io watcher_;  // after `socket_`: stopped before it is closed
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_HTTP_SERVER_CONNECTION_H_
