// Tail acceleration for array jobs (SpeQuloS): trigger, sizing and order.
#include <algorithm>

#include "core/core.h"
#include "core/scheduler/plan.h"
#include "core/scheduler/tail.h"

namespace troutlink {

// Rents steady machines for arrays in their tail, and moves overdue tasks there.
void Core::PlanTailHelp(Micros now, int shard_id, Plan* plan) {
  for (auto& [id, run] : executions_) {
    if (run.shard_id != shard_id) continue;
    const JobEntry* job = jobs_.Find(id);
    if (job == nullptr || jobs_.IsOver(id) || job->record.spec.kind != JobKind::kArray) continue;
    const JobSpec& spec = job->record.spec;
    if (!TailReached(settings_.operator_settings.tail_threshold(), run.done, spec.tasks)) continue;
    Tail tail{spec, &run, MedianOf(run.durations), 0, {}, 0};
    tail.pending = spec.tasks - run.done - run.placed;
    tail.overdue = OverdueTasks(now, tail);
    if (tail.candidates() == 0) continue;
    tail.room = SteadyRoom(tail, plan);
    if (plan->assignments.helps.count(id) == 0) BeginHelp(now, shard_id, job->record, tail, plan);
    if (plan->assignments.helps[id].credit <= 0) continue;  // the credit is used up
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
    auto& [attempt, info] = *it;
    if (info.gone || info.stopping || info.running_at == 0) continue;
    if (tail.run->moved.count(attempt.task) != 0) continue;
    if (TailOverdue(now - info.running_at, tail.median,
                    settings_.operator_settings.overdue_margin())) {
      overdue.push_back({attempt, &info});
    }
  }
  return overdue;
}

// Number of the job's tasks that fit on the shard's existing steady machines.
int Core::SteadyRoom(const Tail& tail, Plan* plan) {
  const JobSpec& spec = tail.spec;
  const JobSpread& spread = plan->SpreadOf(spec);
  int room = 0;
  for (const CandidateMachine& machine : plan->machines) {
    if (machine.spot || !machine.usable || !Allowed(spec, spread, machine)) continue;
    if (!machine.helps.empty() && machine.helps != spec.id) continue;
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
void Core::BeginHelp(Micros now, int shard_id, const JobRecord& record, const Tail& tail,
                     Plan* plan) {
  const JobSpec& spec = tail.spec;
  const double credit = TailCredit(settings_.operator_settings.credit_share(), spec.tasks,
                                   spec.estimate, spec.task_resources.cpus);
  const Micros elapsed = WallNow(now) - record.submitted;
  const double cpus = TailCpus(credit, TailRemaining(elapsed, tail.run->done, spec.tasks));
  plan->assignments.helps[spec.id] = {credit};
  plan->urgent = true;
  ++counters_.tails;
  const int missing = tail.candidates() - tail.room;
  if (missing <= 0) return;
  const std::optional<Offer> offer = offer_selector_.Cheapest(
      now, {spec, plan->SpreadOf(spec), false, InstancesByZone(plan->assignments)});
  if (!offer) return;
  const int helpers = TailHelpers(cpus, missing, spec.task_resources.cpus, offer->type->size.cpus);
  if (helpers <= 0) return;
  AddRental(shard_id, plan, *offer, helpers, spec.id, "the tail of " + spec.id);
  counters_.helpers += static_cast<uint64_t>(helpers);
}

// Moves overdue tasks to the steady capacity left after the pending tasks. The original attempt is
// stopped first, and the task starts again once that is confirmed.
void Core::MoveOverdueTasks(Micros now, int shard_id, const Tail& tail, Plan* plan) {
  const JobSpec& spec = tail.spec;
  int room = tail.room - tail.pending;
  for (const OverdueTask& task : tail.overdue) {
    if (room <= 0) return;
    auto on = std::find_if(
        plan->machines.begin(), plan->machines.end(),
        [&task](const CandidateMachine& machine) { return machine.name == task.info->machine; });
    // The task is already on a healthy machine of this job's tail.
    if (on != plan->machines.end() && !on->spot && on->usable && on->helps == spec.id) continue;
    --room;
    tail.run->moved.insert(task.attempt.task);
    task.info->moved = true;
    ++counters_.overdue;
    plan->assignments.helps[spec.id].credit -=
        static_cast<double>(spec.task_resources.cpus) / 1000.0 * ToSeconds(tail.median) / 3600.0;
    StopAttempt(now, task.attempt, task.info, spec.checkpoint > 0 ? spec.save + kSecond : 0);
    SendDirectCommands(now, shard_id, task.info->machine);
  }
}

}  // namespace troutlink
