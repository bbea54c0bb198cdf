// Preemption: stops tasks to make room for work of higher priority.
#include <algorithm>

#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr int kMaxPreempted = 64;            // tasks per cycle
constexpr Micros kFetchCost = 20 * kSecond;  // for a machine without the image
// Bounds the preemptions of one task by arrays, so that it makes progress.
constexpr int kMaxPreemptionsOfTask = 2;
constexpr Micros kNearEnd = 10 * kSecond;

// Cost of stopping a task now: the work to repeat, or the time to write a checkpoint.
Micros StoppingCost(Micros now, Micros running_at, const JobSpec& spec) {
  if (running_at == 0) return 0;
  return spec.checkpoint > 0 ? spec.save : now - running_at;
}

}  // namespace

// Preempts a task of the same team when the team's limit holds back a production job.
void Core::PreemptTeam(Micros now, int shard_id, Plan* plan, const JobSpec& spec) {
  const Attempt* best = nullptr;
  AttemptState* best_info = nullptr;
  for (const auto& [name, m] : plan->assignments.machines) {
    for (const Attempt& a : m.attempts) {
      auto at = attempts_.find(a);
      const JobEntry* job = jobs_.Find(a.job);
      if (at == attempts_.end() || job == nullptr || job->record.spec.team != spec.team) continue;
      if (job->record.spec.priority >= spec.priority || at->second.gone) continue;
      if (at->second.stopping) return;  // a preemption is in progress
      if (!at->second.seen) continue;
      if (best == nullptr || at->second.running_at == 0 ||
          at->second.running_at > best_info->running_at) {
        best = &a;
        best_info = &at->second;
      }
    }
  }
  if (best == nullptr) return;
  const JobEntry* job = jobs_.Find(best->job);
  ++counters_.preempted;
  StopAttempt(now, *best, best_info,
              job->record.spec.checkpoint > 0 ? job->record.spec.save + kSecond : 0);
  SendDirectCommands(now, shard_id, best_info->machine);
}

// Collects the preemptible tasks of each machine, once per cycle.
void Core::FindPreemptible(const Shard& shard, Plan* plan) {
  plan->preemptible_known = true;
  std::map<std::string, const CandidateMachine*> places;
  for (const CandidateMachine& machine : plan->machines) places[machine.name] = &machine;
  for (const MachineUsage& use : shard.usage.machines) {
    auto place = places.find(use.machine->name);
    if (place == places.end() || !place->second->usable || !place->second->helps.empty()) continue;
    if (place->second->preemptible == Resources()) continue;
    Preemptible& preemptible = plan->preemptible[use.machine->name];
    preemptible.room = place->second->free;
    for (size_t i = 0; i < use.slots.size(); ++i) {
      const MachineUsage::Slot& slot = use.slots[i];
      if (slot.info == nullptr || slot.job == nullptr || slot.info->gone) continue;
      const JobSpec& spec = slot.job->record.spec;
      if (slot.info->stopping) {
        preemptible.room += spec.task_resources;  // about to be freed
      } else if (slot.info->seen) {
        preemptible.tasks.push_back({use.machine->attempts[i], slot.info, &spec});
      }
    }
  }
}

// Lowest priority among the placed array jobs of a shard.
std::optional<Priority> Core::LowestPlacedPriority(int shard_id) const {
  std::optional<Priority> lowest;
  for (const auto& [id, run] : executions_) {
    if (run.shard_id != shard_id || run.placed == 0) continue;
    const JobEntry* job = jobs_.Find(id);
    if (job == nullptr || job->record.spec.kind != JobKind::kArray) continue;
    if (!lowest || job->record.spec.priority < *lowest) lowest = job->record.spec.priority;
  }
  return lowest;
}

// Whether an array may preempt the task. Unlike production work, arrays preempt only array tasks
// that lose little work, are not about to end and were not preempted too often.
bool Core::MayPreemptForArray(Micros now, const PreemptibleTask& task) {
  const JobSpec& spec = *task.spec;
  if (spec.kind != JobKind::kArray) return false;
  const JobExecution* run = FindExecution(spec.id);
  if (run == nullptr) return false;
  auto stopped = run->preemptions.find(task.attempt.task);
  if (stopped != run->preemptions.end() && stopped->second >= kMaxPreemptionsOfTask) return false;
  if (task.info->running_at == 0) return true;
  const Micros ran = now - task.info->running_at;
  const Micros left = spec.estimate - ran;
  if (left < std::max(kNearEnd, spec.estimate / 4)) return false;
  return spec.checkpoint > 0 || ran < spec.estimate / 4;
}

// Selects the tasks to stop on one machine so that one more task of `spec` fits. Empty if that is
// impossible or not needed.
std::vector<size_t> Core::ChooseVictims(Micros now, const JobSpec& spec,
                                        const Preemptible& preemptible) {
  const bool sparing = spec.priority < Priority::kProduction;
  std::vector<size_t> candidates;
  for (size_t i = 0; i < preemptible.tasks.size(); ++i) {
    const PreemptibleTask& task = preemptible.tasks[i];
    if (task.info->stopping || task.spec->priority >= spec.priority) continue;
    if (sparing && !MayPreemptForArray(now, task)) continue;
    candidates.push_back(i);
  }
  if (sparing) {
    auto cost = [&](size_t i) {
      const PreemptibleTask& task = preemptible.tasks[i];
      return StoppingCost(now, task.info->running_at, *task.spec);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](size_t a, size_t b) { return cost(a) < cost(b); });
  }
  Resources room = preemptible.room;
  std::vector<size_t> stops;
  for (size_t i : candidates) {
    if (spec.task_resources.Fits(room)) break;
    room += preemptible.tasks[i].spec->task_resources;
    stops.push_back(i);
  }
  if (!spec.task_resources.Fits(room)) stops.clear();
  return stops;
}

// Makes room for `tasks` tasks of a job by preempting work of lower priority, on as many machines
// as needed, cheapest first. Resources of tasks that are already stopping are reserved for the job
// first.
void Core::PlanPreemption(Micros now, int shard_id, Plan* plan, const JobSpec& spec, int tasks) {
  if (!plan->preemptible_known) {
    FindPreemptible(shards_[static_cast<size_t>(shard_id)], plan);
  }
  struct Choice {
    Preemptible* preemptible;
    CandidateMachine* machine;
    std::vector<size_t> stops;
    Micros cost;
  };
  const bool critical = spec.priority == Priority::kProduction;
  JobSpread& spread = plan->SpreadOf(spec);
  auto promise = [&](Preemptible* preemptible, CandidateMachine* machine) {
    const int promised = std::min(tasks, TasksThatFit(spec, preemptible->room));
    for (int i = 0; i < promised; ++i) preemptible->room -= spec.task_resources;
    tasks -= promised;
    if (promised > 0) machine->least_priority = std::max(machine->least_priority, spec.priority);
  };
  std::vector<Choice> choices;
  for (CandidateMachine& machine : plan->machines) {
    auto found = plan->preemptible.find(machine.name);
    if (found == plan->preemptible.end() || !machine.usable) continue;
    if (!Allowed(spec, spread, machine)) continue;
    Preemptible& preemptible = found->second;
    promise(&preemptible, &machine);
    if (tasks <= 0) return;
    Choice choice{&preemptible, &machine, ChooseVictims(now, spec, preemptible), 0};
    if (choice.stops.empty()) continue;
    Resources room = preemptible.room;
    for (size_t i : choice.stops) {
      const PreemptibleTask& task = preemptible.tasks[i];
      room += task.spec->task_resources;
      choice.cost += critical && task.info->running_at != 0
                         ? now - task.info->running_at
                         : StoppingCost(now, task.info->running_at, *task.spec);
    }
    if (!machine.Has(spec.image)) choice.cost += kFetchCost;
    choice.cost /= std::clamp(TasksThatFit(spec, room), 1, tasks);
    choices.push_back(std::move(choice));
  }
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) {
    return a.cost != b.cost ? a.cost < b.cost : a.machine->name < b.machine->name;
  });
  for (const Choice& choice : choices) {
    if (tasks <= 0 || plan->preempted >= kMaxPreempted) return;
    for (size_t i : choice.stops) PreemptTask(now, plan, choice.preemptible, i);
    promise(choice.preemptible, choice.machine);
    SendDirectCommands(now, shard_id, choice.machine->name);
  }
}

// Stops one task.
void Core::PreemptTask(Micros now, Plan* plan, Preemptible* preemptible, size_t index) {
  const PreemptibleTask& task = preemptible->tasks[index];
  preemptible->room += task.spec->task_resources;
  ++counters_.preempted;
  ++plan->preempted;
  if (JobExecution* run = FindExecution(task.spec->id)) ++run->preemptions[task.attempt.task];
  StopAttempt(now, task.attempt, task.info,
              task.spec->checkpoint > 0 ? task.spec->save + kSecond : 0);
}

}  // namespace troutlink
