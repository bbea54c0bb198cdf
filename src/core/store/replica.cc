// Dispatches records to the parts of the replica, and logs unreadable ones.
#include "core/store/replica.h"

#include <algorithm>

namespace troutlink {

namespace {
const std::string kTypesKey = std::string(kKeyPrefix) + "types";
}  // namespace

Replica::Replica(int shard_count, JobTable* jobs, ClusterVersion* cluster_version, Effects* effects,
                 ReplicaObserver* observer)
    : jobs_(jobs), cluster_version_(cluster_version), effects_(effects), observer_(observer) {
  for (int shard_id = 0; shard_id < shard_count; ++shard_id) {
    tables_.emplace_back(shard_id, &directory_, observer);
  }
}

void Replica::ApplyPut(Micros now, const std::string& key, const std::string& value,
                       uint64_t version) {
  const Key parsed = ParseKey(key);
  switch (parsed.kind) {
    case Key::Kind::kJob: ApplyJob(now, parsed.id, value, version); return;
    case Key::Kind::kLeadership:
    case Key::Kind::kAssignments:
    case Key::Kind::kProgress:
      if (HasShard(parsed.shard_id)) ApplyOfShard(now, parsed, value, version);
      return;
    case Key::Kind::kNodeVersion: ApplyNodeVersion(parsed.id, value, version); return;
    case Key::Kind::kOther:
      if (key == kTypesKey) observer_->OnMachineTypes(value);
      return;
  }
}

void Replica::ApplyJob(Micros now, const std::string& id, const std::string& value,
                       uint64_t version) {
  switch (jobs_->Apply(now, id, value, version)) {
    case RecordOutcome::kIgnored: return;
    case RecordOutcome::kUnreadable:
      effects_->Log(LogLine::Level::kError, "cannot decode job record " + JobKey(id));
      return;
    case RecordOutcome::kApplied: break;
  }
  const JobRecord& record = jobs_->At(id).record;
  if (record.state == JobState::kOpen) return;
  if (record.shard_id >= 0 && HasShard(record.shard_id))
    TableOf(record.shard_id).ForgetProgress(id);
}

void Replica::ApplyOfShard(Micros now, const Key& key, const std::string& value, uint64_t version) {
  TableReplica& table = TableOf(key.shard_id);
  if (key.kind == Key::Kind::kLeadership) {
    if (table.ApplyLeadership(value, version) == RecordOutcome::kApplied) {
      observer_->OnLeadershipRecord(now, key.shard_id, table.records().leadership_record, version);
    }
  } else if (key.kind == Key::Kind::kAssignments) {
    if (table.ApplyChunk(now, key, value, version) == RecordOutcome::kUnreadable) {
      effects_->Log(LogLine::Level::kError,
                    "cannot decode assignment table of shard " + std::to_string(key.shard_id));
    }
  } else {
    table.ApplyProgress(key.chunk, value, version, jobs_->open());
  }
}

void Replica::ApplyNodeVersion(const std::string& label, const std::string& value,
                               uint64_t version) {
  if (!cluster_version_->Apply(label, value, version)) return;
  const StateLimits& limits = cluster_version_->limits();
  effects_->Log(LogLine::Level::kInfo,
                "cluster version " + std::to_string(kStoredFormVersion) +
                    "; limits of the key-value store: " + std::to_string(limits.value_bytes) +
                    " bytes, " + std::to_string(limits.txn_ops) + " writes per transaction, " +
                    std::to_string(static_cast<int>(limits.write_rps)) + " writes per second");
}

void Replica::ApplyErase(Micros now, const std::string& key, uint64_t version) {
  const Key parsed = ParseKey(key);
  if (parsed.kind == Key::Kind::kLeadership && HasShard(parsed.shard_id)) {
    if (TableOf(parsed.shard_id).EraseLeadership(version)) {
      observer_->OnLeadershipErased(now, parsed.shard_id, version);
    }
  } else if (parsed.kind == Key::Kind::kAssignments && parsed.form == TableForm::kOriginal &&
             HasShard(parsed.shard_id)) {
    // Chunks of the original form are erased only after their machines have been migrated.
    TableOf(parsed.shard_id).EraseOriginalChunk(parsed.chunk);
  } else if (parsed.kind == Key::Kind::kJob) {
    // The service never deletes job records.
    effects_->Log(LogLine::Level::kError,
                  "job record was deleted, which this service never does: " + key);
  }
}

void Replica::FinishBatch(Micros now) {
  for (int shard_id = 0; HasShard(shard_id); ++shard_id) {
    if (TableOf(shard_id).TakeChanged()) observer_->OnTableChanged(now, shard_id);
  }
}

bool Replica::HasLeadershipOfOtherProcess(const std::string& label, uint64_t boot) const {
  return std::any_of(tables_.begin(), tables_.end(), [&](const TableReplica& table) {
    const ShardRecords& records = table.records();
    return records.leadership_version != 0 && records.leadership_record.leader == label &&
           records.leadership_record.boot != boot;
  });
}

void Replica::VisitListed(
    const std::function<void(const std::string& key, uint64_t version)>& visit) const {
  for (const auto& [id, entry] : jobs_->jobs()) visit(JobKey(id), entry.version);
  for (int shard_id = 0; HasShard(shard_id); ++shard_id) {
    const uint64_t version = records(shard_id).leadership_version;
    if (version != 0) visit(LeadershipKey(shard_id), version);
  }
  for (int shard_id = 0; HasShard(shard_id); ++shard_id) {
    for (const auto& [index, chunk] : records(shard_id).original_chunks) {
      visit(AssignmentKey(shard_id, index), chunk.version);
    }
  }
}

}  // namespace troutlink
