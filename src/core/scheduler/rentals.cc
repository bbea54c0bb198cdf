// Scale out: plans the rental requests of a shard.
#include <algorithm>

#include "core/core.h"
#include "core/scheduler/plan.h"
#include "core/scheduler/rental_planner.h"

namespace troutlink {

namespace {
constexpr int kMaxInstancesPerRequest = 50;
constexpr size_t kMaxOpenRequests = 6;     // unanswered requests per shard
constexpr size_t kMaxUnknownPercent = 10;  // of the machines that are up
}  // namespace

std::map<std::string, int> Core::InstancesByZone(const AssignmentTable& assignments) {
  std::map<std::string, int> out;
  for (const auto& [name, machine] : assignments.machines) ++out[machine.zone];
  return out;
}

void Core::AddRental(int shard_id, Plan* plan, const Offer& offer, int count,
                     const std::string& tail_job, const std::string& reason) {
  Rental rental;
  // The id is unique: its number is taken from the assignment table and committed with it before
  // the request is sent.
  rental.request.id =
      "troutlink-" + std::to_string(shard_id) + "-" + std::to_string(NextNumber(shard_id, plan));
  rental.request.type = offer.type->name;
  rental.request.zone = offer.zone;
  rental.request.spot = offer.spot;
  rental.request.count = std::min(count, kMaxInstancesPerRequest);
  rental.tail_job = tail_job;
  plan->rentals.push_back(rental.request.id);
  effects_.Log(LogLine::Level::kDebug, "renting " + std::to_string(rental.request.count) + " " +
                                           rental.request.type +
                                           (offer.spot ? " spot" : " steady") + " for " + reason);
  plan->assignments.rentals[rental.request.id] = rental;
  plan->urgent = true;
}

// After an election, agents have not sent heartbeats to this node yet. Renting waits until most
// have, or had time to.
bool Core::MostAgentsReported(Micros now, int shard_id) const {
  const Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (now - shard.leadership.elected_at > 2 * settings_.heartbeat_period + 2 * kSecond) return true;
  size_t up = 0, unknown = 0;
  for (const MachineUsage& usage : shard.usage.machines) {
    if (usage.machine->addr.empty()) continue;
    ++up;
    if (usage.agent == nullptr || usage.agent->incarnation == 0) ++unknown;
  }
  return unknown * 100 <= up * kMaxUnknownPercent;
}

// Low-priority work without a deadline or objective, for which no steady machine is rented.
bool Core::IsBestEffort(const JobSpec& spec) const {
  if (spec.priority != Priority::kLow || spec.deadline > 0) return false;
  return std::none_of(
      settings_.objectives.begin(), settings_.objectives.end(),
      [&spec](const Objective& objective) { return objective.job_class == spec.job_class; });
}

void Core::PlanRentals(Micros now, int shard_id, Plan* plan) {
  if (plan->assignments.rentals.size() >= kMaxOpenRequests || !MostAgentsReported(now, shard_id))
    return;
  RentalPlanner planner(*this, now, plan);
  planner.AddUnplaced();
  planner.AddSecondZone();
  planner.AddHeadroom();
  for (const auto& [key, entry] : planner.wanted()) {
    for (int left = entry.count; left > 0 && plan->assignments.rentals.size() < kMaxOpenRequests;
         left -= kMaxInstancesPerRequest) {
      AddRental(shard_id, plan, entry.offer, left, "", entry.reason);
    }
  }
}

}  // namespace troutlink
