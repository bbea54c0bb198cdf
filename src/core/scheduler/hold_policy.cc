#include "core/scheduler/hold_policy.h"

#include <algorithm>
#include <optional>

namespace troutlink {

namespace {

// Quota is lent earlier than room: a service takes it back by preempting a task of its own team.
constexpr Micros kMaxServiceQuotaHold = 20 * kSecond;

// The bound of a hold; none: the reason is no hold, or its hold ends with the event that it waits
// for.
std::optional<Micros> BoundOf(WaitReason reason) {
  switch (reason) {
    case WaitReason::kServiceQuota: return kMaxServiceQuotaHold;
    case WaitReason::kPreemption:
    case WaitReason::kTailMachine:
    case WaitReason::kReservedMachine:
    case WaitReason::kZoneHeadroom:
    case WaitReason::kImageHeadroom:
    case WaitReason::kServiceHeadroom:
    case WaitReason::kShardHeadroom:
    case WaitReason::kOtherShard: return kMaxHold;
    case WaitReason::kProductionPreemption:  // ends when the preempted tasks have exited
    case WaitReason::kClosedChunk:           // a later cycle may change it
    case WaitReason::kNone:
    case WaitReason::kCycleLimit:
    case WaitReason::kStartBackoff:
    case WaitReason::kGangIncomplete:
    case WaitReason::kTeamQuota:
    case WaitReason::kNoRoom: return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace

bool MayHold(WaitReason reason, const HoldTimes& times) {
  const std::optional<Micros> bound = BoundOf(reason);
  return !bound || std::min(times.waited, times.held) < *bound;
}

bool MayHold(WaitReason reason, Micros waited) {
  return MayHold(reason, HoldTimes{waited, waited});
}

}  // namespace troutlink
