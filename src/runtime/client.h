// HTTP client. It keeps a pool of connections for each endpoint, runs one request at a
// time on each and queues the others. All calls come from the event loop's thread.
#ifndef TROUTLINK_RUNTIME_CLIENT_H_
#define TROUTLINK_RUNTIME_CLIENT_H_

#include <ev.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "core/io/io.h"
#include "http/message.h"

namespace troutlink::runtime {

// Sends calls and reports the answer of each exactly once.
class Client {
 public:
  // Receives the answer to a call: an HTTP status, kNoAnswer or kNotSent. Called from the
  // loop, never from within Start().
  using Done = std::function<void(uint64_t call, int status, std::string body)>;

  // Opens at most `most` connections to endpoints that are not vital: the longest idle
  // ones are closed for new ones, and calls wait while none is idle.
  Client(struct ev_loop* loop, size_t most, Done done)
      : loop_(loop), most_(most), done_(std::move(done)) {}
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends `call` over one of at most `most` connections to `to`, once one is free.
  // Vital connections do not count towards the limit over all endpoints.
  void Start(const Endpoint& to, int most, bool vital, const Call& call);
  // Ends calls and connections whose time is over; to be called a few times a second.
  void Tick(Micros now);
  // Open connections of all pools.
  size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    Client* owner = nullptr;
    std::string endpoint;
    int fd = -1;
    bool connecting = false;
    bool busy = false;
    bool vital = false;
    bool resting = false;  // in `resting_`
    std::list<Connection*>::iterator place;
    uint64_t call = 0;
    Micros deadline = 0;
    Micros opened = 0;
    Micros idle_since = 0;
    std::string out;
    size_t sent = 0;
    http::Parser parser{http::Parser::Kind::kResponse,
                        {size_t{16} * 1024, size_t{64} * 1024 * 1024}};
    ev_io io{};
  };
  struct Waiting {
    Call call;
    Micros deadline = 0;
  };
  struct Pool {
    Endpoint to;
    int most = 1;
    bool vital = false;
    std::vector<Connection*> all;
    std::deque<Waiting> waiting;
  };

  static void OnIo(struct ev_loop* loop, ev_io* watcher, int events);
  void Handle(Connection* connection, int events);
  void Pump(Pool* pool);
  void Assign(Connection* connection, const Waiting& waiting);
  void Write(Connection* connection);
  void Finish(Connection* connection, int status, std::string body, bool keep);
  void Drop(Connection* connection);
  void Watch(Connection* connection, int events);
  void Wake(Connection* connection);

  struct ev_loop* loop_;
  size_t most_;
  size_t common_ = 0;               // connections that are not vital
  std::list<Connection*> resting_;  // those of them that are idle, the longest first
  Done done_;
  std::map<std::string, Pool> pools_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_CLIENT_H_
