// Scheduling cycles: each gathers the decisions of a shard into one commit; changes that arrive
// meanwhile are handled by the next cycle.
#include <algorithm>

#include "core/core.h"
#include "core/scheduler/plan.h"
#include "core/scheduler/quota.h"

namespace troutlink {

namespace {
constexpr Micros kIdleCycleInterval = 250 * kMillisecond;
constexpr Micros kMinCycleInterval = 15 * kMillisecond;
constexpr double kMicrosPerItem = 3;     // per machine or attempt
constexpr double kCycleCpuShare = 0.25;  // share of the node's CPU limit
constexpr int64_t kProductionIntervalDivisor =
    3;                                      // production work shortens the interval by this factor
constexpr size_t kMaxDoneJobsPerCycle = 8;  // jobs per cycle
constexpr int kWritesBesideDoneJobs = 4;    // writes of the transaction left for the rest
constexpr Micros kStateLogInterval = 5 * kSecond;
}  // namespace

Core::JobExecution* Core::FindExecution(const std::string& job) {
  auto it = executions_.find(job);
  return it == executions_.end() ? nullptr : &it->second;
}

void Core::LoadExecution(int shard_id, const std::string& id, const JobEntry& entry) {
  if (executions_.count(id) != 0) return;
  JobExecution& execution = executions_[id];
  execution.shard_id = shard_id;
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (entry.record.spec.priority == Priority::kProduction && shard.cycle.conflicts == 0) {
    shard.cycle.not_before =
        std::min(shard.cycle.not_before,
                 shard.cycle.cycle_started_at + CycleInterval(shard) / kProductionIntervalDivisor);
  }
  execution.tasks.assign(static_cast<size_t>(entry.record.spec.tasks), kWaiting);
  const Progress& progress = shards_[static_cast<size_t>(shard_id)].replica.progress;
  auto it = progress.find(id);
  if (it != progress.end() && entry.record.spec.kind != JobKind::kService) {
    for (int task : it->second) {
      if (static_cast<size_t>(task) < execution.tasks.size() &&
          execution.tasks[static_cast<size_t>(task)] != kDone) {
        execution.tasks[static_cast<size_t>(task)] = kDone;
        ++execution.done;
      }
    }
  }
}

// Reconciles attempts, tasks and machines in memory with the assignment table.
void Core::ReconcileShard(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  ++sync_generation_;
  for (auto& [id, execution] : executions_) {
    if (execution.shard_id == shard_id) ClearAssignedTasks(&execution);
  }
  for (MachineUsage& usage : shard.usage.machines) {
    AgentState& agent = machines_[usage.machine->name];
    usage.agent = &agent;
    if (agent.assigned_epoch != shard.leadership.epoch)
      MachineJoined(now, shard, *usage.machine, &agent);
    ReconcileAttempts(now, shard_id, &usage);
  }
  std::erase_if(attempts_, [&](const auto& item) {
    return item.second.shard_id == shard_id && item.second.sync_generation != sync_generation_;
  });
  instance_returns_.DropConfirmed(
      [this](const std::string& name) { return replica_.ShardOfMachine(name) >= 0; });
}

void Core::ClearAssignedTasks(JobExecution* execution) {
  for (int task : execution->placed_tasks) {
    uint8_t& state = execution->tasks[static_cast<size_t>(task)];
    if (state != kPlaced) continue;
    state = kWaiting;
    execution->first_waiting_task = std::min(execution->first_waiting_task, task);
  }
  execution->placed_tasks.clear();
  execution->placed = 0;
}

// Handles a machine transferred to this shard after the election. The transfer's own revision gives
// its fencing token, as the machine may have been here under an older one.
void Core::MachineJoined(Micros now, const Shard& shard, const AssignedMachine& machine,
                         AgentState* agent) {
  agent->assigned_epoch = shard.leadership.epoch;
  auto chunk = shard.replica.chunks.find(shard.replica.assignments.ChunkOfMachine(machine.name));
  uint64_t revision = shard.leadership.epoch;
  if (chunk != shard.replica.chunks.end()) revision = std::max(revision, chunk->second.version);
  agent->fencing_token = std::max(agent->fencing_token, TokenForEpoch(revision));
  agent->required_token = std::max(agent->required_token, TokenForEpoch(revision));
  agent->observed_since = now;
  agent->idle_since = 0;
  agent->declared_lost = agent->consolidating = false;
  instance_returns_.ForgetInFlight(machine.name);
  agent->last_reply_commands.clear();
  agent->ignored_replies = agent->lease_losses = 0;
  agent->probe_pending = true;
  if (agent->addr.empty()) agent->addr = machine.addr;
}

// Marks the tasks of a machine as placed, and caches pointers to attempts and jobs for the cycles.
void Core::ReconcileAttempts(Micros now, int shard_id, MachineUsage* usage) {
  usage->slots.clear();
  for (const Attempt& attempt : usage->machine->attempts) {
    AttemptState& attempt_state = attempts_[attempt];
    if (attempt_state.machine.empty()) {
      attempt_state.machine = usage->machine->name;
      attempt_state.shard_id = shard_id;
      attempt_state.placed_at = now;
    }
    attempt_state.sync_generation = sync_generation_;
    usage->slots.push_back({&attempt_state, jobs_.Find(attempt.job)});
    if (attempt_state.terminated) continue;
    JobExecution* execution = FindExecution(attempt.job);
    if (execution == nullptr || static_cast<size_t>(attempt.task) >= execution->tasks.size())
      continue;
    uint8_t& state = execution->tasks[static_cast<size_t>(attempt.task)];
    if (state != kWaiting) continue;
    state = kPlaced;
    ++execution->placed;
    execution->placed_tasks.push_back(attempt.task);
  }
}

bool Core::IsSchedulable(Micros now, const AssignedMachine& machine,
                         const AgentState& agent) const {
  if (machine.draining || agent.declared_lost || agent.reported_failed || agent.eviction_at != 0 ||
      agent.consolidating)
    return false;
  if (agent.incarnation == 0 || now < agent.unschedulable_until ||
      agent.ignored_replies >= kMaxIgnoredReplies)
    return false;
  if (now - agent.last_heard > 2 * settings_.heartbeat_period + kSecond) return false;
  return !health_.Unhealthy(machine.name);
}

// Returns the machine as a candidate with no task on it.
CandidateMachine Core::MakeCandidate(Micros now, const AssignedMachine& machine) const {
  CandidateMachine out;
  out.name = machine.name;
  out.type = machine.type;
  out.zone = machine.zone;
  out.spot = machine.spot;
  out.tail_job = machine.tail_job;
  const MachineType* type = machine_types_.Find(machine.type);
  if (type != nullptr) {
    out.size = out.free = type->size;
    out.fetch_gb_per_s = type->fetch_gb_per_s;
  }
  auto agent = machines_.find(machine.name);
  if (agent == machines_.end()) return out;
  out.usable = type != nullptr && IsSchedulable(now, machine, agent->second);
  out.cached = &agent->second.images;
  if (!out.tail_job.empty() && agent->second.first_heartbeat_at != 0)
    out.held = now - agent->second.first_heartbeat_at;
  return out;
}

// Initialises the plan from the assignment table without terminated attempts. This pass over all
// attempts dominates the cost of a cycle and therefore uses cached pointers.
void Core::BeginPlan(Micros now, int shard_id, Plan* plan) const {
  const Shard& shard = shards_[static_cast<size_t>(shard_id)];
  AssignmentTable& assignments = plan->assignments;
  assignments.next_number = shard.replica.assignments.next_number;
  assignments.rentals = shard.replica.assignments.rentals;
  assignments.shares = shard.replica.assignments.shares;
  assignments.tail_grants = shard.replica.assignments.tail_grants;
  std::erase_if(assignments.tail_grants,
                [this](const auto& grant) { return executions_.count(grant.first) == 0; });
  plan->machines.reserve(shard.usage.machines.size() + 16);
  for (const MachineUsage& usage : shard.usage.machines) {
    const AssignedMachine& machine = *usage.machine;
    const bool may = !plan->partial || plan->cleanup_chunks.count(
                                           plan->assignments.ChunkOfMachine(machine.name)) != 0;
    if (may && instance_returns_.Confirmed(machine.name)) {
      plan->MarkChanged(machine.name);
      continue;
    }
    AssignedMachine& copy =
        assignments.machines
            .emplace_hint(assignments.machines.end(), machine.name, AssignedMachine())
            ->second;
    copy.name = machine.name;
    copy.addr = may && usage.agent != nullptr && !usage.agent->addr.empty() ? usage.agent->addr
                                                                            : machine.addr;
    copy.type = machine.type;
    copy.zone = machine.zone;
    copy.spot = machine.spot;
    copy.draining = machine.draining;
    copy.tail_job = machine.tail_job;
    copy.attempts.reserve(machine.attempts.size() + 4);
    CandidateMachine& candidate = plan->machines.emplace_back(MakeCandidate(now, machine));
    for (size_t i = 0; i < machine.attempts.size(); ++i) {
      const MachineUsage::Slot slot =
          i < usage.slots.size() ? usage.slots[i] : MachineUsage::Slot();
      const bool terminated = slot.attempt != nullptr && slot.attempt->terminated;
      if (terminated && may) plan->MarkChanged(machine.name);
      if (!terminated || !may) copy.attempts.push_back(machine.attempts[i]);
      if (terminated) continue;
      candidate.AddTasks(machine.attempts[i].job, 1);
      if (slot.job == nullptr) continue;
      const JobSpec& spec = slot.job->record.spec;
      candidate.free -= spec.task_resources;
      if (spec.priority < Priority::kProduction) candidate.preemptible += spec.task_resources;
      QuotaShare& team = plan->usage.teams[spec.team];
      team.cpus += spec.task_resources.cpus;
      team.gpus += spec.task_resources.gpus;
      if (slot.attempt != nullptr && slot.attempt->state == TaskState::kFetching &&
          !spec.image.empty() && !candidate.HasOrFetches(spec.image)) {
        candidate.fetching.push_back(spec.image);
      }
    }
  }
}

Core::ResourceUsage Core::TotalUsageOf(const AssignmentTable& assignments) const {
  ResourceUsage usage;
  for (const auto& [name, machine] : assignments.machines) {
    const std::string* last_job = nullptr;
    const JobEntry* job = nullptr;
    for (const Attempt& attempt : machine.attempts) {
      ++usage.jobs[attempt.job];
      if (last_job == nullptr || *last_job != attempt.job) job = jobs_.Find(attempt.job);
      last_job = &attempt.job;
      if (job == nullptr) continue;
      QuotaShare& team = usage.teams[job->record.spec.team];
      team.cpus += job->record.spec.task_resources.cpus;
      team.gpus += job->record.spec.task_resources.gpus;
    }
  }
  return usage;
}

int64_t Core::SteadyHeadroom(int shard_id) const {
  int64_t services = 0;
  for (const auto& [id, execution] : executions_) {
    if (execution.shard_id != shard_id) continue;
    const JobEntry* job = jobs_.Find(id);
    if (job != nullptr && job->record.spec.kind == JobKind::kService) {
      services += job->record.spec.task_resources.cpus * job->record.spec.tasks;
    }
  }
  if (services == 0) return 0;
  // Longer boot times need more headroom.
  Micros boot = 3600 * kSecond;
  for (const MachineType& type : machine_types_.types()) boot = std::min(boot, type.boot);
  double scale = std::max(1.0, ToSeconds(boot) / 20.0);
  return std::max(
      static_cast<int64_t>(1000 * settings_.operator_settings.service_headroom_cpus() * scale),
      static_cast<int64_t>(settings_.operator_settings.service_headroom_share() *
                           static_cast<double>(services)));
}

bool Core::SpreadServices(int shard_id) const {
  for (const auto& [id, execution] : executions_) {
    if (execution.shard_id != shard_id) continue;
    const JobEntry* job = jobs_.Find(id);
    if (job != nullptr && job->record.spec.kind == JobKind::kService && job->record.spec.spread) {
      return true;
    }
  }
  return false;
}

// The cost of a cycle grows with the number of machines and attempts. The interval bounds the CPU
// share that cycles use.
Micros Core::CycleInterval(const Shard& shard) const {
  double items =
      static_cast<double>(shard.replica.assignments.machines.size() + shard.usage.attempts);
  return kMinCycleInterval +
         static_cast<Micros>(items * kMicrosPerItem / (kCycleCpuShare * settings_.cores));
}

void Core::RunSchedulingCycles(Micros now) {
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    Shard& shard = shards_[static_cast<size_t>(shard_id)];
    if (!shard.leadership.is_leader || shard.leadership.election_in_flight ||
        shard.cycle.committing || shard.leadership.failback_in_flight ||
        now < shard.cycle.not_before || machine_types_.empty()) {
      continue;
    }
    const bool due = shard.cycle.dirty || now - shard.cycle.last_cycle_at > kIdleCycleInterval;
    if (!due) continue;
    if (MaintainTable(now, shard_id) || CommitJobRecords(now, shard_id)) {
      shard.cycle.dirty = true;
    } else {
      RunCycle(now, shard_id);
    }
  }
}

void Core::RunCycle(Micros now, int shard_id) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  ++counters_.cycles;
  shard.cycle.dirty = false;
  shard.cycle.last_cycle_at = now;
  shard.cycle.cycle_started_at = now;
  shard.cycle.not_before = now + CycleInterval(shard);
  Plan plan;
  plan.assignments.form = shard.replica.assignments.form;
  plan.assignments.chunks = shard.replica.assignments.chunks;
  SelectChunksToChange(&shard, &plan);
  BeginPlan(now, shard_id, &plan);
  std::set<std::string> service_images;
  for (const std::string& id : jobs_.open()) {
    const JobSpec& spec = jobs_.At(id).record.spec;
    if (spec.kind == JobKind::kService) service_images.insert(spec.image);
  }
  plan.index = CandidateIndex(service_images, &plan.machines);
  plan.headroom = SteadyHeadroom(shard_id);
  PlanAdoption(now, shard_id, &plan);
  PlanTailAcceleration(now, shard_id, &plan);
  PlanPlacement(now, shard_id, &plan);
  PlanJobMoves(now, shard_id, &plan);
  PlanRentals(now, shard_id, &plan);
  PlanReturns(now, shard_id, &plan);
  Consolidate(now, shard_id, &plan);
  // With the compact form, CommitJobRecords() commits these.
  if (shard.replica.assignments.form == TableForm::kOriginal) {
    FindDoneJobs(shard_id, &plan);
    plan.progress = shard.cycle.progress_dirty && now >= shard.cycle.progress_at;
  }
  if (now >= shard.cycle.next_state_log) {
    shard.cycle.next_state_log = now + kStateLogInterval;
    LogShardState(shard_id, plan);
    LogWaitingJobs(now, shard_id);
  }
  Commit(now, shard_id, &plan);
}

void Core::FindDoneJobs(int shard_id, Plan* plan) const {
  for (const auto& [id, execution] : executions_) {
    if (execution.shard_id != shard_id || execution.done < static_cast<int>(execution.tasks.size()))
      continue;
    if (static_cast<int>(plan->done_jobs.size()) + kWritesBesideDoneJobs >=
            cluster_version_.limits().txn_ops ||
        plan->done_jobs.size() >= kMaxDoneJobsPerCycle) {
      return;
    }
    plan->done_jobs.push_back(id);
    plan->urgent = true;
  }
}

// Logs capacity and backlog of the shard at debug level.
void Core::LogShardState(int shard_id, const Plan& plan) {
  int usable = 0, waiting = 0, services = 0;
  int64_t steady = 0, spot = 0, free_steady = 0, free_spot = 0, wanted = 0;
  for (const CandidateMachine& machine : plan.machines) {
    if (!machine.usable) continue;
    ++usable;
    (machine.spot ? spot : steady) += machine.size.cpus;
    (machine.spot ? free_spot : free_steady) += machine.free.cpus;
  }
  for (const Plan::UnplacedTasks& unplaced : plan.unplaced) {
    (unplaced.spec->kind == JobKind::kService ? services : waiting) += unplaced.tasks;
    wanted += unplaced.tasks * unplaced.spec->task_resources.cpus;
  }
  const Shard& shard = shards_[static_cast<size_t>(shard_id)];
  effects_.Log(LogLine::Level::kDebug,
               "shard " + std::to_string(shard_id) + ": " +
                   std::to_string(plan.assignments.machines.size()) + " machines, usable " +
                   std::to_string(usable) + ", chunks " + std::to_string(plan.assignments.chunks) +
                   ", attempts " + std::to_string(shard.usage.attempts) + ", cpus steady " +
                   std::to_string(free_steady / 1000) + "/" + std::to_string(steady / 1000) +
                   " spot " + std::to_string(free_spot / 1000) + "/" + std::to_string(spot / 1000) +
                   " free, unplaced " + std::to_string(waiting) + " array and " +
                   std::to_string(services) + " service tasks of " + std::to_string(wanted / 1000) +
                   " cpus, " + std::to_string(plan.assignments.rentals.size()) +
                   " open rental requests, " + std::to_string(write_budget_.tokens()) +
                   " write tokens, " + std::to_string(cloud_budget_.tokens()) +
                   " cloud call tokens");
  for (const auto& [team_name, tasks] : plan.quota_limited_tasks) {
    const Team* team = settings_.FindTeam(team_name);
    auto used = plan.usage.teams.find(team_name);
    if (team == nullptr || used == plan.usage.teams.end()) continue;
    const QuotaShare share =
        QuotaShareOf(plan.assignments, *team, shard_id, settings_.shard_count());
    effects_.Log(LogLine::Level::kDebug,
                 "quota of team " + team_name + " holds back " + std::to_string(tasks) +
                     " tasks in shard " + std::to_string(shard_id) + ": " +
                     std::to_string(used->second.cpus / 1000) + " of " +
                     std::to_string(share.cpus / 1000) + " cpus used in this shard, " +
                     std::to_string(team->cpus_max / 1000) + " in all shards");
  }
  // Counters of this process since its start; the log keeps them after it ends.
  const ApiCounters& api = user_api_.counters();
  effects_.Log(LogLine::Level::kDebug,
               "totals: starts " + std::to_string(counters_.starts) + ", tails " +
                   std::to_string(counters_.tails) + ", tail machines " +
                   std::to_string(counters_.tail_machines) + ", overdue tasks moved " +
                   std::to_string(counters_.overdue_tasks) + ", preempted " +
                   std::to_string(counters_.preempted) + ", consolidated " +
                   std::to_string(counters_.consolidated) + ", accepted " +
                   std::to_string(api.accepted) + ", puts " +
                   std::to_string(counters_.puts + api.record_writes) + ", commits " +
                   std::to_string(counters_.commits) + ", conflicts " +
                   std::to_string(counters_.commit_conflicts));
}

// Attempt numbers are unique over all shards, so that a job can move between them.
uint64_t Core::NextNumber(int shard_id, Plan* plan) const {
  return plan->assignments.next_number++ * shards_.size() + static_cast<uint64_t>(shard_id);
}

}  // namespace troutlink
