// Calls over HTTP with a handler each.
#ifndef TROUTLINK_TESTS_SOAK_HTTP_CALLS_H_
#define TROUTLINK_TESTS_SOAK_HTTP_CALLS_H_

#include <ev.h>

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "runtime/client.h"

namespace troutlink::soak {

// Sends requests and hands each answer to its handler.
class HttpCalls {
 public:
  using Handler = std::function<void(int status, const std::string& body)>;

  HttpCalls(struct ev_loop* loop, size_t connections)
      : client_(loop, connections, [this](uint64_t call, int status, const std::string& body) {
          Done(call, status, body);
        }) {}

  void Send(const Endpoint& to, std::string method, std::string target, std::string body,
            Micros timeout, Handler handler) {
    const uint64_t id = next_++;
    handlers_[id] = std::move(handler);
    Call call;
    call.id = id;
    call.method = std::move(method);
    call.target = std::move(target);
    call.body = std::move(body);
    call.timeout = timeout;
    client_.Start(to, kConnections, false, call);
  }
  void Tick(Micros now) { client_.Tick(now); }

 private:
  static constexpr int kConnections = 128;  // to one controller

  void Done(uint64_t call, int status, const std::string& body) {
    auto found = handlers_.find(call);
    if (found == handlers_.end()) return;
    const Handler handler = std::move(found->second);
    handlers_.erase(found);
    handler(status, body);
  }

  runtime::Client client_;
  uint64_t next_ = 1;
  std::map<uint64_t, Handler> handlers_;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_HTTP_CALLS_H_
