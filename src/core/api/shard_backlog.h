// Backlog of pending work by shard.
#ifndef TROUTLINK_CORE_API_SHARD_BACKLOG_H_
#define TROUTLINK_CORE_API_SHARD_BACKLOG_H_

#include <array>
#include <cstdint>
#include <vector>

#include "base/micros.h"
#include "core/api/shard_loads.h"
#include "wire/types.h"

namespace troutlink {

// Sums the milli-CPUs that pending tasks need. Cached for some milliseconds, as it visits all open
// jobs; jobs accepted meanwhile are added.
class ShardBacklog {
 public:
  // `loads` must outlive this object.
  explicit ShardBacklog(const ShardLoads* loads) : loads_(loads) {}

  // Milli-CPUs pending for work of at least each priority.
  using CpusByPriority = std::array<int64_t, kPriorities>;

  // By shard id. Valid until the next call.
  const std::vector<CpusByPriority>& Cpus();
  // Adds a job that was just accepted. Call Cpus() at least once before.
  void Add(int shard_id, const JobSpec& spec, int64_t tasks);

 private:
  const ShardLoads* const loads_;
  std::vector<CpusByPriority> cpus_;
  Micros counted_at_ = -kSecond;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_SHARD_BACKLOG_H_
