// Randomised test: overlapping faults drawn from a seed.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

// Runs one seed: users act and faults overlap for 150 s; after that every accepted job must be
// served. The world checks the rules at every step. Runs are deterministic.
class RandomFaults {
 public:
  // kUpgrade: all nodes start with version 1 and are upgraded one by one; then users submit
  // pipelines, and at some time smaller limits apply. kPipelines: nearly all jobs have dependencies
  // from the start, and many are cancelled.
  enum class Mode { kOrdinary, kUpgrade, kPipelines };
  explicit RandomFaults(unsigned seed, Mode mode = Mode::kOrdinary);

  // Runs the seed to its end or to the first violation.
  void RunSeed();
  const World& world() const { return world_; }
  // Log of actions with their times, for debugging a failed seed.
  std::string ActionLog() const;

 private:
  // --- draws ---
  int Draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(rng_); }
  bool Chance(double p) { return std::bernoulli_distribution(p)(rng_); }
  size_t Node() { return static_cast<size_t>(Draw(0, 2)); }
  FakeAgent* Machine();
  std::string AnyJob();
  Micros Duration() {
    return Chance(0.4) ? Draw(100, 2000) * kMillisecond : Draw(2000, 45000) * kMillisecond;
  }

  // --- users ---
  std::string NewId() { return "job-" + std::to_string(100 + submitted_++); }
  void SubmitSpec(const JobSpec& spec);
  JobSpec OrdinaryJob();
  void SubmitFailingJob();
  void GrowPipelines();
  void SubmitLowPriorityFlood();
  void Cancel(const std::string& id, size_t node);
  void UsersAct();
  void PollAllNodes();

  void AddDependencies(JobSpec* spec);
  bool SubmitsPipelines() const {
    return mode_ == Mode::kPipelines || (mode_ == Mode::kUpgrade && world_.version_1_nodes.empty());
  }
  int MaxJobs() const { return mode_ == Mode::kPipelines ? 60 : 24; }

  // --- faults ---
  void PlanUpgrade();
  void BeginFault();
  void ScheduleEnd(const std::string& what, Micros time, std::function<void()> end);
  void TakeStoreDown(const std::string& what, Micros time);
  void StateCut(size_t n, Micros time);
  void MeshFault(Micros time);
  void EndNode(size_t n, Micros time);
  void FreezeNode(size_t n, Micros time);
  void Gap(size_t n, Micros time);
  void MachineFaults(Micros time);
  void LateBoots(Micros time);
  long Faults() const {
    return std::count_if(pending_actions_.begin(), pending_actions_.end(),
                         [](const PendingAction& due) { return due.fault; });
  }
  // Runs due actions: ends of faults, and users' actions.
  void RunPendingActions(bool all);

  // --- the end ---
  void CancelFailingJobs();
  void CheckAllServed();

  void Advance(Micros time);
  void LogAction(const std::string& what) {
    log_.push_back(std::to_string(world_.now / kMillisecond - 1000000) + " ms: " + what);
  }

  const Mode mode_;
  std::mt19937 rng_;
  World world_;
  std::map<std::string, JobSpec> specs_;
  int submitted_ = 0, ordinary_ = 0;
  bool flood_submitted_ = false;
  double late_writes_ = 0, late_commands_ = 0;
  int poll_storms_ = 0;  // currently active
  std::set<size_t> paused_;
  // Pending actions.
  struct PendingAction {
    Micros when;
    std::function<void()> run;
    bool fault;
  };
  std::vector<PendingAction> pending_actions_;
  std::vector<std::string> log_;
};

// Adds a team without a guarantee, but with a limit.
void AddGuestTeam(Json* facts) {
  (*facts)["teams"].push_back(
      {{"name", "guest"}, {"cpus", 0.0}, {"cpus_max", 48.0}, {"gpus", 0.0}, {"gpus_max", 0.0}});
}

void AddGuestTeamAndSmallLimits(Json* facts) {
  AddGuestTeam(facts);
  (*facts)["state"]["next"] = {{"write_rps", 40.0}, {"value_kb", 2.0}, {"txn_ops", 4}};
}

RandomFaults::RandomFaults(unsigned seed, Mode mode)
    : mode_(mode),
      rng_(seed),
      world_(3, mode == Mode::kOrdinary ? AddGuestTeam : AddGuestTeamAndSmallLimits) {
  if (mode == Mode::kUpgrade) world_.version_1_nodes = {0, 1, 2};
  world_.cloud.capacity = 200;
  for (int i = 0; i < 8; ++i) {
    world_.AddAgent("small", i % 3 == 0).zone = i % 2 == 0 ? "z1" : "z2";
  }
  world_.drop_call = [this](size_t node, const Call& call) {
    const bool write = call.dest == Dest::kState && call.target == "/commit";
    const bool command = call.dest == Dest::kAgent && call.method == "POST";
    if ((!write && !command) || !Chance(write ? late_writes_ : late_commands_)) return false;
    // Executed at once without an answer, or late, or never.
    const int kind = Draw(0, 3);
    if (kind != 0)
      world_.DeliverCallLater(node, call,
                              kind == 1 ? 2 * kMillisecond : Draw(2000, 12000) * kMillisecond);
    return true;
  };
}

void RandomFaults::RunSeed() {
  world_.Run(kStartupTime);
  if (mode_ == Mode::kUpgrade) PlanUpgrade();
  if (mode_ == Mode::kPipelines) {
    pending_actions_.push_back(
        {world_.now + Draw(20, 90) * kSecond, [this] { world_.ApplyAnnouncedLimits(); }, false});
  }
  for (int i = 0; i < 6; ++i) SubmitSpec(OrdinaryJob());
  const Micros end = world_.now + 150 * kSecond;
  while (world_.now < end) {
    Advance(Draw(50, 2500) * kMillisecond);
    if (Chance(0.5)) UsersAct();
    if (Chance(0.5) && Faults() < 5) BeginFault();
    RunPendingActions(false);
    if (!world_.violations().empty()) return;
  }
  RunPendingActions(true);
  world_.Run(20 * kSecond);  // longer than any delay of requests
  CancelFailingJobs();
  world_.Run(80 * kSecond);
  CheckAllServed();
}

std::string RandomFaults::ActionLog() const {
  std::string all;
  for (const std::string& line : log_) all += line + "\n";
  return all;
}

// Advances the time; during a poll storm all nodes are polled.
void RandomFaults::Advance(Micros time) {
  const Micros end = world_.now + time;
  while (world_.now < end) {
    if (poll_storms_ == 0) {
      world_.Run(end - world_.now);
      return;
    }
    PollAllNodes();
    world_.Run(std::min<Micros>(10 * kMillisecond, end - world_.now));
    RunPendingActions(false);
  }
}

// --- draws ------------------------------------------------------------------------

FakeAgent* RandomFaults::Machine() {
  std::vector<FakeAgent*> up;
  for (auto& [name, machine] : world_.agents) {
    if (!machine->dead && machine->lease_from <= world_.now) up.push_back(machine.get());
  }
  return up.empty() ? nullptr : up[static_cast<size_t>(Draw(0, static_cast<int>(up.size()) - 1))];
}

std::string RandomFaults::AnyJob() {
  auto it = specs_.begin();
  std::advance(it, Draw(0, static_cast<int>(specs_.size()) - 1));
  return it->first;
}

// --- users ------------------------------------------------------------------------

void RandomFaults::SubmitSpec(const JobSpec& spec) {
  specs_[spec.id] = spec;
  world_.Submit(Node(), spec);
}

JobSpec RandomFaults::OrdinaryJob() {
  ++ordinary_;
  const std::string id = NewId();
  const bool service = Chance(0.3);
  JobSpec spec = service ? World::Service(id, Draw(1, 4)) : World::Array(id, Draw(1, 6));
  if (Chance(0.4)) spec.team = "red";
  if (Chance(0.2)) spec.zone = Chance(0.5) ? "z1" : "z2";
  if (service && Chance(0.4) && spec.zone.empty()) spec.spread = true;
  if (!service) {
    spec.spot = Chance(0.7);
    spec.priority = Chance(0.3) ? Priority::kLow : Priority::kNormal;
    world_.SetRunTime(id, Draw(500, 25000) * kMillisecond);
    if (SubmitsPipelines()) AddDependencies(&spec);
  }
  return spec;
}

// Adds dependencies on accepted arrays in any state.
void RandomFaults::AddDependencies(JobSpec* spec) {
  for (int i = specs_.empty() ? 0 : Draw(0, 3); i > 0; --i) {
    const std::string id = AnyJob();
    const Users::TrackedJob* known = world_.users.Find(id);
    if (known == nullptr || known->accepted == 0 || known->spec.kind != JobKind::kArray) continue;
    spec->dependencies.push_back(id);
  }
  if (!spec->dependencies.empty())
    LogAction(spec->id + " depends on " + spec->dependencies.front());
}

// A job that fails on every machine, which its user cancels after a while.
void RandomFaults::SubmitFailingJob() {
  JobSpec spec = OrdinaryJob();
  const std::string id = spec.id;
  world_.failing_jobs.insert(id);
  LogAction("mistaken " + id);
  SubmitSpec(spec);
  const size_t node = Node();
  pending_actions_.push_back(
      {world_.now + Draw(5, 60) * kSecond, [this, id, node] { Cancel(id, node); }, false});
}

// Adds stages, and sometimes cancels a job with dependents on one node while the others are polled
// about the rest.
void RandomFaults::GrowPipelines() {
  for (int i = Draw(0, 2); i > 0 && ordinary_ < MaxJobs(); --i) SubmitSpec(OrdinaryJob());
  if (!Chance(0.2)) return;
  const std::string head = AnyJob();
  Cancel(head, Node());
  for (const auto& [id, spec] : specs_) {
    const auto& names = spec.dependencies;
    if (std::find(names.begin(), names.end(), head) == names.end()) continue;
    for (size_t node = 0; node < 3; ++node) world_.SendRequest(node, "GET", "/api/jobs/" + id);
  }
}

// One huge low-priority array and many single tasks.
void RandomFaults::SubmitLowPriorityFlood() {
  flood_submitted_ = true;
  JobSpec huge = World::Array(NewId(), Draw(100, 300));
  huge.team = "guest";
  huge.task_resources = {2000, 0, 4000};
  huge.priority = Priority::kLow;
  world_.SetRunTime(huge.id, Draw(500, 3000) * kMillisecond);
  const int small = Draw(10, 30);
  LogAction("guests: " + huge.id + " of " + std::to_string(huge.tasks) + " tasks, and " +
            std::to_string(small) + " of one");
  SubmitSpec(huge);
  for (int i = 0; i < small; ++i) {
    JobSpec spec = World::Array(NewId(), 1);
    spec.team = "guest";
    spec.spot = Chance(0.5);
    world_.SetRunTime(spec.id, Draw(500, 5000) * kMillisecond);
    SubmitSpec(spec);
  }
}

void RandomFaults::Cancel(const std::string& id, size_t node) {
  LogAction("cancel " + id + " at " + std::to_string(node));
  world_.SendRequest(node, "POST", "/api/jobs/" + id + "/abort");
}

void RandomFaults::UsersAct() {
  if (ordinary_ < MaxJobs() && Chance(0.3)) SubmitSpec(OrdinaryJob());
  if (ordinary_ < MaxJobs() && Chance(0.06)) SubmitFailingJob();
  if (mode_ == Mode::kPipelines) GrowPipelines();
  if (!flood_submitted_ && Chance(0.04)) SubmitLowPriorityFlood();
  for (int i = 0; i < 3; ++i) world_.SendRequest(Node(), "GET", "/api/jobs/" + AnyJob());
  if (Chance(0.3)) world_.Submit(Node(), specs_[AnyJob()]);  // repeats a submission
  if (Chance(0.15)) world_.SendRequest(Node(), "GET", "/api/jobs/job-99999");
  if (Chance(0.25)) Cancel(AnyJob(), Node());
}

// Polls each node once, about open, finished and unknown jobs.
void RandomFaults::PollAllNodes() {
  for (size_t node = 0; node < 3; ++node) {
    const std::string id = Chance(0.3) ? "job-" + std::to_string(90000 + Draw(0, 999)) : AnyJob();
    world_.SendRequest(node, "GET", "/api/jobs/" + id);
  }
}

// --- faults -----------------------------------------------------------------------

// Ends by itself, or with all others.
void RandomFaults::ScheduleEnd(const std::string& what, Micros time, std::function<void()> end) {
  LogAction(what + " for " + std::to_string(time / kMillisecond) + " ms");
  pending_actions_.push_back({world_.now + time, std::move(end), true});
}

// Each node restarts once with the new version; the limits apply after the last.
void RandomFaults::PlanUpgrade() {
  Micros when = world_.now + Draw(2, 10) * kSecond;
  for (size_t node = 0; node < 3; ++node) {
    pending_actions_.push_back({when,
                                [this, node] {
                                  LogAction("upgrades node " + std::to_string(node));
                                  world_.version_1_nodes.erase(node);
                                  EndNode(node, Draw(100, 5000) * kMillisecond);
                                },
                                false});
    when += Draw(1, 20) * kSecond;
  }
  when += Draw(0, 20) * kSecond;
  pending_actions_.push_back({when, [this] { world_.ApplyAnnouncedLimits(); }, false});
}

void RandomFaults::BeginFault() {
  const size_t n = Node();
  const std::string at = " node " + std::to_string(n);
  const Micros time = Duration();
  switch (Draw(0, 20)) {
    case 0: TakeStoreDown("state down", time); break;
    case 1:
    case 2:
      world_.refused_by_store.insert(n);
      ScheduleEnd("state refuses" + at, time, [this, n] { world_.refused_by_store.erase(n); });
      break;
    case 3: StateCut(n, time); break;
    case 4:
      world_.partitioned_from_agents.insert(n);
      ScheduleEnd("workers cut from" + at, time,
                  [this, n] { world_.partitioned_from_agents.erase(n); });
      break;
    case 5: MeshFault(time); break;
    case 6:
    case 7: EndNode(n, Chance(0.5) ? Draw(20, 900) * kMillisecond : time / 3); break;
    case 8:
      for (size_t i = 0; i < 3; ++i) EndNode(i, Draw(20, 15000) * kMillisecond);
      break;
    case 9: FreezeNode(n, time / 2); break;
    case 10:
      late_writes_ = 0.3;
      ScheduleEnd("late writes", time, [this] { late_writes_ = 0; });
      break;
    case 11:
      late_commands_ = 0.5;
      ScheduleEnd("late commands", time, [this] { late_commands_ = 0; });
      break;
    case 12:
      world_.store_latency = Draw(50, 1400) * kMillisecond;
      ScheduleEnd("slow state", time, [this] { world_.store_latency = 0; });
      break;
    case 13:
    case 14: Gap(n, time); break;
    case 15: LateBoots(time); break;
    case 16:
    case 17:
      ++poll_storms_;
      ScheduleEnd("storm of questions", Draw(1000, 6000) * kMillisecond,
                  [this] { --poll_storms_; });
      break;
    default: MachineFaults(time / 2);
  }
}

void RandomFaults::TakeStoreDown(const std::string& what, Micros time) {
  world_.store_down = true;
  ScheduleEnd(what, time, [this] {
    world_.store_down = false;
    world_.state.Refresh(world_.now);
  });
}

void RandomFaults::StateCut(size_t n, Micros time) {
  const std::string at = " node " + std::to_string(n);
  world_.partitioned_from_store.insert(n);
  ScheduleEnd("state cut from" + at, time, [this, n] { world_.partitioned_from_store.erase(n); });
  if (!Chance(0.5)) return;
  world_.partitioned_from_peers.insert(n);
  ScheduleEnd("mesh cut from" + at, time, [this, n] { world_.partitioned_from_peers.erase(n); });
}

void RandomFaults::MeshFault(Micros time) {
  if (Chance(0.5)) {
    world_.delay_peer_messages = true;
    ScheduleEnd("mesh held", time, [this] { world_.DeliverPeerMessages(); });
    return;
  }
  world_.peer_network_down = true;
  ScheduleEnd("mesh down", time, [this] { world_.peer_network_down = false; });
}

void RandomFaults::EndNode(size_t n, Micros time) {
  if (!world_.alive(n)) return;
  world_.Kill(n);
  ScheduleEnd("ends node " + std::to_string(n), time, [this, n] { world_.Start(n); });
}

void RandomFaults::FreezeNode(size_t n, Micros time) {
  if (!world_.alive(n) || paused_.count(n) != 0) return;
  world_.Pause(n);
  paused_.insert(n);
  ScheduleEnd("stands still node " + std::to_string(n), time, [this, n] {
    paused_.erase(n);
    if (world_.alive(n)) world_.Resume(n);
  });
}

// The leader is refused, jobs are cancelled through others, partly without answers, then the store
// is down.
void RandomFaults::Gap(size_t n, Micros time) {
  world_.refused_by_store.insert(n);
  ScheduleEnd("gap: state refuses node " + std::to_string(n), time,
              [this, n] { world_.refused_by_store.erase(n); });
  if (world_.store_down) return;
  late_writes_ = 0.6;
  for (int i = 0; i < 6; ++i) {
    const std::string id = AnyJob();
    Cancel(id, (n + 1) % 3);
    world_.Run(Draw(20, 300) * kMillisecond);
    for (size_t node = 0; node < 3; ++node) world_.SendRequest(node, "GET", "/api/jobs/" + id);
  }
  late_writes_ = 0;
  TakeStoreDown("gap: state down", Draw(20, 50) * kSecond);
}

void RandomFaults::MachineFaults(Micros time) {
  const int kind = Draw(0, 4);
  FakeAgent* machine = Machine();
  for (int i = Draw(1, 4); i > 0 && machine != nullptr; --i, machine = Machine()) {
    bool FakeAgent::*what[] = {&FakeAgent::hung, &FakeAgent::silent, &FakeAgent::inbound_blocked,
                               &FakeAgent::outbound_blocked};
    static constexpr const char* kNames[] = {"hangs", "is cut off", "is deaf", "is mute"};
    if (kind == 4) {
      for (int copies = 0; copies < 4; ++copies) {
        world_.DelayHeartbeat(machine, Node(), Draw(100, 20000) * kMillisecond);
      }
      LogAction("copies of reports of " + machine->name);
      continue;
    }
    machine->*what[kind] = true;
    ScheduleEnd(machine->name + " " + kNames[kind], time,
                [machine, field = what[kind]] { machine->*field = false; });
  }
}

// Machines rented meanwhile boot late or never.
void RandomFaults::LateBoots(Micros time) {
  world_.cloud.boot_time = [this] {
    return Chance(0.3) ? 100000 * kSecond : Draw(5, 40) * kSecond;
  };
  ScheduleEnd("late boots", time, [this] { world_.cloud.boot_time = nullptr; });
}

void RandomFaults::RunPendingActions(bool all) {
  auto before = std::move(pending_actions_);
  pending_actions_.clear();
  for (PendingAction& due : before) {
    if (all || due.when <= world_.now) {
      due.run();
    } else {
      pending_actions_.push_back(std::move(due));
    }
  }
}

// --- the end ----------------------------------------------------------------------

// After the faults the users of failing jobs cancel them.
void RandomFaults::CancelFailingJobs() {
  for (const std::string& id : world_.failing_jobs) {
    const Users::TrackedJob* known = world_.users.Find(id);
    auto answer = world_.SendUntilFinal(Node(), "POST", "/api/jobs/" + id + "/abort");
    // It was not accepted, or the acceptance was lost.
    if (answer.status == 404 && (known == nullptr || known->accepted == 0)) continue;
    EXPECT_EQ(answer.status, 200) << id;
    EXPECT_EQ(answer.body.value("status", "?"), "cancelled") << id;
  }
}

// Long after the faults every accepted job is known, finished or running.
void RandomFaults::CheckAllServed() {
  for (const auto& [id, known] : world_.jobs()) {
    if (known.accepted == 0) continue;
    const size_t node = Node();
    auto answer = world_.SendUntilFinal(node, "GET", "/api/jobs/" + id);
    EXPECT_EQ(answer.status, 200) << id << " at " << node;
    const std::string status = answer.body.value("status", "?");
    const auto dependencies = world_.users.DependenciesOf(id);
    const bool waits = std::any_of(dependencies.begin(), dependencies.end(),
                                   [this, node](const Users::TrackedJob* dependency) {
                                     return Status(world_, node, dependency->spec.id) != "done";
                                   });
    if (waits && status == "queued") continue;
    const bool service = known.spec.kind == JobKind::kService;
    if (status == "cancelled" || status == "done") {
      EXPECT_EQ(world_.CountTasks(id), 0) << id << " " << status;
    } else if (service) {
      EXPECT_EQ(world_.CountTasks(id), known.spec.tasks) << id << " " << status;
    } else {
      EXPECT_GT(world_.CountTasks(id), 0) << id << " waits: " << status;
    }
  }
}

// Other seeds: TROUTLINK_SEEDS=first:last.
void PlaySeeds(RandomFaults::Mode mode) {
  unsigned first = 1, last = 20;
  if (const char* seeds = std::getenv("TROUTLINK_SEEDS")) {
    ASSERT_EQ(std::sscanf(seeds, "%u:%u", &first, &last), 2);
  }
  for (unsigned seed = first; seed <= last; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    RandomFaults faults(seed, mode);
    faults.RunSeed();
    EXPECT_NO_VIOLATIONS(faults.world());
    if (testing::Test::HasFailure()) FAIL() << faults.ActionLog();
  }
}

TEST(FaultCombinations, AnyFaultsTogetherBreakNoRule) { PlaySeeds(RandomFaults::Mode::kOrdinary); }

TEST(FaultCombinations, AnyFaultsDuringAnUpgradeWithPipelinesBreakNoRule) {
  PlaySeeds(RandomFaults::Mode::kUpgrade);
}

TEST(FaultCombinations, AnyFaultsWithPipelinesBreakNoRule) {
  PlaySeeds(RandomFaults::Mode::kPipelines);
}

}  // namespace
}  // namespace troutlink::test
