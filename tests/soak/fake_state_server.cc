#include "fake_state_server.h"

#include <algorithm>

#include "runtime/clock.h"
#include "wire/pack.h"

namespace troutlink::soak {

namespace {
constexpr size_t kConnections = 64;  // per controller
constexpr Micros kLatency = 3 * kMillisecond;
constexpr Micros kSlowLatency = 600 * kMillisecond;
constexpr Micros kLateFrom = 2 * kSecond, kLateTo = 12 * kSecond;
}  // namespace

bool FakeStateServer::Listen(const Endpoint& at) {
  const size_t node = servers_.size();
  servers_.push_back(std::make_unique<runtime::HttpServer>(
      loop_, kConnections, [this, node](const Request& request) { OnRequest(node, request); }));
  return static_cast<bool>(servers_.back()->Open(at));
}

bool FakeStateServer::Blocked(size_t node) const {
  const int number = static_cast<int>(node);
  return down > 0 || refused.count(number) != 0 || cut.count(number) != 0;
}

void FakeStateServer::OnRequest(size_t node, const Request& request) {
  const Micros now = runtime::SteadyNow();
  const bool watch = request.target.rfind("/follow", 0) == 0;
  if (cut.count(static_cast<int>(node)) != 0) {
    ++lost;
    return;
  }
  if (watch) {
    BeginWatch(now, node, request);
    return;
  }
  if (Blocked(node)) {
    ++refusals;
    servers_[node]->Send({request.id, 503, "", 0});
    return;
  }
  if (LoseAnswer(node, request)) return;
  if (slow > 0) ++slowed;
  due_.push_back({now + (slow > 0 ? kSlowLatency : kLatency), node, request, true});
}

bool FakeStateServer::LoseAnswer(size_t node, const Request& request) {
  if (late_writes == 0 || request.target != "/commit" || rng_() % 10 >= 3) return false;
  ++late;
  const bool at_once = rng_() % 3 == 0;
  const Micros span = static_cast<Micros>(rng_() % static_cast<uint64_t>(kLateTo - kLateFrom));
  due_.push_back(
      {runtime::SteadyNow() + (at_once ? kLatency : kLateFrom + span), node, request, false});
  return true;
}

void FakeStateServer::CarryOut(Micros now, size_t node, const Request& request, bool answered) {
  const auto body = wire::Unpack(request.body).value_or(wire::Json::object());
  auto [status, reply] = state.Handle(now, request.method, request.target, body);
  if (answered) servers_[node]->Send({request.id, status, wire::Pack(reply), 0});
}

void FakeStateServer::BeginWatch(Micros now, size_t node, const Request& request) {
  if (watch_gap > 0) {
    ++gaps;
    servers_[node]->Send({request.id, 410, "", 0});
    return;
  }
  const Micros hold = std::stoll(test::QueryParameter(request.target, "hold_ms")) * kMillisecond;
  watches_.push_back(
      {node, request.id, std::stoull(test::QueryParameter(request.target, "from")), now + hold});
}

void FakeStateServer::AnswerWatches(Micros now) {
  std::vector<OpenWatch> open;
  for (const OpenWatch& watch : watches_) {
    const wire::Json events =
        Blocked(watch.node) ? wire::Json::array() : state.EventsAfter(watch.after);
    if (Blocked(watch.node) || (events.empty() && now < watch.until)) {
      open.push_back(watch);
      continue;
    }
    const wire::Json reply = {{"ledger", state.revision}, {"events", events}};
    servers_[watch.node]->Send({watch.request, 200, wire::Pack(reply), 0});
  }
  watches_ = std::move(open);
}

void FakeStateServer::EndOutage(Micros now) { state.Refresh(now); }

void FakeStateServer::Tick(Micros now) {
  if (down == 0) state.Expire(now);
  std::vector<Due> due;
  std::vector<Due> later;
  for (Due& one : due_) (one.at <= now ? due : later).push_back(std::move(one));
  due_ = std::move(later);
  for (const Due& one : due) CarryOut(now, one.node, one.request, one.answered);
  AnswerWatches(now);
  for (auto& server : servers_) server->Tick(now);
}

}  // namespace troutlink::soak
