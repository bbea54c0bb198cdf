// Work that makes way for more important work.
#include <algorithm>

#include "core/core.h"
#include "core/draft.h"

namespace troutlink {

namespace {
constexpr int kMostPreempted = 64;  // tasks that do
}  // namespace

// A critical job is held up by its own team's limit: a less important task of
// that team makes way.
void Core::PreemptTeam(Micros now, int part, Draft* draft, const JobSpec& spec) {
  const Attempt* best = nullptr;
  AttemptInfo* best_info = nullptr;
  for (const auto& [name, m] : draft->roster.machines) {
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
  Push(now, part, best_info->machine);
}

// What may be stopped on each machine, looked up once a round.
void Core::LookForLesser(Draft* draft) {
  draft->looked_for_lesser = true;
  for (const PlaceMachine& m : draft->machines) {
    auto roster = draft->roster.machines.find(m.name);
    if (!m.usable || !m.helps.empty() || roster == draft->roster.machines.end()) continue;
    if (m.lesser.cpus <= 0 && m.lesser.memory <= 0 && m.lesser.gpus <= 0) continue;
    Draft::Lesser& lesser = draft->lesser[m.name];
    lesser.room = m.free;
    for (const Attempt& a : roster->second.attempts) {
      auto at = attempts_.find(a);
      const JobEntry* job = FindJob(a.job);
      if (at == attempts_.end() || job == nullptr) continue;
      if (at->second.stopping) {
        lesser.room += job->record.spec.each;  // about to be free
      } else if (at->second.seen) {
        lesser.tasks.push_back({a, &at->second, &job->record.spec});
      }
    }
  }
}

// Makes room for `tasks` of critical work by stopping the least important work that
// is in its way, on as many machines as it takes: after a zone was lost hundreds of
// replicas wait, and one machine at a time took half a minute. What is being stopped
// already counts as room to come.
void Core::DraftPreemption(Micros now, int part, Draft* draft, const JobSpec& spec, int tasks) {
  if (!draft->looked_for_lesser) LookForLesser(draft);
  JobSpread& spread = draft->SpreadOf(spec);
  auto fits = [&spec](const Amount& room) {
    int64_t n = 1 << 20;
    if (spec.each.cpus > 0) n = std::min(n, room.cpus / spec.each.cpus);
    if (spec.each.gpus > 0) n = std::min(n, room.gpus / spec.each.gpus);
    if (spec.each.memory > 0) n = std::min(n, room.memory / spec.each.memory);
    return static_cast<int>(std::max<int64_t>(0, n));
  };
  auto promise = [&](Draft::Lesser* lesser) {
    for (int n = std::min(tasks, fits(lesser->room)); n > 0; --n, --tasks) {
      lesser->room -= spec.each;
    }
  };
  struct Choice {
    Draft::Lesser* lesser;
    const std::string* machine;
    std::vector<size_t> stops;
    int64_t cost;
  };
  std::vector<Choice> choices;
  for (const PlaceMachine& m : draft->machines) {
    auto found = draft->lesser.find(m.name);
    if (found == draft->lesser.end() || !m.usable || !Allowed(spec, spread, m)) continue;
    Draft::Lesser& lesser = found->second;
    promise(&lesser);
    if (tasks <= 0) return;
    Choice choice{&lesser, &m.name, {}, 0};
    Amount room = lesser.room;
    for (size_t i = 0; i < lesser.tasks.size() && !spec.each.Fits(room); ++i) {
      const Draft::Lesser::Task& t = lesser.tasks[i];
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
    if (tasks <= 0 || draft->preempted >= kMostPreempted) return;
    for (size_t i : c.stops) {
      const Draft::Lesser::Task& t = c.lesser->tasks[i];
      c.lesser->room += t.spec->each;
      ++counters_.preempted;
      ++draft->preempted;
      StopAttempt(now, t.attempt, t.info, t.spec->checkpoint > 0 ? t.spec->save + kSecond : 0);
    }
    promise(c.lesser);
    Push(now, part, *c.machine);
  }
}

}  // namespace troutlink
