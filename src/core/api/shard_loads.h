// Load of the shards, their machines and their jobs, as the choice of a shard needs it.
#ifndef TROUTLINK_CORE_API_SHARD_LOADS_H_
#define TROUTLINK_CORE_API_SHARD_LOADS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "base/micros.h"
#include "core/store/records.h"
#include "wire/types.h"

namespace troutlink {

// A machine and the resources that its tasks use. Refers to the replica.
struct MachineLoad {
  const AssignedMachine& machine;
  const MachineType* type;  // null: unknown
  const Resources& used;
  const std::array<Resources, kPriorities>& used_by_priority;
  const std::set<std::string>& task_images;

  // Resources used by work of that priority and above.
  Resources UsedAtLeast(Priority priority) const {
    Resources sum;
    for (size_t i = static_cast<size_t>(priority); i < used_by_priority.size(); ++i) {
      sum += used_by_priority[i];
    }
    return sum;
  }
};

// Implemented by the owner of the replica and of the machines' state.
class ShardLoads {
 public:
  using MachineVisitor = std::function<void(const MachineLoad&)>;
  // `tasks`: neither finished nor placed.
  using BacklogVisitor = std::function<void(int shard_id, const JobSpec& spec, int64_t tasks)>;

  virtual ~ShardLoads() = default;

  virtual int ShardCount() const = 0;
  // Time of the last tick, the base for ages.
  virtual Micros LastTick() const = 0;
  virtual void VisitMachines(int shard_id, const MachineVisitor& visit) const = 0;
  // Visits all open jobs that are not blocked, also those without pending tasks.
  virtual void VisitRunnableJobs(const BacklogVisitor& visit) const = 0;
  // Whether the machine is known to have the image.
  virtual bool CachesImage(const std::string& machine, const std::string& image) const = 0;
  // Whether the shard's leader was heard from recently.
  virtual bool HasLiveLeader(int shard_id) const = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_SHARD_LOADS_H_
