// Commits: one transaction for all that a round decided.
#include <algorithm>
#include <memory>

#include "core/core.h"
#include "core/plan.h"

namespace troutlink {

namespace {
constexpr Micros kCommitTimeout = 1500 * kMilli;
constexpr Micros kCleanupPeriod = 700 * kMilli;
constexpr Micros kRoundPeriod = 80 * kMilli;
// A transaction's limit as the platform's protocol states it, with some room
// left for its frame.
constexpr int64_t kMaxTxnBytes = int64_t{62} * 1024;
constexpr int64_t kMaxChunkBytes = int64_t{13} * 1024;
constexpr int kMaxChunks = 1024;
// Chunks whose stored content differs between two states of an assignment table.
std::set<int> ChangedChunks(const AssignmentTable& before, const AssignmentTable& after) {
  std::set<int> out;
  if (before.next_number != after.next_number || before.rentals != after.rentals ||
      before.shares != after.shares || before.helps != after.helps) {
    out.insert(0);
  }
  auto b = before.machines.begin();
  auto a = after.machines.begin();
  while (b != before.machines.end() || a != after.machines.end()) {
    if (a == after.machines.end() || (b != before.machines.end() && b->first < a->first)) {
      out.insert(ChunkOf((b++)->first, after.chunks));
    } else if (b == before.machines.end() || a->first < b->first) {
      out.insert(ChunkOf((a++)->first, after.chunks));
    } else {
      if (!(a->second == b->second)) out.insert(ChunkOf(a->first, after.chunks));
      ++a;
      ++b;
    }
  }
  return out;
}
}  // namespace

void Core::Commit(Micros now, int shard_id, Plan* plan) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  StateTxn txn;
  // Only the chunks of machines that changed are written.
  auto add_table = [this, &txn](int other_id, AssignmentTable* assignments) {
    const Shard& leader = shards_[static_cast<size_t>(other_id)];
    std::set<int> dirty = ChangedChunks(leader.assignments, *assignments);
    if (leader.chunks.count(0) == 0) dirty.insert(0);
    bool split = false;
    while (!dirty.empty()) {
      std::vector<std::pair<int, std::string>> values;
      int64_t largest = 0;
      for (int i : dirty) {
        values.emplace_back(i, EncodeChunk(*assignments, i));
        largest = std::max(largest, StoredSize(values.back().second));
      }
      // Well before a value is full its chunk is divided, one a commit; only one
      // that would not fit at all makes it more.
      const int64_t full = settings_.value_bytes * 95 / 100;
      if (assignments->chunks < kMaxChunks &&
          (largest > full || (!split && largest > std::min(kMaxChunkBytes, full)))) {
        dirty.insert({0, SplitChunk(assignments->chunks), assignments->chunks});
        ++assignments->chunks;
        split = true;
        continue;
      }
      for (auto& [i, value] : values) {
        txn.writes.push_back({AssignmentKey(other_id, i), std::move(value), 0, false});
      }
      break;
    }
    return !dirty.empty();
  };
  bool changed = add_table(shard_id, &plan->assignments);
  for (auto& [other_id, assignments] : plan->others)
    changed = add_table(other_id, &assignments) || changed;
  for (const std::string& id : plan->done) {
    const JobEntry* job = FindJob(id);
    if (job == nullptr || job->record.state != JobState::kOpen) continue;
    JobRecord record = job->record;
    record.state = JobState::kDone;
    txn.conditions.push_back({JobKey(id), job->version});
    plan->jobs.erase(id);
    txn.writes.push_back({JobKey(id), EncodeJob(record), 0, false});
  }
  for (const auto& [id, to] : plan->moved) {
    const JobEntry* job = FindJob(id);
    if (job == nullptr || job->record.state != JobState::kOpen) continue;
    if (static_cast<int>(txn.writes.size()) + 2 > settings_.txn_ops) break;
    JobRecord record = job->record;
    record.shard_id = to;
    ++record.moves;
    txn.conditions.push_back({JobKey(id), job->version});
    plan->jobs.erase(id);
    txn.writes.push_back({JobKey(id), EncodeJob(record), 0, false});
    ++counters_.job_moves;
  }
  if (plan->progress) {
    Progress progress;
    for (const auto& [id, run] : runs_) {
      if (run.shard_id != shard_id || run.done == 0) continue;
      std::set<int>& done = progress[id];
      for (size_t i = 0; i < run.tasks.size(); ++i) {
        if (run.tasks[i] == kDone) done.insert(static_cast<int>(i));
      }
    }
    std::string value = EncodeProgress(progress);
    // Losing it only repeats work: what does not fit is left out.
    while (StoredSize(value) > settings_.value_bytes * 9 / 10 && !progress.empty()) {
      progress.erase(progress.begin());
      value = EncodeProgress(progress);
    }
    txn.writes.push_back({ProgressKey(shard_id), std::move(value), 0, false});
  }
  if (txn.writes.empty()) {
    shard.cleanup = false;
    return;
  }
  const bool urgent = plan->urgent;
  if (!urgent && !plan->progress) {
    // Removals alone wait a little, so that one write takes many.
    if (shard.cleanup_at == 0) {
      shard.cleanup_at = now + kCleanupPeriod;
      return;
    }
    if (now < shard.cleanup_at) return;
  }
  // What is not critical waits for its turn, so that a commit takes more.
  if (!plan->critical && now - shard.committed_at < kRoundPeriod) {
    shard.dirty = true;
    shard.not_before = shard.committed_at + kRoundPeriod;
    return;
  }
  // Shards of one node take turns: a shard with large commits once waited for a minute
  // while another one's small ones took each write that there was.
  const double reserve = plan->critical ? 2 : urgent ? 4 : 6;
  bool got = write_turns_.MayTake(now, shard_id);
  if (got) {
    got = write_budget_.Take(now, static_cast<double>(txn.writes.size()), reserve);
    write_turns_.Took(now, shard_id, got);
  }
  if (!got) {
    shard.dirty = true;
    shard.not_before = now + 50 * kMilli;
    return;
  }
  shard.cleanup_at = 0;
  shard.committed_at = now;
  txn.conditions.push_back({LeadershipKey(shard_id), shard.epoch});
  auto all_chunks = [this, &txn](int other_id) {
    const Shard& leader = shards_[static_cast<size_t>(other_id)];
    if (leader.chunks.count(0) == 0) txn.conditions.push_back({AssignmentKey(other_id, 0), 0});
    for (const auto& [i, chunk] : leader.chunks) {
      txn.conditions.push_back({AssignmentKey(other_id, i), chunk.version});
    }
  };
  for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
    if (other_id == shard_id || plan->all_tables || plan->others.count(other_id) != 0)
      all_chunks(other_id);
  }
  for (const std::string& id : plan->jobs) {
    const JobEntry* job = FindJob(id);
    txn.conditions.push_back({JobKey(id), job == nullptr ? 0 : job->version});
  }
  if (plan->progress) {
    shard.progress_dirty = false;
    shard.progress_at = now + FromSeconds(settings_.op.progress_period_s());
  }
  std::string body = wire::EncodeTxn(txn);
  if (static_cast<int64_t>(body.size()) > kMaxTxnBytes ||
      static_cast<int>(txn.writes.size()) > settings_.txn_ops ||
      static_cast<int>(txn.conditions.size()) > 4 * settings_.txn_ops) {
    // Nothing of it was sent: the next rounds decide less.
    Log(LogLine::Level::kInfo, "shard " + std::to_string(shard_id) + " decided more than fits");
    ++counters_.oversized;
    shard.narrow = 4;
    shard.batch = std::max<uint32_t>(1, shard.batch / 4);
    shard.acquire_after = now + kSecond;
    shard.dirty = true;
    shard.progress_dirty = shard.progress_dirty || plan->progress;
    return;
  }
  counters_.puts += txn.writes.size();
  ++counters_.commits;
  shard.committing = true;
  auto shared = std::make_shared<Plan>(std::move(*plan));
  auto writes = std::make_shared<std::vector<StateWrite>>(txn.writes);
  Send(Dest::kState, "", "POST", wire::CommitTarget(), std::move(body), kCommitTimeout,
       [this, shard_id, shared, writes, epoch = shard.epoch](Micros t, int status,
                                                             const std::string& body) {
         Shard& shard = shards_[static_cast<size_t>(shard_id)];
         std::optional<wire::TxnReply> reply;
         if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
         if (reply) state_ok_ = t;
         bool current = shard.is_leader && shard.epoch == epoch;
         if (current) shard.committing = false;
         if (status == 200 && reply) {
           for (const StateWrite& w : *writes) ApplyPut(t, w.key, w.value, reply->revision);
           ReindexShards(t);
           if (current) OnCommitted(t, shard_id, *shared);
           return;
         }
         if (!current) return;
         shard.dirty = true;
         if (shared->progress) shard.progress_dirty = true;
         if (status == 409) {
           // The replica is behind; the watch is about to tell. The leadership itself
           // may be gone, which the watch or a peer tells as well.
           ++counters_.commit_conflicts;
           if (!shared->others.empty()) shard.acquire_after = t + 250 * kMilli;
           ++shard.conflicts;
           shard.not_before =
               t + std::min<Micros>(200 * kMilli, (10 * kMilli) << std::min(shard.conflicts, 5));
           if (reply) {
             for (const std::string& key : reply->failed) {
               if (ParseKey(key).kind == Key::Kind::kJob) FetchJob(t, ParseKey(key).id);
             }
           }
         } else {
           // Unknown: the next round commits on the same stamps, and so either
           // voids this transaction or learns that it applied.
           if (status == kNoAnswer) ++counters_.commit_unknown;
           if (status == 429) write_budget_.Drain(t);
           shard.not_before = t + 200 * kMilli;
         }
       });
}

void Core::OnCommitted(Micros now, int shard_id, const Plan& plan) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  shard.cleanup = false;
  shard.conflicts = 0;
  shard.dirty = true;
  std::set<std::string> touched;
  for (const auto& [machine, a] : plan.started) {
    auto it = attempts_.find(a);
    if (it == attempts_.end() || it->second.gone) continue;
    it->second.fresh = true;
    it->second.placed_at = now;
    health_.Tried(machine, a.job);
    touched.insert(machine);
  }
  counters_.acquired_machines += plan.others.empty() ? 0 : 1;
  for (const auto& [name, m] : shard.assignments.machines) {
    if (machines_[name].probe) touched.insert(name);  // has just come
  }
  for (const std::string& name : touched) Push(now, shard_id, name);
  for (const std::string& id : plan.rentals) SendRental(now, shard_id, id);
  SendReturns(now, shard_id);
}

}  // namespace troutlink
