// Selects the shard of a new job, or of one that may move.
#ifndef TROUTLINK_CORE_API_SHARD_SELECTOR_H_
#define TROUTLINK_CORE_API_SHARD_SELECTOR_H_

#include <string>
#include <vector>

#include "core/api/shard_backlog.h"
#include "core/api/shard_loads.h"
#include "core/scheduler/placement.h"
#include "wire/types.h"

namespace troutlink {

// Capacity of a shard for a job, in milli-CPUs.
struct ShardCapacity {
  double free_cpus = 0;       // including part of the capacity that the job may preempt
  double total_cpus = 0;      // without capacity used by production work
  double backlog_cpus = 0;    // pending work that is served before
  double available_cpus = 0;  // free minus backlog; may be negative
  int placeable_tasks = 0;    // that could start now
  int unused_task_slots = 0;  // free now, without preemption and whoever else waits for them
  int suitable_machines = 0;  // machines that fit a task when empty
  int ready_tasks = 0;        // that could start with a cached image and without preemption
  int ready_soon_tasks = 0;   // the same with preemption
  bool has_live_leader = false;
};

// Compares shards by the number of tasks that could start now, considering zones, and by free CPUs
// minus backlog.
class ShardSelector {
 public:
  // Both must outlive this object.
  ShardSelector(const ShardLoads* loads, ShardBacklog* backlog)
      : loads_(loads), backlog_(backlog) {}

  // Capacity of each shard, by shard id.
  std::vector<ShardCapacity> CapacitiesFor(const JobSpec& spec);
  // Selects the shard of a new job.
  int SelectFor(const JobSpec& spec);

 private:
  // Zones of the job's tasks as placed on the machines visited so far.
  struct Spreads {
    JobSpread placeable;
    JobSpread ready;
  };
  // Adds the capacity of one machine.
  void AddMachine(const JobSpec& spec, const MachineLoad& load, ShardCapacity* capacity,
                  Spreads* spreads) const;
  // Adds replicas that find their image cached. `unused`: free now; `left`: free after preemption.
  static void AddReadyTasks(const JobSpec& spec, Resources unused, const Resources& remaining,
                            const CandidateMachine& candidate, ShardCapacity* capacity,
                            JobSpread* spread);
  bool HasImage(const MachineLoad& load, const std::string& image) const;
  static double ScoreOf(const JobSpec& spec, const ShardCapacity& capacity, double mean_cpus);

  const ShardLoads* const loads_;
  ShardBacklog* const backlog_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_SHARD_SELECTOR_H_
