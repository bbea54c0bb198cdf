// Leadership: the lease, elections of shard leaders, and heartbeats between peers.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kHeartbeatPeriod = 500 * kMilli;
constexpr Micros kCachedImagesPeriod = 2 * kSecond;
constexpr size_t kMaxCachedImages = 1000;    // machines in one message
constexpr size_t kMaxSilentMachines = 2000;  // the same: a whole fleet may fall silent
constexpr Micros kStateTimeout = 1500 * kMilli;
constexpr Micros kRenewMargin = 1500 * kMilli;
constexpr Micros kHeardSlack = 3 * kSecond;
constexpr size_t kMaxCancels = 4000;  // in one message, beside those of the replica
}  // namespace

mesh::Heartbeat Core::MakeHeartbeat(Micros now, bool cached_images, uint64_t seen) const {
  mesh::Heartbeat g;
  g.state_age_us =
      static_cast<uint64_t>(state_ok_ == 0 ? now - started_ + 3600 * kSecond : now - state_ok_);
  for (size_t shard_id = 0; shard_id < shards_.size(); ++shard_id) {
    const Shard& shard = shards_[shard_id];
    if (shard.is_leader) {
      g.epochs.push_back({shard_id, shard.epoch, settings_.label});
    } else if (shard.rival_epoch > shard.epoch) {
      g.epochs.push_back({shard_id, shard.rival_epoch, shard.rival_leader});
    }
  }
  for (const Shard& shard : shards_) {
    if (!shard.is_leader) continue;
    for (const auto& [name, m] : shard.assignments.machines) {
      auto info = machines_.find(name);
      if (info == machines_.end()) continue;
      const Micros silent = now - std::max(info->second.heard, info->second.since);
      if (info->second.first_heard != 0 && silent > settings_.report * 3 / 2 &&
          g.silent_machines.size() < kMaxSilentMachines) {
        g.silent_machines.push_back({name, static_cast<uint64_t>(silent)});
      }
      if (m.spot || !cached_images) continue;
      mesh::CachedImages has{name, {}};
      for (const auto& [image, used] : info->second.images) {
        if (service_images_.count(image) != 0) has.images.push_back(image);
      }
      if (!has.images.empty() && g.cached_images.size() < kMaxCachedImages)
        g.cached_images.push_back(std::move(has));
    }
  }
  // Whatever we may tell a user, whoever committed it. Only what a node had committed
  // itself used to be told: a cancel whose answer was lost, or that was carried out late,
  // reached users through another node's replica and never a peer without the state
  // service, and its tasks lived on.
  for (auto it = cancelled_.upper_bound(seen); it != cancelled_.end(); ++it) {
    g.cancels.push_back(it->second);
  }
  for (const std::string& id : reported_cancels_) {
    if (g.cancels.size() >= kMaxCancels) break;
    g.cancels.push_back(id);
  }
  g.cancels_from = cancelled_from_;
  g.seen = replica_revision_;
  const Shard& own = shards_[static_cast<size_t>(settings_.own_shard)];
  if (synced_ && !own.is_leader && own.leadership_version != 0 && StateFresh(now) &&
      now - started_ > FromSeconds(settings_.op.hand_back_after_s())) {
    g.wanted.push_back(static_cast<uint64_t>(settings_.own_shard));
  }
  return g;
}

void Core::Heartbeat(Micros now) {
  next_heartbeat_ = now + kHeartbeatPeriod;
  // What machines hold is long and changes slowly.
  const bool cached_images = now >= next_cached_images_;
  if (cached_images) next_cached_images_ = now + kCachedImagesPeriod;
  for (auto& [label, peer] : peers_) {
    mesh::Ping ping;
    static_cast<mesh::Heartbeat&>(ping) = MakeHeartbeat(now, cached_images, peer.seen);
    ping.seq = ++ping_seq_;
    peer.pings[ping.seq] = {now, replica_revision_};
    while (peer.pings.size() > 64) peer.pings.erase(peer.pings.begin());
    out_.peers.push_back({label, std::move(ping)});
  }
}

void Core::HandleHeartbeat(Micros now, const std::string& from, const mesh::Heartbeat& heartbeat) {
  Peer& peer = peers_[from];
  peer.heard = now;
  peer.seen = heartbeat.seen;
  peer.state_age = static_cast<Micros>(
      std::min<uint64_t>(heartbeat.state_age_us, static_cast<uint64_t>(1) << 60));
  peer.holds.clear();
  for (const mesh::ShardEpoch& c : heartbeat.epochs) {
    if (c.leader == from) peer.holds.insert(c.shard_id);
    if (c.shard_id >= shards_.size() || c.leader == settings_.label) continue;
    Shard& shard = shards_[c.shard_id];
    if (c.revision > shard.rival_epoch) {
      shard.rival_epoch = c.revision;
      shard.rival_leader = c.leader;
      if (shard.is_leader && c.revision > shard.epoch) {
        LoseLeadership(now, static_cast<int>(c.shard_id), "a peer reports another leader");
      }
    }
  }
  for (const std::string& id : heartbeat.cancels) LearnCancellation(now, id);
  for (const mesh::CachedImages& w : heartbeat.cached_images) {
    int shard_id = ShardOfMachine(w.machine);
    if (shard_id < 0 || shards_[static_cast<size_t>(shard_id)].is_leader) continue;
    // Kept with the machine: who takes it over knows what it has.
    MachineInfo& info = machines_[w.machine];
    info.images.clear();
    for (const std::string& image : w.images) info.images[image] = now;
  }
  std::set<std::string> silent_machines;
  for (const mesh::SilentMachine& q : heartbeat.silent_machines) {
    int shard_id = ShardOfMachine(q.machine);
    if (shard_id < 0 || shards_[static_cast<size_t>(shard_id)].is_leader) continue;
    machines_[q.machine].reported_silent_since =
        now - static_cast<Micros>(std::min<uint64_t>(q.silent_us, 3600 * kSecond));
    silent_machines.insert(q.machine);
  }
  // Heard again by its leader: whoever takes the shard over must not think that it was
  // silent all the time since.
  for (const std::string& name : peer.silent_machines) {
    auto info = silent_machines.count(name) == 0 ? machines_.find(name) : machines_.end();
    if (info != machines_.end()) info->second.reported_silent_since = 0;
  }
  peer.silent_machines = std::move(silent_machines);
  for (uint64_t wanted : heartbeat.wanted) {
    if (wanted < shards_.size() && settings_.labels[wanted] == from)
      HandBack(now, static_cast<int>(wanted));
  }
}

// Our replica may lag, or we may be cut off from the state service: the tasks must end
// all the same.
void Core::LearnCancellation(Micros now, const std::string& id) {
  const JobEntry* job = FindJob(id);
  if (job != nullptr && job->record.state != JobState::kOpen) return;
  if (!reported_cancels_.insert(id).second) return;
  StopJob(now, id);
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    if (shards_[static_cast<size_t>(shard_id)].is_leader) MarkDirty(shard_id);
  }
}

void Core::RunLease(Micros now) {
  if (lease_busy_ || now < lease_retry_) return;
  Micros life = FromSeconds(settings_.op.claim_life_s());
  lease_busy_ = true;
  lease_sent_ = now;
  if (lease_ == 0) {
    Send(Dest::kState, "", "POST", wire::GrantTarget(), wire::EncodeGrant(life), kStateTimeout,
         [this, life, sent = now](Micros t, int status, const std::string& body) {
           lease_busy_ = false;
           lease_retry_ = t + 200 * kMilli;
           std::optional<uint64_t> id;
           if (status == 200) id = wire::DecodeGrant(body);
           if (!id) return;
           state_ok_ = t;
           lease_ = *id;
           lease_until_ = sent + Shortest(life);
           lease_retry_ = t + life / 4;
         });
    return;
  }
  Send(Dest::kState, "", "POST", wire::RenewTarget(lease_), wire::EncodeGrant(life), kStateTimeout,
       [this, life, sent = now, lease = lease_](Micros t, int status, const std::string&) {
         lease_busy_ = false;
         if (lease != lease_) return;
         if (status == 200) {
           state_ok_ = t;
           lease_until_ = sent + Shortest(life);
           lease_retry_ = t + life / 4;
         } else if (status == 404) {
           state_ok_ = t;
           lease_ = 0;
           lease_retry_ = t;
           for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
             if (shards_[static_cast<size_t>(shard_id)].is_leader)
               LoseLeadership(t, shard_id, "lease ended");
           }
         } else {
           lease_retry_ = t + 250 * kMilli;
         }
       });
}

void Core::RunElections(Micros now) {
  if (lease_ == 0) return;
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    Shard& shard = shards_[static_cast<size_t>(shard_id)];
    if (shard.is_leader || shard.acquiring) continue;
    if (shard.leadership_version != 0) {
      if (shard.leadership.leader != settings_.label) continue;
      if (shard.leadership.boot == boot_) {
        // An election whose answer was lost did apply.
        if (shard.leadership_version > shard.epoch)
          OnElected(now, shard_id, shard.leadership_version);
        continue;
      }
      AcquireLeadership(now, shard_id);  // held by the process before this one
      continue;
    }
    if (shard.leaderless_since == 0) shard.leaderless_since = now;
    if (now < shard.no_election_before) continue;
    int n = settings_.shard_count();
    int distance = (settings_.own_shard - shard_id + n) % n;
    Micros wait = 0;
    if (distance != 0) {
      wait = (distance - 1) * (600 * kMilli);
      // Everybody starts at once: leave each its own.
      if (now - started_ < 5 * kSecond) wait += 3 * kSecond;
    }
    if (now - shard.leaderless_since >= wait) AcquireLeadership(now, shard_id);
  }
}

void Core::AcquireLeadership(Micros now, int shard_id) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (!write_budget_.Take(now, 1)) return;
  shard.acquiring = true;
  StateTxn txn;
  txn.conditions.emplace_back(LeadershipKey(shard_id), shard.leadership_version);
  // The assignment table must be the one that we know.
  if (shard.chunks.count(0) == 0) {
    txn.conditions.emplace_back(AssignmentKey(shard_id, 0), 0);
    txn.writes.push_back({AssignmentKey(shard_id, 0), EncodeChunk(AssignmentTable(), 0), 0, false});
  }
  for (const auto& [i, chunk] : shard.chunks)
    txn.conditions.emplace_back(AssignmentKey(shard_id, i), chunk.version);
  txn.writes.push_back(
      {LeadershipKey(shard_id), EncodeLeadership({settings_.label, boot_}), lease_, false});
  counters_.puts += txn.writes.size();
  Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kStateTimeout,
       [this, shard_id, txn](Micros t, int status, const std::string& body) {
         Shard& shard = shards_[static_cast<size_t>(shard_id)];
         shard.acquiring = false;
         std::optional<wire::TxnReply> reply;
         if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
         if (reply) state_ok_ = t;
         if (status == 200 && reply) {
           for (const StateWrite& w : txn.writes) ApplyPut(t, w.key, w.value, reply->revision);
           ReindexShards(t);
           if (!shard.is_leader) OnElected(t, shard_id, reply->revision);
         } else {
           shard.no_election_before = t + 100 * kMilli;
           if (status == 400) lease_ = 0;  // no such lease: get a new one
         }
       });
}

void Core::OnElected(Micros now, int shard_id, uint64_t revision) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  ++counters_.elections;
  shard.is_leader = true;
  shard.epoch = revision;
  shard.elected_at = now;
  shard.releasing = false;
  shard.committing = false;
  shard.progress_at = now + FromSeconds(settings_.op.progress_period_s());
  Log(LogLine::Level::kInfo, "elected leader of shard " + std::to_string(shard_id) +
                                 " at revision " + std::to_string(revision));
  // What the previous leader told of silent machines counts if it told it just now. Else
  // each machine has the time for two reports first: it may be well and heard elsewhere.
  Micros last_alive = now, earliest = now - settings_.lease + 2 * settings_.report + kHeardSlack;
  if (auto peer = peers_.find(shard.previous_leader);
      peer != peers_.end() && peer->second.heard != 0) {
    last_alive = peer->second.heard;
    if (now - last_alive < 2 * FromSeconds(settings_.op.claim_life_s()) + kHeardSlack) earliest = 0;
  }
  earliest = std::min(earliest, now);
  // Whatever we knew of its attempts may be of an earlier leadership.
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    it = it->second.shard_id == shard_id ? attempts_.erase(it) : std::next(it);
  }
  for (auto it = runs_.begin(); it != runs_.end();) {
    it = it->second.shard_id == shard_id ? runs_.erase(it) : std::next(it);
  }
  for (const auto& [name, m] : shard.assignments.machines) {
    MachineInfo& info = machines_[name];
    // Commands of the previous leader may still run until the worker has seen
    // our token; until then its reports prove no absence.
    info.required_token = std::max(info.required_token, TokenForEpoch(revision));
    info.assigned_epoch = revision;
    // Its silence began when the previous leader missed it, or with that leader's end,
    // and not with the election: a shard that changed hands twice while many machines were
    // cut off once waited two leases for them.
    info.since = info.reported_silent_since > info.heard ? info.reported_silent_since : last_alive;
    info.since = std::max(info.since, earliest);
    // Nor does anything count that we concluded as an earlier leader: a node that came
    // back from a cut once gave all its machines back for that.
    info.give_up = info.drain = false;
    info.ignored_answers = info.lease_losses = 0;
    info.avoid_until = 0;
    if (info.first_heard == 0 && (info.reported_silent_since > info.heard || !m.addr.empty())) {
      info.first_heard = info.since;
    }
    info.returning = false;
    info.direct_busy = false;
    info.idle_since = 0;
    if (!m.addr.empty()) info.addr = m.addr;
    info.probe = true;
    free_since_.erase(name);
  }
  for (const auto& [id, rental] : shard.assignments.rentals) rental_states_.erase(id);
  for (const std::string& id : open_jobs_) {
    const JobEntry& entry = jobs_.at(id);
    if (entry.record.shard_id == shard_id) LoadRun(shard_id, id, entry);
  }
  SyncShard(now, shard_id);
  MarkDirty(shard_id);
}

void Core::LoseLeadership(Micros now, int shard_id, const char* why) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  shard.is_leader = false;
  shard.committing = false;
  ++counters_.lost_leaderships;
  shard.no_election_before = std::max(shard.no_election_before, now + 200 * kMilli);
  Log(LogLine::Level::kInfo, "lost leadership of shard " + std::to_string(shard_id) + ": " + why);
}

void Core::HandBack(Micros now, int shard_id) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (!shard.is_leader || shard.releasing || shard.committing || !StateFresh(now)) return;
  if (now - shard.elected_at < 5 * kSecond) return;
  // Not while many of its machines are being missed: the new leader would have to find
  // out about all of them again. But neither for ever.
  if (shard.silent * 20 > static_cast<int>(shard.assignments.machines.size()) &&
      now - shard.elected_at < 2 * settings_.cancel) {
    return;
  }
  if (!write_budget_.Take(now, 1)) return;
  shard.releasing = true;
  StateTxn txn;
  txn.conditions.emplace_back(LeadershipKey(shard_id), shard.epoch);
  txn.writes.push_back({LeadershipKey(shard_id), "", 0, true});
  ++counters_.puts;
  Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kStateTimeout,
       [this, shard_id, epoch = shard.epoch](Micros t, int status, const std::string&) {
         Shard& shard = shards_[static_cast<size_t>(shard_id)];
         shard.releasing = false;
         if (status == 200 && shard.is_leader && shard.epoch == epoch) {
           ++counters_.handed_back;
           shard.no_election_before = t + 3 * kSecond;
           LoseLeadership(t, shard_id, "handed back");
         }
       });
}

std::string Core::LeaderLabel(int shard_id) const {
  const Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (shard.is_leader) return settings_.label;
  if (shard.leadership_version != 0 && shard.leadership_version >= shard.rival_epoch)
    return shard.leadership.leader;
  return shard.rival_epoch > shard.epoch ? shard.rival_leader : "";
}

bool Core::MayRenew(Micros now) const {
  // A steady clock begins near 0 with its machine: never having known anything must not
  // look like having known all a moment ago.
  if (replica_time_ == 0) return false;
  Micros bound = now;
  for (const auto& [label, peer] : peers_)
    bound = std::min(bound, std::max(replica_time_, peer.cancels_known_at));
  return now < bound + Shortest(settings_.cancel) - Longest(settings_.lease) - kRenewMargin;
}

bool Core::Up(Micros now) const {
  // The machine types follow within moments; waiting for them would cost a whole
  // round of the balancer's probes.
  if (!synced_) return false;
  if (StateFresh(now)) return true;
  // A peer decides for us, or nobody has the state service and there is no
  // better node to go to. Only a node that hears nobody steps aside.
  for (const auto& [label, peer] : peers_) {
    if (peer.heard != 0 && now - peer.heard < 1500 * kMilli) return true;
  }
  return peers_.empty();
}

}  // namespace troutlink
