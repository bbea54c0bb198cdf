// What follows from a change of leadership.
#ifndef TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_OBSERVER_H_
#define TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_OBSERVER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/micros.h"

namespace troutlink {

// Why this node no longer leads a shard.
enum class LossReason {
  kLeaseEnded,     // the session lease, and with it the leadership record
  kRivalReported,  // a peer names a leader with a higher epoch
  kRivalElected,   // the replica holds another node's newer leadership record
  kRecordExpired,  // the leadership record was deleted
  kFailback,       // released to the node whose shard it is
};
// As in the log.
std::string_view NameOf(LossReason reason);

// Told by LeaderElection, after its own state has changed.
class LeadershipObserver {
 public:
  virtual ~LeadershipObserver() = default;
  // This node leads the shard from now on.
  virtual void OnElected(Micros now, int shard_id) = 0;
  // An election was committed at a revision that is not above this node's epoch. This must never
  // happen; the leadership is left as it was.
  virtual void OnEpochFell(int shard_id, uint64_t epoch, uint64_t revision) = 0;
  // This node no longer leads the shard. Its epoch is kept.
  virtual void OnLeadershipLost(Micros now, int shard_id, LossReason reason) = 0;
  // A transaction with so many writes was sent to the state service.
  virtual void OnWritesSent(size_t writes) = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_OBSERVER_H_
