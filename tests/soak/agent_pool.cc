#include "agent_pool.h"

#include <cstdio>

#include "controllers.h"
#include "runtime/clock.h"
#include "wire/messages.h"

namespace troutlink::soak {

namespace {
constexpr size_t kReportConnections = 2000;
constexpr size_t kCommandConnections = 16;  // per agent
constexpr size_t kCloudConnections = 64;
constexpr Micros kReport = 1 * kSecond;
constexpr Micros kReportTimeout = 4 * kSecond;
constexpr Micros kNextNode = 500 * kMillisecond;
constexpr uint64_t kSomeOf = 4;  // share of the agents that a fault affects, as a divisor
}  // namespace

AgentPool::AgentPool(struct ev_loop* loop, uint64_t seed, std::vector<Endpoint> controllers,
                     OnStart on_start, const std::function<void(const std::string&)>& report)
    : cloud(
          &agents,
          [this](const std::string& type, bool spot) -> test::FakeAgent& {
            return Make(type, spot);
          },
          report),
      loop_(loop),
      rng_(seed),
      controllers_(std::move(controllers)),
      on_start_(std::move(on_start)),
      report_(report),
      calls_(loop, kReportConnections) {}

bool AgentPool::ListenCloud(const Endpoint& at) {
  cloud_server_ = std::make_unique<runtime::HttpServer>(
      loop_, kCloudConnections, [this](const Request& request) {
        auto [status, reply] =
            cloud.Handle(runtime::SteadyNow(), request.method, request.target,
                         wire::Unpack(request.body).value_or(wire::Json::object()));
        cloud_server_->Send({request.id, status, wire::Pack(reply), 0});
      });
  return static_cast<bool>(cloud_server_->Open(at));
}

bool AgentPool::Add() {
  const bool spot = next_machine_ % 3 == 0;
  test::FakeAgent& agent = Make("small", spot);
  agent.zone = next_machine_ % 2 == 0 ? "z1" : "z2";
  return servers_.count(agent.name) != 0;
}

test::FakeAgent& AgentPool::Make(const std::string& type, bool spot) {
  auto made = std::make_unique<test::FakeAgent>();
  test::FakeAgent* agent = made.get();
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", next_machine_++);
  const Micros now = runtime::SteadyNow();
  agent->name = name;
  agent->type = type;
  agent->spot = spot;
  agent->zone = "z1";
  agent->lease_from = agent->next_heartbeat = now;
  agent->node = rng_() % controllers_.size();
  agent->run_time = run_time_;
  agent->results = &results;
  agent->on_start = [this, agent](const std::string& job, int task) {
    on_start_(*agent, job, task);
  };
  const Endpoint at = Loopback(FreePort());
  agent->addr = at.text;
  auto server = std::make_unique<runtime::HttpServer>(
      loop_, kCommandConnections,
      [this, agent](const Request& request) { OnCommand(agent, request); });
  if (server->Open(at)) servers_[name] = std::move(server);
  return *(agents[name] = std::move(made));
}

void AgentPool::OnCommand(test::FakeAgent* agent, const Request& request) {
  const Micros now = runtime::SteadyNow();
  if (agent->dead || agent->hung || agent->inbound_blocked || agent->lease_from > now) return;
  auto [status, body] =
      agent->Serve(now, request.target, wire::Unpack(request.body).value_or(wire::Json::object()));
  servers_.at(agent->name)->Send({request.id, status, std::move(body), 0});
}

void AgentPool::SetRunTime(const std::string& job, Micros time) {
  run_time_[job] = time;
  for (auto& [name, agent] : agents) agent->run_time[job] = time;
}

void AgentPool::ScheduleHeartbeat(test::FakeAgent* agent, size_t node, Micros wait) {
  agent->reporting = false;
  agent->node = node;
  agent->next_heartbeat = runtime::SteadyNow() + wait;
}

void AgentPool::AgentHeartbeat(Micros now, test::FakeAgent* agent) {
  agent->reporting = true;
  const size_t node = agent->node;
  calls_.Send(controllers_[node], "POST", std::string(wire::kHeartbeatPath),
              wire::EncodeAgentHeartbeat(agent->MakeHeartbeat()), kReportTimeout,
              [this, agent, node, now, incarnation = agent->incarnation](int status,
                                                                         const std::string& body) {
                OnReportAnswered(agent, node, now, incarnation, status, body);
              });
}

void AgentPool::OnReportAnswered(test::FakeAgent* agent, size_t node, Micros sent,
                                 uint64_t incarnation, int status, const std::string& body) {
  const size_t next = (node + 1) % controllers_.size();
  const Micros now = runtime::SteadyNow();
  if (agent->hung || agent->inbound_blocked || now - sent > kReportTimeout) {
    ScheduleHeartbeat(agent, agent->hung ? node : next, kReport);
    return;
  }
  const wire::Json answer = wire::Unpack(body).value_or(wire::Json::object());
  if (status == 200 && !answer.contains("orders")) report_("an answer to a report has no orders");
  if (status == 200 && answer.contains("orders")) {
    ScheduleHeartbeat(agent, node, kReport);
    agent->HandleReply(now, sent, incarnation, answer);
    return;
  }
  const std::string leader = status == 421 ? answer.value("foreman", "") : "";
  if (leader.empty()) {
    ScheduleHeartbeat(agent, next, kNextNode);
  } else {
    ScheduleHeartbeat(agent, static_cast<size_t>(leader.back() - '0'), 0);
  }
}

void AgentPool::Tick(Micros now) {
  for (auto& [name, agent] : agents) {
    if (agent->dead || agent->hung || agent->lease_from > now) continue;
    agent->Advance(now);
    if (!agent->outbound_blocked && !agent->reporting && now >= agent->next_heartbeat) {
      AgentHeartbeat(now, agent.get());
    }
  }
  calls_.Tick(now);
  for (auto& [name, server] : servers_) server->Tick(now);
  if (cloud_server_) cloud_server_->Tick(now);
}

int AgentPool::ChangeSome(const std::function<bool(test::FakeAgent*)>& change) {
  int changed = 0;
  for (auto& [name, agent] : agents) {
    if (agent->dead || rng_() % kSomeOf != 0) continue;
    if (change(agent.get())) ++changed;
  }
  return changed;
}

int AgentPool::CountTasks(const std::string& job) const {
  int count = 0;
  for (const auto& [name, agent] : agents) {
    for (auto it = agent->tasks.lower_bound({job, 0});
         !agent->dead && it != agent->tasks.end() && it->first.first == job; ++it) {
      if (it->second.state != TaskState::kExited) ++count;
    }
  }
  return count;
}

uint64_t AgentPool::starts() const {
  uint64_t starts = 0;
  for (const auto& [name, agent] : agents) starts += static_cast<uint64_t>(agent->starts);
  return starts;
}

}  // namespace troutlink::soak
