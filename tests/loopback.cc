#include "loopback.h"

#include <gtest/gtest.h>

#include <array>
#include <utility>

#include "runtime/socket.h"

namespace troutlink::test {
namespace {

constexpr double kGuardSeconds = 10;

struct Guard {
  bool expired = false;
  void OnExpired(ev::timer& /*watcher*/, int /*events*/) { expired = true; }
};

}  // namespace

Endpoint AnyLoopbackPort() {
  Endpoint endpoint;
  endpoint.host = "127.0.0.1";
  endpoint.text = "127.0.0.1:0";
  return endpoint;
}

Endpoint RefusingEndpoint() {
  const auto listener = runtime::Listen(AnyLoopbackPort());
  return *runtime::LocalEndpoint(listener->get());
}

bool EventLoop::RunUntil(const std::function<bool()>& done) {
  Guard guard;
  ev::timer timer(loop_);
  timer.set<Guard, &Guard::OnExpired>(&guard);
  timer.start(kGuardSeconds);
  while (!done() && !guard.expired) ev_run(loop_, EVRUN_ONCE);
  return done();
}

RawClient::RawClient(EventLoop& loop, const Endpoint& to)
    : loop_(loop), socket_(std::move(*runtime::Connect(to))), watcher_(loop.ref()) {
  watcher_.set<RawClient, &RawClient::OnReady>(this);
  watcher_.start(socket_.get(), ev::WRITE);
  EXPECT_TRUE(loop_.RunUntil([this] { return open_; }));
}

void RawClient::SendText(std::string_view text) {
  const auto count = runtime::Send(socket_.get(), text);
  ASSERT_TRUE(count);
  EXPECT_EQ(*count, text.size());
}

bool RawClient::Receives(std::string_view text) {
  const auto has_text = [&] { return received_.find(text) != std::string::npos; };
  return loop_.RunUntil([&] { return ended_ || has_text(); }) && has_text();
}

bool RawClient::IsClosed() {
  return loop_.RunUntil([this] { return ended_; });
}

void RawClient::OnReady(ev::io& watcher, int /*events*/) {
  if (!open_) {
    open_ = true;
    watcher.set(socket_.get(), ev::READ);
    return;
  }
  std::array<char, runtime::kReadBytes> buffer{};
  const auto count = runtime::Receive(socket_.get(), buffer);
  if (count) {
    received_.append(buffer.data(), *count);
  } else if (count.error().code != runtime::SocketError::kWouldBlock) {
    ended_ = true;
    watcher.stop();
  }
}

}  // namespace troutlink::test
