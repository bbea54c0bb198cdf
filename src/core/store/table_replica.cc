// The replica of the assignment tables: their chunks as the state service holds them, in either
// form, and what is counted once for each change.
#include <utility>

#include "core/core.h"

namespace troutlink {

namespace {
// In place of the number of a chunk, for machines that only the original form of a table has.
constexpr int kOriginalChunk = -1;
}  // namespace

// Only the machines of this chunk are replaced. When the number of chunks
// grows, the divided one and the new one arrive together, in either order.
void Core::ApplyChunk(Micros now, const Key& key, const std::string& value, uint64_t version) {
  Shard& shard = ShardAt(key.shard_id);
  if (key.form == TableForm::kCompact) {
    BeginCompactForm(&shard);
  } else if (shard.replica.assignments.form == TableForm::kCompact) {
    ApplyOriginalChunk(now, key, value, version);
    return;
  }
  Chunk& chunk = shard.replica.chunks[key.chunk];
  if (chunk.version >= version) return;
  chunk.version = version;
  chunk.bytes = value.size();
  AssignmentTable next;
  next.form = key.form;
  if (!DecodeChunk(value, key.chunk, &next)) {
    effects_.Log(LogLine::Level::kError,
                 "unreadable assignment table of shard " + std::to_string(key.shard_id));
    return;
  }
  for (const std::string& name : chunk.names) {
    auto chunk_of = shard.replica.chunk_of.find(name);
    if (chunk_of != shard.replica.chunk_of.end() && chunk_of->second == key.chunk &&
        next.machines.count(name) == 0) {
      RemoveMachine(now, key.shard_id, name);
    }
  }
  chunk.names.clear();
  for (auto& [name, machine] : next.machines) {
    chunk.names.push_back(name);
    shard.replica.chunk_of[name] = key.chunk;
    PutMachine(now, key.shard_id, std::move(machine));
  }
  if (key.chunk == 0) ApplyHeader(now, key.shard_id, std::move(next));
  shard.replica.changed_at = now;
  shard.replica.sync_due = true;
}

void Core::ApplyHeader(Micros now, int shard_id, AssignmentTable header) {
  AssignmentTable& table = ShardAt(shard_id).replica.assignments;
  table.chunks = header.chunks;
  table.unmigrated_from = header.unmigrated_from;
  table.next_number = header.next_number;
  table.rentals = std::move(header.rentals);
  table.shares = std::move(header.shares);
  table.helps = std::move(header.helps);
  DropMigratedMachines(now, shard_id);
}

void Core::BeginCompactForm(Shard* shard) {
  if (shard->replica.assignments.form == TableForm::kCompact) return;
  shard->replica.assignments.form = TableForm::kCompact;
  shard->replica.original_chunks = std::exchange(shard->replica.chunks, {});
  shard->replica.original_machines = shard->replica.assignments.machines;
  for (auto& [name, chunk] : shard->replica.chunk_of) chunk = kOriginalChunk;
}

// A list that is read page by page may show a chunk as it was before the compact form began.
void Core::ApplyOriginalChunk(Micros now, const Key& key, const std::string& value,
                              uint64_t version) {
  Shard& shard = ShardAt(key.shard_id);
  Chunk& chunk = shard.replica.original_chunks[key.chunk];
  if (chunk.version >= version) return;
  chunk.version = version;
  AssignmentTable next;
  if (!DecodeChunk(value, key.chunk, &next)) return;
  for (const std::string& name : chunk.names) {
    if (next.machines.count(name) != 0) continue;
    shard.replica.original_machines.erase(name);
    auto chunk_of = shard.replica.chunk_of.find(name);
    if (chunk_of != shard.replica.chunk_of.end() && chunk_of->second == kOriginalChunk) {
      RemoveMachine(now, key.shard_id, name);
    }
  }
  chunk.names.clear();
  const AssignmentTable& table = shard.replica.assignments;
  for (auto& [name, machine] : next.machines) {
    chunk.names.push_back(name);
    if (!table.Migrating() || table.ChunkOfMachine(name) < table.unmigrated_from) continue;
    shard.replica.original_machines[name] = machine;
    shard.replica.chunk_of[name] = kOriginalChunk;
    PutMachine(now, key.shard_id, std::move(machine));
  }
  shard.replica.sync_due = true;
}

void Core::DropMigratedMachines(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  const AssignmentTable& table = shard.replica.assignments;
  for (auto it = shard.replica.original_machines.begin();
       it != shard.replica.original_machines.end();) {
    const std::string name = it->first;
    if (table.Migrating() && table.ChunkOfMachine(name) >= table.unmigrated_from) {
      ++it;
      continue;
    }
    it = shard.replica.original_machines.erase(it);
    auto chunk_of = shard.replica.chunk_of.find(name);
    if (chunk_of != shard.replica.chunk_of.end() && chunk_of->second == kOriginalChunk) {
      RemoveMachine(now, shard_id, name);
    }
  }
}

void Core::RemoveMachine(Micros now, int shard_id, const std::string& name) {
  Shard& shard = ShardAt(shard_id);
  shard.replica.chunk_of.erase(name);
  shard.replica.assignments.machines.erase(name);
  auto holder = machine_shard_.find(name);
  if (holder == machine_shard_.end() || holder->second != shard_id) return;
  machine_shard_.erase(holder);
  departed_[name] = now;
}

void Core::PutMachine(Micros now, int shard_id, AssignedMachine machine) {
  Shard& shard = ShardAt(shard_id);
  const std::string name = machine.name;
  machine_shard_[name] = shard_id;
  // A machine that was here, went to another shard and came back has seen a higher token
  // than the one that we knew it by: it was refused until it counted as silent.
  MachineInfo& info = machines_[name];
  if (info.last_shard != shard_id) {
    info.last_shard = shard_id;
    info.assigned_epoch = 0;
  }
  departed_.erase(name);
  unknown_.erase(name);
  stray_since_.erase(name);
  if (!shard.leadership.is_leader) {
    const bool free = machine.attempts.empty() && !machine.leaving && machine.helps.empty();
    if (free) {
      free_since_.try_emplace(name, now);
    } else {
      free_since_.erase(name);
    }
  }
  shard.replica.assignments.machines[name] = std::move(machine);
}

void Core::ReindexShards(Micros now) {
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    Shard& shard = ShardAt(shard_id);
    if (!shard.replica.sync_due) continue;
    shard.replica.sync_due = false;
    shard.replica.use = UseOf(shard.replica.assignments);
    shard.replica.machine_use.clear();
    shard.replica.attempts = 0;
    shard.replica.any_leaving = false;
    for (const auto& [name, machine] : shard.replica.assignments.machines) {
      shard.replica.machine_use.push_back(CountUse(machine));
      shard.replica.attempts += machine.attempts.size();
      shard.replica.any_leaving = shard.replica.any_leaving || machine.leaving;
    }
    if (shard.leadership.is_leader) SyncShard(now, shard_id);
  }
}

Core::MachineUse Core::CountUse(const AssignedMachine& machine) const {
  MachineUse use;
  use.machine = &machine;
  for (const Attempt& attempt : machine.attempts) {
    const JobEntry* job = FindJob(attempt.job);
    if (job == nullptr) continue;
    const JobSpec& spec = job->record.spec;
    use.all += spec.each;
    use.by_priority[static_cast<size_t>(spec.priority)] += spec.each;
    use.images.insert(spec.image);
  }
  return use;
}

int Core::ShardOfMachine(const std::string& name) const {
  auto it = machine_shard_.find(name);
  return it == machine_shard_.end() ? -1 : it->second;
}

}  // namespace troutlink
