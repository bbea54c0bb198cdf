#include "core/leadership/leader_election.h"

#include <algorithm>
#include <utility>

#include "core/io/event.h"
#include "wire/messages.h"

namespace troutlink {

namespace {
constexpr Micros kStateTimeout = 1500 * kMillisecond;
constexpr Micros kElectionPause = 100 * kMillisecond;  // doubled for each consecutive conflict
constexpr int kElectionDoublings = 4;
constexpr int kConflictsBeforeList = 4;
constexpr Micros kElectionTurn = 600 * kMillisecond;  // between consecutive nodes of the ring
constexpr Micros kStartPeriod = 5 * kSecond;          // all nodes of a deployment start within it
constexpr Micros kStartDelay = 3 * kSecond;
constexpr Micros kPauseAfterLoss = 200 * kMillisecond;
constexpr Micros kPauseAfterFailback = 3 * kSecond;
constexpr Micros kLeastTerm = 5 * kSecond;  // before a failback
}  // namespace

std::string_view NameOf(LossReason reason) {
  switch (reason) {
    case LossReason::kLeaseEnded: return "lease ended";
    case LossReason::kRivalReported: return "a peer reports a newer leader";
    case LossReason::kRivalElected: return "another leader was elected";
    case LossReason::kRecordExpired: return "leadership record deleted";
    case LossReason::kFailback: return "failback to the home node";
  }
  return "";
}

LeaderElection::LeaderElection(Config config, Collaborators with)
    : config_(std::move(config)), with_(with), shards_(config_.labels.size()) {}

int LeaderElection::LedShards() const {
  return static_cast<int>(
      std::count_if(shards_.begin(), shards_.end(),
                    [](const ShardLeadership& leadership) { return leadership.is_leader; }));
}

std::string LeaderElection::LeaderOf(int shard_id) const {
  const ShardLeadership& leadership = Of(shard_id);
  if (leadership.is_leader) return config_.label;
  const uint64_t version = with_.store->LeadershipVersion(shard_id);
  if (version != 0 && version >= leadership.rival_epoch) {
    return with_.store->LeadershipRecord(shard_id).leader;
  }
  return leadership.Superseded() ? leadership.rival_leader : "";
}

void LeaderElection::Tick(Micros now) {
  if (!with_.lease->held()) return;
  for (int shard_id = 0; shard_id < shard_count(); ++shard_id) {
    if (!Of(shard_id).acquiring) RunForLeadership(now, shard_id);
  }
}

void LeaderElection::RunForLeadership(Micros now, int shard_id) {
  ShardLeadership& leadership = At(shard_id);
  if (leadership.is_leader) {
    CheckOwnRecord(now, shard_id);
    return;
  }
  if (with_.store->LeadershipVersion(shard_id) != 0) {
    Reclaim(now, shard_id);
    return;
  }
  if (leadership.leaderless_since == 0) leadership.leaderless_since = now;
  if (now < leadership.no_election_before) return;
  if (now - leadership.leaderless_since >= ElectionDelay(now, shard_id)) {
    SendElection(now, shard_id);
  }
}

bool LeaderElection::HeldByThisProcess(int shard_id) const {
  const Leadership& record = with_.store->LeadershipRecord(shard_id);
  return record.leader == config_.label && record.boot == config_.boot;
}

void LeaderElection::CheckOwnRecord(Micros now, int shard_id) {
  const ShardLeadership& leadership = Of(shard_id);
  const uint64_t version = with_.store->LeadershipVersion(shard_id);
  if (HeldByThisProcess(shard_id) && version > leadership.epoch) {
    BecomeLeader(now, shard_id, version);  // the answer to an election was lost
  } else if (with_.store->NeedsTableMigration(shard_id) && !with_.store->CommitInFlight(shard_id) &&
             !leadership.releasing && now >= leadership.no_election_before) {
    SendElection(now, shard_id);
  }
}

void LeaderElection::Reclaim(Micros now, int shard_id) {
  if (with_.store->LeadershipRecord(shard_id).leader != config_.label) return;
  const uint64_t version = with_.store->LeadershipVersion(shard_id);
  if (!HeldByThisProcess(shard_id)) {
    SendElection(now, shard_id);  // the record is of an earlier process of this node
  } else if (version > Of(shard_id).epoch) {
    // An election whose answer was lost was committed.
    BecomeLeader(now, shard_id, version);
  }
}

Micros LeaderElection::ElectionDelay(Micros now, int shard_id) const {
  const int distance = (config_.own_shard - shard_id + shard_count()) % shard_count();
  if (distance == 0) return 0;
  const Micros turn = (distance - 1) * kElectionTurn;
  // When all nodes start together, each should win its own shard.
  return now - config_.started < kStartPeriod ? turn + kStartDelay : turn;
}

void LeaderElection::SendElection(Micros now, int shard_id) {
  if (!with_.writes->Take(now, 1)) return;
  At(shard_id).acquiring = true;
  StateTxn txn = ElectionTxn(shard_id);
  with_.observer->OnWritesSent(txn.writes.size());
  std::string body = wire::EncodeTxn(txn);
  with_.effects->Send(
      Dest::kState, "", "POST", wire::CommitTarget(), std::move(body), kStateTimeout,
      [this, shard_id, writes = std::move(txn.writes)](Micros answered, int status,
                                                       const std::string& answer) {
        OnElectionAnswered(answered, shard_id, writes, DecodeCommitAnswer(status, answer));
      });
}

// Conditional on the assignment table that this node knows. A table's migration begins in the same
// transaction, so that older decisions can no longer be committed.
StateTxn LeaderElection::ElectionTxn(int shard_id) const {
  StateTxn txn;
  txn.conditions.push_back({LeadershipKey(shard_id), with_.store->LeadershipVersion(shard_id)});
  with_.store->AddElectionTerms(shard_id, &txn);
  txn.writes.push_back({LeadershipKey(shard_id), EncodeLeadership({config_.label, config_.boot}),
                        with_.lease->id(), false});
  return txn;
}

void LeaderElection::OnElectionAnswered(Micros now, int shard_id,
                                        const std::vector<StateWrite>& writes,
                                        const CommitAnswer& answer) {
  ShardLeadership& leadership = At(shard_id);
  leadership.acquiring = false;
  if (answer.revision) with_.health->NoteStateAnswer(now);
  if (answer.outcome == TransactionOutcome::kCommitted && answer.revision) {
    with_.store->ApplyCommitted(now, writes, *answer.revision);
    if (!leadership.is_leader || leadership.epoch < *answer.revision) {
      BecomeLeader(now, shard_id, *answer.revision);
    }
    return;
  }
  if (answer.outcome == TransactionOutcome::kRefused)
    with_.lease->Drop();  // no such lease: get a new one
  BackOff(now, shard_id, answer.outcome);
}

// A conflict means that another node was elected first, which the watch will show. After several
// conflicts the replica probably lacks the leadership record: back off and read it again, so that
// repeated elections do not use up the write budget.
void LeaderElection::BackOff(Micros now, int shard_id, TransactionOutcome outcome) {
  ShardLeadership& leadership = At(shard_id);
  if (outcome != TransactionOutcome::kConflict) {
    leadership.no_election_before = now + kElectionPause;
    return;
  }
  const int doublings = std::min(leadership.election_conflicts++, kElectionDoublings);
  leadership.no_election_before = now + (kElectionPause << doublings);
  if (leadership.election_conflicts % kConflictsBeforeList == 0) with_.store->RequestList();
}

void LeaderElection::BecomeLeader(Micros now, int shard_id, uint64_t revision) {
  ShardLeadership& leadership = At(shard_id);
  if (revision <= leadership.epoch) {
    with_.observer->OnEpochFell(shard_id, leadership.epoch, revision);
    return;
  }
  leadership.is_leader = true;
  leadership.epoch = revision;
  leadership.elected_at = now;
  leadership.releasing = false;
  with_.observer->OnElected(now, shard_id);
}

void LeaderElection::Lose(Micros now, int shard_id, LossReason reason) {
  ShardLeadership& leadership = At(shard_id);
  leadership.is_leader = false;
  leadership.no_election_before = std::max(leadership.no_election_before, now + kPauseAfterLoss);
  with_.effects->Log(LogLine::Level::kInfo, Event("leadership_lost")
                                                .With("shard", shard_id)
                                                .With("epoch", leadership.epoch)
                                                .With("rival_epoch", leadership.rival_epoch)
                                                .WithSpan("led_ms", now - leadership.elected_at)
                                                .With("why", NameOf(reason))
                                                .text());
  with_.observer->OnLeadershipLost(now, shard_id, reason);
}

void LeaderElection::OnSessionLeaseEnded(Micros now) {
  for (int shard_id = 0; shard_id < shard_count(); ++shard_id) {
    if (IsLeader(shard_id)) Lose(now, shard_id, LossReason::kLeaseEnded);
  }
}

void LeaderElection::OnRecordPut(Micros now, int shard_id, const Leadership& record,
                                 uint64_t version) {
  ShardLeadership& leadership = At(shard_id);
  leadership.leaderless_since = 0;
  leadership.election_conflicts = 0;
  if (record.leader == config_.label && record.boot == config_.boot) return;
  leadership.previous_leader = record.leader;
  if (version > leadership.rival_epoch) {
    leadership.rival_epoch = version;
    leadership.rival_leader = record.leader;
  }
  if (leadership.is_leader && version > leadership.epoch) {
    Lose(now, shard_id, LossReason::kRivalElected);
  }
}

void LeaderElection::OnRecordErased(Micros now, int shard_id, uint64_t revision) {
  ShardLeadership& leadership = At(shard_id);
  leadership.leaderless_since = now;
  // The record no longer names a leader.
  if (leadership.rival_epoch <= revision) leadership.rival_leader.clear();
  if (leadership.is_leader) Lose(now, shard_id, LossReason::kRecordExpired);
}

void LeaderElection::FillEpochs(mesh::Heartbeat* heartbeat) const {
  for (size_t shard_id = 0; shard_id < shards_.size(); ++shard_id) {
    const ShardLeadership& leadership = shards_[shard_id];
    if (leadership.is_leader) {
      heartbeat->epochs.push_back({shard_id, leadership.epoch, config_.label});
    } else if (leadership.Superseded()) {
      heartbeat->epochs.push_back({shard_id, leadership.rival_epoch, leadership.rival_leader});
    }
  }
}

void LeaderElection::OnEpochsReported(Micros now, const std::vector<mesh::ShardEpoch>& epochs) {
  for (const mesh::ShardEpoch& reported : epochs) {
    if (reported.shard_id >= shards_.size() || reported.leader == config_.label) continue;
    ShardLeadership& leadership = shards_[reported.shard_id];
    if (reported.revision <= leadership.rival_epoch) continue;
    leadership.rival_epoch = reported.revision;
    leadership.rival_leader = reported.leader;
    if (leadership.is_leader && reported.revision > leadership.epoch) {
      Lose(now, static_cast<int>(reported.shard_id), LossReason::kRivalReported);
    }
  }
}

bool LeaderElection::WantsOwnShard(Micros now) const {
  return with_.store->Synced() && !IsLeader(config_.own_shard) &&
         with_.store->LeadershipVersion(config_.own_shard) != 0 &&
         with_.health->HealthyFor(now, config_.failback_after);
}

void LeaderElection::FillWanted(Micros now, mesh::Heartbeat* heartbeat) const {
  if (WantsOwnShard(now)) heartbeat->wanted.push_back(static_cast<uint64_t>(config_.own_shard));
}

void LeaderElection::OnShardsWanted(Micros now, const std::string& from,
                                    const std::vector<uint64_t>& shards) {
  for (const uint64_t wanted : shards) {
    if (wanted >= config_.labels.size() || config_.labels[wanted] != from) continue;
    const int shard_id = static_cast<int>(wanted);
    if (MayRelease(now, shard_id) && with_.writes->Take(now, 1)) Release(shard_id);
  }
}

bool LeaderElection::MayRelease(Micros now, int shard_id) const {
  const ShardLeadership& leadership = Of(shard_id);
  if (!leadership.is_leader || leadership.releasing || with_.store->CommitInFlight(shard_id) ||
      !with_.health->StateFresh(now)) {
    return false;
  }
  const Micros term = now - leadership.elected_at;
  if (term < kLeastTerm) return false;
  // No failback while many machines are silent, as the new leader would have to detect their
  // failures again; but do not delay it indefinitely.
  return !with_.store->ManyMachinesSilent(shard_id) || term >= 2 * config_.cancel;
}

void LeaderElection::Release(int shard_id) {
  ShardLeadership& leadership = At(shard_id);
  leadership.releasing = true;
  StateTxn txn;
  txn.conditions.push_back({LeadershipKey(shard_id), leadership.epoch});
  txn.writes.push_back({LeadershipKey(shard_id), "", 0, true});
  with_.observer->OnWritesSent(txn.writes.size());
  with_.effects->Send(
      Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kStateTimeout,
      [this, shard_id, epoch = leadership.epoch](Micros answered, int status,
                                                 const std::string& body) {
        OnReleaseAnswered(answered, shard_id, epoch, DecodeCommitAnswer(status, body));
      });
}

void LeaderElection::OnReleaseAnswered(Micros now, int shard_id, uint64_t epoch,
                                       const CommitAnswer& answer) {
  ShardLeadership& leadership = At(shard_id);
  leadership.releasing = false;
  const bool current = leadership.is_leader && leadership.epoch == epoch;
  if (answer.outcome != TransactionOutcome::kCommitted || !current) return;
  leadership.no_election_before = now + kPauseAfterFailback;
  Lose(now, shard_id, LossReason::kFailback);
}

}  // namespace troutlink
