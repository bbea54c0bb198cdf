// Commits job records and task progress, which need no change of the assignment table.
//
// With the compact table form they are committed apart from the table, conditional on the
// leadership record and on the records themselves, as few writes fit into one transaction.
#include <algorithm>
#include <utility>

#include "base/ids.h"
#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr int64_t kTargetPagePercent = 60;  // of the size limit of a value
constexpr int64_t kMaxPagePercent = 90;
constexpr int64_t kMaxProgressPages = 64;
// Limit for the values of one transaction (64 KiB in all); the last value may exceed it.
constexpr size_t kMaxTxnValueBytes = size_t{40} * 1024;
}  // namespace

// Whether the transaction can take one more write with its condition. Two conditions are kept for
// the leadership record and the table header.
bool Core::FitsAnotherWrite(const StateTxn& txn) const {
  size_t bytes = 0;
  for (const StateWrite& write : txn.writes) bytes += write.value.size();
  return bytes < kMaxTxnValueBytes &&
         static_cast<int>(txn.writes.size()) < cluster_version_.limits().txn_ops &&
         static_cast<int>(txn.conditions.size()) + 2 < cluster_version_.limits().conditions();
}

// Returns true if a commit was sent or waits for write budget; then no scheduling cycle runs now.
bool Core::CommitJobRecords(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  if (std::exchange(shard.cycle.records_committed, false))
    return false;  // alternate with scheduling cycles
  StateTxn txn;
  WriteCascadeCancelled(shard_id, &txn);
  bool progress = false;
  if (shard.replica.assignments.form == TableForm::kCompact) {
    WriteDoneRecords(now, shard_id, &txn);
    progress = shard.cycle.progress_dirty && now >= shard.cycle.progress_at &&
               WriteProgressPages(now, shard_id, &txn);
  }
  if (txn.writes.empty()) return false;
  shard.cycle.records_committed = true;
  return CommitWithoutPlan(now, shard_id, shard.replica.assignments, std::move(txn), progress);
}

// Writes the cancellation of jobs whose dependency was cancelled. None of their tasks has started,
// as the cancelled job will never be done.
void Core::WriteCascadeCancelled(int shard_id, StateTxn* txn) const {
  for (const std::string& id : jobs_.cascade_cancelled()) {
    if (!FitsAnotherWrite(*txn)) return;
    const JobEntry* job = jobs_.Find(id);
    if (job == nullptr || job->record.shard_id != shard_id) continue;
    JobRecord record = job->record;
    record.state = JobState::kCancelled;
    WriteJob(id, job->version, record, txn);
  }
}

void Core::WriteDoneRecords(Micros now, int shard_id, StateTxn* txn) const {
  for (const auto& [id, execution] : executions_) {
    if (!FitsAnotherWrite(*txn)) return;
    if (execution.shard_id != shard_id || execution.done < static_cast<int>(execution.tasks.size()))
      continue;
    const JobEntry* job = jobs_.Find(id);
    if (job == nullptr || job->record.state != JobState::kOpen ||
        jobs_.cascade_cancelled().count(id) != 0)
      continue;
    WriteJob(id, job->version, DoneRecord(now, *job), txn);
  }
}

// Writes as many changed pages as fit into the transaction. Returns whether there are any.
bool Core::WriteProgressPages(Micros now, int shard_id, StateTxn* txn) {
  Shard& shard = ShardAt(shard_id);
  const Progress progress = ProgressOf(shard_id);
  const int64_t page_bytes = cluster_version_.limits().value_bytes * kTargetPagePercent / 100;
  const auto page_count = static_cast<size_t>(std::clamp(
      StoredSize(EncodeProgress(progress)) / page_bytes + 1, int64_t{1}, kMaxProgressPages));
  std::vector<Progress> pages(page_count);
  for (const auto& [id, tasks] : progress) pages[StableHash(id) % page_count][id] = tasks;
  bool left = false, any = false;
  for (size_t page = 0; page < page_count; ++page) {
    std::string value = FittingProgress(std::move(pages[page]));
    const int index = static_cast<int>(page);
    if (shard.replica.HoldsProgress(index, value)) continue;
    if (!FitsAnotherWrite(*txn)) {
      left = true;
      break;
    }
    txn->conditions.push_back({ProgressKey(shard_id, index), shard.replica.ProgressVersion(index)});
    txn->writes.push_back({ProgressKey(shard_id, index), std::move(value), 0, false});
    any = true;
  }
  shard.cycle.progress_dirty = left;
  if (!left)
    shard.cycle.progress_at = now + FromSeconds(settings_.operator_settings.progress_period_s());
  return any;
}

Progress Core::ProgressOf(int shard_id) const {
  Progress progress;
  for (const auto& [id, execution] : executions_) {
    if (execution.shard_id != shard_id || execution.done == 0) continue;
    std::set<int>& done = progress[id];
    for (size_t task = 0; task < execution.tasks.size(); ++task) {
      if (execution.tasks[task] == kDone) done.insert(static_cast<int>(task));
    }
  }
  return progress;
}

// Encodes progress within the size limit of a value. Jobs that do not fit are left out: losing
// progress only repeats work.
std::string Core::FittingProgress(Progress progress) const {
  std::string value = EncodeProgress(progress);
  while (StoredSize(value) > cluster_version_.limits().value_bytes * kMaxPagePercent / 100 &&
         !progress.empty()) {
    progress.erase(progress.begin());
    value = EncodeProgress(progress);
  }
  return value;
}

}  // namespace troutlink
