// Plans which machines to rent for the tasks that a cycle could not place.
#ifndef TROUTLINK_CORE_SCHEDULER_RENTAL_PLANNER_H_
#define TROUTLINK_CORE_SCHEDULER_RENTAL_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

// Computes, over the jobs of one cycle, the machines that are missing beyond those that are up,
// booting or being rented. Used once by `PlanRentals`; changes neither the core nor the plan.
class Core::RentalPlanner {
 public:
  // Number of machines wanted of one offer, and the first reason, for the log.
  struct WantedMachines {
    Offer offer;
    int count = 0;
    std::string reason;
  };

  RentalPlanner(const Core& core, Micros now, Plan* plan);

  // Adds machines for unplaced jobs, in the plan's order.
  void AddUnplaced();
  // Adds a steady machine if only one zone has room for services spread over zones.
  void AddSecondZone();
  // Adds steady machines for missing service headroom.
  void AddHeadroom();

  // Keyed by the offer key's text. Each entry becomes few calls with many machines each.
  const std::map<std::string, WantedMachines>& wanted() const { return wanted_; }

 private:
  // A machine that boots or is being rented.
  struct IncomingMachine {
    std::string type, zone, tail_job;
    bool spot = false;
    Resources free;
  };

  void CollectIncoming();
  bool IsIncoming(const AssignedMachine& machine, const MachineType& type) const;
  void AddUnplacedJob(const Plan::UnplacedTasks& unplaced);
  std::optional<Offer> CheapestOffer(const JobSpec& spec, const JobSpread& spread, bool spot) const;
  // Limits the number of tasks to what the team's limit allows.
  int WithinTeamLimit(const JobSpec& spec, int tasks) const;
  // Assigns tasks to incoming machines; returns the number left over.
  int FillIncoming(const JobSpec& spec, int tasks, JobSpread* spread);
  // Of an array's tasks that may use spot machines, the number that justifies the higher price of
  // steady machines.
  int TasksWorthSteadyMachines(const Plan::UnplacedTasks& unplaced, const MachineType& type,
                               int tasks) const;
  void RentFor(const JobSpec& spec, const Offer& offer, int tasks);
  void Add(const Offer& offer, int count, const std::string& reason);
  // Free CPUs on steady machines, including incoming ones.
  int64_t SteadyFree() const;

  const Core& core_;
  const Micros now_;
  Plan* const plan_;
  std::vector<IncomingMachine> incoming_;
  std::map<std::string, int> machines_by_zone_;  // machines by zone
  std::map<std::string, WantedMachines> wanted_;
  double spot_cpus_ = 0;          // capacity for arrays
  double work_ahead_ = 0;         // CPU seconds of the jobs handled so far
  int64_t second_zone_free_ = 0;  // of the machine added for a second zone
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_RENTAL_PLANNER_H_
