// Team quotas: the limit of a team is split into one share per shard.
#ifndef TROUTLINK_CORE_SCHEDULER_QUOTA_H_
#define TROUTLINK_CORE_SCHEDULER_QUOTA_H_

#include <map>
#include <string>

#include "config/settings.h"
#include "core/store/records.h"

namespace troutlink {

// The initial share: the limit split evenly, with the remainder in shard 0.
QuotaShare EqualQuotaShare(const Team& team, int shard_id, int shard_count);
// The share of `team` in the shard's assignment table.
QuotaShare QuotaShareOf(const AssignmentTable& assignments, const Team& team, int shard_id,
                        int shard_count);
// Whether one more task fits the share. A limit of 0 means no limit.
bool FitsQuotaShare(const Team& team, const QuotaShare& share, const QuotaShare& used,
                    const Resources& task_resources);
// The part of `want` that can move out of a share of which `used` is in use.
QuotaShare TransferableQuota(const QuotaShare& share, const QuotaShare& used,
                             const QuotaShare& want);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_QUOTA_H_
