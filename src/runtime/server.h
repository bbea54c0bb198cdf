// HTTP server with a bounded number of connections and one request at a time on each.
// All calls come from the event loop's thread.
#ifndef TROUTLINK_RUNTIME_SERVER_H_
#define TROUTLINK_RUNTIME_SERVER_H_

#include <ev.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/settings.h"
#include "core/io/io.h"
#include "http/message.h"

namespace troutlink::runtime {

// Accepts requests, gives each an id and sends the reply with that id.
class Server {
 public:
  // Receives each request; the reply may be sent at once or later.
  using OnRequest = std::function<void(Request request)>;

  // Keeps at most `most` connections; the longest idle one is closed for a new one.
  Server(struct ev_loop* loop, size_t most, OnRequest on_request)
      : loop_(loop), most_(most), on_request_(std::move(on_request)) {}
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Starts to accept connections; false, with errno set, when it cannot listen.
  bool Open(const Endpoint& at);
  // Sends the reply to the request with its id; drops it when the connection is gone.
  void Send(const Reply& reply);
  // Closes connections that stalled or idled too long; to be called a few times a second.
  void Tick(Micros now);
  // Open connections.
  size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    Server* owner = nullptr;
    int fd = -1;
    uint64_t request = 0;  // being answered
    bool close_after = false;
    Micros last = 0;       // last byte in or out
    bool resting = false;  // in `resting_`
    std::list<Connection*>::iterator place;
    std::string out;
    size_t sent = 0;
    http::Parser parser{http::Parser::Kind::kRequest, {size_t{8} * 1024, size_t{64} * 1024}};
    ev_io io{};
  };

  static void OnAccept(struct ev_loop* loop, ev_io* watcher, int events);
  static void OnIo(struct ev_loop* loop, ev_io* watcher, int events);
  void Handle(Connection* connection, int events);
  void Parse(Connection* connection);
  bool Write(Connection* connection);
  void Drop(Connection* connection);
  void Watch(Connection* connection);
  // Between two requests, or no longer so.
  void Rest(Connection* connection);
  void Wake(Connection* connection);
  // Makes room for one more by dropping the one that has been idle for longest.
  bool DropIdle();
  bool Crowded() const { return connections_.size() * 10 > most_ * 9; }

  struct ev_loop* loop_;
  size_t most_;
  OnRequest on_request_;
  int listener_ = -1;
  ev_io accept_{};
  uint64_t next_request_ = 1;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  std::unordered_map<uint64_t, Connection*> requests_;
  std::list<Connection*> resting_;  // the longest idle first
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_SERVER_H_
