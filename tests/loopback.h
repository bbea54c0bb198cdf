// Helpers of the runtime tests: an event loop that runs until a condition holds, and a raw TCP
// client. Nothing sleeps; ports are chosen by the system.
#ifndef TROUTLINK_TESTS_LOOPBACK_H_
#define TROUTLINK_TESTS_LOOPBACK_H_

#include <ev++.h>

#include <functional>
#include <string>
#include <string_view>

#include "config/settings.h"
#include "runtime/unique_fd.h"

namespace troutlink::test {

// Listens on a free port.
Endpoint AnyLoopbackPort();
// An endpoint that refuses connections.
Endpoint RefusingEndpoint();

// An event loop.
class EventLoop {
 public:
  EventLoop() : loop_(ev_loop_new(EVFLAG_AUTO)) {}
  ~EventLoop() { ev_loop_destroy(loop_); }
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  ev::loop_ref ref() { return loop_; }
  // Handles events until `done` holds. Returns false if it does not within ten seconds.
  [[nodiscard]] bool RunUntil(const std::function<bool()>& done);
  // Handles pending events.
  void RunReady() { ev_run(loop_, EVRUN_NOWAIT); }

 private:
  struct ev_loop* loop_;
};

// TCP client that collects received bytes.
class RawClient {
 public:
  // Connects to `to` and waits for the connection.
  RawClient(EventLoop& loop, const Endpoint& to);

  void SendText(std::string_view text);
  // Runs the loop until `text` was received. Returns false if the connection ends before.
  [[nodiscard]] bool Receives(std::string_view text);
  // Runs the loop until the other side has closed the connection.
  [[nodiscard]] bool IsClosed();
  const std::string& received() const { return received_; }

 private:
  void OnReady(ev::io& watcher, int events);

  EventLoop& loop_;
  bool open_ = false;
  bool ended_ = false;
  std::string received_;
  runtime::UniqueFd socket_;
  ev::io watcher_;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_LOOPBACK_H_
