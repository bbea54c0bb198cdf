// State machine of the replica's lists and watches.
#ifndef TROUTLINK_CORE_STORE_REPLICA_FEED_H_
#define TROUTLINK_CORE_STORE_REPLICA_FEED_H_

#include <cstdint>
#include <optional>

#include "base/micros.h"

namespace troutlink {

// The replica is filled by one list of all records, page by page, and then kept up to date by
// consecutive watches. ReplicaSync makes the calls, applies their results and reports them here;
// this class decides when to list, watch or wait. The replica contains every change up to
// `revision()`, and every change made before `complete_up_to()`.
class ReplicaFeed {
 public:
  enum class Step { kWait, kList, kWatch };
  // The step to take now.
  Step NextStep(Micros now) const;

  void ListStarted(Micros now);
  void ListPageRead(uint64_t revision);
  void ListFailed(Micros now);
  // All pages have been applied.
  void ListFinished(Micros now);

  void WatchStarted() { watching_ = true; }
  void WatchFailed(Micros now);
  // The store has compacted the changes that the watch requested.
  void WatchTooOld(Micros now);
  // The changes up to `revision` have been applied; the watch was sent at `sent`.
  void WatchAnswered(Micros now, Micros sent, uint64_t revision);
  // Delays the next watch briefly.
  void DelayWatch(Micros now);

  // Whether the replica was read completely and has been followed since.
  bool synced() const { return synced_; }
  uint64_t revision() const { return revision_; }
  Micros complete_up_to() const { return complete_up_to_; }
  // Revision of the current list, from which the watch will continue.
  uint64_t list_revision() const { return list_revision_.value_or(0); }

  // Requests a new list after the current watch, as the replica seems to lack a change. The replica
  // stays in use meanwhile.
  void RequestList() { list_requested_ = true; }
  bool list_requested() const { return list_requested_; }

 private:
  static constexpr Micros kListRetryDelay = 300 * kMillisecond;
  static constexpr Micros kWatchRetryDelay = 200 * kMillisecond;
  static constexpr Micros kWatchDelay = 40 * kMillisecond;
  // After a longer gap, the changes in one watch answer might not fit into memory.
  static constexpr Micros kMaxWatchGap = 6 * kSecond;

  bool synced_ = false;
  bool listing_ = false;
  bool watching_ = false;
  Micros next_step_at_ = 0;
  Micros list_sent_ = 0;
  std::optional<uint64_t> list_revision_;  // of the first page
  bool list_requested_ = false;
  Micros last_answer_at_ = 0;  // last answer of a watch, or completion of a list
  uint64_t revision_ = 0;
  Micros complete_up_to_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_REPLICA_FEED_H_
