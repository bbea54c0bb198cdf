// Which machines are lost: silence, cuts, notices.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kReturnTakes = kSecond;  // from the decision to the cloud's answer
}  // namespace

// Zones that are cut off from us as a whole: neither the peers in them nor
// nearly any of their machines are heard, while others are.
std::set<std::string> Core::ZonesCutOff(Micros now) const {
  std::map<std::string, std::pair<int, int>> machines;  // by zone: all, silent
  std::set<std::string> out;
  for (const Sibling& sibling : settings_.siblings) {
    const Peer& peer = peers_.at(sibling.label);
    if (sibling.zone == settings_.zone || now - peer.heard < 3 * settings_.report) continue;
    out.insert(sibling.zone);
  }
  for (const Sibling& sibling : settings_.siblings) {
    if (now - peers_.at(sibling.label).heard < 3 * settings_.report) out.erase(sibling.zone);
  }
  if (out.empty()) return out;
  for (const Shard& shard : shards_) {
    if (!shard.is_leader) continue;
    for (const auto& [name, m] : shard.assignments.machines) {
      auto info = machines_.find(name);
      if (info == machines_.end() || info->second.first_heard == 0) continue;
      auto& [all, silent] = machines[m.zone];
      ++all;
      if (now - std::max(info->second.heard, info->second.since) > 3 * settings_.report) ++silent;
    }
  }
  std::erase_if(out, [&](const std::string& zone) {
    auto [all, silent] = machines[zone];
    return all == 0 || silent * 10 < all * 8;
  });
  return out;
}

// Finds machines that are lost, idle or about to be taken.
void Core::JudgeMachines(Micros now, int shard_id) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  int total = 0, silent_ones = 0;
  for (const auto& [name, m] : shard.assignments.machines) {
    const MachineInfo& info = machines_[name];
    if (info.first_heard == 0 || info.missing || info.failed) continue;
    ++total;
    if (now - std::max(info.heard, info.since) > 3 * settings_.report) ++silent_ones;
  }
  some_silent_ = some_silent_ || silent_ones > 0;
  shard.silent = silent_ones;
  // Without the state service no machine is given up: it may be we who are cut off.
  const bool without_state = !StateFresh(now);
  // When most fall silent at once, it is rather we who cannot hear, all the more when
  // none is heard.
  const bool hears_few = total >= 3 && silent_ones * 10 > total * 6;
  if (hears_few) shard.heard_few_at = now;
  // When the first machines are heard again, the others are on their way: a leader that had
  // lost all its workers for 11 s gave up those that were not among the first 40% to be back.
  const bool heard_few_lately =
      shard.heard_few_at != 0 && now - shard.heard_few_at < settings_.lease;
  const bool hears_nobody = hears_few && silent_ones * 20 > total * 19;
  const std::set<std::string> cut = ZonesCutOff(now);
  for (const auto& [name, m] : shard.assignments.machines) {
    MachineInfo& info = machines_[name];
    const MachineType* type = TypeOf(m.type);
    if (info.since == 0) info.since = now;
    Micros silent = now - std::max(info.heard, info.since);
    bool lost = info.failed;
    if (info.missing && silent > 3 * settings_.report / 2) lost = true;
    // By the time that the cloud has it back it has ended its tasks itself.
    // In a zone that is cut off, a peer may be keeping leases alive, for as long
    // as no cancel can be overrun. When we seem to be deaf we wait as long, but not
    // for ever. Not longer either: a zone that was away for 60 s had its replicas
    // missed for a third of that time (see docs/rounds.md).
    const bool kept = heard_few_lately || cut.count(m.zone) != 0;
    Micros patience = hears_nobody ? 4 * settings_.cancel
                      : kept       ? Longest(settings_.cancel) + 300 * kMilli
                                   : settings_.lease - std::min(settings_.lease / 20, kReturnTakes);
    if (info.first_heard != 0 && silent > patience) lost = true;
    if (info.first_heard == 0 && type != nullptr) {
      Micros boot =
          static_cast<Micros>(settings_.op.boot_patience() * static_cast<double>(type->boot));
      if (silent > boot + 10 * kSecond) lost = true;
      if (info.listed_running && !m.attempts.empty() && silent > patience + 5 * kSecond) {
        lost = true;
      }
    }
    if (lost && !without_state && !info.give_up && !m.leaving) {
      info.give_up = true;
      if (info.first_heard == 0) offers_.NeverCameUp(now, OfferKey(m.type, m.zone, m.spot));
      Log(LogLine::Level::kInfo, "giving up " + name +
                                     (info.failed    ? ": failed"
                                      : info.missing ? ": no longer listed"
                                                     : ": silent"));
      MarkDirty(shard_id);
    }
    bool busy = false;
    bool stops = false;  // that its reports do not come to ask for
    for (const Attempt& a : m.attempts) {
      auto at = attempts_.find(a);
      if (silent > 3 * settings_.report / 2 && at != attempts_.end() && at->second.seen &&
          at->second.stopping && !at->second.gone) {
        if (at->second.state != TaskState::kSaving) at->second.stop_sent = false;
        stops = true;
      }
      if (at == attempts_.end() || !at->second.gone) busy = true;
      if (at == attempts_.end() || at->second.gone || at->second.stopping) continue;
      if (info.notice_end == 0) continue;
      // The machine is about to be taken: what can be saved is saved and goes
      // on elsewhere; what would not finish in time starts elsewhere at once.
      const JobEntry* job = FindJob(a.job);
      if (job == nullptr) continue;
      const JobSpec& spec = job->record.spec;
      Micros ran = at->second.running_at == 0 ? 0 : now - at->second.running_at;
      if (spec.checkpoint > 0) {
        StopAttempt(now, a, &at->second, spec.save + kSecond);
      } else if (spec.kind == JobKind::kService || ran + (info.notice_end - now) < spec.estimate) {
        StopAttempt(now, a, &at->second, 0);
      }
      Push(now, shard_id, name);
    }
    if (busy || info.first_heard == 0) {
      info.idle_since = 0;
    } else if (info.idle_since == 0) {
      info.idle_since = now;
    }
    // Whatever waits for a direct command that could not be sent before.
    if (stops || info.probe || info.token_seen < TokenOf(shard_id, info) ||
        info.required_token > info.token_seen) {
      Push(now, shard_id, name);
    }
  }
}

}  // namespace troutlink
