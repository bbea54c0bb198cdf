// Scale out: plans the rental requests of a shard.
#include <algorithm>

#include "core/core.h"
#include "core/scheduler/plan.h"
#include "core/scheduler/rental_planner.h"

namespace troutlink {

namespace {
constexpr int kMaxPerRental = 50;
constexpr size_t kMaxRentals = 6;  // unanswered requests per shard
}  // namespace

std::map<std::string, int> Core::InstancesByZone(const AssignmentTable& assignments) {
  std::map<std::string, int> out;
  for (const auto& [name, m] : assignments.machines) ++out[m.zone];
  return out;
}

void Core::AddRental(int shard_id, Plan* plan, const Offer& offer, int count,
                     const std::string& helps, const std::string& reason) {
  Rental rental;
  // The id is unique: its number is taken from the assignment table and committed with it before
  // the request is sent.
  rental.ask.request =
      "troutlink-" + std::to_string(shard_id) + "-" + std::to_string(NextNumber(shard_id, plan));
  rental.ask.type = offer.type->name;
  rental.ask.zone = offer.zone;
  rental.ask.spot = offer.spot;
  rental.ask.count = std::min(count, kMaxPerRental);
  rental.helps = helps;
  plan->rentals.push_back(rental.ask.request);
  effects_.Log(LogLine::Level::kDebug, "renting " + std::to_string(rental.ask.count) + " " +
                                           rental.ask.type + (offer.spot ? " spot" : " steady") +
                                           " for " + reason);
  plan->assignments.rentals[rental.ask.request] = rental;
  plan->urgent = true;
}

// After an election, agents have not sent heartbeats to this node yet. Renting waits until most
// have, or had time to.
bool Core::HasHeardItsMachines(Micros now, int shard_id) const {
  const Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (now - shard.leadership.elected_at > 2 * settings_.heartbeat_period + 2 * kSecond) return true;
  size_t up = 0, unknown = 0;
  for (const MachineUsage& use : shard.usage.machines) {
    if (use.machine->addr.empty()) continue;
    ++up;
    if (use.info == nullptr || use.info->session == 0) ++unknown;
  }
  return unknown * 10 <= up;
}

// Low-priority work without a deadline or objective, for which no steady machine is rented.
bool Core::IsBestEffort(const JobSpec& spec) const {
  if (spec.priority != Priority::kLow || spec.deadline > 0) return false;
  return std::none_of(
      settings_.objectives.begin(), settings_.objectives.end(),
      [&spec](const Objective& objective) { return objective.job_class == spec.job_class; });
}

void Core::PlanRentals(Micros now, int shard_id, Plan* plan) {
  if (plan->assignments.rentals.size() >= kMaxRentals || !HasHeardItsMachines(now, shard_id))
    return;
  RentalPlanner planner(*this, now, plan);
  planner.AddUnplaced();
  planner.AddSecondZone();
  planner.AddHeadroom();
  for (const auto& [key, want] : planner.wants()) {
    for (int left = want.count; left > 0 && plan->assignments.rentals.size() < kMaxRentals;
         left -= kMaxPerRental) {
      AddRental(shard_id, plan, want.offer, left, "", want.reason);
    }
  }
}

}  // namespace troutlink
