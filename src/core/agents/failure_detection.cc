// Failure detection: silent machines, partitions and eviction notices.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kReturnTakes = kSecond;  // from the decision to the cloud's answer
constexpr int kAllSilentCancels =
    4;  // multiple of the cancellation deadline, if no machine is heard
constexpr Micros kCancelSlack = 300 * kMillisecond;
constexpr Micros kBootSlack = 10 * kSecond;
constexpr Micros kFirstReportSlack = 5 * kSecond;
}  // namespace

// Returns zones that are partitioned from this node: no peer in them and nearly none of their
// machines is heard, while others are.
std::set<std::string> Core::PartitionedZones(Micros now) const {
  std::map<std::string, std::pair<int, int>> machines;  // by zone: all, silent
  std::set<std::string> out;
  for (const PeerController& sibling : settings_.peers) {
    const Peer& peer = peers_.At(sibling.label);
    if (sibling.zone == settings_.zone || now - peer.last_heard < 3 * settings_.heartbeat_period)
      continue;
    out.insert(sibling.zone);
  }
  for (const PeerController& sibling : settings_.peers) {
    if (now - peers_.At(sibling.label).last_heard < 3 * settings_.heartbeat_period)
      out.erase(sibling.zone);
  }
  if (out.empty()) return out;
  for (const Shard& shard : shards_) {
    if (!shard.leadership.is_leader) continue;
    for (const auto& [name, m] : shard.replica.assignments.machines) {
      auto info = machines_.find(name);
      if (info == machines_.end() || info->second.first_heard == 0) continue;
      auto& [all, silent] = machines[m.zone];
      ++all;
      if (now - std::max(info->second.heard, info->second.since) > 3 * settings_.heartbeat_period)
        ++silent;
    }
  }
  std::erase_if(out, [&](const std::string& zone) {
    auto [all, silent] = machines[zone];
    return all == 0 || silent * 10 < all * 8;
  });
  return out;
}

// Finds machines that are lost, idle or about to be evicted.
void Core::CheckMachines(Micros now, int shard_id) {
  const ShardSilence silence = AssessSilence(now, shard_id);
  for (const auto& [name, machine] : ShardAt(shard_id).replica.assignments.machines) {
    AgentState& info = machines_[name];
    if (info.since == 0) info.since = now;
    if (!info.declared_lost && !machine.draining && IsLost(now, machine, info, silence)) {
      DeclareLost(now, shard_id, machine, &info);
    }
    const bool stops_due = RetryStops(now, machine, info);
    EvacuateMachine(now, shard_id, machine, info);
    UpdateIdleTime(now, machine, &info);
    // Send what an earlier direct command could not carry.
    if (stops_due || info.probe || info.token_seen < TokenOf(shard_id, info) ||
        info.required_token > info.token_seen) {
      SendDirectCommands(now, shard_id, name);
    }
  }
}

// Assesses the silence of all machines of a shard together.
Core::ShardSilence Core::AssessSilence(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  int total = 0, silent = 0;
  for (const auto& [name, machine] : shard.replica.assignments.machines) {
    const AgentState& info = machines_[name];
    if (info.first_heard == 0 || info.missing || info.failed) continue;
    ++total;
    if (SilentFor(now, info) > 3 * settings_.heartbeat_period) ++silent;
  }
  some_silent_ = some_silent_ || silent > 0;
  shard.silence.silent = silent;
  // If most machines fall silent at once, this node is probably partitioned from them.
  const bool hears_few = total >= 3 && silent * 10 > total * 6;
  if (hears_few) shard.silence.most_silent_at = now;
  ShardSilence silence;
  silence.all_silent = hears_few && silent * 20 > total * 19;
  // After such a partition machines return one after the other: do not declare the later ones lost.
  silence.most_silent_lately = shard.silence.most_silent_at != 0 &&
                               now - shard.silence.most_silent_at < settings_.agent_lease;
  silence.partitioned_zones = PartitionedZones(now);
  return silence;
}

Micros Core::SilentFor(Micros now, const AgentState& info) {
  return now - std::max(info.heard, info.since);
}

// Time after which a silent machine is declared lost. Normally its agent has ended its tasks by
// then, as its lease has expired. In a partitioned zone a peer may be renewing leases, at most
// until the cancellation deadline. If this node seems to be partitioned itself, it waits as long,
// but not indefinitely.
Micros Core::SilenceTimeout(const AssignedMachine& machine, const ShardSilence& silence) const {
  if (silence.all_silent) return kAllSilentCancels * settings_.cancellation_deadline;
  if (silence.most_silent_lately || silence.partitioned_zones.count(machine.zone) != 0) {
    return LongestOnOtherClock(settings_.cancellation_deadline) + kCancelSlack;
  }
  return settings_.agent_lease - std::min(settings_.agent_lease / 20, kReturnTakes);
}

bool Core::IsLost(Micros now, const AssignedMachine& machine, const AgentState& info,
                  const ShardSilence& silence) const {
  // Without the store this node may be the one that is partitioned.
  if (!node_health_.StateFresh(now)) return false;
  const Micros silent = SilentFor(now, info);
  if (info.failed) return true;
  if (info.missing && silent > 3 * settings_.heartbeat_period / 2) return true;
  const Micros patience = SilenceTimeout(machine, silence);
  if (info.first_heard != 0) return silent > patience;
  const MachineType* type = machine_types_.Find(machine.type);
  if (type == nullptr) return false;
  const auto boot = static_cast<Micros>(settings_.operator_settings.boot_patience() *
                                        static_cast<double>(type->boot));
  if (silent > boot + kBootSlack) return true;
  return info.listed_running && !machine.attempts.empty() && silent > patience + kFirstReportSlack;
}

void Core::DeclareLost(Micros now, int shard_id, const AssignedMachine& machine, AgentState* info) {
  info->declared_lost = true;
  if (info->first_heard == 0) {
    offer_health_.NeverCameUp(now, {machine.type, machine.zone, machine.spot});
  }
  const char* reason = info->failed    ? "the cloud reports it as failed"
                       : info->missing ? "the cloud no longer lists it"
                                       : "no heartbeats";
  effects_.Log(LogLine::Level::kInfo, "declaring machine " + machine.name + " lost: " + reason);
  MarkDirty(shard_id);
}

// Handles an eviction notice: tasks with checkpoints save and restart elsewhere; others that cannot
// finish in time restart elsewhere at once.
void Core::EvacuateMachine(Micros now, int shard_id, const AssignedMachine& machine,
                           const AgentState& info) {
  if (info.notice_end == 0) return;
  for (const Attempt& attempt : machine.attempts) {
    auto known = attempts_.find(attempt);
    if (known == attempts_.end() || known->second.gone || known->second.stopping) continue;
    const JobEntry* job = jobs_.Find(attempt.job);
    if (job == nullptr) continue;
    const JobSpec& spec = job->record.spec;
    const Micros running_at = known->second.running_at;
    const Micros ran = running_at == 0 ? 0 : now - running_at;
    if (spec.checkpoint > 0) {
      StopAttempt(now, attempt, &known->second, spec.save + kSecond);
    } else if (spec.kind == JobKind::kService || ran + (info.notice_end - now) < spec.estimate) {
      StopAttempt(now, attempt, &known->second, 0);
    }
    SendDirectCommands(now, shard_id, machine.name);
  }
}

// Updates the time since which the machine has had no task.
void Core::UpdateIdleTime(Micros now, const AssignedMachine& machine, AgentState* info) const {
  const bool busy =
      std::any_of(machine.attempts.begin(), machine.attempts.end(), [this](const Attempt& attempt) {
        auto known = attempts_.find(attempt);
        return known == attempts_.end() || !known->second.gone;
      });
  if (busy || info->first_heard == 0) {
    info->idle_since = 0;
  } else if (info->idle_since == 0) {
    info->idle_since = now;
  }
}

// Marks stops for repetition if the machine sends no heartbeats that would request them. Returns
// whether there are any.
bool Core::RetryStops(Micros now, const AssignedMachine& machine, const AgentState& info) {
  if (SilentFor(now, info) <= 3 * settings_.heartbeat_period / 2) return false;
  bool due = false;
  for (const Attempt& attempt : machine.attempts) {
    auto known = attempts_.find(attempt);
    if (known == attempts_.end()) continue;
    AttemptState& task = known->second;
    if (!task.seen || !task.stopping || task.gone) continue;
    if (task.state != TaskState::kSaving) task.stop_sent = false;
    due = true;
  }
  return due;
}

}  // namespace troutlink
