// Adds instances that are in no assignment table to a shard's table.
#include <algorithm>

#include "base/ids.h"
#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr Micros kUnknownInstanceDelay = 20 * kSecond;
constexpr int kMaxAdoptedPerCycle = 50;  // unassigned instances per cycle
}  // namespace

// Adds unassigned instances to the plan of the shard.
void Core::PlanAdoption(Micros now, int shard_id, Plan* plan) {
  AdoptRented(plan);
  AdoptUnknownInstances(now, shard_id, plan);
}

// Adds the instances of rental requests that the cloud has answered.
void Core::AdoptRented(Plan* plan) {
  std::map<std::string, Rental>& rentals = plan->assignments.rentals;
  for (auto rental = rentals.begin(); rental != rentals.end();) {
    const std::vector<std::string>* rented = rental_requests_.InstancesOf(rental->first);
    if (rented == nullptr) {
      ++rental;
      continue;
    }
    bool all = true;
    for (const std::string& name : *rented) {
      if (replica_.ShardOfMachine(name) >= 0) continue;
      if (!plan->MayChange(name)) {
        all = false;  // adopted by a later cycle; the rental stays recorded until then
        continue;
      }
      AssignedMachine machine;
      machine.name = name;
      machine.type = rental->second.request.type;
      machine.zone = rental->second.request.zone;
      machine.spot = rental->second.request.spot;
      machine.tail_job = rental->second.tail_job;
      auto known = unassigned_agents_.find(name);  // the agent may be up before the cloud's answer
      if (known != unassigned_agents_.end()) machine.addr = known->second.addr;
      plan->assignments.machines[name] = std::move(machine);
      plan->MarkChanged(name);
    }
    rental = all ? rentals.erase(rental) : std::next(rental);
    plan->urgent = true;
  }
}

// Adds instances that are in no assignment table: those whose agent sends heartbeats, and those
// that the cloud has listed for a while.
void Core::AdoptUnknownInstances(Micros now, int shard_id, Plan* plan) {
  int adopted = 0;
  for (const auto& [name, heartbeat] : unassigned_agents_) {
    if (adopted >= kMaxAdoptedPerCycle) return;
    if (instance_returns_.Confirmed(name)) continue;
    AssignedMachine machine;
    machine.name = name;
    machine.addr = heartbeat.addr;
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    if (AdoptUnknownInstance(shard_id, std::move(machine), plan)) ++adopted;
  }
  // The cloud's list lags and may show instances that were returned. It is trusted at once only on
  // the first start, before any shard has rented anything.
  const bool first_start = std::all_of(shards_.begin(), shards_.end(), [](const Shard& shard) {
    return shard.replica.assignments.next_number == 1;
  });
  for (const ListedMachine& listed : instance_lister_.instances()) {
    if (adopted >= kMaxAdoptedPerCycle) return;
    if (listed.state == ListedMachine::State::kFailed) continue;
    if (listed.state != ListedMachine::State::kRunning && listed.age < kUnknownInstanceDelay)
      continue;
    auto since = unknown_instance_since_.find(listed.name);
    const bool long_known =
        since != unknown_instance_since_.end() && now - since->second >= kUnknownInstanceDelay;
    if (!first_start && !long_known) continue;
    AssignedMachine machine;
    machine.name = listed.name;
    machine.addr = listed.addr;
    machine.type = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
    if (AdoptUnknownInstance(shard_id, std::move(machine), plan)) ++adopted;
  }
}

// Each shard adopts the unassigned instances that hash to it. The commit is conditional on all
// assignment tables, so that two shards cannot adopt the same instance.
bool Core::AdoptUnknownInstance(int shard_id, AssignedMachine machine, Plan* plan) {
  const std::string name = machine.name;
  if (static_cast<int>(StableHash(name) % shards_.size()) != shard_id) return false;
  if (replica_.ShardOfMachine(name) >= 0 || plan->assignments.machines.count(name) != 0)
    return false;
  if (removed_instances_.count(name) != 0 || !plan->MayChange(name)) return false;
  if (MayBeRented(shard_id, machine, *plan)) return false;
  plan->assignments.machines[name] = std::move(machine);
  plan->MarkChanged(name);
  plan->all_tables = true;
  plan->urgent = true;
  ++counters_.adopted;
  return true;
}

// Whether the instance may belong to a rental request that is still unanswered.
bool Core::MayBeRented(int shard_id, const AssignedMachine& machine, const Plan& plan) const {
  for (int id = 0; id < settings_.shard_count(); ++id) {
    const AssignmentTable& table =
        id == shard_id ? plan.assignments : ShardAt(id).replica.assignments;
    for (const auto& [request, rental] : table.rentals) {
      const RentRequest& asked = rental.request;
      if (asked.type == machine.type && asked.zone == machine.zone && asked.spot == machine.spot) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace troutlink
