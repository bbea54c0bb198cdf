// Core's implementation of LeadershipObserver: on election, decisions of earlier epochs are
// dropped, and machines are inherited with the silence that the previous leader reported.
#include <algorithm>

#include "core/core.h"
#include "core/io/event.h"

namespace troutlink {

namespace {
constexpr Micros kHeartbeatMargin = 3 * kSecond;
}  // namespace

void Core::OnElected(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  const uint64_t epoch = shard.leadership.epoch;
  ++counters_.elections;
  shard.silence.most_silent_at = 0;
  shard.cycle.committing = false;
  shard.cycle.progress_at = now + FromSeconds(settings_.operator_settings.progress_period_s());
  effects_.Log(LogLine::Level::kInfo,
               Event("leadership_gained")
                   .With("shard", shard_id)
                   .With("epoch", epoch)
                   .With("token", TokenForEpoch(epoch))
                   .With("replica_revision", sync_.feed().revision())
                   .WithSpan("replica_age_ms", now - sync_.feed().complete_up_to())
                   .With("machines", shard.replica.assignments.machines.size())
                   .text());
  ClearDecisions(shard_id);
  InheritMachines(now, shard_id);
  for (const auto& [id, rental] : shard.replica.assignments.rentals) rental_requests_.Forget(id);
  for (const std::string& id : jobs_.open()) {
    const JobEntry& entry = jobs_.At(id);
    if (entry.record.shard_id == shard_id) LoadExecution(shard_id, id, entry);
  }
  ReconcileShard(now, shard_id);
  MarkDirty(shard_id);
}

void Core::OnEpochRegressed(int shard_id, uint64_t epoch, uint64_t revision) {
  ++counters_.elections;
  RecordViolation(Violation::kEpochRegressed, Event("election")
                                                  .With("shard", shard_id)
                                                  .With("epoch", epoch)
                                                  .With("revision", revision)
                                                  .text());
}

void Core::OnLeadershipLost(Micros /*now*/, int shard_id, LossReason reason) {
  ShardAt(shard_id).cycle.committing = false;
  ++counters_.lost_leaderships;
  if (reason == LossReason::kFailback) ++counters_.failbacks;
}

// State of attempts and jobs may stem from an earlier leadership.
void Core::ClearDecisions(int shard_id) {
  std::erase_if(attempts_, [&](const auto& item) { return item.second.shard_id == shard_id; });
  std::erase_if(executions_, [&](const auto& item) { return item.second.shard_id == shard_id; });
}

void Core::InheritMachines(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  // Silence reported by the previous leader counts if the report is recent. Otherwise each machine
  // gets time for two heartbeats first: it may have been heard elsewhere.
  Micros last_alive = now,
         earliest = now - settings_.agent_lease + 2 * settings_.heartbeat_period + kHeartbeatMargin;
  if (const Peer* peer = peers_.Find(shard.leadership.previous_leader);
      peer != nullptr && peer->last_heard != 0) {
    last_alive = peer->last_heard;
    if (now - last_alive < 2 * session_lease_.ttl() + kHeartbeatMargin) earliest = 0;
  }
  earliest = std::min(earliest, now);
  for (const auto& [name, machine] : shard.replica.assignments.machines) {
    AgentState& agent = machines_[name];
    InheritMachine(shard.leadership.epoch, machine, &agent);
    // Silence counts from when the previous leader missed the machine, or from the end of that
    // leader, and not from the election: repeated failovers must not extend the timeout.
    const bool was_silent = agent.reported_silent_since > agent.last_heard;
    agent.observed_since =
        std::max(was_silent ? agent.reported_silent_since : last_alive, earliest);
    if (agent.first_heartbeat_at == 0 && (was_silent || !machine.addr.empty())) {
      agent.first_heartbeat_at = agent.observed_since;
    }
    instance_returns_.ForgetInFlight(name);
    free_since_.erase(name);
  }
}

void Core::InheritMachine(uint64_t epoch, const AssignedMachine& machine, AgentState* agent) {
  // Commands of the previous leader may still run until the agent has seen the new token; until
  // then absences prove nothing.
  agent->required_token = std::max(agent->required_token, TokenForEpoch(epoch));
  agent->assigned_epoch = epoch;
  // Conclusions from an earlier leadership of this node are out of date.
  agent->declared_lost = agent->consolidating = false;
  agent->ignored_replies = agent->lease_losses = 0;
  agent->unschedulable_until = 0;
  agent->direct_call_in_flight = false;
  agent->idle_since = 0;
  if (!machine.addr.empty()) agent->addr = machine.addr;
  agent->probe_pending = true;
}

}  // namespace troutlink
