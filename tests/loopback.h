// What tests of the runtime share: an event loop that runs until something has happened and a
// TCP client that sees the bytes as they are. Nothing sleeps: the loop waits for events only,
// and ports are chosen by the system.
#ifndef TROUTLINK_TESTS_LOOPBACK_H_
#define TROUTLINK_TESTS_LOOPBACK_H_

#include <ev++.h>

#include <functional>
#include <string>
#include <string_view>

#include "config/settings.h"
#include "runtime/unique_fd.h"

namespace troutlink::test {

// To listen at a free port.
Endpoint AnyLoopbackPort();
// An endpoint that refuses connections: its port was free a moment ago.
Endpoint RefusingEndpoint();

// A loop of its own.
class EventLoop {
 public:
  EventLoop() : loop_(ev_loop_new(EVFLAG_AUTO)) {}
  ~EventLoop() { ev_loop_destroy(loop_); }
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  ev::loop_ref ref() { return loop_; }
  // Handles events until `done` holds; false when it does not within ten seconds.
  [[nodiscard]] bool RunUntil(const std::function<bool()>& done);
  // Handles the events that have happened already.
  void RunReady() { ev_run(loop_, EVRUN_NOWAIT); }

 private:
  struct ev_loop* loop_;
};

// A TCP client that collects what it receives.
class RawClient {
 public:
  // Connects to `to` and waits until the connection is open.
  RawClient(EventLoop& loop, const Endpoint& to);

  void SendText(std::string_view text);
  // Runs the loop until `text` is in what was received; false when the connection ends before.
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
