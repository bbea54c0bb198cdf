// Commits the decisions of a scheduling cycle in one transaction.
#include <algorithm>
#include <memory>

#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr Micros kCommitTimeout = 1500 * kMillisecond;
constexpr Micros kCleanupCommitDelay = 700 * kMillisecond;
constexpr Micros kMinCommitInterval = 80 * kMillisecond;
// Limit of the key-value store for one transaction, less some room for the request's frame.
constexpr int64_t kMaxTxnBytes = int64_t{62} * 1024;
constexpr int64_t kMaxChunkBytes = int64_t{13} * 1024;
constexpr int kMaxChunks = 1024;
constexpr int64_t kMaxFillPercent = 95;  // of the size limit of a value
// Writes left for the rest of the transaction after the moved jobs.
constexpr int kWritesAfterMovedJobs = 2;
constexpr int kMinOpsForReserve = 8;  // below this a transaction has no writes to leave
// Tokens of the write budget that a commit of each urgency leaves untouched.
constexpr double kCriticalReserve = 2;
constexpr double kUrgentReserve = 4;
constexpr double kCleanupReserve = 6;
constexpr Micros kWriteBudgetPause = 50 * kMillisecond;
constexpr int kReducedCycleCount = 4;  // after a commit that exceeded the transaction limit
constexpr Micros kFailedCommitPause = 200 * kMillisecond;
constexpr Micros kTransferPause =
    250 * kMillisecond;  // for transfers between shards, after a conflict
constexpr Micros kConflictPause = 10 * kMillisecond;  // doubled for each consecutive conflict
constexpr int kConflictDoublings = 5;

// Returns the chunks whose stored content differs between two versions of an assignment table.
std::set<int> ChangedChunks(const AssignmentTable& before, const AssignmentTable& after) {
  std::set<int> changed;
  if (before.next_number != after.next_number || before.rentals != after.rentals ||
      before.shares != after.shares || before.tail_grants != after.tail_grants) {
    changed.insert(0);
  }
  auto old_machine = before.machines.begin();
  auto new_machine = after.machines.begin();
  while (old_machine != before.machines.end() || new_machine != after.machines.end()) {
    if (new_machine == after.machines.end() ||
        (old_machine != before.machines.end() && old_machine->first < new_machine->first)) {
      changed.insert(after.ChunkOfMachine((old_machine++)->first));
    } else if (old_machine == before.machines.end() || new_machine->first < old_machine->first) {
      changed.insert(after.ChunkOfMachine((new_machine++)->first));
    } else {
      if (!(new_machine->second == old_machine->second)) {
        changed.insert(after.ChunkOfMachine(new_machine->first));
      }
      ++new_machine;
      ++old_machine;
    }
  }
  return changed;
}
}  // namespace

// Commits the plan, unless the commit may be delayed and batched with the next cycle's.
void Core::Commit(Micros now, int shard_id, Plan* plan) {
  Shard& shard = ShardAt(shard_id);
  StateTxn txn;
  WriteTable(shard_id, &plan->assignments, &txn);
  for (auto& [other_id, assignments] : plan->other_tables) WriteTable(other_id, &assignments, &txn);
  WriteDoneJobs(now, plan, &txn);
  WriteMovedJobs(plan, &txn);
  if (plan->progress) WriteProgress(shard_id, &txn);
  if (txn.writes.empty()) {
    shard.cycle.cleanup_only = false;
    return;
  }
  if (!MayCommitNow(now, &shard, *plan) ||
      !ReserveWrites(now, shard_id, *plan, txn.writes.size())) {
    return;
  }
  shard.cycle.cleanup_at = 0;
  shard.cycle.last_commit_at = now;
  AddConditions(shard_id, *plan, &txn);
  if (plan->progress) {
    shard.cycle.progress_dirty = false;
    shard.cycle.progress_at = now + FromSeconds(settings_.operator_settings.progress_period_s());
  }
  std::string body = wire::EncodeTxn(txn);
  if (!FitsTransaction(txn, body)) {
    ReduceNextCycles(now, shard_id, *plan);
    return;
  }
  SendCommit(shard_id, std::make_shared<Plan>(std::move(*plan)),
             std::make_shared<std::vector<StateWrite>>(std::move(txn.writes)), std::move(body));
}

// Writes the changed chunks of a shard's assignment table.
void Core::WriteTable(int shard_id, AssignmentTable* assignments, StateTxn* txn) const {
  const Shard& shard = ShardAt(shard_id);
  std::set<int> changed = ChangedChunks(shard.replica.assignments, *assignments);
  // Every commit writes the header, so that its version is the version of the whole table.
  if (!changed.empty() || shard.replica.chunks.count(0) == 0) changed.insert(0);
  const int64_t max_bytes = cluster_version_.limits().value_bytes * kMaxFillPercent / 100;
  bool split = false;
  std::vector<std::pair<int, std::string>> values;
  for (;;) {
    values.clear();
    int64_t largest = 0;
    for (int chunk : changed) {
      values.emplace_back(chunk, EncodeChunk(*assignments, chunk));
      largest = std::max(largest, StoredSize(values.back().second));
    }
    // A chunk is split well before its value is full, at most one in a commit unless a value
    // exceeds the limit.
    const bool must_split =
        largest > max_bytes || (!split && largest > std::min(kMaxChunkBytes, max_bytes));
    // GrowTable() splits chunks of the compact form.
    if (assignments->form == TableForm::kCompact) break;
    if (!must_split || assignments->chunks >= kMaxChunks) break;
    changed.insert({0, assignments->ChunkToSplit(), assignments->chunks});
    ++assignments->chunks;
    split = true;
  }
  for (auto& [chunk, value] : values) {
    txn->writes.push_back(
        {AssignmentKey(shard_id, chunk, assignments->form), std::move(value), 0, false});
  }
}

// Writes a job record, conditional on the version in the replica.
void Core::WriteJob(const std::string& id, uint64_t version, const JobRecord& record,
                    StateTxn* txn) {
  txn->conditions.push_back({JobKey(id), version});
  txn->writes.push_back({JobKey(id), EncodeJob(record), 0, false});
}

JobRecord Core::DoneRecord(Micros now, const JobEntry& job) const {
  JobRecord record = job.record;
  record.state = JobState::kDone;
  // Version 1 does not know this field.
  if (cluster_version_.all_current()) record.finished = WallNow(now);
  return record;
}

void Core::WriteDoneJobs(Micros now, Plan* plan, StateTxn* txn) const {
  for (const std::string& id : plan->done_jobs) {
    const JobEntry* job = jobs_.Find(id);
    if (job == nullptr || job->record.state != JobState::kOpen) continue;
    WriteJob(id, job->version, DoneRecord(now, *job), txn);
    plan->condition_jobs.erase(id);
  }
}

void Core::WriteMovedJobs(Plan* plan, StateTxn* txn) {
  for (const auto& [id, to] : plan->moved_jobs) {
    const JobEntry* job = jobs_.Find(id);
    if (job == nullptr || job->record.state != JobState::kOpen) continue;
    const int writes_left =
        cluster_version_.limits().txn_ops < kMinOpsForReserve ? 1 : kWritesAfterMovedJobs;
    if (static_cast<int>(txn->writes.size()) + writes_left > cluster_version_.limits().txn_ops)
      break;
    JobRecord record = job->record;
    record.spec.priority = job->own_priority;
    record.shard_id = to;
    ++record.moves;
    WriteJob(id, job->version, record, txn);
    plan->condition_jobs.erase(id);
    ++counters_.job_moves;
  }
}

void Core::WriteProgress(int shard_id, StateTxn* txn) const {
  txn->writes.push_back({ProgressKey(shard_id), FittingProgress(ProgressOf(shard_id)), 0, false});
}

// Whether to commit now rather than batch the changes with the next cycle's.
bool Core::MayCommitNow(Micros now, Shard* shard, const Plan& plan) {
  if (!plan.urgent && !plan.progress) {
    // The plan only removes finished attempts or returned machines.
    if (shard->cycle.cleanup_at == 0) {
      shard->cycle.cleanup_at = now + kCleanupCommitDelay;
      return false;
    }
    if (now < shard->cycle.cleanup_at) return false;
  }
  if (plan.critical || now - shard->cycle.last_commit_at >= kMinCommitInterval) return true;
  shard->cycle.dirty = true;
  shard->cycle.not_before = shard->cycle.last_commit_at + kMinCommitInterval;
  return false;
}

// Takes the writes of a commit from the budget that all shards led by this node share.
bool Core::ReserveWrites(Micros now, int shard_id, const Plan& plan, size_t writes) {
  const double reserve = plan.critical ? kCriticalReserve
                         : plan.urgent ? kUrgentReserve
                                       : kCleanupReserve;
  // Round robin between shards, so that one with small commits cannot starve one with large ones,
  // which once waited for a minute.
  if (write_budget_guard_.MayTry(now, shard_id)) {
    const bool taken = write_budget_.Take(now, static_cast<double>(writes), reserve);
    write_budget_guard_.RecordAttempt(now, shard_id, taken);
    if (taken) return true;
  }
  Shard& shard = ShardAt(shard_id);
  shard.cycle.dirty = true;
  shard.cycle.not_before = now + kWriteBudgetPause;
  return false;
}

// Makes the commit conditional on the leadership epoch under which it was decided and on the
// records that it read. For another shard's table it is also conditional on that shard's leadership
// record, so that an election there invalidates the commit.
void Core::AddConditions(int shard_id, const Plan& plan, StateTxn* txn) const {
  txn->conditions.push_back({LeadershipKey(shard_id), ShardAt(shard_id).leadership.epoch});
  for (int id = 0; id < settings_.shard_count(); ++id) {
    if (id == shard_id || plan.all_tables || plan.other_tables.count(id) != 0) {
      AddTableConditions(id, txn);
    }
    if (id != shard_id && plan.other_tables.count(id) != 0) {
      txn->conditions.push_back({LeadershipKey(id), ShardAt(id).replica.leadership_version});
    }
  }
  for (const std::string& id : plan.condition_jobs) {
    const JobEntry* job = jobs_.Find(id);
    txn->conditions.push_back({JobKey(id), job == nullptr ? 0 : job->version});
  }
}

// A node of version 1 may write a chunk without the header: until all nodes are current, each chunk
// is a condition.
void Core::AddTableConditions(int shard_id, StateTxn* txn) const {
  const Shard& shard = ShardAt(shard_id);
  AddHeaderCondition(shard_id, txn);
  if (cluster_version_.all_current()) return;
  for (const auto& [index, chunk] : shard.replica.chunks) {
    if (index != 0) txn->conditions.push_back({AssignmentKey(shard_id, index), chunk.version});
  }
}

void Core::AddHeaderCondition(int shard_id, StateTxn* txn) const {
  const Shard& shard = ShardAt(shard_id);
  auto header = shard.replica.chunks.find(0);
  txn->conditions.push_back({AssignmentKey(shard_id, 0, shard.replica.assignments.form),
                             header == shard.replica.chunks.end() ? 0 : header->second.version});
}

bool Core::FitsTransaction(const StateTxn& txn, const std::string& body) const {
  const bool values_fit =
      std::all_of(txn.writes.begin(), txn.writes.end(), [this](const StateWrite& write) {
        return write.erase || StoredSize(write.value) <= cluster_version_.limits().value_bytes;
      });
  return values_fit && static_cast<int64_t>(body.size()) <= kMaxTxnBytes &&
         static_cast<int>(txn.writes.size()) <= cluster_version_.limits().txn_ops &&
         static_cast<int>(txn.conditions.size()) <= cluster_version_.limits().conditions();
}

// Handles a plan that exceeds the limits of a transaction: nothing was sent, and the next cycles
// decide less.
void Core::ReduceNextCycles(Micros now, int shard_id, const Plan& plan) {
  Shard& shard = ShardAt(shard_id);
  effects_.Log(LogLine::Level::kInfo,
               "shard " + std::to_string(shard_id) + ": plan exceeds the transaction limits");
  ++counters_.oversized_plans;
  shard.cycle.reduced_cycles_left = kReducedCycleCount;
  shard.cycle.batch = std::max<uint32_t>(1, shard.cycle.batch / 4);
  shard.cycle.transfers_after = now + kSecond;
  shard.cycle.dirty = true;
  shard.cycle.progress_dirty = shard.cycle.progress_dirty || plan.progress;
}

void Core::SendCommit(int shard_id, std::shared_ptr<const Plan> plan,
                      std::shared_ptr<const std::vector<StateWrite>> writes, std::string body) {
  Shard& shard = ShardAt(shard_id);
  counters_.puts += writes->size();
  ++counters_.commits;
  shard.cycle.committing = true;
  effects_.Send(Dest::kState, "", "POST", wire::CommitTarget(), std::move(body), kCommitTimeout,
                [this, shard_id, plan = std::move(plan), writes = std::move(writes),
                 epoch = shard.leadership.epoch](Micros at, int status, const std::string& answer) {
                  OnCommitAnswered(at, shard_id, epoch, *plan, *writes, status, answer);
                });
}

void Core::OnCommitAnswered(Micros now, int shard_id, uint64_t epoch, const Plan& plan,
                            const std::vector<StateWrite>& writes, int status,
                            const std::string& body) {
  Shard& shard = ShardAt(shard_id);
  std::optional<wire::TxnReply> reply;
  if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
  if (reply) node_health_.NoteStateAnswer(now);
  const bool current = shard.leadership.is_leader && shard.leadership.epoch == epoch;
  if (current) shard.cycle.committing = false;
  if (status == 200 && reply) {
    for (const StateWrite& write : writes) {
      if (write.erase) {
        replica_.ApplyErase(now, write.key, reply->revision);
      } else {
        replica_.ApplyPut(now, write.key, write.value, reply->revision);
      }
    }
    replica_.FinishBatch(now);
    if (current) OnCommitted(now, shard_id, plan);
    return;
  }
  if (!current) return;
  shard.cycle.dirty = true;
  if (plan.progress) shard.cycle.progress_dirty = true;
  if (status == 409) {
    OnCommitConflict(now, &shard, plan, reply ? reply->failed : std::vector<std::string>());
    return;
  }
  // The outcome is unknown. The next cycle commits on the same versions: that either fails, which
  // shows that this transaction was applied, or invalidates it.
  if (status == kNoAnswer) ++counters_.commit_unknown;
  if (status == 429) write_budget_.Drain(now);
  if (status == 400) {
    // Smaller limits may be in force before this node sees that all nodes support them.
    ++counters_.refused_by_limits;
    shard.cycle.reduced_cycles_left = kReducedCycleCount;
  }
  shard.cycle.not_before = now + kFailedCommitPause;
}

// The replica is stale; the watch will deliver the missing changes, or the loss of the leadership.
void Core::OnCommitConflict(Micros now, Shard* shard, const Plan& plan,
                            const std::vector<std::string>& failed) {
  ++counters_.commit_conflicts;
  if (!plan.other_tables.empty()) shard->cycle.transfers_after = now + kTransferPause;
  ++shard->cycle.conflicts;
  const Micros pause = kConflictPause << std::min(shard->cycle.conflicts, kConflictDoublings);
  shard->cycle.not_before = now + std::min(kFailedCommitPause, pause);
  for (const std::string& name : failed) {
    const Key key = ParseKey(name);
    if (key.kind == Key::Kind::kJob) user_api_.records().Refresh(now, key.id);
  }
}

void Core::OnCommitted(Micros now, int shard_id, const Plan& plan) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  shard.cycle.cleanup_only = false;
  shard.cycle.conflicts = 0;
  shard.cycle.dirty = true;
  std::set<std::string> machines_to_command;
  for (const auto& [machine, attempt] : plan.started_attempts) {
    auto it = attempts_.find(attempt);
    if (it == attempts_.end() || it->second.terminated) continue;
    it->second.owns_start = true;
    it->second.placed_at = now;
    it->second.uses_headroom = plan.lent_attempts.count(attempt) != 0;
    if (JobExecution* execution = FindExecution(attempt.job)) execution->pending_since = now;
    health_.NoteStart(machine, attempt.job);
    machines_to_command.insert(machine);
  }
  counters_.acquired_machines += plan.other_tables.empty() ? 0 : 1;
  for (const auto& [name, machine] : shard.replica.assignments.machines) {
    if (machines_[name].probe_pending) machines_to_command.insert(name);  // recently assigned
  }
  for (const std::string& name : machines_to_command) SendDirectCommands(now, shard_id, name);
  SendRentals(now, shard_id, plan.rentals);
  SendReturns(now, shard_id);
}

}  // namespace troutlink
