// Which waiting tasks start in a round, in which order, and where.
#include <algorithm>
#include <memory>
#include <tuple>

#include "core/core.h"
#include "core/order.h"
#include "core/plan.h"
#include "core/quota.h"

namespace troutlink {

namespace {
constexpr Micros kWholePatience = 500 * kMilli;
constexpr size_t kOtherConditions = 10;
constexpr Micros kArrayPatience = 2 * kSecond;       // before an array stops other work
constexpr Micros kGuaranteePatience = 300 * kMilli;  // the same within its team's guarantee
constexpr Priority kAgedRank = Priority::kHigh;
constexpr int kMaxPreemptions = 32;  // jobs that others make way for in one round
constexpr int64_t kLendBelow = 10;   // steady cpus for each that is kept free
}  // namespace

// By the deadline, and by what the objectives expect of the class; earliest first.
std::vector<Micros> Core::LatestStarts(const JobRecord& record) const {
  const JobSpec& spec = record.spec;
  std::vector<Micros> out;
  if (spec.deadline > 0) out.push_back(spec.deadline - spec.estimate);
  for (const Objective& o : settings_.objectives) {
    if (o.job_class != spec.job_class) continue;
    if (o.kind == Objective::Kind::kWait && o.within > 0) out.push_back(o.within);
    if (o.kind == Objective::Kind::kFinished && o.within > 0) {
      out.push_back(o.within - spec.estimate);
    }
    if (o.kind == Objective::Kind::kDeadline && spec.deadline > 0) {
      out.push_back(static_cast<Micros>(o.times * static_cast<double>(spec.deadline)) -
                    spec.estimate);
    }
  }
  if (out.empty()) out.push_back(600 * kSecond);
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  for (Micros& at : out) at += record.submitted;
  return out;
}

Micros Core::LatestStart(const JobRecord& record) const { return LatestStarts(record).front(); }

void Core::PlanPlacement(Micros now, int shard_id, Plan* plan) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  struct Waiting {
    const JobSpec* spec;
    JobRun* run;
    int tasks;
    Priority rank;               // its place in the order; its priority, or higher once aged
    bool within;                 // its team's guarantee
    bool aged;                   // has waited too long without a start
    std::vector<Micros> limits;  // latest starts, one for each aim
    size_t tier;                 // the first of them that can be kept
    double work;                 // cpu seconds that wait
    Micros submitted;
    int moves;
    bool lost() const { return tier >= limits.size(); }
    Micros key() const { return lost() ? submitted : limits[tier]; }
  };
  std::map<std::string, Share> everywhere = plan->use.teams;  // over all shards
  for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
    if (other_id == shard_id) continue;
    for (const auto& [team, use] : shards_[static_cast<size_t>(other_id)].use.teams) {
      everywhere[team].cpus += use.cpus;
      everywhere[team].gpus += use.gpus;
    }
  }
  std::vector<Waiting> waiting;
  double array_cpus = 0;
  for (auto& [id, run] : runs_) {
    if (run.shard_id != shard_id) continue;
    const JobEntry* job = FindJob(id);
    if (job == nullptr || JobOver(id)) continue;
    const JobSpec& spec = job->record.spec;
    int left = static_cast<int>(run.tasks.size()) - run.done - run.placed;
    if (spec.kind != JobKind::kService) {
      array_cpus += static_cast<double>((left + run.placed) * spec.each.cpus);
    }
    if (left <= 0 || now < health_.NextStart(id)) continue;
    // A gang starts whole: those that are left of a broken one leave first.
    if (spec.kind == JobKind::kGang && run.placed > 0) continue;
    const Team* team = FindTeam(spec.team);
    if (team == nullptr) continue;
    bool within = team->cpus > 0 && everywhere[spec.team].cpus + spec.each.cpus <= team->cpus;
    // Whatever the order, nothing waits for ever: what has waited long without a
    // single start comes first.
    const Micros starve = FromSeconds(settings_.op.starve_s());
    const bool aged =
        run.done + run.placed == 0 && starve > 0 && WallNow(now) - job->record.submitted > starve;
    // Where more important work leaves no room at all, one task of it starts in its place.
    Priority rank = spec.priority;
    if (aged && spec.kind == JobKind::kArray && spec.priority < kAgedRank) {
      rank = kAgedRank;
      left = 1;
    }
    std::vector<Micros> limits = LatestStarts(job->record);
    size_t tier = 0;
    while (spec.kind != JobKind::kService && tier < limits.size() && limits[tier] < WallNow(now)) {
      ++tier;
    }
    double work = static_cast<double>(left * spec.each.cpus) / 1000 * ToSeconds(spec.estimate);
    waiting.push_back({&spec, &run, left, rank, within, aged, std::move(limits), tier, work,
                       job->record.submitted, job->record.moves});
  }
  // The recent peak fades within a minute, and to nothing: a share of it that
  // only dwindled would keep a last machine for long.
  double faded = shard.peak * std::max(0.0, 1.0 - ToSeconds(now - shard.peak_at) / 60.0);
  if (array_cpus >= faded) {
    shard.peak = faded = array_cpus;
    shard.peak_at = now;
  }
  shard.array_peak = faded;
  // Most urgent first, as long as all can be in time. When they cannot, what costs
  // most is put off until its next aim, so that as many as possible are (Moore and
  // Hodgson). Late ones come last, in the order of their coming.
  double capacity = 0;
  for (const PlaceMachine& m : plan->machines) {
    capacity += static_cast<double>(std::max<int64_t>(0, m.free.cpus) + m.preemptible.cpus) / 1000;
  }
  auto group = [](const Waiting& w) {
    return std::make_tuple(-static_cast<int>(w.rank), !w.within, !w.aged);
  };
  auto before = [&group](const Waiting& a, const Waiting& b) {
    if (auto x = group(a), y = group(b); x != y) return x < y;
    if (a.aged && a.submitted != b.submitted) return a.submitted < b.submitted;
    const size_t s = a.lost() ? SIZE_MAX : a.tier, t = b.lost() ? SIZE_MAX : b.tier;
    if (s != t) return s < t;
    if (a.key() != b.key()) return a.key() < b.key();
    return a.spec->id < b.spec->id;
  };
  std::sort(waiting.begin(), waiting.end(), before);
  double ahead = 0;  // cpu seconds of what comes first
  for (auto from = waiting.begin(); capacity > 0 && from != waiting.end();) {
    auto to = std::find_if(from, waiting.end(),
                           [&](const Waiting& w) { return group(w) != group(*from); });
    if (from->spec->kind != JobKind::kService && !from->aged) {
      std::vector<OrderItem> items;
      for (auto w = from; w != to; ++w) items.push_back({&w->limits, w->work, w->tier});
      PutOff(WallNow(now), capacity, ahead, &items);
      for (auto w = from; w != to; ++w) w->tier = items[static_cast<size_t>(w - from)].tier;
    }
    for (; from != to; ++from) ahead += from->work;
  }
  std::sort(waiting.begin(), waiting.end(), before);
  // Batches widen with the load.
  uint32_t batch = std::max(shard.batch, settings_.op.batch());
  uint32_t started = 0;
  // Conditions are limited too: the leadership, the chunks of this shard and of one other,
  // and some jobs that are done or move take theirs.
  size_t others = 0;
  for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
    if (other_id != shard_id)
      others = std::max(others, shards_[static_cast<size_t>(other_id)].chunks.size());
  }
  const size_t taken = shard.chunks.size() + others + kOtherConditions;
  const size_t conditions = 4 * static_cast<size_t>(settings_.txn_ops);
  const size_t most_jobs = conditions > taken ? conditions - taken : 1;
  const int64_t headroom = plan->headroom;
  const int64_t zone_headroom =
      SpreadServices(shard_id)
          ? headroom / static_cast<int64_t>(std::max<size_t>(1, settings_.zones.size()))
          : 0;
  // Stopping lent work takes its time, some of which a service start does not
  // have: where the room that is kept is small beside all there is, it stays free.
  int64_t steady = 0, largest = 0;
  for (const PlaceMachine& m : plan->machines) {
    if (m.usable && !m.spot) steady += m.size.cpus;
  }
  const bool lend = headroom * kLendBelow > steady;
  for (const auto& [id, run] : runs_) {
    const JobEntry* job = run.shard_id == shard_id ? FindJob(id) : nullptr;
    if (job == nullptr || job->record.spec.kind != JobKind::kService) continue;
    largest = std::max(largest, job->record.spec.tasks * job->record.spec.each.cpus);
  }
  // With room to spare, half of the largest service finds its image at once.
  int64_t image_headroom =
      headroom > 0 ? static_cast<int64_t>(1000 * settings_.op.image_headroom_cpus()) : 0;
  if (!lend) image_headroom = std::max(image_headroom, std::min(largest / 2, headroom));
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
    // Arrays leave a little of the team's limit to its own services.
    Share kept;
    if (spec.priority != Priority::kProduction && service_teams_.count(spec.team) != 0) {
      kept.cpus = std::min<int64_t>(static_cast<int64_t>(1000 * settings_.op.team_headroom_cpus()),
                                    team.cpus_max / 4) /
                  settings_.shard_count();
    }
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
    request.steady_headroom = headroom;
    request.zone_headroom = zone_headroom;
    request.image_headroom = image_headroom;
    request.lend = lend;
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
