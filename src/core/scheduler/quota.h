// Teams' limits, split into shares of the shards, and their guarantees.
#ifndef TROUTLINK_CORE_SCHEDULER_QUOTA_H_
#define TROUTLINK_CORE_SCHEDULER_QUOTA_H_

#include <map>
#include <string>

#include "config/settings.h"
#include "core/store/records.h"

namespace troutlink {

// A share that was never moved: the limit split evenly, the rest to shard 0.
Share EqualShare(const Team& team, int shard_id, int shard_count);
// The share of `team` that the assignment table of that shard holds.
Share ShareOf(const AssignmentTable& assignments, const Team& team, int shard_id, int shard_count);
// Whether one more task fits. A limit of 0 means none.
bool WithinShare(const Team& team, const Share& share, const Share& used, const Amount& each);
// How much of `want` cpus (gpus) can be moved out of a share with `used` in use.
Share Movable(const Share& share, const Share& used, const Share& want);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_QUOTA_H_
