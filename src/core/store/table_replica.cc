// Applies chunks of an assignment table in either form, the leadership record and progress.
#include "core/store/table_replica.h"

#include <optional>
#include <utility>

namespace troutlink {

namespace {
// Chunk number of machines that only the original form contains.
constexpr int kOriginalChunk = -1;
}  // namespace

RecordOutcome TableReplica::ApplyLeadership(const std::string& value, uint64_t version) {
  if (records_.leadership_version >= version) return RecordOutcome::kIgnored;
  std::optional<Leadership> leadership = DecodeLeadership(value);
  if (!leadership) return RecordOutcome::kUnreadable;
  records_.leadership_version = version;
  records_.leadership_record = std::move(*leadership);
  return RecordOutcome::kApplied;
}

bool TableReplica::EraseLeadership(uint64_t version) {
  if (records_.leadership_version > version) return false;
  records_.leadership_version = 0;
  return true;
}

// Only the machines of this chunk are replaced. When a chunk is split, the two halves arrive
// together, in either order.
RecordOutcome TableReplica::ApplyChunk(Micros now, const Key& key, const std::string& value,
                                       uint64_t version) {
  if (key.form == TableForm::kCompact) {
    BeginCompactForm();
  } else if (records_.assignments.form == TableForm::kCompact) {
    return ApplyOriginalChunk(now, key.chunk, value, version);
  }
  StoredChunk& chunk = records_.chunks[key.chunk];
  if (chunk.version >= version) return RecordOutcome::kIgnored;
  chunk.version = version;
  chunk.bytes = value.size();
  AssignmentTable next;
  next.form = key.form;
  if (!DecodeChunk(value, key.chunk, &next)) return RecordOutcome::kUnreadable;
  for (const std::string& name : chunk.names) {
    if (next.machines.count(name) == 0) RemoveMachineOfChunk(now, name, key.chunk);
  }
  chunk.names.clear();
  for (auto& [name, machine] : next.machines) {
    chunk.names.push_back(name);
    PutMachine(now, key.chunk, std::move(machine));
  }
  if (key.chunk == 0) ApplyHeader(now, std::move(next));
  records_.changed_at = now;
  changed_ = true;
  return RecordOutcome::kApplied;
}

void TableReplica::ApplyHeader(Micros now, AssignmentTable header) {
  AssignmentTable& table = records_.assignments;
  table.chunks = header.chunks;
  table.unmigrated_from = header.unmigrated_from;
  table.next_number = header.next_number;
  table.rentals = std::move(header.rentals);
  table.shares = std::move(header.shares);
  table.tail_grants = std::move(header.tail_grants);
  DropMigratedMachines(now);
}

void TableReplica::BeginCompactForm() {
  if (records_.assignments.form == TableForm::kCompact) return;
  records_.assignments.form = TableForm::kCompact;
  records_.original_chunks = std::exchange(records_.chunks, {});
  original_machines_ = records_.assignments.machines;
  for (auto& [name, chunk] : chunk_of_) chunk = kOriginalChunk;
}

// A paged list may deliver a chunk from before the migration.
RecordOutcome TableReplica::ApplyOriginalChunk(Micros now, int index, const std::string& value,
                                               uint64_t version) {
  StoredChunk& chunk = records_.original_chunks[index];
  if (chunk.version >= version) return RecordOutcome::kIgnored;
  chunk.version = version;
  AssignmentTable next;
  // The compact form is authoritative: an unreadable chunk of the original form is no error.
  if (!DecodeChunk(value, index, &next)) return RecordOutcome::kIgnored;
  for (const std::string& name : chunk.names) {
    if (next.machines.count(name) != 0) continue;
    original_machines_.erase(name);
    RemoveMachineOfChunk(now, name, kOriginalChunk);
  }
  chunk.names.clear();
  const AssignmentTable& table = records_.assignments;
  for (auto& [name, machine] : next.machines) {
    chunk.names.push_back(name);
    if (!table.Migrating() || table.ChunkOfMachine(name) < table.unmigrated_from) continue;
    original_machines_[name] = machine;
    PutMachine(now, kOriginalChunk, std::move(machine));
  }
  changed_ = true;
  return RecordOutcome::kApplied;
}

void TableReplica::DropMigratedMachines(Micros now) {
  const AssignmentTable& table = records_.assignments;
  for (auto it = original_machines_.begin(); it != original_machines_.end();) {
    const std::string name = it->first;
    if (table.Migrating() && table.ChunkOfMachine(name) >= table.unmigrated_from) {
      ++it;
      continue;
    }
    it = original_machines_.erase(it);
    RemoveMachineOfChunk(now, name, kOriginalChunk);
  }
}

void TableReplica::RemoveMachineOfChunk(Micros now, const std::string& name, int chunk) {
  auto known = chunk_of_.find(name);
  if (known == chunk_of_.end() || known->second != chunk) return;
  chunk_of_.erase(known);
  records_.assignments.machines.erase(name);
  if (directory_->Remove(name, shard_id_)) observer_->OnMachineUnassigned(now, name);
}

void TableReplica::PutMachine(Micros now, int chunk, AssignedMachine machine) {
  const std::string name = machine.name;
  chunk_of_[name] = chunk;
  directory_->Put(name, shard_id_);
  observer_->OnMachineAssigned(now, shard_id_, machine);
  records_.assignments.machines[name] = std::move(machine);
}

// Progress only grows, so pages of any age can be merged.
RecordOutcome TableReplica::ApplyProgress(int page, const std::string& value, uint64_t version,
                                          const std::set<std::string>& open_jobs) {
  if (records_.ProgressVersion(page) >= version) return RecordOutcome::kIgnored;
  std::optional<Progress> progress = DecodeProgress(value);
  if (!progress) return RecordOutcome::kUnreadable;
  records_.progress_versions[page] = version;
  records_.progress_values[page] = value;
  for (auto& [id, tasks] : *progress) {
    if (open_jobs.count(id) != 0) records_.progress[id].merge(tasks);
  }
  return RecordOutcome::kApplied;
}

bool TableReplica::TakeChanged() { return std::exchange(changed_, false); }

}  // namespace troutlink
