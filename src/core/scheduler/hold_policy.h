// Bounds on the time for which capacity is held back from a pending job for the sake of other work.
//
// Room, machines and quota are kept for services, tails of arrays, jobs that have waited too long
// and work of higher priority. A job whose team is under its limit must not be left waiting for
// 90 s beside room that it fits. So every hold ends in time, and then only decides what goes first:
// capacity that is not held is tried before. All holds ask here.
#ifndef TROUTLINK_CORE_SCHEDULER_HOLD_POLICY_H_
#define TROUTLINK_CORE_SCHEDULER_HOLD_POLICY_H_

#include "base/micros.h"
#include "core/scheduler/wait_reason.h"

namespace troutlink {

// A pending job must not wait longer than this beside room that it fits.
inline constexpr Micros kMaxWaitBesideRoom = 90 * kSecond;
// Longest hold. The other half is for a cycle, its commit, the image fetch and the start.
inline constexpr Micros kMaxHold = kMaxWaitBesideRoom / 2;

// How long a job has waited, and how long the capacity has been held back from all jobs.
struct HoldTimes {
  Micros waited = 0;
  Micros held = 0;
};

// Whether capacity may be held back from the job for this reason. A hold ends once the job has
// waited and the capacity has been held for the bound. Reasons that are no holds, and those that
// end by themselves in a shorter time, have no bound here.
bool MayHold(WaitReason reason, const HoldTimes& times);
// The same for capacity that is held at all times.
bool MayHold(WaitReason reason, Micros waited);
// Whether holds on room may have ended for a job that has waited that long.
inline bool RoomHoldsMayHaveEnded(Micros waited) { return waited >= kMaxHold; }

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_HOLD_POLICY_H_
