// Collects a shard's jobs with pending tasks and orders them.
#include <algorithm>
#include <tuple>

#include "core/core.h"
#include "core/scheduler/order.h"
#include "core/scheduler/plan.h"
#include "core/scheduler/quota.h"

namespace troutlink {

namespace {
// Minimum effective priority of a job that has waited too long for its first start.
constexpr Priority kAgedRank = Priority::kHigh;
constexpr double kPeakFades = 60;           // seconds
constexpr Micros kNoLimit = 600 * kSecond;  // for jobs without a deadline or objective
}  // namespace

// Latest start times of a job, ascending: from its deadline, counted from submission; from the
// objectives of its class, counted from when it became ready; and from the jobs that depend on it.
std::vector<Micros> Core::LatestStarts(const JobEntry& job) const {
  const JobSpec& spec = job.record.spec;
  const Micros submitted = job.record.submitted;
  std::vector<Micros> out;
  if (spec.deadline > 0) out.push_back(submitted + spec.deadline - spec.estimate);
  if (job.inherited_latest_start != Urgency::kNoLimit) out.push_back(job.inherited_latest_start);
  for (const Objective& o : settings_.objectives) {
    if (o.job_class != spec.job_class) continue;
    if (o.kind == Objective::Kind::kWait && o.within > 0) out.push_back(job.ready_at + o.within);
    if (o.kind == Objective::Kind::kFinished && o.within > 0) {
      out.push_back(job.ready_at + o.within - spec.estimate);
    }
    if (o.kind == Objective::Kind::kDeadline && spec.deadline > 0) {
      const auto due = static_cast<Micros>(o.times * static_cast<double>(spec.deadline));
      out.push_back(submitted + due - spec.estimate);
    }
  }
  if (out.empty()) out.push_back(job.ready_at + kNoLimit);
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

Micros Core::LatestStart(const JobEntry& job) const { return LatestStarts(job).front(); }

// Each team's usage over all shards, with the planned usage for this shard.
std::map<std::string, QuotaShare> Core::UsageInAllShards(int shard_id, const Plan& plan) const {
  std::map<std::string, QuotaShare> everywhere = plan.use.teams;
  for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
    if (other_id == shard_id) continue;
    for (const auto& [team, use] : shards_[static_cast<size_t>(other_id)].usage.total.teams) {
      everywhere[team].cpus += use.cpus;
      everywhere[team].gpus += use.gpus;
    }
  }
  return everywhere;
}

// Collects the jobs of a shard that have tasks to start.
std::vector<Core::PendingJob> Core::CollectPendingJobs(Micros now, int shard_id, const Plan& plan) {
  std::map<std::string, QuotaShare> everywhere = UsageInAllShards(shard_id, plan);
  std::vector<PendingJob> waiting;
  double array_cpus = 0;
  for (auto& [id, run] : executions_) {
    if (run.shard_id != shard_id) continue;
    const JobEntry* job = jobs_.Find(id);
    if (job == nullptr || jobs_.StateOf(id) != KnownJobState::kOpen) continue;
    const JobSpec& spec = job->record.spec;
    int left = static_cast<int>(run.tasks.size()) - run.done - run.placed;
    if (spec.kind != JobKind::kService) {
      array_cpus += static_cast<double>((left + run.placed) * spec.task_resources.cpus);
    }
    if (left <= 0 || now < health_.NextStart(id)) continue;
    // A gang starts as a whole: remaining tasks of a failed gang must end first.
    if (spec.kind == JobKind::kGang && run.placed > 0) continue;
    const Team* team = settings_.FindTeam(spec.team);
    if (team == nullptr) continue;
    bool within =
        team->cpus > 0 && everywhere[spec.team].cpus + spec.task_resources.cpus <= team->cpus;
    // Starvation protection: a job that has waited too long for its first start is served before
    // others of its priority.
    const Micros starve = FromSeconds(settings_.operator_settings.starve_s());
    const bool aged =
        run.done + run.placed == 0 && starve > 0 && WallNow(now) - job->ready_at > starve;
    // One task of an aged array starts even if work of higher priority takes all capacity.
    Priority rank = spec.priority;
    if (aged && spec.kind == JobKind::kArray && spec.priority < kAgedRank) {
      rank = kAgedRank;
      left = 1;
    }
    std::vector<Micros> limits = LatestStarts(*job);
    size_t tier = 0;
    while (spec.kind != JobKind::kService && tier < limits.size() && limits[tier] < WallNow(now)) {
      ++tier;
    }
    double work =
        static_cast<double>(left * spec.task_resources.cpus) / 1000 * ToSeconds(spec.estimate);
    waiting.push_back({&spec, &run, left, rank, within, aged, std::move(limits), tier, work,
                       job->ready_at, job->record.moves});
  }
  NoteArrayPeak(now, &shards_[static_cast<size_t>(shard_id)], array_cpus);
  return waiting;
}

// Updates the decaying peak of array demand. It decays linearly to zero within kPeakDecaySeconds.
void Core::NoteArrayPeak(Micros now, Shard* shard, double array_cpus) {
  const double age = ToSeconds(now - shard->cycle.peak_at);
  double faded = shard->cycle.peak * std::max(0.0, 1.0 - age / kPeakFades);
  if (array_cpus >= faded) {
    shard->cycle.peak = faded = array_cpus;
    shard->cycle.peak_at = now;
  }
  shard->cycle.array_peak = faded;
}

// CPUs of each team's quota share in this shard that its services leave to arrays. Teams without a
// limit are left out.
std::map<std::string, double> Core::TeamCapacities(int shard_id, const Plan& plan) const {
  std::map<std::string, double> capacities;
  for (const Team& team : settings_.teams) {
    if (team.cpus_max <= 0) continue;
    const QuotaShare share =
        QuotaShareOf(plan.assignments, team, shard_id, settings_.shard_count());
    capacities[team.name] = static_cast<double>(share.cpus) / 1000;
  }
  for (const auto& [id, run] : executions_) {
    const JobEntry* job = run.shard_id == shard_id && run.placed > 0 ? jobs_.Find(id) : nullptr;
    if (job == nullptr || job->record.spec.kind != JobKind::kService) continue;
    auto capacity = capacities.find(job->record.spec.team);
    if (capacity == capacities.end()) continue;
    capacity->second -=
        static_cast<double>(run.placed * job->record.spec.task_resources.cpus) / 1000;
  }
  return capacities;
}

// Defers the largest jobs to their next latest start until the others can meet theirs.
void Core::DeferLargestJobs(Micros wall, double capacity, double ahead,
                            const std::vector<PendingJob*>& jobs) {
  std::vector<OrderItem> items;
  items.reserve(jobs.size());
  for (const PendingJob* job : jobs) items.push_back({&job->limits, job->work, job->tier});
  DeferLargest(wall, capacity, ahead, &items);
  for (size_t i = 0; i < jobs.size(); ++i) jobs[i]->tier = items[i].tier;
}

// Sorts by effective priority and then by latest start. Where not all jobs can be in time, the
// largest are deferred (Moore-Hodgson), so that as many as possible are. Jobs past all their latest
// starts come last, in the order in which they became ready.
void Core::SortPendingJobs(Micros now, int shard_id, const Plan& plan,
                           std::vector<PendingJob>* waiting) const {
  double capacity = 0;
  for (const CandidateMachine& m : plan.machines) {
    capacity += static_cast<double>(std::max<int64_t>(0, m.free.cpus) + m.preemptible.cpus) / 1000;
  }
  auto group = [](const PendingJob& w) {
    return std::make_tuple(-static_cast<int>(w.rank), !w.within, !w.aged);
  };
  auto before = [&group](const PendingJob& a, const PendingJob& b) {
    if (auto x = group(a), y = group(b); x != y) return x < y;
    if (a.aged && a.ready_at != b.ready_at) return a.ready_at < b.ready_at;
    const size_t s = a.lost() ? SIZE_MAX : a.tier, t = b.lost() ? SIZE_MAX : b.tier;
    if (s != t) return s < t;
    if (a.key() != b.key()) return a.key() < b.key();
    return a.spec->id < b.spec->id;
  };
  std::sort(waiting->begin(), waiting->end(), before);
  const std::map<std::string, double> team_capacity = TeamCapacities(shard_id, plan);
  std::map<std::string, double> team_ahead;
  double ahead = 0;  // CPU seconds of the jobs that are served before
  for (auto from = waiting->begin(); capacity > 0 && from != waiting->end();) {
    auto to = std::find_if(from, waiting->end(),
                           [&](const PendingJob& w) { return group(w) != group(*from); });
    if (from->spec->kind != JobKind::kService && !from->aged) {
      std::map<std::string, std::vector<PendingJob*>> by_team;
      std::vector<PendingJob*> all;
      for (auto w = from; w != to; ++w) {
        by_team[w->spec->team].push_back(&*w);
        all.push_back(&*w);
      }
      // A team's quota may be the bottleneck even if machines are free.
      for (const auto& [team, jobs] : by_team) {
        auto limit = team_capacity.find(team);
        if (limit == team_capacity.end()) continue;
        DeferLargestJobs(WallNow(now), limit->second, team_ahead[team], jobs);
      }
      DeferLargestJobs(WallNow(now), capacity, ahead, all);
    }
    for (; from != to; ++from) {
      ahead += from->work;
      team_ahead[from->spec->team] += from->work;
    }
  }
  std::sort(waiting->begin(), waiting->end(), before);
}

}  // namespace troutlink
