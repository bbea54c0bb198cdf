// Failure detection: silent machines, partitions and eviction notices.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr int kSilentHeartbeats = 3;      // missed heartbeats after which a machine is silent
constexpr int kMinMachinesToCompare = 3;  // below it, silence is not compared between machines
constexpr int kMostSilentPercent = 60;
constexpr int kAllSilentPercent = 95;
constexpr int kPartitionedZonePercent = 80;
constexpr Micros kReturnLatency = kSecond;  // from the decision to the cloud's answer
// Multiple of the cancellation deadline, if no machine is heard.
constexpr int kAllSilentTimeoutFactor = 4;
constexpr Micros kCancellationMargin = 300 * kMillisecond;
constexpr Micros kBootMargin = 10 * kSecond;
constexpr Micros kFirstHeartbeatMargin = 5 * kSecond;
}  // namespace

// Returns zones that are partitioned from this node: no peer in them and nearly none of their
// machines is heard, while others are.
std::set<std::string> Core::PartitionedZones(Micros now) const {
  std::map<std::string, std::pair<int, int>> machines;  // by zone: all, silent
  std::set<std::string> zones;
  for (const PeerController& peer_settings : settings_.peers) {
    const Peer& peer = peers_.At(peer_settings.label);
    if (peer_settings.zone == settings_.zone ||
        now - peer.last_heard < kSilentHeartbeats * settings_.heartbeat_period)
      continue;
    zones.insert(peer_settings.zone);
  }
  for (const PeerController& peer_settings : settings_.peers) {
    if (now - peers_.At(peer_settings.label).last_heard <
        kSilentHeartbeats * settings_.heartbeat_period)
      zones.erase(peer_settings.zone);
  }
  if (zones.empty()) return zones;
  for (const Shard& shard : shards_) {
    if (!shard.leadership.is_leader) continue;
    for (const auto& [name, machine] : shard.replica.assignments.machines) {
      auto agent = machines_.find(name);
      if (agent == machines_.end() || agent->second.first_heartbeat_at == 0) continue;
      auto& [all, silent] = machines[machine.zone];
      ++all;
      if (now - std::max(agent->second.last_heard, agent->second.observed_since) >
          kSilentHeartbeats * settings_.heartbeat_period)
        ++silent;
    }
  }
  std::erase_if(zones, [&](const std::string& zone) {
    auto [all, silent] = machines[zone];
    return all == 0 || silent * 100 < all * kPartitionedZonePercent;
  });
  return zones;
}

// Finds machines that are lost, idle or about to be evicted.
void Core::CheckMachines(Micros now, int shard_id) {
  const ShardSilence silence = AssessSilence(now, shard_id);
  for (const auto& [name, machine] : ShardAt(shard_id).replica.assignments.machines) {
    AgentState& agent = machines_[name];
    if (agent.observed_since == 0) agent.observed_since = now;
    if (!agent.declared_lost && !machine.draining && IsLost(now, machine, agent, silence)) {
      DeclareLost(now, shard_id, machine, &agent);
    }
    const bool stops_due = RetryStops(now, machine, agent);
    EvacuateMachine(now, shard_id, machine, agent);
    UpdateIdleTime(now, machine, &agent);
    // Send what an earlier direct command could not carry.
    if (stops_due || agent.probe_pending || agent.token_seen < TokenOf(shard_id, agent) ||
        agent.required_token > agent.token_seen) {
      SendDirectCommands(now, shard_id, name);
    }
  }
}

// Assesses the silence of all machines of a shard together.
Core::ShardSilence Core::AssessSilence(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  int total = 0, silent = 0;
  for (const auto& [name, machine] : shard.replica.assignments.machines) {
    const AgentState& agent = machines_[name];
    if (agent.first_heartbeat_at == 0 || agent.unlisted || agent.reported_failed) continue;
    ++total;
    if (SilentFor(now, agent) > kSilentHeartbeats * settings_.heartbeat_period) ++silent;
  }
  any_machine_silent_ = any_machine_silent_ || silent > 0;
  shard.silence.silent = silent;
  // If most machines fall silent at once, this node is probably partitioned from them.
  const bool most_silent =
      total >= kMinMachinesToCompare && silent * 100 > total * kMostSilentPercent;
  if (most_silent) shard.silence.most_silent_at = now;
  ShardSilence silence;
  silence.all_machines_silent = most_silent && silent * 100 > total * kAllSilentPercent;
  // After such a partition machines return one after the other: do not declare the later ones lost.
  // A leader that had lost its agents for 11 s gave up those that were not among the first 40%.
  silence.recently_most_silent = shard.silence.most_silent_at != 0 &&
                                 now - shard.silence.most_silent_at < settings_.agent_lease;
  silence.partitioned_zones = PartitionedZones(now);
  return silence;
}

Micros Core::SilentFor(Micros now, const AgentState& agent) {
  return now - std::max(agent.last_heard, agent.observed_since);
}

// Time after which a silent machine is declared lost. Normally its agent has ended its tasks by
// then, as its lease has expired. In a partitioned zone a peer may be renewing leases, at most
// until the cancellation deadline. If this node seems to be partitioned itself, it waits as long,
// but not indefinitely. Not longer: a zone that was away for 60 s lacked its replicas for a third
// of that time (docs/rounds.md).
Micros Core::SilenceTimeout(const AssignedMachine& machine, const ShardSilence& silence) const {
  if (silence.all_machines_silent) return kAllSilentTimeoutFactor * settings_.cancellation_deadline;
  if (silence.recently_most_silent || silence.partitioned_zones.count(machine.zone) != 0) {
    return LongestOnOtherClock(settings_.cancellation_deadline) + kCancellationMargin;
  }
  return settings_.agent_lease - std::min(settings_.agent_lease / 20, kReturnLatency);
}

bool Core::IsLost(Micros now, const AssignedMachine& machine, const AgentState& agent,
                  const ShardSilence& silence) const {
  // Without the store this node may be the one that is partitioned.
  if (!node_health_.StateFresh(now)) return false;
  const Micros silent = SilentFor(now, agent);
  if (agent.reported_failed) return true;
  if (agent.unlisted && silent > 3 * settings_.heartbeat_period / 2) return true;
  const Micros timeout = SilenceTimeout(machine, silence);
  if (agent.first_heartbeat_at != 0) return silent > timeout;
  const MachineType* type = machine_types_.Find(machine.type);
  if (type == nullptr) return false;
  const auto boot = static_cast<Micros>(settings_.operator_settings.boot_patience() *
                                        static_cast<double>(type->boot));
  if (silent > boot + kBootMargin) return true;
  return agent.listed_running && !machine.attempts.empty() &&
         silent > timeout + kFirstHeartbeatMargin;
}

void Core::DeclareLost(Micros now, int shard_id, const AssignedMachine& machine,
                       AgentState* agent) {
  agent->declared_lost = true;
  if (agent->first_heartbeat_at == 0) {
    offer_health_.NeverCameUp(now, {machine.type, machine.zone, machine.spot});
  }
  const char* reason = agent->reported_failed ? "the cloud reports it as failed"
                       : agent->unlisted      ? "the cloud no longer lists it"
                                              : "no heartbeats";
  effects_.Log(LogLine::Level::kInfo, "declaring machine " + machine.name + " lost: " + reason);
  MarkDirty(shard_id);
}

// Handles an eviction notice: tasks with checkpoints save and restart elsewhere; others that cannot
// finish in time restart elsewhere at once.
void Core::EvacuateMachine(Micros now, int shard_id, const AssignedMachine& machine,
                           const AgentState& agent) {
  if (agent.eviction_at == 0) return;
  for (const Attempt& attempt : machine.attempts) {
    auto known = attempts_.find(attempt);
    if (known == attempts_.end() || known->second.terminated || known->second.stopping) continue;
    const JobEntry* job = jobs_.Find(attempt.job);
    if (job == nullptr) continue;
    const JobSpec& spec = job->record.spec;
    const Micros running_at = known->second.running_at;
    const Micros ran = running_at == 0 ? 0 : now - running_at;
    if (spec.checkpoint > 0) {
      StopAttempt(now, attempt, &known->second, spec.save + kSecond);
    } else if (spec.kind == JobKind::kService || ran + (agent.eviction_at - now) < spec.estimate) {
      StopAttempt(now, attempt, &known->second, 0);
    }
    SendDirectCommands(now, shard_id, machine.name);
  }
}

// Updates the time since which the machine has had no task.
void Core::UpdateIdleTime(Micros now, const AssignedMachine& machine, AgentState* agent) const {
  const bool busy =
      std::any_of(machine.attempts.begin(), machine.attempts.end(), [this](const Attempt& attempt) {
        auto known = attempts_.find(attempt);
        return known == attempts_.end() || !known->second.terminated;
      });
  if (busy || agent->first_heartbeat_at == 0) {
    agent->idle_since = 0;
  } else if (agent->idle_since == 0) {
    agent->idle_since = now;
  }
}

// Marks stops for repetition if the machine sends no heartbeats that would request them. Returns
// whether there are any.
bool Core::RetryStops(Micros now, const AssignedMachine& machine, const AgentState& agent) {
  if (SilentFor(now, agent) <= 3 * settings_.heartbeat_period / 2) return false;
  bool due = false;
  for (const Attempt& attempt : machine.attempts) {
    auto known = attempts_.find(attempt);
    if (known == attempts_.end()) continue;
    AttemptState& task = known->second;
    if (!task.reported || !task.stopping || task.terminated) continue;
    if (task.state != TaskState::kSaving) task.stop_sent = false;
    due = true;
  }
  return due;
}

}  // namespace troutlink
