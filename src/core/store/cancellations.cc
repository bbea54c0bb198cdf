#include "core/store/cancellations.h"

#include <algorithm>
#include <iterator>

namespace troutlink {

void CancellationLog::AddCommitted(uint64_t revision, const std::string& job) {
  committed_.emplace(revision, job);
  while (committed_.size() > kMaxCommitted) {
    complete_above_ = std::max(complete_above_, committed_.begin()->first);
    committed_.erase(committed_.begin());
  }
}

// Reports all cancellations in the replica, whichever node committed them: any of them may have
// been confirmed to a user, also if its commit was answered late or not at all. A peer without the
// store would otherwise keep the job's tasks alive.
void CancellationLog::FillHeartbeat(uint64_t replica_revision, mesh::Heartbeat* heartbeat) const {
  for (auto it = committed_.lower_bound({replica_revision + 1, ""}); it != committed_.end(); ++it) {
    heartbeat->cancelled_jobs.push_back(it->second);
  }
  for (const std::string& job : reported_) {
    if (heartbeat->cancelled_jobs.size() >= kMaxInMessage) break;
    heartbeat->cancelled_jobs.push_back(job);
  }
  heartbeat->cancellations_complete_above = complete_above_;
}

void CancellationLog::PingSent(const std::string& peer, uint64_t ping, Micros now,
                               uint64_t replica_revision) {
  std::map<uint64_t, SentPing>& pings = peers_[peer].pings;
  pings[ping] = {now, replica_revision};
  while (pings.size() > kMaxPings) pings.erase(pings.begin());
}

void CancellationLog::PongReceived(const std::string& label, const mesh::Heartbeat& pong) {
  Peer& peer = peers_[label];
  auto sent = peer.pings.find(pong.seq);
  if (sent == peer.pings.end()) return;
  // A pong covers all cancellations that the peer, or an earlier process of it, can have confirmed
  // by then: it confirms only stored ones, has read the store, and has omitted none that this
  // replica lacks.
  if (pong.replica_revision != 0 &&
      pong.cancellations_complete_above <= sent->second.replica_revision) {
    peer.known_up_to = std::max(peer.known_up_to, sent->second.at);
  }
  peer.pings.erase(peer.pings.begin(), std::next(sent));
}

void CancellationLog::ReplicaCompleteUpTo(Micros time) {
  replica_time_ = std::max(replica_time_, time);
}

Micros CancellationLog::KnownUpTo(Micros now) const {
  Micros bound = now;
  for (const auto& [label, peer] : peers_) {
    bound = std::min(bound, std::max(replica_time_, peer.known_up_to));
  }
  return bound;
}

Micros CancellationLog::RenewalBound(Micros now) const {
  // The steady clock may start near 0: without this check, an empty replica would look up to date.
  if (!ReplicaWasComplete()) return 0;
  return KnownUpTo(now) + ShortestOnOtherClock(cancellation_deadline_) -
         LongestOnOtherClock(lease_) - kRenewMargin;
}

}  // namespace troutlink
