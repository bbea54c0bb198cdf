// Known cancellations, and the time up to which leases may therefore be renewed.
#ifndef TROUTLINK_CORE_STORE_CANCELLATIONS_H_
#define TROUTLINK_CORE_STORE_CANCELLATIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/micros.h"
#include "mesh/codec.h"

namespace troutlink {

// Tracks the cancellations known to this controller, those to report to peers, and the time up to
// which all cancellations that any controller can have confirmed to a user are known here. Agents'
// leases are renewed only within a bound after that time, so that no task outlives its job's
// cancellation by more than `cancel_s`. docs/design.md, section "State trouble", has the proof;
// this class is its point 2.
//
// Cancellations come from the replica, each with its revision, and from heartbeats of peers,
// possibly before the replica has them. HeartbeatExchange and the replica report what was received
// and sent; this class makes no calls.
class CancellationLog {
 public:
  // `cancel`: maximum time that tasks may run after a cancellation was confirmed, on the clock of
  // the confirming node. `lease`: duration of an agent's lease, on the agent's clock.
  CancellationLog(Micros cancellation_deadline, Micros lease)
      : cancellation_deadline_(cancellation_deadline), lease_(lease) {}

  // Adds a peer; call before the first heartbeat.
  void AddPeer(const std::string& label) { peers_[label]; }

  // The replica contains the cancellation of `job`, committed at `revision`.
  void AddCommitted(uint64_t revision, const std::string& job);
  // The replica contains a final state of `job`: reports of peers are no longer needed.
  void ForgetReported(const std::string& job) { reported_.erase(job); }
  // Records a peer's report that `job` is cancelled. Returns whether it is new. The caller has
  // checked that the job is not finished in the replica.
  bool AddReported(const std::string& job) { return reported_.insert(job).second; }
  // Whether a peer reported the cancellation and the replica lacks it.
  bool IsReported(const std::string& job) const { return reported_.count(job) != 0; }

  // Adds to a heartbeat the cancellations above the revision `replica_revision` of the receiver's
  // replica, and the revision above which they are complete.
  void FillHeartbeat(uint64_t replica_revision, mesh::Heartbeat* heartbeat) const;

  // Records a ping sent at `now` that named `replica_revision` as this replica's revision.
  void PingSent(const std::string& peer, uint64_t ping, Micros now, uint64_t replica_revision);
  // Handles the pong, whose cancellations have been added already.
  void PongReceived(const std::string& peer, const mesh::Heartbeat& pong);
  // The replica contains every change committed before `time`.
  void ReplicaCompleteUpTo(Micros time);
  // Whether the replica was ever complete.
  bool ReplicaWasComplete() const { return replica_time_ != 0; }

  // Time up to which the cancellations of every peer are known; `now` without peers.
  Micros KnownUpTo(Micros now) const;
  // Time until which agents' leases may be renewed without a task outliving a cancellation that a
  // peer has confirmed; 0: never.
  Micros RenewalBound(Micros now) const;
  bool MayRenewLeases(Micros now) const { return now < RenewalBound(now); }

  static constexpr size_t kMaxCommitted = 4000;  // cancellations kept from the replica
  // Cancellations per message, above which reported ones are omitted.
  static constexpr size_t kMaxInMessage = 4000;
  static constexpr size_t kMaxPings = 64;  // in flight to one peer
  static constexpr Micros kRenewMargin = 1500 * kMillisecond;

 private:
  struct SentPing {
    Micros at = 0;
    uint64_t replica_revision = 0;
  };
  struct Peer {
    Micros known_up_to = 0;  // all cancellations that the peer knew then are known here
    std::map<uint64_t, SentPing> pings;
  };

  const Micros cancellation_deadline_;
  const Micros lease_;
  std::set<std::pair<uint64_t, std::string>> committed_;  // the newest ones, by revision
  uint64_t complete_above_ = 0;  // no cancellation above this revision was dropped
  std::set<std::string> reported_;
  Micros replica_time_ = 0;
  std::map<std::string, Peer> peers_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_CANCELLATIONS_H_
