#include "core/quota.h"

#include <algorithm>

namespace troutlink {

Share EqualShare(const Team& team, int part, int parts) {
  auto split = [part, parts](int64_t limit) {
    return limit / parts + (part == 0 ? limit % parts : 0);
  };
  return {split(team.cpus_max), split(team.gpus_max)};
}

Share ShareOf(const Roster& roster, const Team& team, int part, int parts) {
  auto it = roster.shares.find(team.name);
  return it != roster.shares.end() ? it->second : EqualShare(team, part, parts);
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
