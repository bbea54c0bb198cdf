// Observer of leadership changes.
#ifndef TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_OBSERVER_H_
#define TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_OBSERVER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/micros.h"

namespace troutlink {

// Reason for the loss of a shard's leadership.
enum class LossReason {
  kLeaseEnded,     // the session lease expired, and with it the leadership record
  kRivalReported,  // a peer reported a leader with a higher epoch
  kRivalElected,   // the replica received another node's newer leadership record
  kRecordExpired,  // the leadership record was deleted
  kFailback,       // released to the shard's home node
};
// As in the log.
std::string_view NameOf(LossReason reason);

// Called by LeaderElection after its own state has changed.
class LeadershipObserver {
 public:
  virtual ~LeadershipObserver() = default;
  // This node now leads the shard.
  virtual void OnElected(Micros now, int shard_id) = 0;
  // An election was committed at a revision that is not above this node's epoch, which violates an
  // invariant. The leadership is unchanged.
  virtual void OnEpochRegressed(int shard_id, uint64_t epoch, uint64_t revision) = 0;
  // This node no longer leads the shard. Its epoch is kept.
  virtual void OnLeadershipLost(Micros now, int shard_id, LossReason reason) = 0;
  // A transaction with this number of writes was sent to the key-value store.
  virtual void OnWritesSent(size_t writes) = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_OBSERVER_H_
