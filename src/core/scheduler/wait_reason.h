// Why a pending job was not placed, for logs and metrics.
#ifndef TROUTLINK_CORE_SCHEDULER_WAIT_REASON_H_
#define TROUTLINK_CORE_SCHEDULER_WAIT_REASON_H_

#include <cstddef>
#include <string_view>

namespace troutlink {

// Outcome of the last scheduling cycle for a job with pending tasks. kWaitReasons is their number.
// Of the reasons that keep a task off a machine, the later ones come closer to a start: a search
// over several machines reports the last of them.
enum class WaitReason {
  kNone,                  // placed, or not looked at yet
  kCycleLimit,            // the cycle reached its limit of starts or jobs before this job
  kStartBackoff,          // its tasks failed repeatedly
  kGangIncomplete,        // only some of the tasks that must start together have room
  kTeamQuota,             // the team's limit is used up
  kServiceQuota,          // the rest of the team's limit is reserved for its services
  kNoRoom,                // no machine of the shard that the job may use has room
  kOtherShard,            // the same, and the job does not move to another shard with room yet
  kShardHeadroom,         // a free machine of another shard, kept there for its services
  kClosedChunk,           // room on a machine whose record this cycle may not change
  kPreemption,            // room on a machine that is being freed for work of higher priority
  kProductionPreemption,  // the same for production work
  kTailMachine,           // room on a machine rented for another array's tail
  kReservedMachine,       // room on a machine reserved for a job that has waited too long
  kZoneHeadroom,          // room in a zone that is kept free for services spread over zones
  kImageHeadroom,         // room that is kept free for services where their image is
  kServiceHeadroom,       // room that is kept free for services
};
inline constexpr size_t kWaitReasons = 17;

// As in logs and metrics.
std::string_view NameOf(WaitReason reason);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_WAIT_REASON_H_
