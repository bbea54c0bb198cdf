// Help for the tail of an array job (SpeQuloS 9C-C-R, DESIGN-troutlink).
#ifndef TROUTLINK_CORE_SCHEDULER_TAIL_H_
#define TROUTLINK_CORE_SCHEDULER_TAIL_H_

#include <cstdint>

#include "base/micros.h"

namespace troutlink {

// A job's credit in cpu hours: `share` of its estimated workload.
double TailCredit(double share, int tasks, Micros estimate, int64_t cpus_each);

// Whether `done` of `tasks` reach the completion threshold.
bool TailReached(double threshold, int done, int tasks);

// t_r = t_c(x)/x - t_c(x): what remains at a constant completion rate, where
// the share x of the tasks had completed after `elapsed`.
Micros TailRemaining(Micros elapsed, int done, int tasks);

// min(S/t_r, S) of cpus for a credit of S cpu hours, as printed in the design.
double TailCpus(double credit, Micros remaining);

// Machines of `machine_cpus` to bring in for `candidates` tasks (pending, lost
// or overdue). Exception to the design: a helper is rented whole, so any
// positive size is rounded up to one machine; jobs of a few dozen short tasks
// have credits of a fraction of a cpu hour, and would otherwise never be helped.
int TailHelpers(double cpus, int candidates, int64_t cpus_each, int64_t machine_cpus);

// A running task is overdue once it ran `margin` times the median of its job.
bool TailOverdue(Micros running, Micros median, double margin);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_TAIL_H_
