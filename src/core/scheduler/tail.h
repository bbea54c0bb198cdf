// Sizing of tail acceleration for array jobs (SpeQuloS, strategy 9C-C-R).
#ifndef TROUTLINK_CORE_SCHEDULER_TAIL_H_
#define TROUTLINK_CORE_SCHEDULER_TAIL_H_

#include <cstdint>

#include "base/micros.h"

namespace troutlink {

// A job's credit in CPU hours: `share` of its estimated workload.
double TailCredit(double share, int tasks, Micros estimate, int64_t cpus_each);

// Whether `done` of `tasks` reach the completion threshold.
bool TailReached(double threshold, int done, int tasks);

// t_r = t_c(x)/x - t_c(x): remaining time at a constant completion rate, where the share x of the
// tasks had completed after `elapsed`.
Micros TailRemaining(Micros elapsed, int done, int tasks);

// min(S/t_r, S) CPUs for a credit of S CPU hours.
double TailCpus(double credit, Micros remaining);

// Number of machines with `machine_cpus` milli-CPUs to rent for `candidates` tasks (pending, lost
// or overdue). Unlike in SpeQuloS, any positive size is rounded up to a whole machine: the credit
// of a small job is a fraction of one, and its tail would never be accelerated.
int TailMachineCount(double cpus, int candidates, int64_t cpus_each, int64_t machine_cpus);

// Whether a task has run longer than `margin` times the median of its job.
bool TailOverdue(Micros running, Micros median, double margin);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_TAIL_H_
