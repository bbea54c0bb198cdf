// Leadership of one shard as known to this node.
#ifndef TROUTLINK_CORE_LEADERSHIP_SHARD_LEADERSHIP_H_
#define TROUTLINK_CORE_LEADERSHIP_SHARD_LEADERSHIP_H_

#include <cstdint>
#include <string>

#include "base/micros.h"

namespace troutlink {

// Written by LeaderElection only; all modules may read it. An epoch is the revision at which a
// leadership record was committed, so a later leader has a higher one.
struct ShardLeadership {
  bool is_leader = false;
  uint64_t epoch = 0;        // of this node; kept after a loss, to continue answering heartbeats
  uint64_t rival_epoch = 0;  // highest known epoch of another node
  std::string rival_leader;
  std::string previous_leader;      // from the last leadership record of another process
  Micros leaderless_since = 0;      // 0: not known to be leaderless
  Micros elected_at = 0;            // last election of this node
  Micros no_election_before = 0;    // backoff after a loss or a failed election
  int election_conflicts = 0;       // consecutive
  bool election_in_flight = false;  // an election by this node is in flight
  bool failback_in_flight = false;  // a failback is in flight

  // Whether another node is known to have been elected later.
  bool Superseded() const { return rival_epoch > epoch; }
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_SHARD_LEADERSHIP_H_
