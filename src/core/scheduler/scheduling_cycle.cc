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
constexpr double kCostPerItem = 3;       // per machine or attempt
constexpr double kCycleCpuShare = 0.25;  // share of the node's CPU limit
constexpr int64_t kCriticalSpeedup = 3;  // production work shortens the interval by this factor
constexpr size_t kMaxDone = 8;           // jobs per cycle
constexpr int kWritesBesideDone = 4;     // writes of the transaction left for the rest
constexpr Micros kStateLogPeriod = 5 * kSecond;
}  // namespace

Core::JobExecution* Core::FindExecution(const std::string& job) {
  auto it = executions_.find(job);
  return it == executions_.end() ? nullptr : &it->second;
}

void Core::LoadExecution(int shard_id, const std::string& id, const JobEntry& entry) {
  if (executions_.count(id) != 0) return;
  JobExecution& run = executions_[id];
  run.shard_id = shard_id;
  run.last_start = node_health_.last_tick();
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (entry.record.spec.priority == Priority::kProduction && shard.cycle.conflicts == 0) {
    shard.cycle.not_before =
        std::min(shard.cycle.not_before,
                 shard.cycle.cycle_started_at + CycleInterval(shard) / kCriticalSpeedup);
  }
  run.tasks.assign(static_cast<size_t>(entry.record.spec.tasks), kWaiting);
  const Progress& progress = shards_[static_cast<size_t>(shard_id)].replica.progress;
  auto it = progress.find(id);
  if (it != progress.end() && entry.record.spec.kind != JobKind::kService) {
    for (int task : it->second) {
      if (static_cast<size_t>(task) < run.tasks.size() &&
          run.tasks[static_cast<size_t>(task)] != kDone) {
        run.tasks[static_cast<size_t>(task)] = kDone;
        ++run.done;
      }
    }
  }
}

// Reconciles attempts, tasks and machines in memory with the assignment table.
void Core::ReconcileShard(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  ++sync_generation_;
  for (auto& [id, run] : executions_) {
    if (run.shard_id == shard_id) ClearAssignedTasks(&run);
  }
  for (MachineUsage& use : shard.usage.machines) {
    AgentState& info = machines_[use.machine->name];
    use.info = &info;
    if (info.assigned_epoch != shard.leadership.epoch)
      MachineJoined(now, shard, *use.machine, &info);
    ReconcileAttempts(now, shard_id, &use);
  }
  std::erase_if(attempts_, [&](const auto& item) {
    return item.second.shard_id == shard_id && item.second.sync_generation != sync_generation_;
  });
  instance_returns_.DropConfirmed(
      [this](const std::string& name) { return replica_.ShardOfMachine(name) >= 0; });
}

void Core::ClearAssignedTasks(JobExecution* run) {
  for (int task : run->placed_list) {
    uint8_t& state = run->tasks[static_cast<size_t>(task)];
    if (state != kPlaced) continue;
    state = kWaiting;
    run->hint = std::min(run->hint, task);
  }
  run->placed_list.clear();
  run->placed = 0;
}

// Handles a machine transferred to this shard after the election. The transfer's own revision gives
// its fencing token, as the machine may have been here under an older one.
void Core::MachineJoined(Micros now, const Shard& shard, const AssignedMachine& machine,
                         AgentState* info) {
  info->assigned_epoch = shard.leadership.epoch;
  auto chunk = shard.replica.chunks.find(shard.replica.assignments.ChunkOfMachine(machine.name));
  uint64_t revision = shard.leadership.epoch;
  if (chunk != shard.replica.chunks.end()) revision = std::max(revision, chunk->second.version);
  info->fencing_token = std::max(info->fencing_token, TokenForEpoch(revision));
  info->required_token = std::max(info->required_token, TokenForEpoch(revision));
  info->since = now;
  info->idle_since = 0;
  info->declared_lost = info->drain = false;
  instance_returns_.Restart(machine.name);
  info->ordered.clear();
  info->ignored_replies = info->lease_losses = 0;
  info->probe = true;
  if (info->addr.empty()) info->addr = machine.addr;
}

// Marks the tasks of a machine as placed, and caches pointers to attempts and jobs for the cycles.
void Core::ReconcileAttempts(Micros now, int shard_id, MachineUsage* use) {
  use->slots.clear();
  for (const Attempt& attempt : use->machine->attempts) {
    AttemptState& info = attempts_[attempt];
    if (info.machine.empty()) {
      info.machine = use->machine->name;
      info.shard_id = shard_id;
      info.placed_at = now;
    }
    info.sync_generation = sync_generation_;
    use->slots.push_back({&info, jobs_.Find(attempt.job)});
    if (info.gone) continue;
    JobExecution* run = FindExecution(attempt.job);
    if (run == nullptr || static_cast<size_t>(attempt.task) >= run->tasks.size()) continue;
    uint8_t& state = run->tasks[static_cast<size_t>(attempt.task)];
    if (state != kWaiting) continue;
    state = kPlaced;
    ++run->placed;
    run->placed_list.push_back(attempt.task);
  }
}

bool Core::IsSchedulable(Micros now, const AssignedMachine& m, const AgentState& info) const {
  if (m.draining || info.declared_lost || info.failed || info.notice_end != 0 || info.drain)
    return false;
  if (info.session == 0 || now < info.avoid_until || info.ignored_replies >= kMaxIgnoredReplies)
    return false;
  if (now - info.heard > 2 * settings_.heartbeat_period + kSecond) return false;
  return !health_.Unhealthy(m.name);
}

// Returns the machine as a candidate with no task on it.
CandidateMachine Core::EmptyMachine(Micros now, const AssignedMachine& m) const {
  CandidateMachine out;
  out.name = m.name;
  out.type = m.type;
  out.zone = m.zone;
  out.spot = m.spot;
  out.helps = m.helps;
  const MachineType* type = machine_types_.Find(m.type);
  if (type != nullptr) {
    out.size = out.free = type->size;
    out.fetch_gb_per_s = type->fetch_gb_per_s;
  }
  auto info = machines_.find(m.name);
  if (info == machines_.end()) return out;
  out.usable = type != nullptr && IsSchedulable(now, m, info->second);
  out.cached = &info->second.images;
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
  assignments.helps = shard.replica.assignments.helps;
  std::erase_if(assignments.helps,
                [this](const auto& h) { return executions_.count(h.first) == 0; });
  plan->machines.reserve(shard.usage.machines.size() + 16);
  for (const MachineUsage& use : shard.usage.machines) {
    const AssignedMachine& m = *use.machine;
    const bool may =
        !plan->partial || plan->removals.count(plan->assignments.ChunkOfMachine(m.name)) != 0;
    if (may && instance_returns_.Confirmed(m.name)) {
      plan->Change(m.name);
      continue;
    }
    AssignedMachine& copy =
        assignments.machines.emplace_hint(assignments.machines.end(), m.name, AssignedMachine())
            ->second;
    copy.name = m.name;
    copy.addr = may && use.info != nullptr && !use.info->addr.empty() ? use.info->addr : m.addr;
    copy.type = m.type;
    copy.zone = m.zone;
    copy.spot = m.spot;
    copy.draining = m.draining;
    copy.helps = m.helps;
    copy.attempts.reserve(m.attempts.size() + 4);
    CandidateMachine& place = plan->machines.emplace_back(EmptyMachine(now, m));
    for (size_t i = 0; i < m.attempts.size(); ++i) {
      const MachineUsage::Slot slot = i < use.slots.size() ? use.slots[i] : MachineUsage::Slot();
      const bool gone = slot.info != nullptr && slot.info->gone;
      if (gone && may) plan->Change(m.name);
      if (!gone || !may) copy.attempts.push_back(m.attempts[i]);
      if (gone) continue;
      place.AddTasks(m.attempts[i].job, 1);
      if (slot.job == nullptr) continue;
      const JobSpec& spec = slot.job->record.spec;
      place.free -= spec.task_resources;
      if (spec.priority < Priority::kProduction) place.preemptible += spec.task_resources;
      QuotaShare& team = plan->use.teams[spec.team];
      team.cpus += spec.task_resources.cpus;
      team.gpus += spec.task_resources.gpus;
      if (slot.info != nullptr && slot.info->state == TaskState::kFetching && !spec.image.empty() &&
          !place.Has(spec.image)) {
        place.fetching.push_back(spec.image);
      }
    }
  }
}

Core::ResourceUsage Core::TotalUsageOf(const AssignmentTable& assignments) const {
  ResourceUsage use;
  for (const auto& [name, m] : assignments.machines) {
    const std::string* last = nullptr;
    const JobEntry* job = nullptr;
    for (const Attempt& a : m.attempts) {
      ++use.jobs[a.job];
      if (last == nullptr || *last != a.job) job = jobs_.Find(a.job);
      last = &a.job;
      if (job == nullptr) continue;
      QuotaShare& team = use.teams[job->record.spec.team];
      team.cpus += job->record.spec.task_resources.cpus;
      team.gpus += job->record.spec.task_resources.gpus;
    }
  }
  return use;
}

int64_t Core::SteadyHeadroom(int shard_id) const {
  int64_t services = 0;
  for (const auto& [id, run] : executions_) {
    if (run.shard_id != shard_id) continue;
    const JobEntry* job = jobs_.Find(id);
    if (job != nullptr && job->record.spec.kind == JobKind::kService) {
      services += job->record.spec.task_resources.cpus * job->record.spec.tasks;
    }
  }
  if (services == 0) return 0;
  // Longer boot times need more headroom.
  Micros boot = 3600 * kSecond;
  for (const MachineType& t : machine_types_.types()) boot = std::min(boot, t.boot);
  double scale = std::max(1.0, ToSeconds(boot) / 20.0);
  return std::max(
      static_cast<int64_t>(1000 * settings_.operator_settings.service_headroom_cpus() * scale),
      static_cast<int64_t>(settings_.operator_settings.service_headroom_share() *
                           static_cast<double>(services)));
}

bool Core::SpreadServices(int shard_id) const {
  for (const auto& [id, run] : executions_) {
    if (run.shard_id != shard_id) continue;
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
         static_cast<Micros>(items * kCostPerItem / (kCycleCpuShare * settings_.cores));
}

void Core::RunSchedulingCycles(Micros now) {
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    Shard& shard = shards_[static_cast<size_t>(shard_id)];
    if (!shard.leadership.is_leader || shard.leadership.acquiring || shard.cycle.committing ||
        shard.leadership.releasing || now < shard.cycle.not_before || machine_types_.empty()) {
      continue;
    }
    const bool due = shard.cycle.dirty || now - shard.cycle.last_commit > kIdleCycleInterval;
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
  ++counters_.rounds;
  shard.cycle.dirty = false;
  shard.cycle.last_commit = now;
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
  PlanTailHelp(now, shard_id, &plan);
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
    shard.cycle.next_state_log = now + kStateLogPeriod;
    LogShardState(shard_id, plan);
  }
  Commit(now, shard_id, &plan);
}

void Core::FindDoneJobs(int shard_id, Plan* plan) const {
  for (const auto& [id, run] : executions_) {
    if (run.shard_id != shard_id || run.done < static_cast<int>(run.tasks.size())) continue;
    if (static_cast<int>(plan->done.size()) + kWritesBesideDone >=
            cluster_version_.limits().txn_ops ||
        plan->done.size() >= kMaxDone) {
      return;
    }
    plan->done.push_back(id);
    plan->urgent = true;
  }
}

// Logs capacity and backlog of the shard at debug level.
void Core::LogShardState(int shard_id, const Plan& plan) {
  int usable = 0, waiting = 0, services = 0;
  int64_t steady = 0, spot = 0, free_steady = 0, free_spot = 0, wanted = 0;
  for (const CandidateMachine& m : plan.machines) {
    if (!m.usable) continue;
    ++usable;
    (m.spot ? spot : steady) += m.size.cpus;
    (m.spot ? free_spot : free_steady) += m.free.cpus;
  }
  for (const Plan::UnplacedTasks& u : plan.unplaced) {
    (u.spec->kind == JobKind::kService ? services : waiting) += u.tasks;
    wanted += u.tasks * u.spec->task_resources.cpus;
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
                   " cpus, " + std::to_string(plan.assignments.rentals.size()) + " open rental requests, " +
                   std::to_string(write_budget_.have()) + " write tokens, " +
                   std::to_string(cloud_budget_.have()) + " cloud call tokens");
  for (const auto& [team_name, tasks] : plan.limited) {
    const Team* team = settings_.FindTeam(team_name);
    auto used = plan.use.teams.find(team_name);
    if (team == nullptr || used == plan.use.teams.end()) continue;
    const QuotaShare share =
        QuotaShareOf(plan.assignments, *team, shard_id, settings_.shard_count());
    effects_.Log(LogLine::Level::kDebug, "quota of team " + team_name + " holds back " +
                                             std::to_string(tasks) + " tasks in shard " +
                                             std::to_string(shard_id) + ": " +
                                             std::to_string(used->second.cpus / 1000) + " of " +
                                             std::to_string(share.cpus / 1000) + " cpus used in this shard, " +
                                             std::to_string(team->cpus_max / 1000) + " in all shards");
  }
  // Counters of this process since its start; the log keeps them after it ends.
  const Counters& c = counters_;
  const ApiCounters& api = user_api_.counters();
  effects_.Log(LogLine::Level::kDebug,
               "totals: starts " + std::to_string(c.starts) + ", tails " +
                   std::to_string(c.tails) + ", tail machines " + std::to_string(c.helpers) +
                   ", overdue tasks moved " + std::to_string(c.overdue) + ", preempted " +
                   std::to_string(c.preempted) + ", consolidated " + std::to_string(c.consolidated) +
                   ", accepted " + std::to_string(api.accepted) + ", puts " +
                   std::to_string(c.puts + api.record_writes) + ", commits " +
                   std::to_string(c.commits) + ", conflicts " + std::to_string(c.commit_conflicts));
}

// Attempt numbers are unique over all shards, so that a job can move between them.
uint64_t Core::NextNumber(int shard_id, Plan* plan) const {
  return plan->assignments.next_number++ * shards_.size() + static_cast<uint64_t>(shard_id);
}

}  // namespace troutlink
