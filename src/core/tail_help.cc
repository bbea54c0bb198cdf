// Help for the tail of array jobs: SpeQuloS' trigger, sizing and order.
#include <algorithm>

#include "core/core.h"
#include "core/plan.h"
#include "core/tail.h"

namespace troutlink {

// The tail of array jobs: SpeQuloS' trigger, sizing and order (docs/design.md).
void Core::PlanTailHelp(Micros now, int shard_id, Plan* plan) {
  for (auto& [id, run] : runs_) {
    if (run.shard_id != shard_id) continue;
    const JobEntry* job = FindJob(id);
    if (job == nullptr || JobOver(id) || job->record.spec.kind != JobKind::kArray) continue;
    const JobSpec& spec = job->record.spec;
    if (!TailReached(settings_.op.tail_threshold(), run.done, spec.tasks)) continue;
    Micros median = 0;
    if (!run.durations.empty()) {
      std::vector<Micros> sorted = run.durations;
      auto mid = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
      std::nth_element(sorted.begin(), mid, sorted.end());
      median = *mid;
    }
    int pending = spec.tasks - run.done - run.placed;
    std::vector<std::pair<Attempt, AttemptInfo*>> overdue;
    for (auto it = attempts_.lower_bound({id, 0, 0}); it != attempts_.end() && it->first.job == id;
         ++it) {
      auto& [a, at] = *it;
      if (at.gone || at.stopping || at.running_at == 0) continue;
      if (run.moved.count(a.task) != 0) continue;
      if (TailOverdue(now - at.running_at, median, settings_.op.overdue_margin())) {
        overdue.emplace_back(a, &at);
      }
    }
    int candidates = pending + static_cast<int>(overdue.size());
    if (candidates == 0) continue;
    JobSpread& spread = plan->SpreadOf(spec);
    // Steady room that the shard has already serves as a helper at no new cost.
    int room = 0;
    for (const PlaceMachine& m : plan->machines) {
      if (m.spot || !m.usable || !Allowed(spec, spread, m)) continue;
      if (!m.helps.empty() && m.helps != id) continue;
      Amount left = m.free;
      while (spec.each.Fits(left) && room < candidates && spec.each.cpus > 0) {
        left -= spec.each;
        ++room;
      }
    }
    if (plan->assignments.helps.count(id) == 0) {
      double credit =
          TailCredit(settings_.op.credit_share(), spec.tasks, spec.estimate, spec.each.cpus);
      Micros elapsed = WallNow(now) - job->record.submitted;
      double cpus = TailCpus(credit, TailRemaining(elapsed, run.done, spec.tasks));
      plan->assignments.helps[id] = {credit};
      plan->urgent = true;
      ++counters_.tails;
      Offer offer;
      if (candidates > room &&
          PickOffer(now, spec, spread, false, InZones(plan->assignments), &offer)) {
        int n = TailHelpers(cpus, candidates - room, spec.each.cpus, offer.type->size.cpus);
        if (n > 0) {
          AddRental(shard_id, plan, offer, false, n, id, "the tail of " + id);
          counters_.helpers += static_cast<uint64_t>(n);
        }
      }
    }
    if (plan->assignments.helps[id].credit <= 0) continue;  // help ends with the credit
    room -= pending;
    for (auto& [a, at] : overdue) {
      if (room <= 0) break;
      const PlaceMachine* on = nullptr;
      for (const PlaceMachine& m : plan->machines) {
        if (m.name == at->machine) on = &m;
      }
      // A steady machine that is well gives it no better place to go.
      if (on != nullptr && !on->spot && on->usable && on->helps == id) continue;
      --room;
      run.moved.insert(a.task);
      at->moved = true;
      ++counters_.overdue;
      plan->assignments.helps[id].credit -=
          static_cast<double>(spec.each.cpus) / 1000.0 * ToSeconds(median) / 3600.0;
      StopAttempt(now, a, at, spec.checkpoint > 0 ? spec.save + kSecond : 0);
      Push(now, shard_id, at->machine);
    }
  }
}

}  // namespace troutlink
