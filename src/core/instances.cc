// Calls to the cloud at every tick, and reconciliation of its list of instances.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kMachineCheckInterval = 250 * kMillisecond;
constexpr Micros kRemovedInstanceRetention = 60 * kSecond;
constexpr Micros kAgentStateRetention = 120 * kSecond;
constexpr int kListLagMargin = 3;  // multiple of the list lag
}  // namespace

// Reconciles a complete list from the cloud with the machines. The list was requested at `asked`.
void Core::ReconcileInstances(Micros now, Micros asked,
                              const std::vector<ListedMachine>& instances) {
  std::set<std::string> names;
  for (const ListedMachine& machine : instances) {
    names.insert(machine.name);
    int shard_id = replica_.ShardOfMachine(machine.name);
    if (shard_id < 0) {
      unknown_instance_since_.try_emplace(machine.name, now);
      continue;
    }
    AgentState& agent = machines_[machine.name];
    agent.listed = true;
    agent.unlisted = false;
    agent.listed_running = machine.state == ListedMachine::State::kRunning;
    agent.reported_failed = machine.state == ListedMachine::State::kFailed;
    // A call to a booting machine would hang and delay the first useful one.
    if (agent.addr.empty() && agent.listed_running) agent.addr = machine.addr;
  }
  for (const Shard& shard : shards_) {
    for (const auto& [name, machine] : shard.replica.assignments.machines) {
      AgentState& agent = machines_[name];
      // Lists can arrive out of order: only a machine that has been up for longer than lists lag
      // can be missing.
      bool old = agent.first_heartbeat_at != 0 &&
                 asked - agent.first_heartbeat_at > kListLagMargin * settings_.list_lag;
      if (old && agent.listed && names.count(name) == 0) agent.unlisted = true;
    }
  }
  std::erase_if(removed_instances_, [&](const auto& removed) {
    return now - removed.second > kRemovedInstanceRetention && names.count(removed.first) == 0;
  });
  std::erase_if(unknown_instance_since_, [&](const auto& unknown) {
    return names.count(unknown.first) == 0 && unassigned_agents_.count(unknown.first) == 0;
  });
  std::erase_if(machines_, [&](const auto& machine) {
    const bool obsolete = replica_.ShardOfMachine(machine.first) < 0 &&
                          names.count(machine.first) == 0 &&
                          now - std::max(machine.second.last_heard, machine.second.redirected_at) >
                              kAgentStateRetention;
    if (obsolete) instance_returns_.Forget(machine.first);
    return obsolete;
  });
}

// Scale out: sends the shard's committed rental requests.
void Core::SendRentals(Micros now, int shard_id, const std::vector<std::string>& requests) {
  const Shard& shard = ShardAt(shard_id);
  if (!shard.leadership.is_leader) return;
  for (const std::string& request : requests) {
    auto rental = shard.replica.assignments.rentals.find(request);
    if (rental == shard.replica.assignments.rentals.end()) continue;
    rental_requests_.Send(now, shard_id, rental->second.request);
  }
}

void Core::OnRentalAnswered(int shard_id, const RentalAnswer& answer) {
  counters_.rented_machines += answer.instances.size();
  if (answer.outcome == RentalOutcome::kRefused) ++counters_.refused_rentals;
  MarkDirty(shard_id);
}

// Scale in: returns the shard's draining instances to the cloud.
void Core::SendReturns(Micros now, int shard_id) {
  const Shard& shard = ShardAt(shard_id);
  if (!shard.leadership.is_leader || !shard.usage.any_draining) return;
  instance_returns_.Send(now, shard_id, shard.replica.assignments.machines);
}

// The cloud confirmed the return: the instance and its tasks no longer exist. Returns false if this
// node no longer leads the instance's shard.
bool Core::OnInstanceReturned(int shard_id, const std::string& name) {
  const Shard& shard = ShardAt(shard_id);
  auto instance = shard.replica.assignments.machines.find(name);
  if (instance == shard.replica.assignments.machines.end() || !shard.leadership.is_leader) {
    return false;
  }
  ++counters_.returned;
  health_.ForgetMachine(name);
  for (const Attempt& attempt : instance->second.attempts) {
    auto known = attempts_.find(attempt);
    if (known != attempts_.end()) RecordTermination(shard_id, attempt, &known->second);
  }
  return true;
}

void Core::TickFleet(Micros now) {
  machine_types_.Refresh(now);
  bool any = false;
  if (now >= next_machine_check_) any_machine_silent_ = false;
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    const Shard& shard = ShardAt(shard_id);
    if (!shard.leadership.is_leader) continue;
    any = true;
    for (const auto& [request, rental] : shard.replica.assignments.rentals) {
      rental_requests_.Send(now, shard_id, rental.request);
    }
    SendReturns(now, shard_id);
    if (now >= next_machine_check_) CheckMachines(now, shard_id);
  }
  if (now >= next_machine_check_) next_machine_check_ = now + kMachineCheckInterval;
  // Rentals and returns take precedence over listing.
  if (any && sync_.feed().synced()) instance_lister_.Advance(now);
}

}  // namespace troutlink
