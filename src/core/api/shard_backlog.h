// Work that waits in each shard.
#ifndef TROUTLINK_CORE_API_SHARD_BACKLOG_H_
#define TROUTLINK_CORE_API_SHARD_BACKLOG_H_

#include <array>
#include <cstdint>
#include <vector>

#include "base/micros.h"
#include "core/api/shard_loads.h"
#include "wire/types.h"

namespace troutlink {

// Counts the cpus that waiting tasks need. The count is kept for some milliseconds, as it goes
// over all open jobs; jobs that are accepted meanwhile are added to it.
class ShardBacklog {
 public:
  // `loads` must outlive it.
  explicit ShardBacklog(const ShardLoads* loads) : loads_(loads) {}

  // Cpus, in thousandths, that wait for work of at least each priority.
  using CpusByPriority = std::array<int64_t, kPriorities>;

  // Of each shard, by its id. Valid until the next call.
  const std::vector<CpusByPriority>& Cpus();
  // Counts a job that has just been accepted. After a first call of `Cpus`.
  void Add(int shard_id, const JobSpec& spec, int64_t tasks);

 private:
  const ShardLoads* const loads_;
  std::vector<CpusByPriority> cpus_;
  Micros counted_at_ = -kSecond;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_SHARD_BACKLOG_H_
