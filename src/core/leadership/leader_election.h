// Leadership of shards: elections, reclaiming, loss and failback.
#ifndef TROUTLINK_CORE_LEADERSHIP_LEADER_ELECTION_H_
#define TROUTLINK_CORE_LEADERSHIP_LEADER_ELECTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/micros.h"
#include "core/io/effects.h"
#include "core/io/token_bucket.h"
#include "core/leadership/leadership_observer.h"
#include "core/leadership/leadership_store.h"
#include "core/leadership/session_lease_keeper.h"
#include "core/leadership/session_lease_observer.h"
#include "core/leadership/shard_leadership.h"
#include "core/store/commit_answer.h"
#include "core/store/node_health.h"
#include "mesh/codec.h"

namespace troutlink {

// Each shard has one leadership record at the state service, attached to its leader's session
// lease. A node leads a shard from the commit of that record on, and under the record's revision,
// its epoch, until it learns of a newer record or of the record's end. Each shard belongs to one
// node, which gets it back from whoever led it meanwhile (failback).
class LeaderElection : public SessionLeaseObserver {
 public:
  // What is fixed at the start of the process; times in microseconds.
  struct Config {
    std::string label;                // of this node
    std::vector<std::string> labels;  // of all nodes; the index is the shard that belongs to it
    int own_shard = 0;                // that belongs to this node
    uint64_t boot = 0;                // differs at every start of the process
    Micros started = 0;               // when this process started
    Micros cancel = 0;                // bound of cancellations; see docs/design.md
    Micros failback_after = 0;  // how long this node must be healthy before it wants its shard
  };
  // What an election works with; all of it must outlive the election. Every election and failback
  // is charged to `writes`.
  struct Collaborators {
    Effects* effects;
    TokenBucket* writes;
    SessionLeaseKeeper* lease;
    NodeHealth* health;
    LeadershipStore* store;
    LeadershipObserver* observer;
  };
  LeaderElection(Config config, Collaborators with);

  // Of a shard, which must exist. The reference stays valid.
  const ShardLeadership& Of(int shard_id) const { return shards_[static_cast<size_t>(shard_id)]; }
  // Whether this node leads the shard.
  bool IsLeader(int shard_id) const { return Of(shard_id).is_leader; }
  // How many shards this node leads.
  int LedShards() const;
  // The node that leads the shard as far as is known; empty: nobody.
  std::string LeaderOf(int shard_id) const;
  // The most recent leader of the shard other than this process; empty: none is known.
  const std::string& PreviousLeaderOf(int shard_id) const { return Of(shard_id).previous_leader; }

  // Stands for election where it is this node's turn; called at every tick once the replica is
  // synced.
  void Tick(Micros now);

  // The replica has a newer leadership record of the shard. Called by the replica alone.
  void OnRecordPut(Micros now, int shard_id, const Leadership& record, uint64_t version);
  // The shard's leadership record was deleted at `revision`. Called by the replica alone.
  void OnRecordErased(Micros now, int shard_id, uint64_t revision);
  // Every leadership of this node ends with the lease. Called by the SessionLeaseKeeper.
  void OnSessionLeaseEnded(Micros now) override;

  // Adds the epochs that this node knows to a heartbeat.
  void FillEpochs(mesh::Heartbeat* heartbeat) const;
  // Adds this node's own shard to a heartbeat if it wants it back.
  void FillWanted(Micros now, mesh::Heartbeat* heartbeat) const;
  // A peer's heartbeat named these leaders: a leadership with a lower epoch ends.
  void OnEpochsReported(Micros now, const std::vector<mesh::ShardEpoch>& epochs);
  // The peer `from` wants these shards back: those that belong to it are released.
  void OnShardsWanted(Micros now, const std::string& from, const std::vector<uint64_t>& shards);

 private:
  int shard_count() const { return static_cast<int>(config_.labels.size()); }
  ShardLeadership& At(int shard_id) { return shards_[static_cast<size_t>(shard_id)]; }
  bool HeldByThisProcess(int shard_id) const;
  // Another leads our own shard, and we have been healthy for long enough to lead it ourselves.
  bool WantsOwnShard(Micros now) const;

  void RunForLeadership(Micros now, int shard_id);
  // Our own shard's leadership record is newer than we know, or has to be renewed with another
  // form of its table.
  void CheckOwnRecord(Micros now, int shard_id);
  // The shard has a leadership record: it may be ours and unknown to this process.
  void Reclaim(Micros now, int shard_id);
  // How long a shard must have been without a leader before we take it: the next in the ring goes
  // first.
  Micros ElectionDelay(Micros now, int shard_id) const;
  void SendElection(Micros now, int shard_id);
  StateTxn ElectionTxn(int shard_id) const;
  void OnElectionAnswered(Micros now, int shard_id, const std::vector<StateWrite>& writes,
                          const CommitAnswer& answer);
  void BackOff(Micros now, int shard_id, TransactionOutcome outcome);
  void BecomeLeader(Micros now, int shard_id, uint64_t revision);
  void Lose(Micros now, int shard_id, LossReason reason);

  bool MayRelease(Micros now, int shard_id) const;
  void Release(int shard_id);
  void OnReleaseAnswered(Micros now, int shard_id, uint64_t epoch, const CommitAnswer& answer);

  const Config config_;
  const Collaborators with_;
  std::vector<ShardLeadership> shards_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_LEADER_ELECTION_H_
