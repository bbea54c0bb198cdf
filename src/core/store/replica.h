// The replica: a local copy of the records in the key-value store.
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

// Dispatches records by key to the parts of the replica. Records arrive from lists, watches, reads
// and this node's commits in any order; older ones are ignored. Makes no calls but writes log
// lines.
class Replica {
 public:
  // The pointers must outlive this object.
  Replica(int shard_count, JobTable* jobs, ClusterVersion* cluster_version, Effects* effects,
          ReplicaObserver* observer);

  // Applies a record's value, written at revision `version`.
  void ApplyPut(Micros now, const std::string& key, const std::string& value, uint64_t version);
  // Applies the deletion of a record at revision `version`.
  void ApplyErase(Micros now, const std::string& key, uint64_t version);
  // Call after a batch of the above, which may have changed assignment tables.
  void FinishBatch(Micros now);

  // The shard must exist. The reference stays valid.
  const ShardRecords& records(int shard_id) const {
    return tables_[static_cast<size_t>(shard_id)].records();
  }
  // The shard whose assignment table contains the machine; -1: none.
  int ShardOfMachine(const std::string& name) const { return directory_.ShardOf(name); }
  // Whether another process of the node `label` than the one with `boot` holds a leadership record.
  bool HasLeadershipOfOtherProcess(const std::string& label, uint64_t boot) const;
  // Visits the records whose deletion only a list can show: jobs, leaderships and chunks of the
  // original form, in this order.
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
