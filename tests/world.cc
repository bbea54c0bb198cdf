#include "world.h"

#include <algorithm>
#include <cstdio>

namespace troutlink::test {
namespace {

constexpr Micros kLatency = 2 * kMillisecond;
constexpr Micros kTick = 50 * kMillisecond;
constexpr Micros kCheck = 20 * kMillisecond;
constexpr Micros kAssignedCheck = 1000 * kMillisecond;
constexpr Micros kReport = 2 * kSecond;
constexpr Micros kReportTimeout = 4 * kSecond;
constexpr Micros kWallClock = 1'700'000'000 * kSecond;

Json Facts() {
  return {
      {"zones", {"z1", "z2"}},
      {"teams",
       {{{"name", "red"}, {"cpus", 16.0}, {"cpus_max", 64.0}, {"gpus", 0.0}, {"gpus_max", 0.0}},
        {{"name", "blue"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}}}},
      {"workers", {{"report_s", 2.0}, {"lease_s", 10.0}, {"cancel_s", 30.0}}},
      {"state", {{"rps", 200.0}, {"write_rps", 60.0}, {"value_kb", 16.0}, {"txn_ops", 12}}},
      {"cloud", {{"rps", 6.0}, {"list_lag_s", 2.0}}},
      {"resources", {{"cores", 1.0}, {"mem_mb", 64.0}, {"fd_limit", 500}}},
      {"time_bound_ms", 5.0}};
}

std::string NodeName(size_t node) { return "node-" + std::to_string(node); }

size_t NodeNumber(const std::string& name) { return static_cast<size_t>(name.back() - '0'); }

}  // namespace

// --- setting up ---------------------------------------------------------------

World::World(int nodes, const std::function<void(Json* facts)>& change)
    : rules(settings, users, agents, results, state),
      cloud(
          &agents,
          [this](const std::string& type, bool spot) -> FakeAgent& { return AddAgent(type, spot); },
          [this](const std::string& what) { rules.violations.push_back(what); }) {
  ReadSettings(nodes, change);
  settings = nodes_[0].settings;
  state.limits = settings.state_limits;
  for (size_t i = 0; i < nodes_.size(); ++i) Start(i);
}

void World::ReadSettings(int nodes, const std::function<void(Json* facts)>& change) {
  Json doc = {{"area", "z1"},
              {"serve_on", "10.0.0.1:8080"},
              {"mesh_addr", "10.0.0.1:8081"},
              {"external", {{"cloud", "10.2.0.2:1"}, {"state", "10.2.0.1:1"}}},
              {"facts", Facts()}};
  if (change) change(&doc["facts"]);
  nodes_.resize(static_cast<size_t>(nodes));
  for (size_t i = 0; i < nodes_.size(); ++i) {
    doc["label"] = NodeName(i);
    doc["siblings"] = Json::array();
    for (size_t j = 0; j < nodes_.size(); ++j) {
      if (j == i) continue;
      doc["siblings"].push_back({{"label", NodeName(j)},
                                 {"area", "z1"},
                                 {"endpoint", "10.0.0." + std::to_string(j + 1) + ":8081"}});
    }
    nodes_[i].settings = *ParseSettings(doc.dump());
  }
}

JobSpec World::Array(const std::string& id, int tasks) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = "batch";
  spec.team = "blue";
  spec.tasks = tasks;
  spec.task_resources = {4000, 0, 8000};
  spec.image = "img";
  spec.image_gb = 1;
  spec.spot = true;
  spec.estimate = 5 * kSecond;
  return spec;
}

JobSpec World::Service(const std::string& id, int tasks) {
  JobSpec spec = Array(id, tasks);
  spec.kind = JobKind::kService;
  spec.priority = Priority::kProduction;
  spec.task_resources = {2000, 0, 4000};
  spec.spot = false;
  spec.estimate = 0;
  return spec;
}

// --- nodes and machines ---------------------------------------------------------

void World::Start(size_t node) {
  Node& starting = nodes_[node];
  starting.boot = next_boot_++;
  starting.core = std::make_unique<Core>(starting.settings, starting.boot, now, now + kWallClock);
  starting.next_tick = now;
  starting.waiting.clear();
}

void World::Kill(size_t node) {
  nodes_[node].core.reset();
  nodes_[node].paused = false;
  nodes_[node].delayed.clear();
  for (auto& [id, reply] : nodes_[node].waiting) reply({id, -1, "", 0});
  nodes_[node].waiting.clear();
}

void World::Pause(size_t node) { nodes_[node].paused = true; }

void World::Resume(size_t node) {
  nodes_[node].paused = false;
  auto delayed = std::move(nodes_[node].delayed);
  nodes_[node].delayed.clear();
  for (auto& run : delayed) run();
}

FakeAgent& World::AddAgent(const std::string& type, bool spot) {
  auto made = std::make_unique<FakeAgent>();
  FakeAgent* agent = made.get();
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", next_machine_++);
  agent->name = name;
  agent->addr = "10.1.0." + std::to_string(next_machine_) + ":9000";
  agent->type = type;
  agent->zone = "z1";
  agent->spot = spot;
  agent->lease_from = now;
  agent->next_heartbeat = now;
  agent->node = static_cast<size_t>(next_machine_) % nodes_.size();
  agent->run_time = run_time;
  agent->results = &results;
  agent->failing_jobs = &failing_jobs;
  agent->on_start = [this, agent](const std::string& job, int task) {
    rules.OnStart(now, *agent, job, task);
  };
  return *(agents[name] = std::move(made));
}

void World::SetRunTime(const std::string& job, Micros time) {
  run_time[job] = time;
  for (auto& [name, agent] : agents) agent->run_time[job] = time;
}

// --- users ------------------------------------------------------------------------

std::shared_ptr<World::Response> World::SendRequest(size_t node, const std::string& method,
                                                    const std::string& target,
                                                    const std::string& body) {
  auto out = std::make_shared<Response>();
  Node& receiver = nodes_[node];
  if (receiver.core == nullptr) {
    out->status = -1;
    return out;
  }
  Request request{receiver.next_request++, method, target, body};
  users.NoteRequest(target, body);
  receiver.waiting[request.id] = [this, out, method, target, body,
                                  requested_at = now](const Reply& reply) {
    if (auto answer = Users::Read(requested_at, now, method, target, body, reply)) {
      rules.OnAnswer(*answer);
      users.RecordReply(*answer);
    }
    out->status = reply.status;
    out->body = wire::Unpack(reply.body).value_or(Json());
    out->retry_after = reply.retry_after_s;
  };
  Dispatch(node, receiver.core->HandleRequest(now, request));
  return out;
}

std::shared_ptr<World::Response> World::Submit(size_t node, const JobSpec& spec) {
  return SendRequest(node, "POST", "/api/jobs", wire::EncodeSubmission(spec));
}

World::Response World::SendUntilFinal(size_t node, const std::string& method,
                                      const std::string& target, const std::string& body) {
  std::shared_ptr<Response> answer;
  for (int i = 0; i < 60; ++i) {
    answer = SendRequest(node, method, target, body);
    RunUntil([&] { return answer->status != -100; }, 5 * kSecond);
    if (answer->status == 200 || answer->status == 201 || answer->status == 404 ||
        answer->status == 400 || answer->status == 422) {
      break;
    }
    Run(kSecond);
  }
  return *answer;
}

// --- output of nodes --------------------------------------------------------------

void World::Dispatch(size_t node, const Outbox& out) {
  digest_.Add(now, node, out);
  for (const Call& call : out.calls) SendCall(node, call);
  for (const PeerMessage& message : out.peers) SendToPeer(node, message);
  for (const Reply& reply : out.replies) {
    auto it = nodes_[node].waiting.find(reply.id);
    if (it == nodes_[node].waiting.end()) continue;
    auto run = std::move(it->second);
    nodes_[node].waiting.erase(it);
    run(reply);
  }
}

void World::SendToPeer(size_t node, const PeerMessage& message) {
  if (peer_network_down) return;
  const size_t to = NodeNumber(message.to);
  if (partitioned_from_peers.count(node) != 0 || partitioned_from_peers.count(to) != 0) return;
  if (partitioned_links.count({node, to}) != 0 || partitioned_links.count({to, node}) != 0) return;
  // Encoded and decoded, as on the network.
  const std::string frame = mesh::Encode(message.message);
  if (frame.size() > mesh::kMaxFrame)
    rules.AddViolation("a frame of " + std::to_string(frame.size()));
  std::string_view in = frame;
  uint64_t length = 0;
  mesh::GetVarint(&in, &length);
  auto arrive = [this, node, to, body = std::string(in)] {
    Deliver(to, [this, node, to, body] {
      if (nodes_[to].core == nullptr) return;
      std::optional<mesh::Message> decoded = mesh::Decode(body);
      Dispatch(to, nodes_[to].core->HandlePeer(now, NodeName(node), *decoded));
    });
  };
  if (delay_peer_messages) {
    delayed_peer_messages_.push_back(std::move(arrive));
  } else {
    At(now + kLatency, std::move(arrive));
  }
}

void World::DeliverPeerMessages() {
  delay_peer_messages = false;
  auto delayed = std::move(delayed_peer_messages_);
  delayed_peer_messages_.clear();
  for (auto& arrive : delayed) arrive();
}

void World::SendCall(size_t node, const Call& call) {
  const uint64_t boot = nodes_[node].boot;
  if (without_watches.count(node) != 0 && call.method == "GET") {
    FailCall(node, boot, call);
    return;
  }
  if (call.dest == Dest::kWatch) {
    watches_.push_back({node, boot, call, std::stoull(QueryParameter(call.target, "from")),
                        now + std::stoll(QueryParameter(call.target, "hold_ms")) * kMillisecond});
    return;
  }
  if (record_calls && call.method == "POST") recorded_calls.emplace_back(node, call);
  // A node without a stored version counts as version 1.
  if (version_1_nodes.count(node) != 0 && call.target == "/commit" &&
      call.body.find(NodeVersionKey(NodeName(node))) != std::string::npos) {
    FailCall(node, boot, call);
    return;
  }
  if (drop_call && drop_call(node, call)) {
    dropped_calls.emplace_back(node, call);
    FailCall(node, boot, call);
    return;
  }
  const Micros slow = call.dest == Dest::kState ? store_latency : 0;
  At(now + kLatency + slow, [this, node, boot, call] {
    bool hang = false;
    auto [status, body] = Serve(node, call, &hang);
    if (hang) {
      FailCall(node, boot, call);
    } else {
      AnswerCall(node, boot, call.id, status, body);
    }
  });
}

// The sender gets no answer and notices that after the timeout.
void World::FailCall(size_t node, uint64_t boot, const Call& call) {
  At(now + call.timeout, [this, node, boot, id = call.id] {
    if (nodes_[node].core == nullptr || nodes_[node].boot != boot) return;
    Dispatch(node, nodes_[node].core->HandleAnswer(now, id, kNoAnswer, ""));
  });
}

void World::AnswerCall(size_t node, uint64_t boot, uint64_t call, int status, std::string body) {
  At(now + kLatency, [this, node, boot, call, status, body = std::move(body)] {
    Deliver(node, [this, node, boot, call, status, body] {
      if (nodes_[node].core == nullptr || nodes_[node].boot != boot) return;
      Dispatch(node, nodes_[node].core->HandleAnswer(now, call, status, body));
    });
  });
}

std::pair<int, std::string> World::Serve(size_t node, const Call& call, bool* hang) {
  switch (call.dest) {
    case Dest::kWatch:
    case Dest::kState: return ServeState(node, call, hang);
    case Dest::kCloud: {
      auto [status, reply] = cloud.Handle(now, call.method, call.target,
                                          wire::Unpack(call.body).value_or(Json::object()));
      return {status, wire::Pack(reply)};
    }
    case Dest::kAgent: break;
  }
  return ServeAgent(node, call, hang);
}

std::pair<int, std::string> World::ServeState(size_t node, const Call& call, bool* hang) {
  if (partitioned_from_store.count(node) != 0) {
    *hang = true;
    return {};
  }
  if (store_down || refused_by_store.count(node) != 0) return {503, ""};
  if (store_busy && call.target.rfind("/grants/", 0) != 0) return {429, ""};
  auto [status, reply] =
      state.Handle(now, call.method, call.target, wire::Unpack(call.body).value_or(Json::object()));
  return {status, wire::Pack(reply)};
}

std::pair<int, std::string> World::ServeAgent(size_t node, const Call& call, bool* hang) {
  for (auto& [name, agent] : agents) {
    if (agent->addr != call.addr || agent->dead) continue;
    if (!agent->Reaches(node) || agent->hung || agent->inbound_blocked ||
        partitioned_from_agents.count(node) != 0 || agent->lease_from > now) {
      break;
    }
    return agent->Serve(now, call.target, wire::Unpack(call.body).value_or(Json::object()));
  }
  *hang = true;
  return {};
}

void World::DeliverCallLater(size_t node, const Call& call, Micros after) {
  At(now + after, [this, node, call] {
    bool hang = false;
    Serve(node, call, &hang);
  });
}

void World::DeliverDroppedCalls() {
  auto late = std::move(dropped_calls);
  dropped_calls.clear();
  for (auto& [node, call] : late) {
    bool hang = false;
    Serve(node, call, &hang);
  }
}

void World::RepeatRecordedCalls() {
  auto again = recorded_calls;
  record_calls = false;
  for (auto& [node, call] : again) {
    bool hang = false;
    Serve(node, call, &hang);
  }
}

// --- heartbeats ----------------------------------------------------------------------

void World::DelayHeartbeat(FakeAgent* agent, size_t node, Micros after) {
  AgentHeartbeat report = agent->MakeHeartbeat();
  At(now + after, [this, node, body = wire::EncodeAgentHeartbeat(report)] {
    SendRequest(node, "POST", "/v1/report", body);
  });
}

void World::ScheduleHeartbeat(FakeAgent* agent, size_t to, Micros wait) {
  agent->reporting = false;
  agent->node = to;
  agent->next_heartbeat = now + wait;
}

void World::SendHeartbeat(FakeAgent* agent) {
  agent->reporting = true;
  const size_t node = agent->node, other = (node + 1) % nodes_.size();
  Node& to = nodes_[node];
  std::string body = wire::EncodeAgentHeartbeat(agent->MakeHeartbeat());
  if (record_heartbeats) recorded_heartbeats.emplace_back(agent->name, body);
  if (to.core == nullptr || partitioned_from_agents.count(node) != 0 || !agent->Reaches(node)) {
    // Refused or no answer: try the next node.
    At(now + (to.core == nullptr ? 0 : kReportTimeout),
       [this, agent, other] { ScheduleHeartbeat(agent, other, kSecond); });
    return;
  }
  Request request{to.next_request++, "POST", "/v1/report", body};
  auto over = std::make_shared<bool>(false);
  At(now + kReportTimeout, [this, agent, other, over] {
    if (*over) return;
    *over = true;  // no answer: try the next node
    ScheduleHeartbeat(agent, other, kSecond);
  });
  to.waiting[request.id] = [this, agent, node, over, sent = now,
                            incarnation = agent->incarnation](const Reply& reply) {
    if (*over) return;
    *over = true;
    HandleHeartbeatReply(agent, node, sent, incarnation, reply);
  };
  At(now + kLatency, [this, node, boot = to.boot, request] {
    Deliver(node, [this, node, boot, request] {
      if (nodes_[node].core == nullptr || nodes_[node].boot != boot) return;
      Dispatch(node, nodes_[node].core->HandleRequest(now, request));
    });
  });
}

void World::HandleHeartbeatReply(FakeAgent* agent, size_t node, Micros sent, uint64_t incarnation,
                                 const Reply& reply) {
  const size_t other = (node + 1) % nodes_.size();
  if (agent->hung) {
    ScheduleHeartbeat(agent, node, kReport);
    return;
  }
  if (agent->inbound_blocked) {
    ScheduleHeartbeat(agent, other, 5 * kSecond);
    return;
  }
  Json answer = wire::Unpack(reply.body).value_or(Json::object());
  if (reply.status == 200) {
    ScheduleHeartbeat(agent, node, kReport);
    agent->HandleReply(now, sent, incarnation, answer);
    return;
  }
  const std::string leader = reply.status == 421 ? answer.value("foreman", "") : "";
  if (leader.empty() || NodeNumber(leader) == node) {
    ScheduleHeartbeat(agent, other, kSecond);
  } else {
    ScheduleHeartbeat(agent, NodeNumber(leader), 100 * kMillisecond);
  }
}

// --- time -------------------------------------------------------------------------------

void World::At(Micros when, std::function<void()> run) {
  events_.push_back({when, ++order_, std::move(run)});
  std::push_heap(events_.begin(), events_.end(), std::greater<>());
}

void World::Deliver(size_t node, std::function<void()> run) {
  if (nodes_[node].paused) {
    nodes_[node].delayed.push_back(std::move(run));
  } else {
    run();
  }
}

void World::Step() {
  now += kMillisecond;
  if (now >= next_check_) {
    next_check_ = now + kCheck;
    rules.CheckRunning(now);
  }
  if (now >= next_assigned_check_) {
    next_assigned_check_ = now + kAssignedCheck;
    rules.CheckAssigned(now);
  }
  if (!store_down) state.Expire(now);
  TickNodes();
  AdvanceAgents();
  AnswerWatches();
  RunEvents();
}

void World::TickNodes() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    if (node.core == nullptr || node.paused || now < node.next_tick) continue;
    node.next_tick = now + kTick;
    Dispatch(i, node.core->Tick(now, now + kWallClock));
    if (node.core->violations().Total() != 0) rules.AddViolation("an invariant of " + NodeName(i));
  }
}

void World::AdvanceAgents() {
  for (auto& [name, agent] : agents) {
    if (agent->dead || agent->hung || agent->lease_from > now) continue;
    agent->Advance(now);
    if (!agent->silent && !agent->outbound_blocked && !agent->reporting &&
        now >= agent->next_heartbeat) {
      SendHeartbeat(agent.get());
    }
  }
}

void World::AnswerWatches() {
  for (size_t i = 0; i < watches_.size();) {
    const OpenWatch& watch = watches_[i];
    const bool blocked = store_down || partitioned_from_store.count(watch.node) != 0 ||
                         refused_by_store.count(watch.node) != 0;
    const Json events = blocked ? Json::array() : state.EventsAfter(watch.after);
    if (!blocked && (!events.empty() || now >= watch.until)) {
      AnswerCall(watch.node, watch.boot, watch.call.id, 200,
                 wire::Pack(Json{{"ledger", state.revision}, {"events", events}}));
    } else if (now >= watch.until + 2 * kSecond) {
      AnswerCall(watch.node, watch.boot, watch.call.id, kNoAnswer, "");
    } else {
      ++i;
      continue;
    }
    watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

void World::RunEvents() {
  while (!events_.empty() && events_.front().at <= now) {
    std::pop_heap(events_.begin(), events_.end(), std::greater<>());
    auto run = std::move(events_.back().run);
    events_.pop_back();
    run();
  }
}

void World::Run(Micros time) {
  const Micros end = now + time;
  while (now < end) Step();
}

bool World::RunUntil(const std::function<bool()>& holds, Micros most) {
  const Micros end = now + most;
  while (now < end) {
    if (holds()) return true;
    Step();
  }
  return holds();
}

// --- state -----------------------------------------------------------------------------

int World::CountTasks(const std::string& job) const {
  int running = 0;
  for (const auto& [name, agent] : agents) {
    if (agent->dead) continue;
    for (const auto& [key, task] : agent->tasks) {
      running += key.first == job && task.state != TaskState::kExited ? 1 : 0;
    }
  }
  return running;
}

int World::LeaderOf(int shard_id) const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].core != nullptr && nodes_[i].core->IsLeader(shard_id)) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace troutlink::test
