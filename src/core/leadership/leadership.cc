// Leadership of shards: the session lease, elections, loss and handing back.
#include <algorithm>

#include "core/core.h"
#include "core/io/event.h"

namespace troutlink {

namespace {
constexpr Micros kStateTimeout = 1500 * kMilli;
constexpr Micros kHeardSlack = 3 * kSecond;
constexpr Micros kElectionPause = 100 * kMilli;  // doubles with each conflict in a row
constexpr int kElectionDoublings = 4;
constexpr int kConflictsBeforeList = 4;
}  // namespace

void Core::RunLease(Micros now) {
  if (!session_lease_.CallDue(now)) return;
  session_lease_.CallSent();
  if (session_lease_.held()) {
    RenewLease();
  } else {
    GrantLease();
  }
}

void Core::GrantLease() {
  effects_.Send(Dest::kState, "", "POST", wire::GrantTarget(),
                wire::EncodeGrant(session_lease_.life()), kStateTimeout,
                [this](Micros answered, int status, const std::string& body) {
                  std::optional<uint64_t> id;
                  if (status == 200) id = wire::DecodeGrant(body);
                  if (id) state_ok_ = answered;
                  session_lease_.GrantAnswered(answered, id);
                });
}

void Core::RenewLease() {
  const uint64_t id = session_lease_.id();
  effects_.Send(Dest::kState, "", "POST", wire::RenewTarget(id),
                wire::EncodeGrant(session_lease_.life()), kStateTimeout,
                [this, id](Micros answered, int status, const std::string&) {
                  using Renewal = SessionLease::Renewal;
                  const Renewal renewal = session_lease_.RenewAnswered(answered, id, status);
                  if (renewal == Renewal::kRenewed || renewal == Renewal::kEnded)
                    state_ok_ = answered;
                  if (renewal == Renewal::kEnded) LoseAllLeaderships(answered, "lease ended");
                });
}

void Core::RunElections(Micros now) {
  if (!session_lease_.held()) return;
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    Shard& shard = ShardAt(shard_id);
    if (shard.leadership.acquiring) continue;
    if (shard.leadership.is_leader) {
      CheckOwnLeadership(now, shard_id);
      continue;
    }
    if (shard.replica.leadership_version != 0) {
      ReclaimLeadership(now, shard_id);
      continue;
    }
    if (shard.leadership.leaderless_since == 0) shard.leadership.leaderless_since = now;
    if (now < shard.leadership.no_election_before) continue;
    if (now - shard.leadership.leaderless_since >= ElectionDelay(now, shard_id)) {
      AcquireLeadership(now, shard_id);
    }
  }
}

void Core::CheckOwnLeadership(Micros now, int shard_id) {
  const Shard& shard = ShardAt(shard_id);
  const bool ours = shard.replica.leadership_record.leader == settings_.label &&
                    shard.replica.leadership_record.boot == boot_;
  if (ours && shard.replica.leadership_version > shard.leadership.epoch) {
    OnElected(now, shard_id, shard.replica.leadership_version);  // the answer was lost
  } else if (NeedsCompactForm(shard) && !shard.cycle.committing && !shard.leadership.releasing &&
             now >= shard.leadership.no_election_before) {
    AcquireLeadership(now, shard_id);
  }
}

void Core::ReclaimLeadership(Micros now, int shard_id) {
  const Shard& shard = ShardAt(shard_id);
  if (shard.replica.leadership_record.leader != settings_.label) return;
  if (shard.replica.leadership_record.boot != boot_) {
    AcquireLeadership(now, shard_id);  // held by the process before this one
  } else if (shard.replica.leadership_version > shard.leadership.epoch) {
    // An election whose answer was lost did apply.
    OnElected(now, shard_id, shard.replica.leadership_version);
  }
}

Micros Core::ElectionDelay(Micros now, int shard_id) const {
  const int count = settings_.shard_count();
  const int distance = (settings_.own_shard - shard_id + count) % count;
  if (distance == 0) return 0;
  const Micros turn = (distance - 1) * (600 * kMilli);
  // Everybody starts at once: leave each its own.
  return now - started_ < 5 * kSecond ? turn + 3 * kSecond : turn;
}

void Core::AcquireLeadership(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  if (!write_budget_.Take(now, 1)) return;
  shard.leadership.acquiring = true;
  StateTxn txn = ElectionTxn(shard_id);
  counters_.puts += txn.writes.size();
  effects_.Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kStateTimeout,
                [this, shard_id, txn](Micros answered, int status, const std::string& body) {
                  Shard& shard = ShardAt(shard_id);
                  shard.leadership.acquiring = false;
                  std::optional<wire::TxnReply> reply;
                  if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
                  if (reply) state_ok_ = answered;
                  if (status == 200 && reply) {
                    for (const StateWrite& write : txn.writes)
                      ApplyPut(answered, write.key, write.value, reply->revision);
                    ReindexShards(answered);
                    if (!shard.leadership.is_leader || shard.leadership.epoch < reply->revision)
                      OnElected(answered, shard_id, reply->revision);
                  } else {
                    if (status == 400) session_lease_.Drop();  // no such lease: get a new one
                    OnElectionFailed(answered, &shard, status == 409);
                  }
                });
}

// The assignment table must be the one that we know. A table that changes its form does so
// with the election: what was decided before then does not count any more.
StateTxn Core::ElectionTxn(int shard_id) const {
  const Shard& shard = ShardAt(shard_id);
  StateTxn txn;
  txn.conditions.push_back({LeadershipKey(shard_id), shard.replica.leadership_version});
  AddTableConditions(shard_id, &txn);
  const bool compact = NeedsCompactForm(shard);
  if (compact) {
    txn.conditions.push_back({AssignmentKey(shard_id, 0, TableForm::kCompact), 0});
    txn.writes.push_back({AssignmentKey(shard_id, 0, TableForm::kCompact),
                          EncodeChunk(FirstCompactTable(shard), 0), 0, false});
  } else if (shard.replica.chunks.count(0) == 0) {
    txn.writes.push_back({AssignmentKey(shard_id, 0), EncodeChunk(AssignmentTable(), 0), 0, false});
  }
  txn.writes.push_back({LeadershipKey(shard_id), EncodeLeadership({settings_.label, boot_}),
                        session_lease_.id(), false});
  return txn;
}

// Another node was faster, as the watch is about to tell. A node whose replica lacked the
// leadership record once stood for election ten times a second without end, and took a third
// of all writes with that.
void Core::OnElectionFailed(Micros now, Shard* shard, bool conflict) {
  if (!conflict) {
    shard->leadership.no_election_before = now + kElectionPause;
    return;
  }
  const int doublings = std::min(shard->leadership.election_conflicts++, kElectionDoublings);
  shard->leadership.no_election_before = now + (kElectionPause << doublings);
  if (shard->leadership.election_conflicts % kConflictsBeforeList == 0) feed_.RequestList();
}

void Core::OnElected(Micros now, int shard_id, uint64_t revision) {
  Shard& shard = ShardAt(shard_id);
  ++counters_.elections;
  if (revision <= shard.leadership.epoch) {
    NoteViolation(Violation::kEpochFell, Event("election")
                                             .With("shard", shard_id)
                                             .With("epoch", shard.leadership.epoch)
                                             .With("revision", revision)
                                             .text());
    return;
  }
  shard.leadership.is_leader = true;
  shard.leadership.epoch = revision;
  shard.leadership.elected_at = now;
  shard.leadership.releasing = false;
  shard.leadership.heard_few_at = 0;
  shard.cycle.committing = false;
  shard.cycle.progress_at = now + FromSeconds(settings_.op.progress_period_s());
  effects_.Log(LogLine::Level::kInfo,
               Event("leadership_gained")
                   .With("shard", shard_id)
                   .With("epoch", revision)
                   .With("token", TokenForEpoch(revision))
                   .With("replica_revision", feed_.revision())
                   .WithSpan("replica_age_ms", now - feed_.complete_up_to())
                   .With("machines", shard.replica.assignments.machines.size())
                   .text());
  ForgetDecisions(shard_id);
  InheritMachines(now, shard_id);
  for (const auto& [id, rental] : shard.replica.assignments.rentals) rental_requests_.Forget(id);
  for (const std::string& id : open_jobs_) {
    const JobEntry& entry = jobs_.at(id);
    if (entry.record.shard_id == shard_id) LoadRun(shard_id, id, entry);
  }
  SyncShard(now, shard_id);
  MarkDirty(shard_id);
}

// Whatever we knew of its attempts may be of an earlier leadership.
void Core::ForgetDecisions(int shard_id) {
  std::erase_if(attempts_, [&](const auto& item) { return item.second.shard_id == shard_id; });
  std::erase_if(runs_, [&](const auto& item) { return item.second.shard_id == shard_id; });
}

void Core::InheritMachines(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  // What the previous leader told of silent machines counts if it told it just now. Else
  // each machine has the time for two reports first: it may be well and heard elsewhere.
  Micros last_alive = now, earliest = now - settings_.lease + 2 * settings_.report + kHeardSlack;
  if (auto peer = peers_.find(shard.leadership.previous_leader);
      peer != peers_.end() && peer->second.heard != 0) {
    last_alive = peer->second.heard;
    if (now - last_alive < 2 * session_lease_.life() + kHeardSlack) earliest = 0;
  }
  earliest = std::min(earliest, now);
  for (const auto& [name, machine] : shard.replica.assignments.machines) {
    MachineInfo& info = machines_[name];
    InheritMachine(shard.leadership.epoch, machine, &info);
    // Its silence began when the previous leader missed it, or with that leader's end,
    // and not with the election: a shard that changed hands twice while many machines were
    // cut off once waited two leases for them.
    const bool was_missed = info.reported_silent_since > info.heard;
    info.since = std::max(was_missed ? info.reported_silent_since : last_alive, earliest);
    if (info.first_heard == 0 && (was_missed || !machine.addr.empty())) {
      info.first_heard = info.since;
    }
    instance_returns_.Restart(name);
    free_since_.erase(name);
  }
}

void Core::InheritMachine(uint64_t epoch, const AssignedMachine& machine, MachineInfo* info) {
  // Commands of the previous leader may still run until the worker has seen
  // our token; until then its reports prove no absence.
  info->required_token = std::max(info->required_token, TokenForEpoch(epoch));
  info->assigned_epoch = epoch;
  // Nor does anything count that we concluded as an earlier leader: a node that came
  // back from a cut once gave all its machines back for that.
  info->give_up = info->drain = false;
  info->ignored_answers = info->lease_losses = 0;
  info->avoid_until = 0;
  info->direct_busy = false;
  info->idle_since = 0;
  if (!machine.addr.empty()) info->addr = machine.addr;
  info->probe = true;
}

void Core::LoseAllLeaderships(Micros now, const char* why) {
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    if (ShardAt(shard_id).leadership.is_leader) LoseLeadership(now, shard_id, why);
  }
}

void Core::LoseLeadership(Micros now, int shard_id, const char* why) {
  Shard& shard = ShardAt(shard_id);
  shard.leadership.is_leader = false;
  shard.cycle.committing = false;
  ++counters_.lost_leaderships;
  shard.leadership.no_election_before =
      std::max(shard.leadership.no_election_before, now + 200 * kMilli);
  effects_.Log(LogLine::Level::kInfo, Event("leadership_lost")
                                          .With("shard", shard_id)
                                          .With("epoch", shard.leadership.epoch)
                                          .With("rival_epoch", shard.leadership.rival_epoch)
                                          .WithSpan("led_ms", now - shard.leadership.elected_at)
                                          .With("why", why)
                                          .text());
}

void Core::HandBack(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  if (!shard.leadership.is_leader || shard.leadership.releasing || shard.cycle.committing ||
      !StateFresh(now))
    return;
  if (now - shard.leadership.elected_at < 5 * kSecond) return;
  // Not while many of its machines are being missed: the new leader would have to find
  // out about all of them again. But neither for ever.
  if (shard.leadership.silent * 20 > static_cast<int>(shard.replica.assignments.machines.size()) &&
      now - shard.leadership.elected_at < 2 * settings_.cancel) {
    return;
  }
  if (!write_budget_.Take(now, 1)) return;
  shard.leadership.releasing = true;
  StateTxn txn;
  txn.conditions.push_back({LeadershipKey(shard_id), shard.leadership.epoch});
  txn.writes.push_back({LeadershipKey(shard_id), "", 0, true});
  ++counters_.puts;
  effects_.Send(
      Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kStateTimeout,
      [this, shard_id, epoch = shard.leadership.epoch](Micros answered, int status,
                                                       const std::string&) {
        Shard& shard = ShardAt(shard_id);
        shard.leadership.releasing = false;
        if (status == 200 && shard.leadership.is_leader && shard.leadership.epoch == epoch) {
          ++counters_.handed_back;
          shard.leadership.no_election_before = answered + 3 * kSecond;
          LoseLeadership(answered, shard_id, "handed back");
        }
      });
}

std::string Core::LeaderLabel(int shard_id) const {
  const Shard& shard = ShardAt(shard_id);
  if (shard.leadership.is_leader) return settings_.label;
  if (shard.replica.leadership_version != 0 &&
      shard.replica.leadership_version >= shard.leadership.rival_epoch)
    return shard.replica.leadership_record.leader;
  return shard.leadership.rival_epoch > shard.leadership.epoch ? shard.leadership.rival_leader : "";
}

bool Core::Up(Micros now) const {
  // The machine types follow within moments; waiting for them would cost a whole
  // round of the balancer's probes.
  if (!feed_.synced()) return false;
  if (StateFresh(now)) return true;
  // A peer decides for us, or nobody has the state service and there is no
  // better node to go to. Only a node that hears nobody steps aside.
  for (const auto& [label, peer] : peers_) {
    if (peer.heard != 0 && now - peer.heard < 1500 * kMilli) return true;
  }
  return peers_.empty();
}

}  // namespace troutlink
