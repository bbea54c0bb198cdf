#include "core/io/effects.h"

#include <utility>

namespace troutlink {

namespace {
constexpr int kTooManyRequests = 429;
}  // namespace

void Effects::Send(Dest dest, std::string addr, std::string method, std::string target,
                   std::string body, Micros timeout, Handler handler) {
  const uint64_t id = next_call_++;
  open_calls_[id] = std::move(handler);
  outbox_.calls.push_back(
      {id, dest, std::move(addr), std::move(method), std::move(target), std::move(body), timeout});
  switch (dest) {
    case Dest::kState:
    case Dest::kWatch:
      ++call_counts_.state;
      state_requests_->Force(last_tick_, 1);
      break;
    case Dest::kCloud: ++call_counts_.cloud; break;
    case Dest::kAgent: ++call_counts_.agent; break;
  }
}

void Effects::Log(LogLine::Level level, std::string text) {
  if (level == LogLine::Level::kDebug && !logs_debug_) return;
  outbox_.log.push_back({level, std::move(text)});
}

void Effects::HandleAnswer(Micros now, uint64_t call, int status, const std::string& body) {
  auto open = open_calls_.find(call);
  if (open == open_calls_.end()) return;
  const Handler handler = std::move(open->second);
  open_calls_.erase(open);
  if (status == kTooManyRequests) ++call_counts_.rate_limited;
  handler(now, status, body);
}

Outbox Effects::TakeOutbox() { return std::exchange(outbox_, Outbox()); }

}  // namespace troutlink
