// The replica: a copy of the state service's content, record by record.
#ifndef TROUTLINK_CORE_STORE_REPLICA_H_
#define TROUTLINK_CORE_STORE_REPLICA_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "core/io/effects.h"
#include "core/store/cluster_version.h"
#include "core/store/job_table.h"
#include "core/store/machine_directory.h"
#include "core/store/replica_observer.h"
#include "core/store/table_replica.h"

namespace troutlink {

// Dispatches records by their keys to the parts of the replica. A record comes by a list, a
// watch, a read or a commit of this node, in any order; one that is not newer than the
// replica's changes nothing. Sends nothing but lines of the log.
class Replica {
 public:
  // All pointers must outlive this.
  Replica(int shard_count, JobTable* jobs, ClusterVersion* cluster_version, Effects* effects,
          ReplicaObserver* observer);

  // The record `key` has this value, written at revision `version`.
  void ApplyPut(Micros now, const std::string& key, const std::string& value, uint64_t version);
  // The record was deleted at revision `version`.
  void ApplyErase(Micros now, const std::string& key, uint64_t version);
  // Follows a batch of the two above that may have changed assignment tables.
  void FinishBatch(Micros now);

  // Of a shard that exists. The reference stays valid.
  const ShardRecords& records(int shard_id) const {
    return tables_[static_cast<size_t>(shard_id)].records();
  }
  // The shard whose assignment table has the machine; -1: none has.
  int ShardOfMachine(const std::string& name) const { return directory_.ShardOf(name); }
  // Whether some shard's leadership record is of a process of the node `label` other than that
  // with `boot`.
  bool HasLeadershipOfOtherProcess(const std::string& label, uint64_t boot) const;
  // Calls `visit` with the keys and revisions of held records that a list would have if they
  // still exist: of jobs, leaderships and chunks of original tables, in this order.
  void VisitListed(
      const std::function<void(const std::string& key, uint64_t version)>& visit) const;

 private:
  bool HasShard(int shard_id) const { return shard_id < static_cast<int>(tables_.size()); }
  TableReplica& TableOf(int shard_id) { return tables_[static_cast<size_t>(shard_id)]; }
  void ApplyJob(Micros now, const std::string& id, const std::string& value, uint64_t version);
  void ApplyOfShard(Micros now, const Key& key, const std::string& value, uint64_t version);
  void ApplyNodeVersion(const std::string& label, const std::string& value, uint64_t version);

  JobTable* const jobs_;
  ClusterVersion* const cluster_version_;
  Effects* const effects_;
  ReplicaObserver* const observer_;
  MachineDirectory directory_;
  std::deque<TableReplica> tables_;  // by shard; elements never move
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_REPLICA_H_
