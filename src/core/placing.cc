// Which waiting tasks start in a round, in which order, and where.
#include <algorithm>
#include <memory>

#include "core/core.h"
#include "core/plan.h"
#include "core/quota.h"

namespace troutlink {

namespace {
constexpr Micros kWholePatience = 500 * kMilli;
constexpr size_t kOtherConditions = 10;
constexpr Micros kArrayPatience = 2 * kSecond;       // before an array stops other work
constexpr Micros kGuaranteePatience = 300 * kMilli;  // the same within its team's guarantee
constexpr int kMaxPreemptions = 32;                  // jobs that others make way for in one round
constexpr int64_t kLendBelow = 10;                   // steady cpus for each that is kept free
}  // namespace

// How much room services keep, and whether work that stops at once may use it.
Core::Headroom Core::HeadroomOf(int shard_id, const Plan& plan) const {
  Headroom headroom;
  headroom.steady = plan.headroom;
  if (SpreadServices(shard_id)) {
    headroom.zone =
        headroom.steady / static_cast<int64_t>(std::max<size_t>(1, settings_.zones.size()));
  }
  // Stopping lent work takes its time, some of which a service start does not
  // have: where the room that is kept is small beside all there is, it stays free.
  int64_t steady = 0, largest = 0;
  for (const PlaceMachine& machine : plan.machines) {
    if (machine.usable && !machine.spot) steady += machine.size.cpus;
  }
  headroom.lend = headroom.steady * kLendBelow > steady;
  for (const auto& [id, run] : runs_) {
    const JobEntry* job = run.shard_id == shard_id ? FindJob(id) : nullptr;
    if (job == nullptr || job->record.spec.kind != JobKind::kService) continue;
    largest = std::max(largest, job->record.spec.tasks * job->record.spec.each.cpus);
  }
  // With room to spare, half of the largest service finds its image at once.
  if (headroom.steady > 0) {
    headroom.image = static_cast<int64_t>(1000 * settings_.op.image_headroom_cpus());
  }
  if (!headroom.lend) {
    headroom.image = std::max(headroom.image, std::min(largest / 2, headroom.steady));
  }
  return headroom;
}

// Conditions of a transaction are limited: the leadership, the chunks of this shard and of
// one other, and some jobs that are done or move take theirs.
size_t Core::MaxJobsOfRound(int shard_id) const {
  size_t others = 0;
  for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
    if (other_id == shard_id) continue;
    others = std::max(others, shards_[static_cast<size_t>(other_id)].chunks.size());
  }
  const size_t taken =
      shards_[static_cast<size_t>(shard_id)].chunks.size() + others + kOtherConditions;
  const size_t conditions = 4 * static_cast<size_t>(settings_.txn_ops);
  return conditions > taken ? conditions - taken : 1;
}

// Arrays leave a little of the team's limit to its own services.
Share Core::KeptForServices(const JobSpec& spec, const Team& team) const {
  Share kept;
  if (spec.priority == Priority::kProduction || service_teams_.count(spec.team) == 0) return kept;
  const auto headroom = static_cast<int64_t>(1000 * settings_.op.team_headroom_cpus());
  kept.cpus = std::min<int64_t>(headroom, team.cpus_max / 4) / settings_.shard_count();
  return kept;
}

void Core::PlanPlacement(Micros now, int shard_id, Plan* plan) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  std::vector<Waiting> waiting = CollectWaiting(now, shard_id, *plan);
  OrderWaiting(now, *plan, &waiting);
  // Batches widen with the load.
  uint32_t batch = std::max(shard.batch, settings_.op.batch());
  uint32_t started = 0;
  const size_t most_jobs = MaxJobsOfRound(shard_id);
  const Headroom headroom = HeadroomOf(shard_id, *plan);
  int preemptions = 0, array_preemptions = 0;
  const std::optional<Priority> lowest = LowestPlacedPriority(shard_id);
  // Reserved machines stand partly idle: a few of them at a time.
  size_t reserved = 0;
  const size_t most_reserved = 1 + plan->machines.size() / 20;
  std::set<std::string> no_room;  // shapes that found no machine in this round
  for (const Waiting& w : waiting) {
    const JobSpec& spec = *w.spec;
    if (started >= batch || plan->jobs.size() >= most_jobs) break;
    const Team& team = *FindTeam(spec.team);
    const bool tail = plan->assignments.helps.count(spec.id) != 0;
    const JobSpread& spread = plan->SpreadOf(spec);
    const Share kept = KeptForServices(spec, team);
    bool asked_share = false;
    const bool gang = spec.kind == JobKind::kGang;
    // A service that spreads is not begun where it cannot be completed, as long
    // as another shard may take it: its replicas would tie it to this one.
    const bool whole =
        gang ||
        (spec.spread && spec.kind == JobKind::kService && w.run->placed == 0 && w.moves < 2 &&
         (w.run->unplaced_since == 0 || now - w.run->unplaced_since < kWholePatience));
    std::unique_ptr<Plan> before = gang ? std::make_unique<Plan>(*plan) : nullptr;
    const size_t begun = plan->started.size();
    const uint64_t gang_number = gang ? NextNumber(shard_id, plan) : 0;
    PlaceRequest request;
    request.spec = &spec;
    request.spread = &spread;
    request.tail = tail;
    request.steady_headroom = headroom.steady;
    request.zone_headroom = headroom.zone;
    request.image_headroom = headroom.image;
    request.lend = headroom.lend;
    // An array of the same shape found no machine a moment ago: nor will this one.
    const std::string shape =
        spec.kind != JobKind::kArray || spec.spread || spec.one_zone || tail ? "" : ShapeOf(spec);
    int left = w.tasks;
    int on = -1;  // the machine that is being filled
    bool no_machine = !shape.empty() && no_room.count(shape) != 0;
    for (size_t i = static_cast<size_t>(w.run->hint);
         i < w.run->tasks.size() && left > 0 && !no_machine; ++i) {
      if (w.run->tasks[i] != kWaiting) continue;
      if (started >= batch && !whole) break;
      auto within = [&] {
        Share share = ShareOf(plan->assignments, team, shard_id, settings_.shard_count());
        share.cpus -= kept.cpus;
        return WithinShare(team, share, plan->use.teams[spec.team], spec.each);
      };
      if (!within()) {
        if (asked_share) break;
        asked_share = true;
        Share want{spec.each.cpus * left + kept.cpus, spec.each.gpus * left};
        if (!PlanQuotaTransfer(now, shard_id, plan, team, want) || !within()) {
          if (spec.priority == Priority::kProduction) PreemptTeam(now, shard_id, plan, spec);
          plan->limited[spec.team] += left;
          break;
        }
      }
      // An array's tasks fill one machine after the other.
      bool fits = on >= 0 && !shape.empty() && plan->machines[static_cast<size_t>(on)].spot &&
                  spec.each.Fits(plan->machines[static_cast<size_t>(on)].free);
      if (!fits) on = ChooseMachine(request, plan->machines, plan->index);
      if (on < 0 && plan->windowed) {
        // A machine of another chunk has room: no reason to take or rent one.
        request.closed_too = true;
        const bool soon = ChooseMachine(request, plan->machines, plan->index) >= 0;
        request.closed_too = false;
        if (soon) {
          shard.dirty = true;
          break;
        }
      }
      if (on < 0) {
        // A take that comes to nothing is undone with the rest.
        if (whole && before == nullptr) before = std::make_unique<Plan>(*plan);
        if (PlanAcquisition(now, shard_id, plan, spec)) {
          on = ChooseMachine(request, plan->machines, plan->index);
        }
      }
      if (on < 0) {
        no_machine = true;
        if (!shape.empty()) no_room.insert(shape);
        break;
      }
      PlaceMachine& machine = plan->machines[static_cast<size_t>(on)];
      if (!spec.image.empty()) {
        plan->index.Remove(machine);
        if (!machine.Has(spec.image)) machine.fetching.push_back(spec.image);
        plan->index.Add(&machine);
      }
      plan->Occupy(&machine, spec, 1);
      plan->Change(machine.name);
      // The tasks of a gang find each other by a common attempt.
      Attempt a{spec.id, static_cast<int>(i), gang ? gang_number : NextNumber(shard_id, plan)};
      plan->assignments.machines[machine.name].attempts.push_back(a);
      plan->started.emplace_back(machine.name, a);
      if (machine.helps == spec.id) {
        plan->assignments.helps[spec.id].credit -=
            static_cast<double>(spec.each.cpus) / 1000.0 * ToSeconds(spec.estimate) / 3600.0;
      }
      ++started;
      --left;
      if (!whole) w.run->unplaced_since = 0;
    }
    if (whole && left > 0) {
      if (before != nullptr) *plan = std::move(*before);
      Withdraw(plan, spec, begun);
      started = static_cast<uint32_t>(plan->started.size());
      if (w.run->unplaced_since == 0) w.run->unplaced_since = now;
      if (no_machine) plan->unplaced.push_back({&spec, w.tasks, tail});
      continue;
    }
    if (plan->started.size() > begun) {
      plan->jobs.insert(spec.id);
      plan->urgent = true;
      plan->critical = plan->critical || spec.priority == Priority::kProduction;
    }
    if (no_machine && left > 0) {
      plan->unplaced.push_back({&spec, left, tail});
      if (w.run->unplaced_since == 0) w.run->unplaced_since = now;
      if (w.aged && plan->started.size() == begun && reserved < most_reserved) {
        ++reserved;
        Reserve(plan, spec);
      }
      if (spec.priority == Priority::kProduction && now - shard.explained_at > kSecond) {
        shard.explained_at = now;
        Log(LogLine::Level::kDebug,
            "no room for " + spec.id + " (" + std::to_string(left) + " left)");
      }
      // Not for too many at once.
      if (spec.priority == Priority::kProduction) {
        if (++preemptions <= kMaxPreemptions) PlanPreemption(now, shard_id, plan, spec, left);
      } else if (lowest && spec.priority > *lowest && spec.kind == JobKind::kArray &&
                 now - w.run->unplaced_since >= (w.within ? kGuaranteePatience : kArrayPatience) &&
                 ++array_preemptions <= kMaxPreemptions) {
        const int within_limit = TasksWithinLimit(*plan, team, shard_id, spec, kept);
        if (within_limit > 0) {
          PlanPreemption(now, shard_id, plan, spec, std::min(left, within_limit));
        }
      }
    }
  }
  shard.batch =
      started >= batch ? std::min(batch * 2, settings_.op.batch_most()) : settings_.op.batch();
}

// How many more tasks of a job its team's limit allows in this shard.
int Core::TasksWithinLimit(const Plan& plan, const Team& team, int shard_id, const JobSpec& spec,
                           const Share& kept) const {
  const Share share = ShareOf(plan.assignments, team, shard_id, settings_.shard_count());
  auto used = plan.use.teams.find(spec.team);
  const Share in_use = used == plan.use.teams.end() ? Share() : used->second;
  int64_t tasks = spec.tasks;
  if (team.cpus_max > 0 && spec.each.cpus > 0) {
    tasks = std::min(tasks, (share.cpus - kept.cpus - in_use.cpus) / spec.each.cpus);
  }
  if (team.gpus_max > 0 && spec.each.gpus > 0) {
    tasks = std::min(tasks, (share.gpus - kept.gpus - in_use.gpus) / spec.each.gpus);
  }
  return static_cast<int>(std::max<int64_t>(0, tasks));
}

// For a job that has waited too long: its tasks need more room than what is left
// wherever smaller ones keep filling up. The machine with most room takes nothing
// else until one of them fits.
void Core::Reserve(Plan* plan, const JobSpec& spec) {
  PlaceMachine* best = nullptr;
  const JobSpread& spread = plan->SpreadOf(spec);
  for (PlaceMachine& m : plan->machines) {
    if (!m.usable || !m.helps.empty() || !spec.each.Fits(m.size) || !Allowed(spec, spread, m)) {
      continue;
    }
    if (best == nullptr || m.free.cpus > best->free.cpus) best = &m;
  }
  if (best == nullptr) return;
  plan->index.Remove(*best);
  best->usable = false;
}

// Takes back what was placed of a job since `begun`.
void Core::Withdraw(Plan* plan, const JobSpec& spec, size_t begun) {
  while (plan->started.size() > begun) {
    const auto& [name, attempt] = plan->started.back();
    std::erase(plan->assignments.machines[name].attempts, attempt);
    for (PlaceMachine& m : plan->machines) {
      if (m.name == name) plan->Occupy(&m, spec, -1);
    }
    plan->started.pop_back();
  }
}

// Jobs of one shape fit on the same machines.
std::string Core::ShapeOf(const JobSpec& spec) {
  std::string out = std::to_string(spec.each.cpus) + "/" + std::to_string(spec.each.gpus) + "/" +
                    std::to_string(spec.each.memory) + "/" + spec.zone + (spec.spot ? "/s" : "/") +
                    (spec.checkpoint > 0 ? "c" : "") +
                    std::to_string(static_cast<int>(spec.priority));
  for (const std::string& t : spec.types) out += "/" + t;
  return out;
}

}  // namespace troutlink
