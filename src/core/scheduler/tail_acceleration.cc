// Tail acceleration for array jobs (SpeQuloS): trigger, sizing and order.
#include <algorithm>

#include "core/core.h"
#include "core/scheduler/plan.h"
#include "core/scheduler/tail.h"

namespace troutlink {

// Rents steady machines for arrays in their tail, and moves overdue tasks there.
void Core::PlanTailAcceleration(Micros now, int shard_id, Plan* plan) {
  for (auto& [id, execution] : executions_) {
    if (execution.shard_id != shard_id) continue;
    const JobEntry* job = jobs_.Find(id);
    if (job == nullptr || jobs_.IsFinished(id) || job->record.spec.kind != JobKind::kArray)
      continue;
    const JobSpec& spec = job->record.spec;
    if (!TailReached(settings_.operator_settings.tail_threshold(), execution.done, spec.tasks))
      continue;
    Tail tail{spec, &execution, MedianOf(execution.durations), 0, {}, 0};
    tail.pending = spec.tasks - execution.done - execution.placed;
    tail.overdue = OverdueTasks(now, tail);
    if (tail.candidates() == 0) continue;
    tail.steady_slots = SteadyTaskSlots(tail, plan);
    if (plan->assignments.tail_grants.count(id) == 0)
      StartTailAcceleration(now, shard_id, job->record, tail, plan);
    if (plan->assignments.tail_grants[id].credit <= 0) continue;  // the credit is used up
    MoveOverdueTasks(now, shard_id, tail, plan);
  }
}

Micros Core::MedianOf(std::vector<Micros> durations) {
  if (durations.empty()) return 0;
  auto middle = durations.begin() + static_cast<std::ptrdiff_t>(durations.size() / 2);
  std::nth_element(durations.begin(), middle, durations.end());
  return *middle;
}

// Running tasks that exceed the job's median run time by the overdue margin and were not moved
// before.
std::vector<Core::OverdueTask> Core::OverdueTasks(Micros now, const Tail& tail) {
  std::vector<OverdueTask> overdue;
  const std::string& id = tail.spec.id;
  for (auto it = attempts_.lower_bound({id, 0, 0}); it != attempts_.end() && it->first.job == id;
       ++it) {
    auto& [attempt, state] = *it;
    if (state.terminated || state.stopping || state.running_at == 0) continue;
    if (tail.execution->moved_tasks.count(attempt.task) != 0) continue;
    if (TailOverdue(now - state.running_at, tail.median,
                    settings_.operator_settings.overdue_margin())) {
      overdue.push_back({attempt, &state});
    }
  }
  return overdue;
}

// Number of the job's tasks that fit on the shard's existing steady machines.
int Core::SteadyTaskSlots(const Tail& tail, Plan* plan) {
  const JobSpec& spec = tail.spec;
  const JobSpread& spread = plan->SpreadOf(spec);
  int room = 0;
  for (const CandidateMachine& machine : plan->machines) {
    if (machine.spot || !machine.usable || !Allowed(spec, spread, machine)) continue;
    if (!machine.tail_job.empty() && machine.tail_job != spec.id) continue;
    Resources left = machine.free;
    while (spec.task_resources.Fits(left) && room < tail.candidates() &&
           spec.task_resources.cpus > 0) {
      left -= spec.task_resources;
      ++room;
    }
  }
  return room;
}

// Grants the job its credit and rents steady machines for the tasks without room.
void Core::StartTailAcceleration(Micros now, int shard_id, const JobRecord& record,
                                 const Tail& tail, Plan* plan) {
  const JobSpec& spec = tail.spec;
  const double credit = TailCredit(settings_.operator_settings.credit_share(), spec.tasks,
                                   spec.estimate, spec.task_resources.cpus);
  const Micros elapsed = WallNow(now) - record.submitted;
  const double cpus = TailCpus(credit, TailRemaining(elapsed, tail.execution->done, spec.tasks));
  plan->assignments.tail_grants[spec.id] = {credit};
  plan->urgent = true;
  ++counters_.tails;
  const int missing = tail.candidates() - tail.steady_slots;
  if (missing <= 0) return;
  const std::optional<Offer> offer = offer_selector_.Cheapest(
      now, {spec, plan->SpreadOf(spec), false, InstancesByZone(plan->assignments)});
  if (!offer) return;
  const int machines =
      TailMachineCount(cpus, missing, spec.task_resources.cpus, offer->type->size.cpus);
  if (machines <= 0) return;
  AddRental(shard_id, plan, *offer, machines, spec.id, "the tail of " + spec.id);
  counters_.tail_machines += static_cast<uint64_t>(machines);
}

// Moves overdue tasks to the steady capacity left after the pending tasks. The original attempt is
// stopped first, and the task starts again once that is confirmed.
void Core::MoveOverdueTasks(Micros now, int shard_id, const Tail& tail, Plan* plan) {
  const JobSpec& spec = tail.spec;
  int room = tail.steady_slots - tail.pending;
  for (const OverdueTask& task : tail.overdue) {
    if (room <= 0) return;
    auto current = std::find_if(
        plan->machines.begin(), plan->machines.end(),
        [&task](const CandidateMachine& machine) { return machine.name == task.state->machine; });
    // The task is already on a healthy machine of this job's tail.
    if (current != plan->machines.end() && !current->spot && current->usable &&
        current->tail_job == spec.id) {
      continue;
    }
    --room;
    tail.execution->moved_tasks.insert(task.attempt.task);
    task.state->moved_for_tail = true;
    ++counters_.overdue_tasks;
    plan->assignments.tail_grants[spec.id].credit -=
        static_cast<double>(spec.task_resources.cpus) / 1000.0 * ToSeconds(tail.median) / 3600.0;
    StopAttempt(now, task.attempt, task.state, StopGraceOf(spec));
    SendDirectCommands(now, shard_id, task.state->machine);
  }
}

}  // namespace troutlink
