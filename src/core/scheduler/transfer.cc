// Transfers between shards: jobs, free machines and quota.
#include <algorithm>

#include "core/core.h"
#include "core/scheduler/hold_policy.h"
#include "core/scheduler/plan.h"
#include "core/scheduler/quota.h"

namespace troutlink {

namespace {
constexpr Micros kFreeMachineDelay = 1500 * kMillisecond;
constexpr Micros kBackloggedMachineDelay = 8 * kSecond;
constexpr Micros kNoSuitableMachineDelay = 3 * kSecond;
constexpr Micros kJobMoveRetryInterval = 500 * kMillisecond;
constexpr Micros kProductionJobMoveRetryInterval = kJobMoveRetryInterval / 5;
constexpr Micros kJobMoveDelay = 1500 * kMillisecond;
constexpr Micros kProductionJobMoveDelay = 60 * kMillisecond;
constexpr size_t kMaxMovedJobsPerCycle = 3;
constexpr int kMaxEvaluatedJobsPerCycle = 4;
constexpr int kMaxServiceMoves = 2;
constexpr int kMaxMoves = 6;
constexpr int kEnoughPlaceableTasks = 8;
constexpr Micros kRecentCommitWindow = 60 * kMillisecond;
}  // namespace

// Whether the job still waits for a shard with room for more of its tasks, and is not moved once
// more. Ends with its time without a machine in this shard.
bool Core::MoveIsHeld(Micros now, const JobExecution& execution) {
  return MayHold(WaitReason::kOtherShard, now - execution.unplaced_since);
}

// Whether another shard has enough room for the job to move there. Unused room for one task is
// enough in the end: the jobs that wait there may leave it unused, as it is too small for them.
bool Core::HasRoomToMove(Micros now, const JobSpec& spec, const ShardCapacity& capacity,
                         JobExecution* execution) {
  if (capacity.placeable_tasks >= std::min(spec.tasks, kEnoughPlaceableTasks)) return true;
  if (spec.kind == JobKind::kGang || capacity.unused_task_slots == 0) return false;
  if (!MoveIsHeld(now, *execution)) return true;
  execution->wait_reason = WaitReason::kOtherShard;
  return false;
}

// Moves jobs of which nothing has started, and which find no machine here, to a shard that has
// room.
void Core::PlanJobMoves(Micros now, int shard_id, Plan* plan) {
  int evaluated = 0;
  for (const Plan::UnplacedTasks& unplaced : plan->unplaced) {
    if (plan->moved_jobs.size() >= kMaxMovedJobsPerCycle) break;
    const JobSpec& spec = *unplaced.spec;
    JobExecution* execution = FindExecution(spec.id);
    if (execution == nullptr || execution->done > 0 || execution->placed > 0 ||
        plan->condition_jobs.count(spec.id) != 0) {
      continue;
    }
    const JobEntry* job = jobs_.Find(spec.id);
    if (job == nullptr) continue;
    const int max_moves = spec.kind == JobKind::kService ? kMaxServiceMoves : kMaxMoves;
    if (job->record.moves >= max_moves && MoveIsHeld(now, *execution)) continue;
    Micros delay = spec.priority == Priority::kProduction ? kProductionJobMoveDelay : kJobMoveDelay;
    if (execution->unplaced_since == 0 || now - execution->unplaced_since < delay) continue;
    // Evaluating all shards is expensive: bounded per job and per cycle.
    if (now < execution->next_move_at || ++evaluated > kMaxEvaluatedJobsPerCycle) continue;
    execution->next_move_at =
        now + (spec.priority == Priority::kProduction ? kProductionJobMoveRetryInterval
                                                      : kJobMoveRetryInterval);
    const std::vector<ShardCapacity> capacities = user_api_.shard_selector().CapacitiesFor(spec);
    int best = -1;
    if (capacities[static_cast<size_t>(shard_id)].suitable_machines == 0 &&
        plan->assignments.rentals.empty() &&
        now - execution->unplaced_since > kNoSuitableMachineDelay) {
      // No machine of this shard is suitable: move the job to a shard that has suitable ones.
      for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
        const ShardCapacity& capacity = capacities[static_cast<size_t>(other_id)];
        if (!capacity.has_live_leader || capacity.suitable_machines == 0) continue;
        if (best < 0 ||
            capacity.suitable_machines > capacities[static_cast<size_t>(best)].suitable_machines) {
          best = other_id;
        }
      }
    }
    for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
      const ShardCapacity& capacity = capacities[static_cast<size_t>(other_id)];
      if (other_id == shard_id || !capacity.has_live_leader ||
          !HasRoomToMove(now, spec, capacity, execution)) {
        continue;
      }
      if (best < 0 ||
          capacity.available_cpus > capacities[static_cast<size_t>(best)].available_cpus) {
        best = other_id;
      }
    }
    if (best < 0) continue;
    plan->moved_jobs[spec.id] = best;
    plan->urgent = true;
    plan->critical = plan->critical || spec.priority == Priority::kProduction;
    effects_.Log(LogLine::Level::kDebug, "moving job " + spec.id + " from shard " +
                                             std::to_string(shard_id) + " to " +
                                             std::to_string(best));
  }
}

// Collects free machines of other shards that may be transferred now.
void Core::FindTransferableMachines(Micros now, int shard_id, Plan* plan) {
  plan->transferable_found = true;
  const std::vector<ShardBacklog::CpusByPriority>& backlog = user_api_.shard_backlog().Cpus();
  for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
    const Shard& other = shards_[static_cast<size_t>(other_id)];
    if (other_id == shard_id || !MayChangeTable(other) || other.cycle.committing) continue;
    // A shard with backlog is about to use its free machines: wait longer before taking them.
    // Otherwise a first wave of jobs takes them before that shard decides, and leaves it with its
    // services.
    const Micros after =
        backlog[static_cast<size_t>(other_id)][0] > 0 ? kBackloggedMachineDelay : kFreeMachineDelay;
    for (const auto& [name, machine] : other.replica.assignments.machines) {
      if (!machine.attempts.empty() || machine.draining || !machine.tail_job.empty()) continue;
      if (machine.addr.empty() || !plan->MayChange(name))
        continue;  // still booting, or not in this cycle
      // Skip machines that their leader reports as silent: each transfer would restart the failure
      // detection of a dead machine.
      auto known = machines_.find(name);
      if (!other.leadership.is_leader && known != machines_.end() &&
          (known->second.reported_silent_since != 0 || known->second.reported_failed)) {
        continue;
      }
      auto since = free_since_.find(name);
      if (!other.leadership.is_leader &&
          (since == free_since_.end() || now - since->second < after))
        continue;
      if (other.leadership.is_leader) {
        auto agent = machines_.find(name);
        if (agent == machines_.end() || !IsSchedulable(now, machine, agent->second)) continue;
      }
      plan->transferable.emplace_back(other_id, name);
    }
  }
}

// Transfers one free machine of another shard for a task without room here, or tells why there is
// none.
WaitReason Core::PlanMachineTransfer(Micros now, int shard_id, Plan* plan, const JobSpec& spec,
                                     Micros waited) {
  WaitReason obstacle = WaitReason::kNoRoom;
  if (now < shards_[static_cast<size_t>(shard_id)].cycle.transfers_after) return obstacle;
  if (!plan->transferable_found) FindTransferableMachines(now, shard_id, plan);
  for (auto it = plan->transferable.begin(); it != plan->transferable.end(); ++it) {
    const auto& [other_id, name] = *it;
    const Shard& other = shards_[static_cast<size_t>(other_id)];
    // The commit would probably conflict with one of the other shard.
    if (now - other.replica.changed_at < kRecentCommitWindow &&
        spec.priority != Priority::kProduction)
      continue;
    // Tables of at most one other shard fit into a transaction.
    if (!plan->other_tables.empty() && plan->other_tables.count(other_id) == 0) continue;
    const AssignedMachine& assigned = other.replica.assignments.machines.at(name);
    const MachineType* type = machine_types_.Find(assigned.type);
    if (type == nullptr || !spec.task_resources.Fits(type->size) || !plan->MayChange(name))
      continue;
    if (!plan->MayChangeOther(other_id, other.replica.assignments, name)) continue;
    CandidateMachine machine = MakeCandidate(now, assigned);
    machine.usable = true;
    if (!Allowed(spec, plan->SpreadOf(spec), machine)) continue;
    // Leave the other shard headroom for its services.
    if (!assigned.spot && spec.priority != Priority::kProduction &&
        MayHold(WaitReason::kShardHeadroom, waited)) {
      int64_t steady_free = 0;
      for (const auto& [from, other_name] : plan->transferable) {
        if (from != other_id) continue;
        const AssignedMachine& other_machine = other.replica.assignments.machines.at(other_name);
        const MachineType* other_type = machine_types_.Find(other_machine.type);
        if (!other_machine.spot && other_type != nullptr) steady_free += other_type->size.cpus;
      }
      if (steady_free - type->size.cpus <
          static_cast<int64_t>(1000 * settings_.operator_settings.service_headroom_cpus())) {
        obstacle = WaitReason::kShardHeadroom;
        continue;
      }
    }
    AssignmentTable& changed =
        plan->other_tables.try_emplace(other_id, other.replica.assignments).first->second;
    changed.machines.erase(name);
    plan->assignments.machines[name] = assigned;
    plan->machines.push_back(std::move(machine));
    plan->index.Add(&plan->machines.back());
    plan->MarkOtherChanged(other_id, other.replica.assignments, name);
    plan->MarkChanged(name);
    plan->urgent = true;
    plan->transferable.erase(it);
    return WaitReason::kNone;
  }
  return obstacle;
}

// Transfers unused quota of a team to this shard.
bool Core::PlanQuotaTransfer(Micros now, int shard_id, Plan* plan, const Team& team,
                             const QuotaShare& want) {
  if (now < shards_[static_cast<size_t>(shard_id)].cycle.transfers_after) return false;
  QuotaShare own = QuotaShareOf(plan->assignments, team, shard_id, settings_.shard_count());
  QuotaShare missing = want;
  const QuotaShare used = plan->usage.teams[team.name];
  missing.cpus -= own.cpus - used.cpus;
  missing.gpus -= own.gpus - used.gpus;
  bool moved = false;
  for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
    if (other_id == shard_id || (missing.cpus <= 0 && missing.gpus <= 0)) continue;
    const Shard& other = shards_[static_cast<size_t>(other_id)];
    if (!MayChangeTable(other) || other.cycle.committing) continue;
    if (!plan->MayChangeOther(other_id, other.replica.assignments, "")) continue;
    if (!plan->other_tables.empty() && plan->other_tables.count(other_id) == 0) continue;
    const AssignmentTable& theirs = plan->other_tables.count(other_id) != 0
                                        ? plan->other_tables.at(other_id)
                                        : other.replica.assignments;
    QuotaShare share = QuotaShareOf(theirs, team, other_id, settings_.shard_count());
    auto theirs_used = other.usage.total.teams.find(team.name);
    QuotaShare move = TransferableQuota(
        share, theirs_used == other.usage.total.teams.end() ? QuotaShare() : theirs_used->second,
        missing);
    if (move.cpus <= 0 && move.gpus <= 0) continue;
    AssignmentTable& changed =
        plan->other_tables.try_emplace(other_id, other.replica.assignments).first->second;
    plan->MarkOtherChanged(other_id, other.replica.assignments, "");
    changed.shares[team.name] = {share.cpus - move.cpus, share.gpus - move.gpus};
    own.cpus += move.cpus;
    own.gpus += move.gpus;
    missing.cpus -= move.cpus;
    missing.gpus -= move.gpus;
    plan->assignments.shares[team.name] = own;
    ++counters_.quota_transfers;
    moved = true;
  }
  return moved;
}

}  // namespace troutlink
