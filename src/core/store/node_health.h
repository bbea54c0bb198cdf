// Health of this node: contact with the key-value store, and pauses of the process.
#ifndef TROUTLINK_CORE_STORE_NODE_HEALTH_H_
#define TROUTLINK_CORE_STORE_NODE_HEALTH_H_

#include <algorithm>

#include "base/micros.h"

namespace troutlink {

// Records answers of the key-value store and ticks of the process. All times are in microseconds on
// the steady clock. Every module that receives a valid answer reports it here.
class NodeHealth {
 public:
  // `started`: start time of this process.
  explicit NodeHealth(Micros started) : started_(started) {}

  // Records a valid answer of the key-value store.
  void NoteStateAnswer(Micros now) { last_state_answer_ = now; }
  // Whether the store answered recently, so that this node may decide on its own.
  bool StateFresh(Micros now) const { return now - last_state_answer_ < kStateFreshFor; }
  // Time since the last answer, for heartbeats. Without any, it exceeds that of every peer.
  Micros StateAge(Micros now) const {
    return last_state_answer_ == 0 ? now - started_ + kNeverAnsweredAge : now - last_state_answer_;
  }

  // Whether the process was paused and has not ticked since. Input that arrived during the pause
  // may be handled before that tick.
  bool ProcessPaused(Micros now) const {
    return last_tick_ != 0 && now - last_tick_ > kPauseThreshold;
  }
  // Begins a tick: the node is unhealthy if it was paused or lacks the store.
  void BeginTick(Micros now) {
    if (ProcessPaused(now) || !StateFresh(now)) unhealthy_at_ = now;
  }
  // Ends the tick, which has handled any pause.
  void EndTick(Micros now) { last_tick_ = now; }
  // End of the last tick; 0: none yet.
  Micros last_tick() const { return last_tick_; }

  // Whether the node has been healthy for longer than `span`.
  bool HealthyFor(Micros now, Micros span) const {
    return StateFresh(now) && !ProcessPaused(now) && now - std::max(started_, unhealthy_at_) > span;
  }

 private:
  static constexpr Micros kStateFreshFor = 1500 * kMillisecond;
  static constexpr Micros kPauseThreshold = 3 * kSecond;
  static constexpr Micros kNeverAnsweredAge = 3600 * kSecond;

  const Micros started_;
  Micros last_state_answer_ = 0;
  Micros last_tick_ = 0;
  // Last time without the store or after a pause. A node must be healthy for a while after that
  // before a failback, so that leadership does not flap: a node that was paused twice had its shard
  // back within half a second each time.
  Micros unhealthy_at_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_NODE_HEALTH_H_
