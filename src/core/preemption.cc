// Work that makes way for more important work.
#include <algorithm>

#include "core/core.h"
#include "core/plan.h"

namespace troutlink {

namespace {
constexpr int kMaxPreempted = 64;  // tasks that do
}  // namespace

// A critical job is held up by its own team's limit: a less important task of
// that team makes way.
void Core::PreemptTeam(Micros now, int shard_id, Plan* plan, const JobSpec& spec) {
  const Attempt* best = nullptr;
  AttemptInfo* best_info = nullptr;
  for (const auto& [name, m] : plan->assignments.machines) {
    for (const Attempt& a : m.attempts) {
      auto at = attempts_.find(a);
      const JobEntry* job = FindJob(a.job);
      if (at == attempts_.end() || job == nullptr || job->record.spec.team != spec.team) continue;
      if (job->record.spec.priority >= spec.priority || at->second.gone) continue;
      if (at->second.stopping) return;  // under way
      if (!at->second.seen) continue;
      if (best == nullptr || at->second.running_at == 0 ||
          at->second.running_at > best_info->running_at) {
        best = &a;
        best_info = &at->second;
      }
    }
  }
  if (best == nullptr) return;
  const JobEntry* job = FindJob(best->job);
  ++counters_.preempted;
  StopAttempt(now, *best, best_info,
              job->record.spec.checkpoint > 0 ? job->record.spec.save + kSecond : 0);
  Push(now, shard_id, best_info->machine);
}

// What may be stopped on each machine, looked up once a round.
void Core::FindPreemptible(Plan* plan) {
  plan->preemptible_known = true;
  for (const PlaceMachine& m : plan->machines) {
    auto assignments = plan->assignments.machines.find(m.name);
    if (!m.usable || !m.helps.empty() || assignments == plan->assignments.machines.end()) continue;
    if (m.preemptible.cpus <= 0 && m.preemptible.memory <= 0 && m.preemptible.gpus <= 0) continue;
    Plan::Preemptible& preemptible = plan->preemptible[m.name];
    preemptible.room = m.free;
    for (const Attempt& a : assignments->second.attempts) {
      auto at = attempts_.find(a);
      const JobEntry* job = FindJob(a.job);
      if (at == attempts_.end() || job == nullptr) continue;
      if (at->second.stopping) {
        preemptible.room += job->record.spec.each;  // about to be free
      } else if (at->second.seen) {
        preemptible.tasks.push_back({a, &at->second, &job->record.spec});
      }
    }
  }
}

// Makes room for `tasks` of critical work by stopping the least important work that
// is in its way, on as many machines as it takes: after a zone was lost hundreds of
// replicas wait, and one machine at a time took half a minute. What is being stopped
// already counts as room to come.
void Core::PlanPreemption(Micros now, int shard_id, Plan* plan, const JobSpec& spec, int tasks) {
  if (!plan->preemptible_known) FindPreemptible(plan);
  JobSpread& spread = plan->SpreadOf(spec);
  auto fits = [&spec](const Amount& room) {
    int64_t n = 1 << 20;
    if (spec.each.cpus > 0) n = std::min(n, room.cpus / spec.each.cpus);
    if (spec.each.gpus > 0) n = std::min(n, room.gpus / spec.each.gpus);
    if (spec.each.memory > 0) n = std::min(n, room.memory / spec.each.memory);
    return static_cast<int>(std::max<int64_t>(0, n));
  };
  auto promise = [&](Plan::Preemptible* preemptible) {
    for (int n = std::min(tasks, fits(preemptible->room)); n > 0; --n, --tasks) {
      preemptible->room -= spec.each;
    }
  };
  struct Choice {
    Plan::Preemptible* preemptible;
    const std::string* machine;
    std::vector<size_t> stops;
    int64_t cost;
  };
  std::vector<Choice> choices;
  for (const PlaceMachine& m : plan->machines) {
    auto found = plan->preemptible.find(m.name);
    if (found == plan->preemptible.end() || !m.usable || !Allowed(spec, spread, m)) continue;
    Plan::Preemptible& preemptible = found->second;
    promise(&preemptible);
    if (tasks <= 0) return;
    Choice choice{&preemptible, &m.name, {}, 0};
    Amount room = preemptible.room;
    for (size_t i = 0; i < preemptible.tasks.size() && !spec.each.Fits(room); ++i) {
      const Plan::Preemptible::Task& t = preemptible.tasks[i];
      if (t.info->stopping || t.spec->priority >= spec.priority) continue;
      room += t.spec->each;
      choice.cost += t.info->running_at == 0 ? 0 : now - t.info->running_at;
      choice.stops.push_back(i);
    }
    if (!spec.each.Fits(room)) continue;
    if (!m.Has(spec.image)) choice.cost += 20 * kSecond;
    choice.cost /= std::clamp(fits(room), 1, tasks);
    choices.push_back(std::move(choice));
  }
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) {
    return a.cost != b.cost ? a.cost < b.cost : *a.machine < *b.machine;
  });
  for (const Choice& c : choices) {
    if (tasks <= 0 || plan->preempted >= kMaxPreempted) return;
    for (size_t i : c.stops) {
      const Plan::Preemptible::Task& t = c.preemptible->tasks[i];
      c.preemptible->room += t.spec->each;
      ++counters_.preempted;
      ++plan->preempted;
      StopAttempt(now, t.attempt, t.info, t.spec->checkpoint > 0 ? t.spec->save + kSecond : 0);
    }
    promise(c.preemptible);
    Push(now, shard_id, *c.machine);
  }
}

}  // namespace troutlink
