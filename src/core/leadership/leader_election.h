// Leader election for shards: elections, reclaiming, loss and failback.
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

// Each shard has one leadership record in the key-value store, attached to its leader's session
// lease. The revision of the record is the leader's epoch. A node leads from the commit of its
// record until it learns of a newer record or of the record's deletion. Each shard has a home node,
// which gets it back from the node that led it meanwhile (failback).
class LeaderElection : public SessionLeaseObserver {
 public:
  // Fixed at the start of the process; times in microseconds.
  struct Config {
    std::string label;                 // of this node
    std::vector<std::string> labels;   // of all nodes; the index is the node's home shard
    int home_shard = 0;                // home shard of this node
    uint64_t boot = 0;                 // identifies this incarnation of the process
    Micros started = 0;                // start time of this process
    Micros cancellation_deadline = 0;  // deadline for stopping the tasks of a cancelled job
    Micros failback_after = 0;  // time that this node must be healthy before it requests its shard
  };
  // Must outlive the election. Elections and failbacks are charged to `writes`.
  struct Collaborators {
    Effects* effects;
    TokenBucket* writes;
    SessionLeaseKeeper* lease;
    NodeHealth* health;
    LeadershipStore* store;
    LeadershipObserver* observer;
  };
  LeaderElection(Config config, Collaborators collaborators);

  // The shard must exist. The reference stays valid.
  const ShardLeadership& Of(int shard_id) const { return shards_[static_cast<size_t>(shard_id)]; }
  // Whether this node leads the shard.
  bool IsLeader(int shard_id) const { return Of(shard_id).is_leader; }
  // Number of shards that this node leads.
  int LedShards() const;
  // The known leader of the shard, or empty.
  std::string LeaderOf(int shard_id) const;
  // The most recent leader of the shard other than this process, or empty.
  const std::string& PreviousLeaderOf(int shard_id) const { return Of(shard_id).previous_leader; }

  // Runs due elections. Call at every tick once the replica is synced.
  void Tick(Micros now);

  // The replica received a newer leadership record. Called by the replica only.
  void OnRecordPut(Micros now, int shard_id, const Leadership& record, uint64_t version);
  // The leadership record was deleted at `revision`. Called by the replica only.
  void OnRecordErased(Micros now, int shard_id, uint64_t revision);
  // Ends every leadership of this node. Called by SessionLeaseKeeper.
  void OnSessionLeaseEnded(Micros now) override;

  // Adds the known epochs to a heartbeat.
  void FillEpochs(mesh::Heartbeat* heartbeat) const;
  // Requests this node's home shard in a heartbeat if it is due for failback.
  void FillWantedShards(Micros now, mesh::Heartbeat* heartbeat) const;
  // Ends leaderships with a lower epoch than a peer reports.
  void OnEpochsReported(Micros now, const std::vector<mesh::ShardEpoch>& epochs);
  // Handles failback requests of the peer `from`; only its home shard is released.
  void OnShardsWanted(Micros now, const std::string& from, const std::vector<uint64_t>& shards);

 private:
  int shard_count() const { return static_cast<int>(config_.labels.size()); }
  ShardLeadership& At(int shard_id) { return shards_[static_cast<size_t>(shard_id)]; }
  bool HeldByThisProcess(int shard_id) const;
  // Whether another node leads the home shard and this node is healthy enough to take it back.
  bool WantsFailback(Micros now) const;

  void RunForLeadership(Micros now, int shard_id);
  // Handles a newer record of this process, or a due migration of the table, for a shard that it
  // leads.
  void CheckOwnRecord(Micros now, int shard_id);
  // Handles an existing leadership record, which may be of this node without its knowing.
  void Reclaim(Micros now, int shard_id);
  // Time without a leader after which this node stands for election, by its distance in the ring.
  Micros ElectionDelay(Micros now, int shard_id) const;
  void SendElection(Micros now, int shard_id);
  StateTxn ElectionTxn(int shard_id) const;
  void OnElectionAnswered(Micros now, int shard_id, const std::vector<StateWrite>& writes,
                          const CommitAnswer& answer);
  void BackOff(Micros now, int shard_id, TransactionOutcome outcome);
  void BecomeLeader(Micros now, int shard_id, uint64_t revision);
  void LoseLeadership(Micros now, int shard_id, LossReason reason);

  bool MayFailBack(Micros now, int shard_id) const;
  void StartFailback(int shard_id);
  void OnFailbackAnswered(Micros now, int shard_id, uint64_t epoch, const CommitAnswer& answer);

  const Config config_;
  const Collaborators collaborators_;
  std::vector<ShardLeadership> shards_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_LEADER_ELECTION_H_
