// Ownership: the lease, the claims on parts, and what siblings tell.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kGossipPeriod = 500 * kMilli;
constexpr Micros kWarmPeriod = 2 * kSecond;
constexpr size_t kMostWarm = 1000;   // machines in one message
constexpr size_t kMostQuiet = 2000;  // the same: a whole fleet may fall silent
constexpr Micros kStateTimeout = 1500 * kMilli;
constexpr Micros kRenewMargin = 1500 * kMilli;
constexpr Micros kHeardSlack = 3 * kSecond;
constexpr size_t kMostCancels = 4000;  // in one message, beside those of the view
}  // namespace

mesh::Gossip Core::MakeGossip(Micros now, bool warm, uint64_t seen) const {
  mesh::Gossip g;
  g.state_age_us =
      static_cast<uint64_t>(state_ok_ == 0 ? now - started_ + 3600 * kSecond : now - state_ok_);
  for (size_t p = 0; p < parts_.size(); ++p) {
    const Part& part = parts_[p];
    if (part.mine) {
      g.claims.push_back({p, part.my_claim, s_.label});
    } else if (part.rival_claim > part.my_claim) {
      g.claims.push_back({p, part.rival_claim, part.rival});
    }
  }
  for (const Part& part : parts_) {
    if (!part.mine) continue;
    for (const auto& [name, m] : part.roster.machines) {
      auto info = machines_.find(name);
      if (info == machines_.end()) continue;
      const Micros silent = now - std::max(info->second.heard, info->second.since);
      if (info->second.first_heard != 0 && silent > s_.report * 3 / 2 &&
          g.quiet.size() < kMostQuiet) {
        g.quiet.push_back({name, static_cast<uint64_t>(silent)});
      }
      if (m.spot || !warm) continue;
      mesh::Warm has{name, {}};
      for (const auto& [image, used] : info->second.images) {
        if (service_images_.count(image) != 0) has.images.push_back(image);
      }
      if (!has.images.empty() && g.warm.size() < kMostWarm) g.warm.push_back(std::move(has));
    }
  }
  // Whatever we may tell a user, whoever committed it. Only what a node had committed
  // itself used to be told: a cancel whose answer was lost, or that was carried out late,
  // reached users through another node's view and never a sibling without the state
  // service, and its tasks lived on.
  for (auto it = cancelled_.upper_bound(seen); it != cancelled_.end(); ++it) {
    g.cancels.push_back(it->second);
  }
  for (const std::string& id : heard_cancels_) {
    if (g.cancels.size() >= kMostCancels) break;
    g.cancels.push_back(id);
  }
  g.cancels_from = cancelled_from_;
  g.seen = watch_revision_;
  const Part& own = parts_[static_cast<size_t>(s_.own_part)];
  if (synced_ && !own.mine && own.claim_version != 0 && StateFresh(now) &&
      now - started_ > FromSeconds(s_.op.hand_back_after_s())) {
    g.wanted.push_back(static_cast<uint64_t>(s_.own_part));
  }
  return g;
}

void Core::Gossip(Micros now) {
  next_gossip_ = now + kGossipPeriod;
  // What machines hold is long and changes slowly.
  const bool warm = now >= next_warm_;
  if (warm) next_warm_ = now + kWarmPeriod;
  for (auto& [label, peer] : peers_) {
    mesh::Ping ping;
    static_cast<mesh::Gossip&>(ping) = MakeGossip(now, warm, peer.seen);
    ping.seq = ++ping_seq_;
    peer.pings[ping.seq] = {now, watch_revision_};
    while (peer.pings.size() > 64) peer.pings.erase(peer.pings.begin());
    out_.peers.push_back({label, std::move(ping)});
  }
}

void Core::TakeGossip(Micros now, const std::string& from, const mesh::Gossip& gossip) {
  Peer& peer = peers_[from];
  peer.heard = now;
  peer.seen = gossip.seen;
  peer.state_age =
      static_cast<Micros>(std::min<uint64_t>(gossip.state_age_us, static_cast<uint64_t>(1) << 60));
  peer.holds.clear();
  for (const mesh::PartClaim& c : gossip.claims) {
    if (c.owner == from) peer.holds.insert(c.part);
    if (c.part >= parts_.size() || c.owner == s_.label) continue;
    Part& p = parts_[c.part];
    if (c.revision > p.rival_claim) {
      p.rival_claim = c.revision;
      p.rival = c.owner;
      if (p.mine && c.revision > p.my_claim) {
        LoseClaim(now, static_cast<int>(c.part), "a sibling says it was claimed");
      }
    }
  }
  for (const std::string& id : gossip.cancels) HearCancel(now, id);
  for (const mesh::Warm& w : gossip.warm) {
    int part = PartOfMachine(w.machine);
    if (part < 0 || parts_[static_cast<size_t>(part)].mine) continue;
    // Kept with the machine: who takes it over knows what it has.
    MachineInfo& info = machines_[w.machine];
    info.images.clear();
    for (const std::string& image : w.images) info.images[image] = now;
  }
  std::set<std::string> quiet;
  for (const mesh::Quiet& q : gossip.quiet) {
    int part = PartOfMachine(q.machine);
    if (part < 0 || parts_[static_cast<size_t>(part)].mine) continue;
    machines_[q.machine].quiet_since =
        now - static_cast<Micros>(std::min<uint64_t>(q.silent_us, 3600 * kSecond));
    quiet.insert(q.machine);
  }
  // Heard again by its owner: whoever takes the part over must not think that it was
  // silent all the time since.
  for (const std::string& name : peer.quiet) {
    auto info = quiet.count(name) == 0 ? machines_.find(name) : machines_.end();
    if (info != machines_.end()) info->second.quiet_since = 0;
  }
  peer.quiet = std::move(quiet);
  for (uint64_t wanted : gossip.wanted) {
    if (wanted < parts_.size() && s_.labels[wanted] == from)
      HandBack(now, static_cast<int>(wanted));
  }
}

// Our view may lag, or we may be cut off from the state service: the tasks must end
// all the same.
void Core::HearCancel(Micros now, const std::string& id) {
  const JobEntry* job = FindJob(id);
  if (job != nullptr && job->record.state != JobState::kOpen) return;
  if (!heard_cancels_.insert(id).second) return;
  StopJob(now, id);
  for (int p = 0; p < s_.parts(); ++p) {
    if (parts_[static_cast<size_t>(p)].mine) Touch(p);
  }
}

void Core::RunLease(Micros now) {
  if (lease_busy_ || now < lease_retry_) return;
  Micros life = FromSeconds(s_.op.claim_life_s());
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
           for (int p = 0; p < s_.parts(); ++p) {
             if (parts_[static_cast<size_t>(p)].mine) LoseClaim(t, p, "lease ended");
           }
         } else {
           lease_retry_ = t + 250 * kMilli;
         }
       });
}

void Core::RunClaims(Micros now) {
  if (lease_ == 0) return;
  for (int p = 0; p < s_.parts(); ++p) {
    Part& part = parts_[static_cast<size_t>(p)];
    if (part.mine || part.claiming) continue;
    if (part.claim_version != 0) {
      if (part.claim.owner != s_.label) continue;
      if (part.claim.boot == boot_) {
        // A claim whose answer was lost did apply.
        if (part.claim_version > part.my_claim) OnClaimed(now, p, part.claim_version);
        continue;
      }
      TryClaim(now, p);  // held by the process before this one
      continue;
    }
    if (part.absent_since == 0) part.absent_since = now;
    if (now < part.no_claim_before) continue;
    int n = s_.parts();
    int distance = (s_.own_part - p + n) % n;
    Micros wait = 0;
    if (distance != 0) {
      wait = (distance - 1) * 600 * kMilli;
      // Everybody starts at once: leave each its own.
      if (now - started_ < 5 * kSecond) wait += 3 * kSecond;
    }
    if (now - part.absent_since >= wait) TryClaim(now, p);
  }
}

void Core::TryClaim(Micros now, int part) {
  Part& p = parts_[static_cast<size_t>(part)];
  if (!write_budget_.Take(now, 1)) return;
  p.claiming = true;
  StateTxn txn;
  txn.conditions.emplace_back(ClaimKey(part), p.claim_version);
  // The roster must be the one that we know.
  if (p.chunks.count(0) == 0) {
    txn.conditions.emplace_back(RosterKey(part, 0), 0);
    txn.writes.push_back({RosterKey(part, 0), EncodeChunk(Roster(), 0), 0, false});
  }
  for (const auto& [i, chunk] : p.chunks)
    txn.conditions.emplace_back(RosterKey(part, i), chunk.version);
  txn.writes.push_back({ClaimKey(part), EncodeClaim({s_.label, boot_}), lease_, false});
  counters_.puts += txn.writes.size();
  Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kStateTimeout,
       [this, part, txn](Micros t, int status, const std::string& body) {
         Part& q = parts_[static_cast<size_t>(part)];
         q.claiming = false;
         std::optional<wire::TxnReply> reply;
         if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
         if (reply) state_ok_ = t;
         if (status == 200 && reply) {
           for (const StateWrite& w : txn.writes) ApplyPut(t, w.key, w.value, reply->revision);
           SettleRosters(t);
           if (!q.mine) OnClaimed(t, part, reply->revision);
         } else {
           q.no_claim_before = t + 100 * kMilli;
           if (status == 400) lease_ = 0;  // no such lease: get a new one
         }
       });
}

void Core::OnClaimed(Micros now, int part, uint64_t revision) {
  Part& p = parts_[static_cast<size_t>(part)];
  ++counters_.claims;
  p.mine = true;
  p.my_claim = revision;
  p.claimed_at = now;
  p.releasing = false;
  p.committing = false;
  p.progress_at = now + FromSeconds(s_.op.progress_period_s());
  Log(LogLine::Level::kInfo,
      "claimed part " + std::to_string(part) + " at revision " + std::to_string(revision));
  // What the owner before us told of silent machines counts if it told it just now. Else
  // each machine has the time for two reports first: it may be well and heard elsewhere.
  Micros last_alive = now, earliest = now - s_.lease + 2 * s_.report + kHeardSlack;
  if (auto peer = peers_.find(p.last_owner); peer != peers_.end() && peer->second.heard != 0) {
    last_alive = peer->second.heard;
    if (now - last_alive < 2 * FromSeconds(s_.op.claim_life_s()) + kHeardSlack) earliest = 0;
  }
  earliest = std::min(earliest, now);
  // Whatever we knew of its attempts may be of an earlier ownership.
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    it = it->second.part == part ? attempts_.erase(it) : std::next(it);
  }
  for (auto it = runs_.begin(); it != runs_.end();) {
    it = it->second.part == part ? runs_.erase(it) : std::next(it);
  }
  for (const auto& [name, m] : p.roster.machines) {
    MachineInfo& info = machines_[name];
    // Commands of the owner before us may still run until the worker has seen
    // our token; until then its reports prove no absence.
    info.need_token = std::max(info.need_token, TokenAt(revision));
    info.owned_claim = revision;
    // Its silence began when the owner before us missed it, or with that owner's end,
    // and not with the claim: a part that changed hands twice while many machines were
    // cut off once waited two leases for them.
    info.since = info.quiet_since > info.heard ? info.quiet_since : last_alive;
    info.since = std::max(info.since, earliest);
    // Nor does anything count that we concluded as an earlier owner: a node that came
    // back from a cut once gave all its machines back for that.
    info.give_up = info.drain = false;
    info.unheeded = info.lapses = 0;
    info.avoid_until = 0;
    if (info.first_heard == 0 && (info.quiet_since > info.heard || !m.addr.empty())) {
      info.first_heard = info.since;
    }
    info.returning = false;
    info.direct_busy = false;
    info.idle_since = 0;
    if (!m.addr.empty()) info.addr = m.addr;
    info.probe = true;
    free_since_.erase(name);
  }
  for (const auto& [id, hire] : p.roster.hires) hires_.erase(id);
  for (const std::string& id : open_jobs_) {
    const JobEntry& entry = jobs_.at(id);
    if (entry.record.part == part) LoadRun(part, id, entry);
  }
  SyncPart(now, part);
  Touch(part);
}

void Core::LoseClaim(Micros now, int part, const char* why) {
  Part& p = parts_[static_cast<size_t>(part)];
  p.mine = false;
  p.committing = false;
  ++counters_.lost_claims;
  p.no_claim_before = std::max(p.no_claim_before, now + 200 * kMilli);
  Log(LogLine::Level::kInfo, "lost part " + std::to_string(part) + ": " + why);
}

void Core::HandBack(Micros now, int part) {
  Part& p = parts_[static_cast<size_t>(part)];
  if (!p.mine || p.releasing || p.committing || !StateFresh(now)) return;
  if (now - p.claimed_at < 5 * kSecond) return;
  // Not while many of its machines are being missed: the new owner would have to find
  // out about all of them again. But neither for ever.
  if (p.silent * 20 > static_cast<int>(p.roster.machines.size()) &&
      now - p.claimed_at < 2 * s_.cancel) {
    return;
  }
  if (!write_budget_.Take(now, 1)) return;
  p.releasing = true;
  StateTxn txn;
  txn.conditions.emplace_back(ClaimKey(part), p.my_claim);
  txn.writes.push_back({ClaimKey(part), "", 0, true});
  ++counters_.puts;
  Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kStateTimeout,
       [this, part, claim = p.my_claim](Micros t, int status, const std::string&) {
         Part& q = parts_[static_cast<size_t>(part)];
         q.releasing = false;
         if (status == 200 && q.mine && q.my_claim == claim) {
           ++counters_.handed_back;
           q.no_claim_before = t + 3 * kSecond;
           LoseClaim(t, part, "handed back");
         }
       });
}

std::string Core::OwnerLabel(int part) const {
  const Part& p = parts_[static_cast<size_t>(part)];
  if (p.mine) return s_.label;
  if (p.claim_version != 0 && p.claim_version >= p.rival_claim) return p.claim.owner;
  return p.rival_claim > p.my_claim ? p.rival : "";
}

bool Core::MayRenew(Micros now) const {
  // A steady clock begins near 0 with its machine: never having known anything must not
  // look like having known all a moment ago.
  if (view_at_ == 0) return false;
  Micros bound = now;
  for (const auto& [label, peer] : peers_) bound = std::min(bound, std::max(view_at_, peer.known));
  return now < bound + Shortest(s_.cancel) - Longest(s_.lease) - kRenewMargin;
}

bool Core::Up(Micros now) const {
  // The machine types follow within moments; waiting for them would cost a whole
  // round of the balancer's probes.
  if (!synced_) return false;
  if (StateFresh(now)) return true;
  // A sibling decides for us, or nobody has the state service and there is no
  // better node to go to. Only a node that hears nobody steps aside.
  for (const auto& [label, peer] : peers_) {
    if (peer.heard != 0 && now - peer.heard < 1500 * kMilli) return true;
  }
  return peers_.empty();
}

}  // namespace troutlink
