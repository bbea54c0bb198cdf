// Storage form of an assignment table: migration from the original to the compact form, and growth
// of the compact form.
//
// If the store accepts only small values, it takes neither a chunk of the original form nor a
// transaction that splits one. A table is migrated in steps:
// 1. Its leader is re-elected in a transaction that also writes the header of the compact form.
// Every commit to a table is conditional on its leadership record, so older commits fail and the
// original form no longer changes.
// 2. Each further commit writes some chunks of the compact form, and in the header the first chunk
// that is still to migrate. Readers take unmigrated machines from the original form.
// 3. The original form is erased.
#include <algorithm>
#include <memory>
#include <utility>

#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
// Below either limit, tables are stored in the compact form. Commits of the original form need room
// for chunks, finished jobs and progress together.
constexpr int64_t kCompactBelowBytes = int64_t{8} * 1024;
constexpr int kCompactBelowOps = 12;
// Fill level of the largest chunk after migration, and the one above which a chunk is split, in
// percent of the size limit of a value.
constexpr int64_t kInitialFillPercent = 60;
constexpr int64_t kSplitFillPercent = 75;
constexpr int kInitialChunks = 1 + 4;
constexpr int kMaxChunks = 1024;
}  // namespace

bool Core::NeedsCompactForm(const Shard& shard) const {
  if (!cluster_version_.all_current() || shard.replica.assignments.form == TableForm::kCompact)
    return false;
  const StateLimits& limits = cluster_version_.limits();
  // With smaller values, existing chunks might not be splittable in one transaction.
  return limits.value_bytes < kCompactBelowBytes || limits.txn_ops < kCompactBelowOps ||
         limits.value_bytes < settings_.state_limits.value_bytes;
}

// Whether another shard may change this shard's table; not during its migration.
bool Core::MayChangeTable(const Shard& shard) const {
  return shard.replica.chunks.count(0) != 0 && !shard.replica.assignments.Migrating() &&
         !NeedsCompactForm(shard);
}

// The table at the start of the migration: all machines are still in the original form.
AssignmentTable Core::FirstCompactTable(const Shard& shard) const {
  AssignmentTable table = shard.replica.assignments;
  table.form = TableForm::kCompact;
  if (shard.replica.chunks.empty()) {
    table.chunks = kInitialChunks;
    return table;
  }
  const int64_t max_bytes = cluster_version_.limits().value_bytes * kInitialFillPercent / 100;
  table.chunks = ChunksForCompactForm(shard.replica.assignments, max_bytes);
  table.unmigrated_from = 1;
  // Tail credits are dropped if the header is too large; they are granted again.
  if (StoredSize(EncodeChunk(table, 0)) > cluster_version_.limits().value_bytes)
    table.tail_grants.clear();
  return table;
}

// Sends one maintenance commit if needed. Returns true if no scheduling cycle may run now.
bool Core::MaintainTable(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  if (shard.replica.assignments.form != TableForm::kCompact) return false;
  if (shard.replica.assignments.Migrating()) return MigrateTable(now, shard_id);
  if (std::exchange(shard.cycle.table_maintained, false))
    return false;  // alternate with scheduling cycles
  shard.cycle.table_maintained = GrowTable(now, shard_id) || EraseOriginalForm(now, shard_id);
  return shard.cycle.table_maintained;
}

bool Core::MigrateTable(Micros now, int shard_id) {
  AssignmentTable next = ShardAt(shard_id).replica.assignments;
  const int first = next.unmigrated_from;
  StateTxn txn;
  int end = first;
  for (; end < next.chunks; ++end) {
    // One write is for the header.
    if (end > first &&
        (static_cast<int>(txn.writes.size()) + 1 >= cluster_version_.limits().txn_ops ||
         !FitsAnotherWrite(txn))) {
      break;
    }
    txn.writes.push_back(
        {AssignmentKey(shard_id, end, next.form), EncodeChunk(next, end), 0, false});
  }
  next.unmigrated_from = end == next.chunks ? 0 : end;
  txn.writes.push_back({AssignmentKey(shard_id, 0, next.form), EncodeChunk(next, 0), 0, false});
  return CommitWithoutPlan(now, shard_id, std::move(next), std::move(txn));
}

bool Core::EraseOriginalForm(Micros now, int shard_id) {
  const Shard& shard = ShardAt(shard_id);
  if (shard.replica.original_chunks.empty()) return false;
  StateTxn txn;
  for (const auto& [index, chunk] : shard.replica.original_chunks) {
    if (!FitsAnotherWrite(txn)) break;
    txn.writes.push_back({AssignmentKey(shard_id, index), "", 0, true});
  }
  return CommitWithoutPlan(now, shard_id, shard.replica.assignments, std::move(txn));
}

// Adds a chunk before the largest one is too full to be split in one transaction.
bool Core::GrowTable(Micros now, int shard_id) {
  const Shard& shard = ShardAt(shard_id);
  size_t largest = 0;
  for (const auto& [index, chunk] : shard.replica.chunks) {
    if (index != 0) largest = std::max(largest, chunk.bytes);
  }
  const int64_t max_bytes = cluster_version_.limits().value_bytes * kSplitFillPercent / 100;
  if (static_cast<int64_t>(largest) <= max_bytes ||
      shard.replica.assignments.chunks >= kMaxChunks) {
    return false;
  }
  AssignmentTable next = shard.replica.assignments;
  const int split = next.ChunkToSplit();
  const int added = next.chunks++;
  StateTxn txn;
  for (int chunk : {0, split, added}) {
    txn.writes.push_back(
        {AssignmentKey(shard_id, chunk, next.form), EncodeChunk(next, chunk), 0, false});
  }
  return CommitWithoutPlan(now, shard_id, std::move(next), std::move(txn));
}

// Commits writes apart from a scheduling cycle. `assignments` is the table after them; `progress`
// tells whether they include progress pages. Returns true even if the write budget is used up: the
// writes then go before the next cycle.
bool Core::CommitWithoutPlan(Micros now, int shard_id, AssignmentTable assignments, StateTxn txn,
                             bool progress) {
  Plan plan;
  plan.urgent = true;
  plan.progress = progress;
  if (!ReserveWrites(now, shard_id, plan, txn.writes.size())) {
    if (progress) ShardAt(shard_id).cycle.progress_dirty = true;
    return true;
  }
  plan.assignments = std::move(assignments);
  txn.conditions.push_back({LeadershipKey(shard_id), ShardAt(shard_id).leadership.epoch});
  AddHeaderCondition(shard_id, &txn);
  std::string body = wire::EncodeTxn(txn);
  SendCommit(shard_id, std::make_shared<Plan>(std::move(plan)),
             std::make_shared<std::vector<StateWrite>>(std::move(txn.writes)), std::move(body));
  return true;
}

}  // namespace troutlink
