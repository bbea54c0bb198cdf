#include "core/leadership/leader_election.h"

#include <algorithm>
#include <utility>

#include "core/io/event.h"
#include "wire/messages.h"

namespace troutlink {

namespace {
constexpr Micros kStateTimeout = 1500 * kMillisecond;
constexpr Micros kElectionBackoff = 100 * kMillisecond;  // doubled for each consecutive conflict
constexpr int kMaxElectionDoublings = 4;
constexpr int kConflictsBeforeList = 4;
constexpr Micros kElectionStagger = 600 * kMillisecond;  // between consecutive nodes of the ring
constexpr Micros kStartupPeriod = 5 * kSecond;  // all nodes of a deployment start within it
constexpr Micros kStartupDelay = 3 * kSecond;
constexpr Micros kElectionDelayAfterLoss = 200 * kMillisecond;
constexpr Micros kElectionDelayAfterFailback = 3 * kSecond;
constexpr Micros kMinTerm = 5 * kSecond;  // before a failback
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

LeaderElection::LeaderElection(Config config, Collaborators collaborators)
    : config_(std::move(config)), collaborators_(collaborators), shards_(config_.labels.size()) {}

int LeaderElection::LedShards() const {
  return static_cast<int>(
      std::count_if(shards_.begin(), shards_.end(),
                    [](const ShardLeadership& leadership) { return leadership.is_leader; }));
}

std::string LeaderElection::LeaderOf(int shard_id) const {
  const ShardLeadership& leadership = Of(shard_id);
  if (leadership.is_leader) return config_.label;
  const uint64_t version = collaborators_.store->LeadershipVersion(shard_id);
  if (version != 0 && version >= leadership.rival_epoch) {
    return collaborators_.store->LeadershipRecord(shard_id).leader;
  }
  return leadership.Superseded() ? leadership.rival_leader : "";
}

void LeaderElection::Tick(Micros now) {
  if (!collaborators_.lease->held()) return;
  for (int shard_id = 0; shard_id < shard_count(); ++shard_id) {
    if (!Of(shard_id).election_in_flight) RunForLeadership(now, shard_id);
  }
}

void LeaderElection::RunForLeadership(Micros now, int shard_id) {
  ShardLeadership& leadership = At(shard_id);
  if (leadership.is_leader) {
    CheckOwnRecord(now, shard_id);
    return;
  }
  if (collaborators_.store->LeadershipVersion(shard_id) != 0) {
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
  const Leadership& record = collaborators_.store->LeadershipRecord(shard_id);
  return record.leader == config_.label && record.boot == config_.boot;
}

void LeaderElection::CheckOwnRecord(Micros now, int shard_id) {
  const ShardLeadership& leadership = Of(shard_id);
  const uint64_t version = collaborators_.store->LeadershipVersion(shard_id);
  if (HeldByThisProcess(shard_id) && version > leadership.epoch) {
    BecomeLeader(now, shard_id, version);  // the answer to an election was lost
  } else if (collaborators_.store->NeedsTableMigration(shard_id) &&
             !collaborators_.store->CommitInFlight(shard_id) && !leadership.failback_in_flight &&
             now >= leadership.no_election_before) {
    SendElection(now, shard_id);
  }
}

void LeaderElection::Reclaim(Micros now, int shard_id) {
  if (collaborators_.store->LeadershipRecord(shard_id).leader != config_.label) return;
  const uint64_t version = collaborators_.store->LeadershipVersion(shard_id);
  if (!HeldByThisProcess(shard_id)) {
    SendElection(now, shard_id);  // the record is of an earlier process of this node
  } else if (version > Of(shard_id).epoch) {
    // An election whose answer was lost was committed.
    BecomeLeader(now, shard_id, version);
  }
}

Micros LeaderElection::ElectionDelay(Micros now, int shard_id) const {
  const int distance = (config_.home_shard - shard_id + shard_count()) % shard_count();
  if (distance == 0) return 0;
  const Micros turn = (distance - 1) * kElectionStagger;
  // When all nodes start together, each should win its own shard.
  return now - config_.started < kStartupPeriod ? turn + kStartupDelay : turn;
}

void LeaderElection::SendElection(Micros now, int shard_id) {
  if (!collaborators_.writes->Take(now, 1)) return;
  At(shard_id).election_in_flight = true;
  StateTxn txn = ElectionTxn(shard_id);
  collaborators_.observer->OnWritesSent(txn.writes.size());
  std::string body = wire::EncodeTxn(txn);
  collaborators_.effects->Send(
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
  txn.conditions.push_back(
      {LeadershipKey(shard_id), collaborators_.store->LeadershipVersion(shard_id)});
  collaborators_.store->AddElectionRequirements(shard_id, &txn);
  txn.writes.push_back({LeadershipKey(shard_id), EncodeLeadership({config_.label, config_.boot}),
                        collaborators_.lease->id(), false});
  return txn;
}

void LeaderElection::OnElectionAnswered(Micros now, int shard_id,
                                        const std::vector<StateWrite>& writes,
                                        const CommitAnswer& answer) {
  ShardLeadership& leadership = At(shard_id);
  leadership.election_in_flight = false;
  if (answer.revision) collaborators_.health->NoteStateAnswer(now);
  if (answer.outcome == TransactionOutcome::kCommitted && answer.revision) {
    collaborators_.store->ApplyCommitted(now, writes, *answer.revision);
    if (!leadership.is_leader || leadership.epoch < *answer.revision) {
      BecomeLeader(now, shard_id, *answer.revision);
    }
    return;
  }
  if (answer.outcome == TransactionOutcome::kRefused)
    collaborators_.lease->Drop();  // no such lease: get a new one
  BackOff(now, shard_id, answer.outcome);
}

// A conflict means that another node was elected first, which the watch will show. After several
// conflicts the replica probably lacks the leadership record: back off and read it again, so that
// repeated elections do not use up the write budget. Without that, a node that lacked the record
// stood for election ten times a second and took a third of all writes.
void LeaderElection::BackOff(Micros now, int shard_id, TransactionOutcome outcome) {
  ShardLeadership& leadership = At(shard_id);
  if (outcome != TransactionOutcome::kConflict) {
    leadership.no_election_before = now + kElectionBackoff;
    return;
  }
  const int doublings = std::min(leadership.election_conflicts++, kMaxElectionDoublings);
  leadership.no_election_before = now + (kElectionBackoff << doublings);
  if (leadership.election_conflicts % kConflictsBeforeList == 0)
    collaborators_.store->RequestList();
}

void LeaderElection::BecomeLeader(Micros now, int shard_id, uint64_t revision) {
  ShardLeadership& leadership = At(shard_id);
  if (revision <= leadership.epoch) {
    collaborators_.observer->OnEpochRegressed(shard_id, leadership.epoch, revision);
    return;
  }
  leadership.is_leader = true;
  leadership.epoch = revision;
  leadership.elected_at = now;
  leadership.failback_in_flight = false;
  collaborators_.observer->OnElected(now, shard_id);
}

void LeaderElection::LoseLeadership(Micros now, int shard_id, LossReason reason) {
  ShardLeadership& leadership = At(shard_id);
  leadership.is_leader = false;
  leadership.no_election_before =
      std::max(leadership.no_election_before, now + kElectionDelayAfterLoss);
  collaborators_.effects->Log(LogLine::Level::kInfo,
                              Event("leadership_lost")
                                  .With("shard", shard_id)
                                  .With("epoch", leadership.epoch)
                                  .With("rival_epoch", leadership.rival_epoch)
                                  .WithSpan("led_ms", now - leadership.elected_at)
                                  .With("why", NameOf(reason))
                                  .text());
  collaborators_.observer->OnLeadershipLost(now, shard_id, reason);
}

void LeaderElection::OnSessionLeaseEnded(Micros now) {
  for (int shard_id = 0; shard_id < shard_count(); ++shard_id) {
    if (IsLeader(shard_id)) LoseLeadership(now, shard_id, LossReason::kLeaseEnded);
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
    LoseLeadership(now, shard_id, LossReason::kRivalElected);
  }
}

void LeaderElection::OnRecordErased(Micros now, int shard_id, uint64_t revision) {
  ShardLeadership& leadership = At(shard_id);
  leadership.leaderless_since = now;
  // The record no longer names a leader.
  if (leadership.rival_epoch <= revision) leadership.rival_leader.clear();
  if (leadership.is_leader) LoseLeadership(now, shard_id, LossReason::kRecordExpired);
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
      LoseLeadership(now, static_cast<int>(reported.shard_id), LossReason::kRivalReported);
    }
  }
}

bool LeaderElection::WantsFailback(Micros now) const {
  return collaborators_.store->Synced() && !IsLeader(config_.home_shard) &&
         collaborators_.store->LeadershipVersion(config_.home_shard) != 0 &&
         collaborators_.health->HealthyFor(now, config_.failback_after);
}

void LeaderElection::FillWantedShards(Micros now, mesh::Heartbeat* heartbeat) const {
  if (WantsFailback(now))
    heartbeat->wanted_shards.push_back(static_cast<uint64_t>(config_.home_shard));
}

void LeaderElection::OnShardsWanted(Micros now, const std::string& from,
                                    const std::vector<uint64_t>& shards) {
  for (const uint64_t wanted : shards) {
    if (wanted >= config_.labels.size() || config_.labels[wanted] != from) continue;
    const int shard_id = static_cast<int>(wanted);
    if (MayFailBack(now, shard_id) && collaborators_.writes->Take(now, 1)) StartFailback(shard_id);
  }
}

bool LeaderElection::MayFailBack(Micros now, int shard_id) const {
  const ShardLeadership& leadership = Of(shard_id);
  if (!leadership.is_leader || leadership.failback_in_flight ||
      collaborators_.store->CommitInFlight(shard_id) || !collaborators_.health->StateFresh(now)) {
    return false;
  }
  const Micros term = now - leadership.elected_at;
  if (term < kMinTerm) return false;
  // No failback while many machines are silent, as the new leader would have to detect their
  // failures again; but do not delay it indefinitely.
  return !collaborators_.store->ManyMachinesSilent(shard_id) ||
         term >= 2 * config_.cancellation_deadline;
}

void LeaderElection::StartFailback(int shard_id) {
  ShardLeadership& leadership = At(shard_id);
  leadership.failback_in_flight = true;
  StateTxn txn;
  txn.conditions.push_back({LeadershipKey(shard_id), leadership.epoch});
  txn.writes.push_back({LeadershipKey(shard_id), "", 0, true});
  collaborators_.observer->OnWritesSent(txn.writes.size());
  collaborators_.effects->Send(
      Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kStateTimeout,
      [this, shard_id, epoch = leadership.epoch](Micros answered, int status,
                                                 const std::string& body) {
        OnFailbackAnswered(answered, shard_id, epoch, DecodeCommitAnswer(status, body));
      });
}

void LeaderElection::OnFailbackAnswered(Micros now, int shard_id, uint64_t epoch,
                                        const CommitAnswer& answer) {
  ShardLeadership& leadership = At(shard_id);
  leadership.failback_in_flight = false;
  const bool current = leadership.is_leader && leadership.epoch == epoch;
  if (answer.outcome != TransactionOutcome::kCommitted || !current) return;
  leadership.no_election_before = now + kElectionDelayAfterFailback;
  LoseLeadership(now, shard_id, LossReason::kFailback);
}

}  // namespace troutlink
