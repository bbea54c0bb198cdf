// HTTP client over pools of kept connections, one request at a time on each.
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
#include "core/io.h"
#include "http/message.h"

namespace troutlink::runtime {

class Client {
 public:
  // Called from the loop, never from within Start().
  using Done = std::function<void(uint64_t call, int status, std::string body)>;

  // At most `most` connections to endpoints that are not vital: kept ones that are
  // idle make way for new ones, and calls wait when there are none.
  Client(struct ev_loop* loop, size_t most, Done done)
      : loop_(loop), most_(most), done_(std::move(done)) {}
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // `most` connections to this endpoint at a time; further calls queue. Vital ones
  // do not count towards the limit over all endpoints.
  void Start(const Endpoint& to, int most, bool vital, const Call& call);
  // Ends what ran out of time; a few times a second.
  void Tick(Micros now);
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

  static void OnIo(struct ev_loop* loop, ev_io* w, int events);
  void Handle(Connection* c, int events);
  void Pump(Pool* pool);
  void Assign(Connection* c, const Waiting& waiting);
  void Write(Connection* c);
  void Finish(Connection* c, int status, std::string body, bool keep);
  void Drop(Connection* c);
  void Watch(Connection* c, int events);
  void Wake(Connection* c);

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
