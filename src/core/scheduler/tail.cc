#include "core/scheduler/tail.h"

#include <algorithm>
#include <cmath>

namespace troutlink {

double TailCredit(double share, int tasks, Micros estimate, int64_t cpus_each) {
  return share * tasks * (static_cast<double>(cpus_each) / 1000.0) * ToSeconds(estimate) / 3600.0;
}

bool TailReached(double threshold, int done, int tasks) {
  return done < tasks && static_cast<double>(done) >= threshold * tasks - 1e-9;
}

Micros TailRemaining(Micros elapsed, int done, int tasks) {
  if (done <= 0) return 0;
  const double completed_share = static_cast<double>(done) / tasks;
  const auto elapsed_us = static_cast<double>(elapsed);
  return static_cast<Micros>(elapsed_us / completed_share - elapsed_us);
}

double TailCpus(double credit, Micros remaining) {
  if (credit <= 0) return 0;
  if (remaining <= 0) return credit;
  return std::min(credit / (ToSeconds(remaining) / 3600.0), credit);
}

int TailMachineCount(double cpus, int candidates, int64_t cpus_each, int64_t machine_cpus) {
  if (cpus <= 0 || candidates <= 0 || machine_cpus <= 0 || cpus_each > machine_cpus) return 0;
  int64_t per_machine = cpus_each <= 0 ? candidates : machine_cpus / cpus_each;
  int64_t needed = (candidates + per_machine - 1) / per_machine;
  auto sized = static_cast<int64_t>(std::ceil(cpus * 1000.0 / static_cast<double>(machine_cpus)));
  return static_cast<int>(std::min(needed, std::max<int64_t>(1, sized)));
}

bool TailOverdue(Micros running, Micros median, double margin) {
  return median > 0 && static_cast<double>(running) > margin * static_cast<double>(median);
}

}  // namespace troutlink
