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
constexpr Priority kAgedPriority = Priority::kHigh;
constexpr double kPeakDecaySeconds = 60;           // seconds
constexpr Micros kDefaultMaxWait = 600 * kSecond;  // for jobs without a deadline or objective
}  // namespace

// Latest start times of a job, ascending: from its deadline, counted from submission; from the
// objectives of its class, counted from when it became ready; and from the jobs that depend on it.
std::vector<Micros> Core::LatestStarts(const JobEntry& job) const {
  const JobSpec& spec = job.record.spec;
  const Micros submitted = job.record.submitted;
  std::vector<Micros> out;
  if (spec.deadline > 0) out.push_back(submitted + spec.deadline - spec.estimate);
  if (job.inherited_latest_start != Urgency::kNoLimit) out.push_back(job.inherited_latest_start);
  for (const Objective& objective : settings_.objectives) {
    if (objective.job_class != spec.job_class) continue;
    if (objective.kind == Objective::Kind::kWait && objective.within > 0)
      out.push_back(job.ready_at + objective.within);
    if (objective.kind == Objective::Kind::kFinished && objective.within > 0) {
      out.push_back(job.ready_at + objective.within - spec.estimate);
    }
    if (objective.kind == Objective::Kind::kDeadline && spec.deadline > 0) {
      const auto due = static_cast<Micros>(objective.times * static_cast<double>(spec.deadline));
      out.push_back(submitted + due - spec.estimate);
    }
  }
  if (out.empty()) out.push_back(job.ready_at + kDefaultMaxWait);
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

Micros Core::LatestStart(const JobEntry& job) const { return LatestStarts(job).front(); }

// Each team's usage over all shards, with the planned usage for this shard.
std::map<std::string, QuotaShare> Core::UsageInAllShards(int shard_id, const Plan& plan) const {
  std::map<std::string, QuotaShare> usage_by_team = plan.usage.teams;
  for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
    if (other_id == shard_id) continue;
    for (const auto& [team, usage] : shards_[static_cast<size_t>(other_id)].usage.total.teams) {
      usage_by_team[team].cpus += usage.cpus;
      usage_by_team[team].gpus += usage.gpus;
    }
  }
  return usage_by_team;
}

// Collects the jobs of a shard that have tasks to start.
std::vector<Core::PendingJob> Core::CollectPendingJobs(Micros now, int shard_id, const Plan& plan) {
  std::map<std::string, QuotaShare> usage_by_team = UsageInAllShards(shard_id, plan);
  std::vector<PendingJob> pending;
  double array_cpus = 0;
  for (auto& [id, execution] : executions_) {
    if (execution.shard_id != shard_id) continue;
    const JobEntry* job = jobs_.Find(id);
    if (job == nullptr || jobs_.StateOf(id) != KnownJobState::kOpen) continue;
    const JobSpec& spec = job->record.spec;
    TrackWait(now, *job, &execution);
    int left = execution.pending();
    if (spec.kind != JobKind::kService) {
      array_cpus += static_cast<double>((left + execution.placed) * spec.task_resources.cpus);
    }
    if (left <= 0) continue;
    if (now < health_.NextStart(id)) {
      execution.wait_reason = WaitReason::kStartBackoff;
      continue;
    }
    // A gang starts as a whole: remaining tasks of a failed gang must end first.
    if (spec.kind == JobKind::kGang && execution.placed > 0) {
      execution.wait_reason = WaitReason::kGangIncomplete;
      continue;
    }
    const Team* team = settings_.FindTeam(spec.team);
    if (team == nullptr) continue;
    bool within_guarantee =
        team->cpus > 0 && usage_by_team[spec.team].cpus + spec.task_resources.cpus <= team->cpus;
    // Starvation protection: a job that has waited too long for its first start is served before
    // others of its priority.
    const Micros max_wait = FromSeconds(settings_.operator_settings.starve_s());
    const bool aged = execution.done + execution.placed == 0 && max_wait > 0 &&
                      WallNow(now) - job->ready_at > max_wait;
    // One task of an aged array starts even if work of higher priority takes all capacity.
    Priority effective_priority = spec.priority;
    if (aged && spec.kind == JobKind::kArray && spec.priority < kAgedPriority) {
      effective_priority = kAgedPriority;
      left = 1;
    }
    std::vector<Micros> latest_starts = LatestStarts(*job);
    size_t limit_index = 0;
    while (spec.kind != JobKind::kService && limit_index < latest_starts.size() &&
           latest_starts[limit_index] < WallNow(now)) {
      ++limit_index;
    }
    double work =
        static_cast<double>(left * spec.task_resources.cpus) / 1000 * ToSeconds(spec.estimate);
    pending.push_back({&spec, &execution, left, effective_priority, within_guarantee, aged,
                       std::move(latest_starts), limit_index, work, job->ready_at,
                       job->record.moves, now - execution.pending_since});
  }
  UpdateArrayPeak(now, &shards_[static_cast<size_t>(shard_id)], array_cpus);
  return pending;
}

// Updates the decaying peak of array demand. It decays linearly to zero within kPeakDecaySeconds: a
// share of a peak that only approached zero would keep a last machine for long.
void Core::UpdateArrayPeak(Micros now, Shard* shard, double array_cpus) {
  const double age = ToSeconds(now - shard->cycle.array_peak_at);
  double decayed_peak = shard->cycle.array_peak_cpus * std::max(0.0, 1.0 - age / kPeakDecaySeconds);
  if (array_cpus >= decayed_peak) {
    shard->cycle.array_peak_cpus = decayed_peak = array_cpus;
    shard->cycle.array_peak_at = now;
  }
  shard->cycle.decayed_array_peak = decayed_peak;
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
  for (const auto& [id, execution] : executions_) {
    const JobEntry* job =
        execution.shard_id == shard_id && execution.placed > 0 ? jobs_.Find(id) : nullptr;
    if (job == nullptr || job->record.spec.kind != JobKind::kService) continue;
    auto capacity = capacities.find(job->record.spec.team);
    if (capacity == capacities.end()) continue;
    capacity->second -=
        static_cast<double>(execution.placed * job->record.spec.task_resources.cpus) / 1000;
  }
  return capacities;
}

// Defers the largest jobs to their next latest start until the others can meet theirs.
void Core::DeferLargestJobs(Micros wall, double capacity, double ahead,
                            const std::vector<PendingJob*>& jobs) {
  std::vector<OrderItem> items;
  items.reserve(jobs.size());
  for (const PendingJob* job : jobs)
    items.push_back({&job->latest_starts, job->work, job->limit_index});
  DeferLargest(wall, capacity, ahead, &items);
  for (size_t i = 0; i < jobs.size(); ++i) jobs[i]->limit_index = items[i].limit_index;
}

// Sorts by effective priority and then by latest start. Where not all jobs can be in time, the
// largest are deferred (Moore-Hodgson), so that as many as possible are. Jobs past all their latest
// starts come last, in the order in which they became ready.
void Core::SortPendingJobs(Micros now, int shard_id, const Plan& plan,
                           std::vector<PendingJob>* pending) const {
  double capacity = 0;
  for (const CandidateMachine& machine : plan.machines) {
    capacity +=
        static_cast<double>(std::max<int64_t>(0, machine.free.cpus) + machine.preemptible.cpus) /
        1000;
  }
  auto group = [](const PendingJob& job) {
    return std::make_tuple(-static_cast<int>(job.effective_priority), !job.within_guarantee,
                           !job.aged);
  };
  auto before = [&group](const PendingJob& a, const PendingJob& b) {
    const auto group_a = group(a), group_b = group(b);
    if (group_a != group_b) return group_a < group_b;
    if (a.aged && a.ready_at != b.ready_at) return a.ready_at < b.ready_at;
    const size_t index_a = a.missed_all() ? SIZE_MAX : a.limit_index;
    const size_t index_b = b.missed_all() ? SIZE_MAX : b.limit_index;
    if (index_a != index_b) return index_a < index_b;
    if (a.sort_time() != b.sort_time()) return a.sort_time() < b.sort_time();
    return a.spec->id < b.spec->id;
  };
  std::sort(pending->begin(), pending->end(), before);
  const std::map<std::string, double> team_capacity = TeamCapacities(shard_id, plan);
  std::map<std::string, double> team_ahead;
  double ahead = 0;  // CPU seconds of the jobs that are served before
  for (auto from = pending->begin(); capacity > 0 && from != pending->end();) {
    auto to = std::find_if(from, pending->end(),
                           [&](const PendingJob& job) { return group(job) != group(*from); });
    if (from->spec->kind != JobKind::kService && !from->aged) {
      std::map<std::string, std::vector<PendingJob*>> by_team;
      std::vector<PendingJob*> all;
      for (auto job = from; job != to; ++job) {
        by_team[job->spec->team].push_back(&*job);
        all.push_back(&*job);
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
  std::sort(pending->begin(), pending->end(), before);
}

}  // namespace troutlink
