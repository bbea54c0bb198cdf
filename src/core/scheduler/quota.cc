#include "core/scheduler/quota.h"

#include <algorithm>

namespace troutlink {

Share EqualShare(const Team& team, int shard_id, int shard_count) {
  auto split = [shard_id, shard_count](int64_t limit) {
    return limit / shard_count + (shard_id == 0 ? limit % shard_count : 0);
  };
  return {split(team.cpus_max), split(team.gpus_max)};
}

Share ShareOf(const AssignmentTable& assignments, const Team& team, int shard_id, int shard_count) {
  auto it = assignments.shares.find(team.name);
  return it != assignments.shares.end() ? it->second : EqualShare(team, shard_id, shard_count);
}

bool WithinShare(const Team& team, const Share& share, const Share& used, const Amount& each) {
  if (team.cpus_max > 0 && used.cpus + each.cpus > share.cpus) return false;
  if (team.gpus_max > 0 && used.gpus + each.gpus > share.gpus) return false;
  return true;
}

Share Movable(const Share& share, const Share& used, const Share& want) {
  auto move = [](int64_t have, int64_t in_use, int64_t wanted) {
    return std::max<int64_t>(0, std::min(have - in_use, wanted));
  };
  return {move(share.cpus, used.cpus, want.cpus), move(share.gpus, used.gpus, want.gpus)};
}

}  // namespace troutlink
