// Commits: one transaction for all that a round decided.
#include <algorithm>
#include <memory>

#include "core/core.h"
#include "core/draft.h"

namespace troutlink {

namespace {
constexpr Micros kCommitTimeout = 1500 * kMilli;
constexpr Micros kCleanupPeriod = 700 * kMilli;
constexpr Micros kRoundPeriod = 80 * kMilli;
// A transaction's limit as the platform's protocol states it, with some room
// left for its frame.
constexpr int64_t kMostTxnBytes = 62 * 1024;
constexpr int64_t kMostChunkBytes = 13 * 1024;
constexpr int kMostChunks = 1024;
// Chunks whose stored content differs between two states of a roster.
std::set<int> ChangedChunks(const Roster& before, const Roster& after) {
  std::set<int> out;
  if (before.next_number != after.next_number || before.hires != after.hires ||
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

void Core::Commit(Micros now, int part, Draft* draft) {
  Part& p = parts_[static_cast<size_t>(part)];
  StateTxn txn;
  // Only the chunks of machines that changed are written.
  auto add_roster = [this, &txn](int q, Roster* roster) {
    const Part& owner = parts_[static_cast<size_t>(q)];
    std::set<int> dirty = ChangedChunks(owner.roster, *roster);
    if (owner.chunks.count(0) == 0) dirty.insert(0);
    bool split = false;
    while (!dirty.empty()) {
      std::vector<std::pair<int, std::string>> values;
      int64_t largest = 0;
      for (int i : dirty) {
        values.emplace_back(i, EncodeChunk(*roster, i));
        largest = std::max(largest, StoredSize(values.back().second));
      }
      // Well before a value is full its chunk is divided, one a commit; only one
      // that would not fit at all makes it more.
      const int64_t full = s_.value_bytes * 95 / 100;
      if (roster->chunks < kMostChunks &&
          (largest > full || (!split && largest > std::min(kMostChunkBytes, full)))) {
        dirty.insert({0, SplitChunk(roster->chunks), roster->chunks});
        ++roster->chunks;
        split = true;
        continue;
      }
      for (auto& [i, value] : values) {
        txn.writes.push_back({RosterKey(q, i), std::move(value), 0, false});
      }
      break;
    }
    return !dirty.empty();
  };
  bool changed = add_roster(part, &draft->roster);
  for (auto& [q, roster] : draft->others) changed = add_roster(q, &roster) || changed;
  for (const std::string& id : draft->done) {
    const JobEntry* job = FindJob(id);
    if (job == nullptr || job->record.state != JobState::kOpen) continue;
    JobRecord record = job->record;
    record.state = JobState::kDone;
    txn.conditions.emplace_back(JobKey(id), job->version);
    draft->jobs.erase(id);
    txn.writes.push_back({JobKey(id), EncodeJob(record), 0, false});
  }
  for (const auto& [id, to] : draft->moved) {
    const JobEntry* job = FindJob(id);
    if (job == nullptr || job->record.state != JobState::kOpen) continue;
    if (static_cast<int>(txn.writes.size()) + 2 > s_.txn_ops) break;
    JobRecord record = job->record;
    record.part = to;
    ++record.moves;
    txn.conditions.emplace_back(JobKey(id), job->version);
    draft->jobs.erase(id);
    txn.writes.push_back({JobKey(id), EncodeJob(record), 0, false});
    ++counters_.job_moves;
  }
  if (draft->progress) {
    Progress progress;
    for (const auto& [id, run] : runs_) {
      if (run.part != part || run.done == 0) continue;
      std::set<int>& done = progress[id];
      for (size_t i = 0; i < run.tasks.size(); ++i) {
        if (run.tasks[i] == kDone) done.insert(static_cast<int>(i));
      }
    }
    std::string value = EncodeProgress(progress);
    // Losing it only repeats work: what does not fit is left out.
    while (StoredSize(value) > s_.value_bytes * 9 / 10 && !progress.empty()) {
      progress.erase(progress.begin());
      value = EncodeProgress(progress);
    }
    txn.writes.push_back({ProgressKey(part), std::move(value), 0, false});
  }
  if (txn.writes.empty()) {
    p.cleanup = false;
    return;
  }
  const bool urgent = draft->urgent;
  if (!urgent && !draft->progress) {
    // Removals alone wait a little, so that one write takes many.
    if (p.cleanup_at == 0) {
      p.cleanup_at = now + kCleanupPeriod;
      return;
    }
    if (now < p.cleanup_at) return;
  }
  // What is not critical waits for its turn, so that a commit takes more.
  if (!draft->critical && now - p.committed_at < kRoundPeriod) {
    p.dirty = true;
    p.not_before = p.committed_at + kRoundPeriod;
    return;
  }
  // Parts of one node take turns: a part with large commits once waited for a minute
  // while another one's small ones took each write that there was.
  const double reserve = draft->critical ? 2 : urgent ? 4 : 6;
  bool got = write_turns_.MayTake(now, part);
  if (got) {
    got = write_budget_.Take(now, static_cast<double>(txn.writes.size()), reserve);
    write_turns_.Took(now, part, got);
  }
  if (!got) {
    p.dirty = true;
    p.not_before = now + 50 * kMilli;
    return;
  }
  p.cleanup_at = 0;
  p.committed_at = now;
  txn.conditions.emplace_back(ClaimKey(part), p.my_claim);
  auto all_chunks = [this, &txn](int q) {
    const Part& owner = parts_[static_cast<size_t>(q)];
    if (owner.chunks.count(0) == 0) txn.conditions.emplace_back(RosterKey(q, 0), 0);
    for (const auto& [i, chunk] : owner.chunks) {
      txn.conditions.emplace_back(RosterKey(q, i), chunk.version);
    }
  };
  for (int q = 0; q < s_.parts(); ++q) {
    if (q == part || draft->all_rosters || draft->others.count(q) != 0) all_chunks(q);
  }
  for (const std::string& id : draft->jobs) {
    const JobEntry* job = FindJob(id);
    txn.conditions.emplace_back(JobKey(id), job == nullptr ? 0 : job->version);
  }
  if (draft->progress) {
    p.progress_dirty = false;
    p.progress_at = now + FromSeconds(s_.op.progress_period_s());
  }
  std::string body = wire::EncodeTxn(txn);
  if (static_cast<int64_t>(body.size()) > kMostTxnBytes ||
      static_cast<int>(txn.writes.size()) > s_.txn_ops ||
      static_cast<int>(txn.conditions.size()) > 4 * s_.txn_ops) {
    // Nothing of it was sent: the next rounds decide less.
    Log(LogLine::Level::kInfo, "part " + std::to_string(part) + " decided more than fits");
    ++counters_.oversized;
    p.narrow = 4;
    p.batch = std::max<uint32_t>(1, p.batch / 4);
    p.take_after = now + kSecond;
    p.dirty = true;
    p.progress_dirty = p.progress_dirty || draft->progress;
    return;
  }
  counters_.puts += txn.writes.size();
  ++counters_.commits;
  p.committing = true;
  auto shared = std::make_shared<Draft>(std::move(*draft));
  auto writes = std::make_shared<std::vector<StateWrite>>(txn.writes);
  Send(Dest::kState, "", "POST", wire::CommitTarget(), std::move(body), kCommitTimeout,
       [this, part, shared, writes, claim = p.my_claim](Micros t, int status,
                                                        const std::string& body) {
         Part& q = parts_[static_cast<size_t>(part)];
         std::optional<wire::TxnReply> reply;
         if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
         if (reply) state_ok_ = t;
         bool current = q.mine && q.my_claim == claim;
         if (current) q.committing = false;
         if (status == 200 && reply) {
           for (const StateWrite& w : *writes) ApplyPut(t, w.key, w.value, reply->revision);
           SettleRosters(t);
           if (current) OnCommitted(t, part, *shared);
           return;
         }
         if (!current) return;
         q.dirty = true;
         if (shared->progress) q.progress_dirty = true;
         if (status == 409) {
           // The view is behind; the watch is about to tell. The claim itself
           // may be gone, which the watch or a sibling tells as well.
           ++counters_.commit_conflicts;
           if (!shared->others.empty()) q.take_after = t + 250 * kMilli;
           ++q.conflicts;
           q.not_before =
               t + std::min<Micros>(200 * kMilli, (10 * kMilli) << std::min(q.conflicts, 5));
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
           q.not_before = t + 200 * kMilli;
         }
       });
}

void Core::OnCommitted(Micros now, int part, const Draft& draft) {
  Part& p = parts_[static_cast<size_t>(part)];
  p.cleanup = false;
  p.conflicts = 0;
  p.dirty = true;
  std::set<std::string> touched;
  for (const auto& [machine, a] : draft.started) {
    auto it = attempts_.find(a);
    if (it == attempts_.end() || it->second.gone) continue;
    it->second.fresh = true;
    it->second.placed_at = now;
    health_.Tried(machine, a.job);
    touched.insert(machine);
  }
  counters_.takes += draft.others.empty() ? 0 : 1;
  for (const auto& [name, m] : p.roster.machines) {
    if (machines_[name].probe) touched.insert(name);  // has just come
  }
  for (const std::string& name : touched) Push(now, part, name);
  for (const std::string& id : draft.hires) SendHire(now, part, id);
  SendReturns(now, part);
}

}  // namespace troutlink
