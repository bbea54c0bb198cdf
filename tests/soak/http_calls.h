// HTTP calls with a handler each.
#ifndef TROUTLINK_TESTS_SOAK_HTTP_CALLS_H_
#define TROUTLINK_TESTS_SOAK_HTTP_CALLS_H_

#include <ev.h>

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "runtime/http_client.h"

namespace troutlink::soak {

// Sends requests and passes each answer to its handler.
class HttpCalls {
 public:
  using Handler = std::function<void(int status, const std::string& body)>;

  HttpCalls(struct ev_loop* loop, size_t connections)
      : client_(loop, connections, [this](const runtime::CallResult& result) { Done(result); }) {}

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
    client_.Send(to, {.max_connections = kConnections, .shares_limit = true}, call);
  }
  void Tick(Micros now) { client_.Tick(now); }

 private:
  static constexpr int kConnections = 128;  // per controller

  void Done(const runtime::CallResult& result) {
    auto found = handlers_.find(result.call_id);
    if (found == handlers_.end()) return;
    const Handler handler = std::move(found->second);
    handlers_.erase(found);
    handler(result.status, result.body);
  }

  runtime::HttpClient client_;
  uint64_t next_ = 1;
  std::map<uint64_t, Handler> handlers_;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_HTTP_CALLS_H_
