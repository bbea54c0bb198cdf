// Who leads one shard, as far as this node knows.
#ifndef TROUTLINK_CORE_LEADERSHIP_SHARD_LEADERSHIP_H_
#define TROUTLINK_CORE_LEADERSHIP_SHARD_LEADERSHIP_H_

#include <cstdint>
#include <string>

#include "base/micros.h"

namespace troutlink {

// Written by LeaderElection alone; every module may read it. An epoch is the revision of the
// state service at which a leadership record was committed: a later leader has a higher one.
struct ShardLeadership {
  bool is_leader = false;
  uint64_t epoch = 0;        // of this node; kept after a loss, to go on answering reports
  uint64_t rival_epoch = 0;  // highest epoch of another node that we know of
  std::string rival_leader;
  std::string previous_leader;    // of the leadership records that we saw, other than ours
  Micros leaderless_since = 0;    // 0: not known to be without a leader
  Micros elected_at = 0;          // our last election
  Micros no_election_before = 0;  // backoff after a loss or a failed election
  int election_conflicts = 0;     // in a row
  bool acquiring = false;         // an election of ours is in flight
  bool releasing = false;         // a failback is in flight

  // Whether another node is known to have been elected after us.
  bool Superseded() const { return rival_epoch > epoch; }
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_SHARD_LEADERSHIP_H_
