// The replica of one shard: its leadership record, assignment table and progress.
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

// Applies stored records of one shard in whatever order they are read: each has the revision at
// which it was written, and one that is not newer than the held one changes nothing. Assignment
// tables come in chunks, in the original or the compact form (docs/design.md); while a table
// migrates, machines of chunks that the compact form does not have yet are read from the
// original one. Makes no calls.
class TableReplica {
 public:
  // `directory` is shared by the replicas of all shards; both must outlive this.
  TableReplica(int shard_id, MachineDirectory* directory, TableObserver* observer)
      : shard_id_(shard_id), directory_(directory), observer_(observer) {}

  // Everything that is held, for reading. Stays where it is for the life of this object.
  const ShardRecords& records() const { return records_; }

  RecordOutcome ApplyLeadership(const std::string& value, uint64_t version);
  // False when the held record is newer than the deletion.
  bool EraseLeadership(uint64_t version);
  // One chunk of either form; `key` says which.
  RecordOutcome ApplyChunk(Micros now, const Key& key, const std::string& value, uint64_t version);
  // The state service no longer has that chunk of the original form.
  void EraseOriginalChunk(int chunk) { records_.original_chunks.erase(chunk); }
  // A page of progress; only tasks of jobs in `open_jobs` are kept.
  RecordOutcome ApplyProgress(int page, const std::string& value, uint64_t version,
                              const std::set<std::string>& open_jobs);
  // The job is over.
  void ForgetProgress(const std::string& job) { records_.progress.erase(job); }

  // Whether the assignment table changed since the last call.
  bool TakeChanged();

 private:
  // The first value of the compact form of the table was read.
  void BeginCompactForm();
  RecordOutcome ApplyOriginalChunk(Micros now, int index, const std::string& value,
                                   uint64_t version);
  void ApplyHeader(Micros now, AssignmentTable header);
  // Machines of the original form that the compact form has by now, or no longer has at all.
  void DropMigratedMachines(Micros now);
  // Removes the machine if the table has it from that chunk.
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
