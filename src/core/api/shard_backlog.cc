#include "core/api/shard_backlog.h"

#include <cstddef>

namespace troutlink {

namespace {
constexpr Micros kMaxCacheAge = 40 * kMillisecond;
}  // namespace

const std::vector<ShardBacklog::CpusByPriority>& ShardBacklog::Cpus() {
  const Micros now = loads_->LastTick();
  if (now - counted_at_ < kMaxCacheAge && !cpus_.empty()) return cpus_;
  counted_at_ = now;
  cpus_.assign(static_cast<size_t>(loads_->ShardCount()), {});
  loads_->VisitRunnableJobs([this](int shard_id, const JobSpec& spec, int64_t tasks) {
    if (tasks > 0) Add(shard_id, spec, tasks);
  });
  return cpus_;
}

void ShardBacklog::Add(int shard_id, const JobSpec& spec, int64_t tasks) {
  CpusByPriority& cpus = cpus_[static_cast<size_t>(shard_id)];
  for (int priority = 0; priority <= static_cast<int>(spec.priority); ++priority) {
    cpus[static_cast<size_t>(priority)] += tasks * spec.task_resources.cpus;
  }
}

}  // namespace troutlink
