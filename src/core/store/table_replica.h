// Replica of one shard: leadership record, assignment table and progress.
#ifndef TROUTLINK_CORE_STORE_TABLE_REPLICA_H_
#define TROUTLINK_CORE_STORE_TABLE_REPLICA_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "core/store/machine_directory.h"
#include "core/store/record_outcome.h"
#include "core/store/records.h"
#include "core/store/shard_records.h"
#include "core/store/table_observer.h"

namespace troutlink {

// Applies records of one shard in any order; records that are not newer than the known revision are
// ignored. Assignment tables are stored in chunks, in the original or the compact form
// (docs/design.md). During a migration, machines of chunks that are not migrated yet are read from
// the original form. Makes no calls.
class TableReplica {
 public:
  // `directory` is shared by all shards; both must outlive this object.
  TableReplica(int shard_id, MachineDirectory* directory, TableObserver* observer)
      : shard_id_(shard_id), directory_(directory), observer_(observer) {}

  // The records. The reference stays valid for the life of this object.
  const ShardRecords& records() const { return records_; }

  RecordOutcome ApplyLeadership(const std::string& value, uint64_t version);
  // Returns false if the known record is newer than the deletion.
  bool EraseLeadership(uint64_t version);
  // Applies one chunk of either form, according to `key`.
  RecordOutcome ApplyChunk(Micros now, const Key& key, const std::string& value, uint64_t version);
  // Forgets a chunk of the original form that was erased in the store.
  void EraseOriginalChunk(int chunk) { records_.original_chunks.erase(chunk); }
  // Applies a page of progress; tasks of jobs outside `open_jobs` are dropped.
  RecordOutcome ApplyProgress(int page, const std::string& value, uint64_t version,
                              const std::set<std::string>& open_jobs);
  // Drops the progress of a finished job.
  void ForgetProgress(const std::string& job) { records_.progress.erase(job); }

  // Whether the assignment table changed since the last call.
  bool TakeChanged();

 private:
  // Handles the first record of the table's compact form.
  void BeginCompactForm();
  RecordOutcome ApplyOriginalChunk(Micros now, int index, const std::string& value,
                                   uint64_t version);
  void ApplyHeader(Micros now, AssignmentTable header);
  // Drops machines of the original form that have been migrated or removed.
  void DropMigratedMachines(Micros now);
  // Removes the machine if it belongs to that chunk.
  void RemoveMachineOfChunk(Micros now, const std::string& name, int chunk);
  void PutMachine(Micros now, int chunk, AssignedMachine machine);

  const int shard_id_;
  MachineDirectory* const directory_;
  TableObserver* const observer_;
  ShardRecords records_;
  std::map<std::string, AssignedMachine> original_machines_;
  std::unordered_map<std::string, int> chunk_of_;  // of the table's machines, as stored
  bool changed_ = false;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_TABLE_REPLICA_H_
