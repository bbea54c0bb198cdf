#include "core/store/replica_feed.h"

#include <algorithm>

namespace troutlink {

ReplicaFeed::Step ReplicaFeed::NextStep(Micros now) const {
  if (watching_ || listing_ || now < next_step_at_) return Step::kWait;
  const bool list = !synced_ || list_requested_ || now - last_answer_at_ > kMaxWatchGap;
  return list ? Step::kList : Step::kWatch;
}

void ReplicaFeed::ListStarted(Micros now) {
  listing_ = true;
  list_sent_ = now;
  list_revision_.reset();
  list_requested_ = false;
}

// The watch starts at the revision of the first page and so delivers changes made while later pages
// are read. Revision 0, of an empty store, is valid too.
void ReplicaFeed::ListPageRead(uint64_t revision) {
  if (!list_revision_) list_revision_ = revision;
}

void ReplicaFeed::ListFailed(Micros now) {
  listing_ = false;
  next_step_at_ = now + kListRetryDelay;
}

void ReplicaFeed::ListFinished(Micros now) {
  listing_ = false;
  synced_ = true;
  last_answer_at_ = now;
  revision_ = list_revision();
  complete_up_to_ = std::max(complete_up_to_, list_sent_);
}

void ReplicaFeed::WatchFailed(Micros now) {
  watching_ = false;
  next_step_at_ = now + kWatchRetryDelay;
}

void ReplicaFeed::WatchTooOld(Micros now) {
  watching_ = false;
  synced_ = false;
  next_step_at_ = now;
}

void ReplicaFeed::WatchAnswered(Micros now, Micros sent, uint64_t revision) {
  watching_ = false;
  last_answer_at_ = now;
  revision_ = std::max(revision_, revision);
  complete_up_to_ = std::max(complete_up_to_, sent);
}

void ReplicaFeed::DelayWatch(Micros now) { next_step_at_ = now + kWatchDelay; }

}  // namespace troutlink
