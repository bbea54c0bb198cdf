// Preemption: stops tasks to make room for work of higher priority.
#include <algorithm>

#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr int kMaxPreemptedTasks = 64;            // tasks per cycle
constexpr Micros kImageFetchCost = 20 * kSecond;  // for a machine without the image
// Bounds the preemptions of one task by arrays, so that it makes progress.
constexpr int kMaxPreemptionsPerTask = 2;
constexpr Micros kMinRemainingTime = 10 * kSecond;
// Time without a hold on a machine's freed room after which the next hold is a new one.
constexpr Micros kFreedRoomBreak = 5 * kSecond;

// Cost of stopping a task now: the work to repeat, or the time to write a checkpoint.
Micros PreemptionCost(Micros now, Micros running_at, const JobSpec& spec) {
  if (running_at == 0) return 0;
  return spec.checkpoint > 0 ? spec.save : now - running_at;
}

}  // namespace

// Preempts a task of the same team when the team's limit holds back a production job.
void Core::PreemptWithinTeam(Micros now, int shard_id, Plan* plan, const JobSpec& spec) {
  const Attempt* best = nullptr;
  AttemptState* best_state = nullptr;
  for (const auto& [name, machine] : plan->assignments.machines) {
    for (const Attempt& attempt : machine.attempts) {
      auto at = attempts_.find(attempt);
      const JobEntry* job = jobs_.Find(attempt.job);
      if (at == attempts_.end() || job == nullptr || job->record.spec.team != spec.team) continue;
      if (job->record.spec.priority >= spec.priority || at->second.terminated) continue;
      if (at->second.stopping) return;  // a preemption is in progress
      if (!at->second.reported) continue;
      if (best == nullptr || at->second.running_at == 0 ||
          at->second.running_at > best_state->running_at) {
        best = &attempt;
        best_state = &at->second;
      }
    }
  }
  if (best == nullptr) return;
  const JobEntry* job = jobs_.Find(best->job);
  ++counters_.preempted;
  StopAttempt(now, *best, best_state, StopGraceOf(job->record.spec));
  SendDirectCommands(now, shard_id, best_state->machine);
}

// Collects the preemptible tasks of each machine, once per cycle.
void Core::FindPreemptible(const Shard& shard, Plan* plan) {
  plan->preemptible_found = true;
  std::map<std::string, const CandidateMachine*> candidates;
  for (const CandidateMachine& machine : plan->machines) candidates[machine.name] = &machine;
  for (const MachineUsage& usage : shard.usage.machines) {
    auto candidate = candidates.find(usage.machine->name);
    if (candidate == candidates.end() || !candidate->second->usable ||
        !candidate->second->tail_job.empty())
      continue;
    if (candidate->second->preemptible == Resources()) continue;
    Preemptible& preemptible = plan->preemptible[usage.machine->name];
    preemptible.available = candidate->second->free;
    for (size_t i = 0; i < usage.slots.size(); ++i) {
      const MachineUsage::Slot& slot = usage.slots[i];
      if (slot.attempt == nullptr || slot.job == nullptr || slot.attempt->terminated) continue;
      const JobSpec& spec = slot.job->record.spec;
      if (slot.attempt->stopping) {
        preemptible.available += spec.task_resources;  // about to be freed
      } else if (slot.attempt->reported) {
        preemptible.tasks.push_back({usage.machine->attempts[i], slot.attempt, &spec});
      }
    }
  }
}

// Lowest priority among the placed array jobs of a shard.
std::optional<Priority> Core::LowestPlacedPriority(int shard_id) const {
  std::optional<Priority> lowest;
  for (const auto& [id, execution] : executions_) {
    if (execution.shard_id != shard_id || execution.placed == 0) continue;
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
  const JobExecution* execution = FindExecution(spec.id);
  if (execution == nullptr) return false;
  auto stopped = execution->preemptions.find(task.attempt.task);
  if (stopped != execution->preemptions.end() && stopped->second >= kMaxPreemptionsPerTask)
    return false;
  if (task.state->running_at == 0) return true;
  const Micros ran = now - task.state->running_at;
  const Micros left = spec.estimate - ran;
  if (left < std::max(kMinRemainingTime, spec.estimate / 4)) return false;
  return spec.checkpoint > 0 || ran < spec.estimate / 4;
}

// Selects the tasks to stop on one machine so that one more task of `spec` fits. Empty if that is
// impossible or not needed.
std::vector<size_t> Core::SelectVictims(Micros now, const JobSpec& spec,
                                        const Preemptible& preemptible) {
  const bool for_array = spec.priority < Priority::kProduction;
  std::vector<size_t> candidates;
  for (size_t i = 0; i < preemptible.tasks.size(); ++i) {
    const PreemptibleTask& task = preemptible.tasks[i];
    if (task.state->stopping || task.spec->priority >= spec.priority) continue;
    if (for_array && !MayPreemptForArray(now, task)) continue;
    candidates.push_back(i);
  }
  if (for_array) {
    auto cost = [&](size_t i) {
      const PreemptibleTask& task = preemptible.tasks[i];
      return PreemptionCost(now, task.state->running_at, *task.spec);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](size_t a, size_t b) { return cost(a) < cost(b); });
  }
  if (!for_array) {
    std::stable_partition(candidates.begin(), candidates.end(), [&preemptible](size_t i) {
      return preemptible.tasks[i].state->uses_headroom;
    });
  }
  Resources available = preemptible.available;
  std::vector<size_t> victims;
  for (size_t i : candidates) {
    if (spec.task_resources.Fits(available)) break;
    available += preemptible.tasks[i].spec->task_resources;
    victims.push_back(i);
  }
  if (!spec.task_resources.Fits(available)) victims.clear();
  return victims;
}

// Makes room for `tasks` tasks of a job by preempting work of lower priority, on as many machines
// as needed, cheapest first. Resources of tasks that are already stopping are reserved for the job
// first. After the loss of a zone hundreds of replicas wait: one machine at a time took half a
// minute.
void Core::PlanPreemption(Micros now, int shard_id, Plan* plan, const JobSpec& spec, int tasks) {
  if (!plan->preemptible_found) {
    FindPreemptible(shards_[static_cast<size_t>(shard_id)], plan);
  }
  struct Choice {
    Preemptible* preemptible;
    CandidateMachine* machine;
    std::vector<size_t> victims;
    Micros cost;
  };
  const bool critical = spec.priority == Priority::kProduction;
  JobSpread& spread = plan->SpreadOf(spec);
  auto reserve = [&](Preemptible* preemptible, CandidateMachine* machine) {
    const int reserved = std::min(tasks, TasksThatFit(spec, preemptible->available));
    for (int i = 0; i < reserved; ++i) preemptible->available -= spec.task_resources;
    tasks -= reserved;
    if (reserved > 0) HoldFreedRoom(now, spec, machine);
  };
  std::vector<Choice> choices;
  for (CandidateMachine& machine : plan->machines) {
    auto found = plan->preemptible.find(machine.name);
    if (found == plan->preemptible.end() || !machine.usable) continue;
    if (!Allowed(spec, spread, machine)) continue;
    Preemptible& preemptible = found->second;
    reserve(&preemptible, &machine);
    if (tasks <= 0) return;
    Choice choice{&preemptible, &machine, SelectVictims(now, spec, preemptible), 0};
    if (choice.victims.empty()) continue;
    Resources available = preemptible.available;
    for (size_t i : choice.victims) {
      const PreemptibleTask& task = preemptible.tasks[i];
      available += task.spec->task_resources;
      if (critical && task.state->uses_headroom) continue;  // stops at once
      choice.cost += critical && task.state->running_at != 0
                         ? now - task.state->running_at
                         : PreemptionCost(now, task.state->running_at, *task.spec);
    }
    if (!machine.HasOrFetches(spec.image)) choice.cost += kImageFetchCost;
    choice.cost /= std::clamp(TasksThatFit(spec, available), 1, tasks);
    choices.push_back(std::move(choice));
  }
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) {
    return a.cost != b.cost ? a.cost < b.cost : a.machine->name < b.machine->name;
  });
  for (const Choice& choice : choices) {
    if (tasks <= 0 || plan->preempted_tasks >= kMaxPreemptedTasks) return;
    for (size_t i : choice.victims) PreemptTask(now, plan, spec, choice.preemptible, i);
    reserve(choice.preemptible, choice.machine);
    SendDirectCommands(now, shard_id, choice.machine->name);
  }
}

// Keeps work of lower priority off a machine that is being freed for `spec`. Against work that has
// waited long this ends after a time, so that it is not held off by one array after the other. It
// must not end sooner: such work would refill the room before the array's task fits.
void Core::HoldFreedRoom(Micros now, const JobSpec& spec, CandidateMachine* machine) {
  machine->min_priority = std::max(machine->min_priority, spec.priority);
  AgentState& agent = machines_[machine->name];
  if (agent.freed_since == 0 || now - agent.last_freed_at > kFreedRoomBreak)
    agent.freed_since = now;
  agent.last_freed_at = now;
  machine->held = now - agent.freed_since;
}

// Stops one task for a task of `spec`. Production work gets headroom that was lent back at once:
// the task repeats its work since its last checkpoint.
void Core::PreemptTask(Micros now, Plan* plan, const JobSpec& spec, Preemptible* preemptible,
                       size_t index) {
  const PreemptibleTask& task = preemptible->tasks[index];
  preemptible->available += task.spec->task_resources;
  ++counters_.preempted;
  ++plan->preempted_tasks;
  if (JobExecution* execution = FindExecution(task.spec->id))
    ++execution->preemptions[task.attempt.task];
  const bool at_once = spec.priority == Priority::kProduction && task.state->uses_headroom;
  StopAttempt(now, task.attempt, task.state, at_once ? 0 : StopGraceOf(*task.spec));
}

}  // namespace troutlink
