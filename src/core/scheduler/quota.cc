#include "core/scheduler/quota.h"

#include <algorithm>

namespace troutlink {

QuotaShare EqualQuotaShare(const Team& team, int shard_id, int shard_count) {
  auto split = [shard_id, shard_count](int64_t limit) {
    return limit / shard_count + (shard_id == 0 ? limit % shard_count : 0);
  };
  return {split(team.cpus_max), split(team.gpus_max)};
}

QuotaShare QuotaShareOf(const AssignmentTable& assignments, const Team& team, int shard_id,
                        int shard_count) {
  auto it = assignments.shares.find(team.name);
  return it != assignments.shares.end() ? it->second : EqualQuotaShare(team, shard_id, shard_count);
}

bool FitsQuotaShare(const Team& team, const QuotaShare& share, const QuotaShare& used,
                    const Resources& task_resources) {
  if (team.cpus_max > 0 && used.cpus + task_resources.cpus > share.cpus) return false;
  if (team.gpus_max > 0 && used.gpus + task_resources.gpus > share.gpus) return false;
  return true;
}

QuotaShare TransferableQuota(const QuotaShare& share, const QuotaShare& used,
                             const QuotaShare& want) {
  auto move = [](int64_t have, int64_t in_use, int64_t wanted) {
    return std::max<int64_t>(0, std::min(have - in_use, wanted));
  };
  return {move(share.cpus, used.cpus, want.cpus), move(share.gpus, used.gpus, want.gpus)};
}

}  // namespace troutlink
