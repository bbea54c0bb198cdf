#include "core/api/shard_selector.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/ids.h"

namespace troutlink {

namespace {

// Scores are in milli-CPUs. Tasks that can start at once outweigh later capacity, and a live leader
// outweighs both.
constexpr double kPlaceableWeight = 1e8;
constexpr double kReadyWeight = 1e7;
constexpr double kReadySoonShare = 0.2;  // of a task that is ready
constexpr double kNoLeaderPenalty = 1e12;

}  // namespace

std::vector<ShardCapacity> ShardSelector::CapacitiesFor(const JobSpec& spec) {
  std::vector<ShardCapacity> capacities(static_cast<size_t>(loads_->ShardCount()));
  const std::vector<ShardBacklog::CpusByPriority>& backlog = backlog_->Cpus();
  for (size_t i = 0; i < capacities.size(); ++i) {
    const int shard_id = static_cast<int>(i);
    ShardCapacity& capacity = capacities[i];
    capacity.backlog_cpus = static_cast<double>(backlog[i][static_cast<size_t>(spec.priority)]);
    Spreads spreads;
    loads_->VisitMachines(
        shard_id, [&](const MachineLoad& load) { AddMachine(spec, load, &capacity, &spreads); });
    capacity.available_cpus = capacity.free_cpus - capacity.backlog_cpus;
    if (spec.task_resources.cpus > 0) {
      capacity.placeable_tasks = static_cast<int>(
          std::clamp(capacity.available_cpus / static_cast<double>(spec.task_resources.cpus), 0.0,
                     static_cast<double>(capacity.placeable_tasks)));
    }
    capacity.has_live_leader = loads_->HasLiveLeader(shard_id);
  }
  return capacities;
}

void ShardSelector::AddMachine(const JobSpec& spec, const MachineLoad& load,
                               ShardCapacity* capacity, Spreads* spreads) const {
  const AssignedMachine& machine = load.machine;
  const MachineType* type = load.type;
  if (type == nullptr || machine.draining || !machine.tail_job.empty()) return;
  if (!TypeAllowed(spec, machine.type, machine.spot)) return;
  if (spec.task_resources.Fits(type->size)) ++capacity->suitable_machines;
  capacity->total_cpus +=
      static_cast<double>(type->size.cpus - load.UsedAtLeast(Priority::kProduction).cpus);
  // Production work may use all preemptible capacity. An array counts half of it, as it should
  // prefer a shard where nothing has to be preempted.
  const bool critical = spec.priority == Priority::kProduction;
  const bool preempts = critical || spec.kind == JobKind::kArray;
  Resources remaining = type->size - (preempts ? load.UsedAtLeast(spec.priority) : load.used);
  const int64_t unused = std::max<int64_t>(0, (type->size - load.used).cpus);
  const int64_t available = std::max<int64_t>(0, remaining.cpus);
  capacity->free_cpus += static_cast<double>(critical ? available : (unused + available) / 2);
  if (machine.addr.empty()) return;  // still booting
  if (!spec.task_resources.Fits(remaining)) return;
  CandidateMachine candidate;
  candidate.type = machine.type;
  candidate.zone = machine.zone;
  candidate.spot = machine.spot;
  if (Allowed(spec, JobSpread(), candidate))
    capacity->unused_task_slots += TasksThatFit(spec, type->size - load.used);
  if (spec.kind == JobKind::kService && capacity->ready_tasks < spec.tasks &&
      HasImage(load, spec.image)) {
    AddReadyTasks(spec, type->size - load.used, remaining, candidate, capacity, &spreads->ready);
  }
  while (capacity->placeable_tasks < spec.tasks && spec.task_resources.Fits(remaining) &&
         Allowed(spec, spreads->placeable, candidate)) {
    remaining -= spec.task_resources;
    ++spreads->placeable.by_zone[machine.zone];
    ++capacity->placeable_tasks;
    if (spec.task_resources.cpus <= 0) break;
  }
}

bool ShardSelector::HasImage(const MachineLoad& load, const std::string& image) const {
  return load.task_images.count(image) != 0 || loads_->CachesImage(load.machine.name, image);
}

void ShardSelector::AddReadyTasks(const JobSpec& spec, Resources unused, const Resources& remaining,
                                  const CandidateMachine& candidate, ShardCapacity* capacity,
                                  JobSpread* spread) {
  capacity->ready_soon_tasks += static_cast<int>(std::min<int64_t>(
      spec.tasks, spec.task_resources.cpus > 0 ? remaining.cpus / spec.task_resources.cpus : 1));
  while (capacity->ready_tasks < spec.tasks && spec.task_resources.Fits(unused) &&
         spec.task_resources.cpus > 0 && Allowed(spec, *spread, candidate)) {
    unused -= spec.task_resources;
    ++spread->by_zone[candidate.zone];
    ++capacity->ready_tasks;
  }
}

int ShardSelector::SelectFor(const JobSpec& spec) {
  const std::vector<ShardCapacity> capacities = CapacitiesFor(spec);
  double mean_cpus = 0;
  for (const ShardCapacity& capacity : capacities) {
    mean_cpus += capacity.total_cpus / static_cast<double>(capacities.size());
  }
  std::vector<double> scores;
  scores.reserve(capacities.size());
  for (const ShardCapacity& capacity : capacities) {
    scores.push_back(ScoreOf(spec, capacity, mean_cpus));
  }
  // Ties are broken by a hash of the job id, which distributes jobs over equal shards.
  size_t best = StableHash(spec.id) % scores.size();
  for (size_t shard_id = 0; shard_id < scores.size(); ++shard_id) {
    if (scores[shard_id] > scores[best] + 1) best = shard_id;
  }
  return static_cast<int>(best);
}

double ShardSelector::ScoreOf(const JobSpec& spec, const ShardCapacity& capacity,
                              double mean_cpus) {
  double score = capacity.available_cpus;
  // If all shards have a backlog, compare how long it takes: a small shard drains its queue slowly.
  if (capacity.available_cpus < 0 && capacity.total_cpus > 0) {
    score *= mean_cpus / capacity.total_cpus;
  }
  if (spec.kind != JobKind::kArray) {
    score += kPlaceableWeight * capacity.placeable_tasks / spec.tasks;
  }
  // A replica starts without delay only where its image is cached.
  if (spec.kind == JobKind::kService) {
    score +=
        kReadyWeight *
        (capacity.ready_tasks + kReadySoonShare * std::min(capacity.ready_soon_tasks, spec.tasks)) /
        spec.tasks;
  }
  // Without a leader the job would wait for a failover.
  if (!capacity.has_live_leader) score -= kNoLeaderPenalty;
  return score;
}

}  // namespace troutlink
