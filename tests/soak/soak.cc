#include "soak.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <sstream>

#include "core/store/records.h"
#include "runtime/clock.h"

namespace troutlink::soak {

namespace {
constexpr double kStepSeconds = 0.005;
constexpr Micros kActEvery = 100 * kMillisecond;
constexpr Micros kCheckEvery = 100 * kMillisecond;
constexpr Micros kMetricsEvery = 2 * kSecond;
constexpr Micros kRepeatEvery = 2 * kSecond;
// Longer than delays of requests, a failover, a detection of silence and a boot.
constexpr Micros kQuiet = 20 * kSecond;
// Maximum wait of an accepted job after the faults.
constexpr Micros kMostWaiting = 90 * kSecond;
constexpr Micros kRecentStart = 60 * kSecond;
constexpr Micros kProbeTimeout = 2 * kSecond;

std::string NodeName(int node) { return "node-" + std::to_string(node); }

wire::Json Facts() {
  return {
      {"zones", {"z1", "z2"}},
      {"teams",
       {{{"name", "red"}, {"cpus", 16.0}, {"cpus_max", 64.0}, {"gpus", 0.0}, {"gpus_max", 0.0}},
        {{"name", "blue"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}}}},
      // The lease of the fake agents.
      {"workers", {{"report_s", 1.0}, {"lease_s", 10.0}, {"cancel_s", 22.0}}},
      {"state",
       {{"rps", 600.0},
        {"write_rps", 120.0},
        {"value_kb", 16.0},
        {"txn_ops", 12},
        {"next", {{"write_rps", 60.0}, {"value_kb", 2.0}, {"txn_ops", 6}}}}},
      {"cloud", {{"rps", 10.0}, {"list_lag_s", 2.0}}},
      {"resources", {{"cores", 1.0}, {"mem_mb", 64.0}, {"fd_limit", 900}}},
      {"time_bound_ms", 5.0}};
}
}  // namespace

Soak::Soak(SoakOptions options)
    : options_(std::move(options)),
      loop_(ev_loop_new(EVFLAG_AUTO)),
      schedule_(DrawSchedule(options_.seed, kNodes, options_.seconds * kSecond)),
      killed_(kNodes, 0),
      paused_(kNodes, 0) {
  ev_signal_init(&interrupt_, &Soak::OnSignal, SIGINT);
  ev_signal_init(&terminate_, &Soak::OnSignal, SIGTERM);
}

Soak::~Soak() {
  ev_signal_stop(loop_, &interrupt_);
  ev_signal_stop(loop_, &terminate_);
  controllers_.clear();
  relays_.clear();
  probes_.reset();
  traffic_.reset();
  pool_.reset();
  state_.reset();
  ev_loop_destroy(loop_);
}

void Soak::Say(const std::string& what) {
  const Micros at = started_ == 0 ? 0 : runtime::SteadyNow() - started_;
  timeline_ << at / kMillisecond << " ms " << what << std::endl;
}

// --- start ---------------------------------------------------------------------

std::string Soak::SettingsOf(int node) const {
  const auto at = static_cast<size_t>(node);
  wire::Json doc = {
      {"label", NodeName(node)},
      {"area", "z1"},
      {"serve_on", Loopback(serve_ports_[at]).text},
      {"mesh_addr", Loopback(mesh_ports_[at]).text},
      {"siblings", wire::Json::array()},
      {"external",
       {{"cloud", Loopback(cloud_port_).text}, {"state", Loopback(state_ports_[at]).text}}},
      {"facts", Facts()}};
  for (int other = 0; other < kNodes; ++other) {
    if (other == node) continue;
    doc["siblings"].push_back(
        {{"label", NodeName(other)},
         {"area", "z1"},
         {"endpoint", Loopback(relay_ports_[at][static_cast<size_t>(other)]).text}});
  }
  return doc.dump(2);
}

bool Soak::WriteSettings() {
  std::error_code error;
  std::filesystem::create_directories(options_.directory, error);
  timeline_.open(options_.directory + "/timeline.log");
  if (!timeline_) {
    findings_.push_back("cannot write to " + options_.directory);
    return false;
  }
  timeline_ << "seed " << options_.seed << "\n";
  for (const Fault& fault : schedule_) timeline_ << "schedule " << fault.Text() << "\n";
  for (int node = 0; node < kNodes; ++node) {
    const std::string path = options_.directory + "/" + NodeName(node) + ".json";
    std::ofstream(path) << SettingsOf(node);
    controllers_.push_back(std::make_unique<Controller>(
        options_.binary, path, options_.directory + "/" + NodeName(node) + ".log"));
  }
  settings_ = *ParseSettings(SettingsOf(0));
  return true;
}

bool Soak::Listen() {
  std::vector<Endpoint> serve;
  for (int node = 0; node < kNodes; ++node) {
    serve_ports_.push_back(FreePort());
    mesh_ports_.push_back(FreePort());
    state_ports_.push_back(FreePort());
    serve.push_back(Loopback(serve_ports_.back()));
  }
  cloud_port_ = FreePort();
  relay_ports_.assign(kNodes, std::vector<int>(kNodes, 0));
  for (auto& row : relay_ports_) {
    for (int& port : row) port = FreePort();
  }
  if (!WriteSettings()) return false;
  state_ = std::make_unique<FakeStateServer>(loop_, options_.seed);
  state_->state.limits = settings_.state_limits;
  pool_ = std::make_unique<AgentPool>(
      loop_, options_.seed, serve,
      [this](const test::FakeAgent& on, const std::string& job, int task) {
        Say("start " + job + "/" + std::to_string(task) + " on " + on.name);
        last_start_[job] = runtime::SteadyNow();
        rules_->OnStart(runtime::SteadyNow(), on, job, task);
      },
      [this](const std::string& what) { rules_->AddViolation(what); });
  traffic_ = std::make_unique<UserTraffic>(
      loop_, options_.seed, serve,
      [this](const std::string& job, Micros time) { pool_->SetRunTime(job, time); });
  rules_ = std::make_unique<test::RuleChecker>(settings_, traffic_->users, pool_->agents,
                                               pool_->results, state_->state);
  traffic_->SetChecker(rules_.get());
  probes_ = std::make_unique<HttpCalls>(loop_, kNodes);
  bool open = pool_->ListenCloud(Loopback(cloud_port_));
  for (int port : state_ports_) open = open && state_->Listen(Loopback(port));
  for (size_t from = 0; from < kNodes; ++from) {
    relays_.emplace_back();
    for (size_t to = 0; to < kNodes; ++to) {
      relays_[from].push_back(std::make_unique<Relay>(loop_, Loopback(mesh_ports_[to])));
      open = open && relays_[from][to]->Open(Loopback(relay_ports_[from][to]));
    }
  }
  for (int i = 0; i < options_.agents; ++i) open = open && pool_->Add();
  if (!open) findings_.emplace_back("a port is occupied");
  return open;
}

SoakResult Soak::Run() {
  if (!Listen()) return SoakResult::kNotRun;
  for (auto& controller : controllers_) {
    if (!controller->Start()) {
      findings_.push_back("cannot start " + options_.binary);
      return SoakResult::kNotRun;
    }
  }
  started_ = runtime::SteadyNow();
  timer_.data = this;
  ev_init(&timer_, &Soak::OnTimer);
  ev_timer_set(&timer_, kStepSeconds, kStepSeconds);
  ev_timer_start(loop_, &timer_);
  interrupt_.data = terminate_.data = this;
  ev_signal_start(loop_, &interrupt_);
  ev_signal_start(loop_, &terminate_);
  ev_run(loop_, 0);
  if (interrupted_) {
    findings_.assign(1, "interrupted");
    return SoakResult::kNotRun;
  }
  return findings_.empty() ? SoakResult::kKept : SoakResult::kBroken;
}

// --- step ------------------------------------------------------------------------

void Soak::OnTimer(struct ev_loop*, ev_timer* watcher, int) {
  static_cast<Soak*>(watcher->data)->Step();
}

void Soak::OnSignal(struct ev_loop* loop, ev_signal* watcher, int) {
  static_cast<Soak*>(watcher->data)->interrupted_ = true;
  ev_break(loop, EVBREAK_ALL);
}

void Soak::Step() {
  const Micros now = runtime::SteadyNow();
  const Micros elapsed = now - started_;
  const Micros trouble = options_.seconds * kSecond;
  state_->Tick(now);
  pool_->Tick(now);
  traffic_->Tick(now);
  probes_->Tick(now);
  RunSchedule(now);
  if (now >= next_act_) {
    next_act_ = now + kActEvery;
    traffic_->Act(elapsed < trouble);
  }
  if (now >= next_check_) {
    next_check_ = now + kCheckEvery;
    rules_->CheckRunning(now);
    rules_->CheckAssigned(now);
    CheckControllers(now);
  }
  if (elapsed < trouble + kQuiet) return;
  if (now >= next_repeat_) {
    next_repeat_ = now + kRepeatEvery;
    traffic_->RepeatUnanswered();
  }
  std::string waits;
  if (!Settled(now, &waits) && elapsed < trouble + kMostWaiting) return;
  if (!waits.empty()) rules_->AddViolation("waits: " + waits);
  Finish();
}

void Soak::RunSchedule(Micros now) {
  while (next_fault_ < schedule_.size() && now - started_ >= schedule_[next_fault_].at) {
    const Fault& fault = schedule_[next_fault_++];
    Say("begin " + fault.Text());
    Begin(now, fault);
    endings_.push_back({now + fault.duration, fault});
  }
  std::vector<Ending> open;
  for (Ending& ending : endings_) {
    if (now < ending.at) {
      open.push_back(ending);
      continue;
    }
    Say("end " + ending.fault.Text());
    End(now, ending.fault);
  }
  endings_ = std::move(open);
}

void Soak::CheckControllers(Micros now) {
  for (size_t node = 0; node < controllers_.size(); ++node) {
    if (controllers_[node]->EndedByItself()) {
      rules_->AddViolation("crash of " + NodeName(static_cast<int>(node)));
    }
  }
  ReadElections();
  if (next_fault_ == 0) first_elections_ = elections_;
  if (now >= next_metrics_) {
    next_metrics_ = now + kMetricsEvery;
    ReadMetrics();
  }
  for (; broken_said_ < rules_->violations.size(); ++broken_said_) {
    Say("BROKEN " + rules_->violations[broken_said_]);
  }
}

void Soak::ReadMetrics() {
  for (int node = 0; node < kNodes; ++node) {
    probes_->Send(Loopback(serve_ports_[static_cast<size_t>(node)]), "GET", "/metrics", "",
                  kProbeTimeout, [this, node](int status, const std::string& body) {
                    if (status != 200) return;
                    ++metrics_read_;
                    std::istringstream lines(body);
                    for (std::string line; std::getline(lines, line);) {
                      const bool violation =
                          line.rfind("troutlink_invariant_violations_total", 0) == 0;
                      if (!violation || line.substr(line.rfind(' ')) == " 0") continue;
                      rules_->AddViolation(NodeName(node) + " " + line);
                    }
                  });
  }
}

// Number of leadership changes seen by the store.
void Soak::ReadElections() {
  const auto& changes = state_->state.changes;
  elections_ = static_cast<uint64_t>(
      std::count_if(changes.begin(), changes.end(), [](const test::FakeState::Change& change) {
        return !change.erase && ParseKey(change.key).kind == Key::Kind::kLeadership;
      }));
}

// --- faults -------------------------------------------------------------------------

void Soak::Begin(Micros now, const Fault& fault) {
  const auto node = static_cast<size_t>(fault.node);
  const size_t next = (node + 1) % kNodes;
  switch (fault.kind) {
    case FaultKind::kKill:
      ++killed_[node];
      ++kills_;
      controllers_[node]->Kill();
      break;
    case FaultKind::kPause:
      ++paused_[node];
      ++pauses_;
      controllers_[node]->Pause();
      break;
    case FaultKind::kPeerHold: relays_[node][next]->SetMode(Relay::Mode::kHold); break;
    case FaultKind::kPeerReset: relays_[node][next]->SetMode(Relay::Mode::kReset); break;
    case FaultKind::kMachinesHang:
    case FaultKind::kMachinesDeaf:
    case FaultKind::kMachinesMute:
    case FaultKind::kMachinesTaken: BeginMachineFault(fault, true); break;
    case FaultKind::kLowerLimits: state_->state.limits = settings_.next_state_limits; break;
    case FaultKind::kStateDown:
    case FaultKind::kStateRefuses:
    case FaultKind::kStateCut:
    case FaultKind::kStateSlow:
    case FaultKind::kLateWrites:
    case FaultKind::kWatchGap: BeginStateFault(fault, 1); break;
  }
  (void)now;
}

// `change`: 1 at the start of the fault, -1 at its end.
void Soak::BeginStateFault(const Fault& fault, int change) {
  auto set = [&fault, change](std::multiset<int>* nodes) {
    if (change > 0) {
      nodes->insert(fault.node);
    } else {
      nodes->erase(nodes->find(fault.node));
    }
  };
  switch (fault.kind) {
    case FaultKind::kStateDown: state_->down += change; break;
    case FaultKind::kStateRefuses: set(&state_->refused); break;
    case FaultKind::kStateCut: set(&state_->cut); break;
    case FaultKind::kStateSlow: state_->slow += change; break;
    case FaultKind::kLateWrites: state_->late_writes += change; break;
    case FaultKind::kWatchGap: state_->watch_gap += change; break;
    default: break;
  }
}

void Soak::BeginMachineFault(const Fault& fault, bool on) {
  bool test::FakeAgent::*field = nullptr;
  switch (fault.kind) {
    case FaultKind::kMachinesHang: field = &test::FakeAgent::hung; break;
    case FaultKind::kMachinesDeaf: field = &test::FakeAgent::inbound_blocked; break;
    case FaultKind::kMachinesMute: field = &test::FakeAgent::outbound_blocked; break;
    default: break;
  }
  if (on) {
    machine_faults_ += static_cast<uint64_t>(pool_->ChangeSome([field](test::FakeAgent* agent) {
      if (field != nullptr) return agent->*field = true;
      if (!agent->spot) return false;
      agent->tasks.clear();
      return agent->dead = true;
    }));
    return;
  }
  if (field == nullptr) return;
  for (auto& [name, agent] : pool_->agents) agent.get()->*field = false;
}

void Soak::End(Micros now, const Fault& fault) {
  const auto node = static_cast<size_t>(fault.node);
  const size_t next = (node + 1) % kNodes;
  switch (fault.kind) {
    case FaultKind::kKill:
      if (--killed_[node] == 0 && !controllers_[node]->Start())
        rules_->AddViolation("cannot restart");
      if (paused_[node] > 0) controllers_[node]->Pause();
      break;
    case FaultKind::kPause:
      if (--paused_[node] == 0) controllers_[node]->Continue();
      break;
    case FaultKind::kPeerHold:
    case FaultKind::kPeerReset: relays_[node][next]->SetMode(Relay::Mode::kOpen); break;
    case FaultKind::kMachinesHang:
    case FaultKind::kMachinesDeaf:
    case FaultKind::kMachinesMute:
    case FaultKind::kMachinesTaken: BeginMachineFault(fault, false); break;
    case FaultKind::kLowerLimits: break;
    default:
      BeginStateFault(fault, -1);
      if (fault.kind == FaultKind::kStateDown && state_->down == 0) state_->EndOutage(now);
  }
}

// --- the end --------------------------------------------------------------------------

// After the faults no job may be left waiting for 90 s. A job that runs, depends on one that runs,
// or gets a task now and then is not left waiting.
bool Soak::Backlog(Micros now, const test::Users::TrackedJob& known) const {
  if (known.accepted == 0 || known.done != 0 || known.cancelled != 0) return false;
  const int running = pool_->CountTasks(known.spec.id);
  if (known.spec.kind == JobKind::kService) return running != known.spec.tasks;
  if (running > 0) return false;
  for (const std::string& dependency : known.spec.dependencies) {
    const test::Users::TrackedJob* needed = traffic_->users.Find(dependency);
    if (needed != nullptr && needed->done == 0) return false;
  }
  auto started = last_start_.find(known.spec.id);
  return started == last_start_.end() || now - started->second > kRecentStart;
}

bool Soak::Settled(Micros now, std::string* waits) const {
  for (const auto& [id, known] : traffic_->users.jobs()) {
    if (!Backlog(now, known)) continue;
    *waits = id;
    return false;
  }
  return true;
}

// A run without effects of faults is invalid.
void Soak::CheckEffects() {
  auto need = [this](bool happened, const std::string& what) {
    if (!happened) rules_->AddViolation("without effect: " + what);
  };
  need(pool_->starts() > 0, "no task was started");
  need(traffic_->cancels_told > 0, "no job was cancelled");
  need(traffic_->dependents > 0, "no job with dependencies was accepted");
  need(!pool_->results.empty(), "no task was done");
  need(elections_ > first_elections_, "no leader changed");
  need(metrics_read_ > 0, "no metrics were read");
  uint64_t peers = 0;
  for (const auto& row : relays_) {
    for (const auto& relay : row) peers += relay->hits();
  }
  auto drawn = [this](FaultKind kind) {
    return std::any_of(schedule_.begin(), schedule_.end(), [kind](const Fault& fault) {
      return fault.kind == kind && fault.duration >= 2 * kSecond;
    });
  };
  need(!drawn(FaultKind::kStateDown) || state_->refusals > 0, "state_down");
  need(!drawn(FaultKind::kStateCut) || state_->lost > 0, "state_cut");
  need(!drawn(FaultKind::kStateSlow) || state_->slowed > 0, "state_slow");
  need(!drawn(FaultKind::kWatchGap) || state_->gaps > 0, "watch_gap");
  need(!drawn(FaultKind::kPeerHold) || peers > 0, "peer_hold");
  need(!drawn(FaultKind::kMachinesHang) || machine_faults_ > 0, "machines_hang");
}

void Soak::Finish() {
  if (done_) return;
  done_ = true;
  CheckEffects();
  for (; broken_said_ < rules_->violations.size(); ++broken_said_) {
    Say("BROKEN " + rules_->violations[broken_said_]);
  }
  findings_ = rules_->violations;
  Say(Summary());
  ev_break(loop_, EVBREAK_ALL);
}

std::string Soak::Summary() const {
  std::ostringstream out;
  if (pool_ == nullptr || traffic_ == nullptr) return "not run";
  out << "seed " << options_.seed << ": " << (findings_.empty() ? "kept" : "BROKEN") << ", "
      << schedule_.size() << " faults (" << kills_ << " kills, " << pauses_ << " pauses), "
      << traffic_->users.jobs().size() << " jobs, " << traffic_->dependents
      << " with dependencies, " << traffic_->cancels_told << " cancelled, " << pool_->starts()
      << " starts, " << pool_->results.size() << " tasks done, " << elections_ << " elections, "
      << traffic_->answers << " answers, " << (runtime::SteadyNow() - started_) / kSecond << " s";
  return out.str();
}

}  // namespace troutlink::soak
