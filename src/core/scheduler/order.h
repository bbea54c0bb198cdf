// Order of pending jobs by their latest start times.
#ifndef TROUTLINK_CORE_SCHEDULER_ORDER_H_
#define TROUTLINK_CORE_SCHEDULER_ORDER_H_

#include <cstddef>
#include <vector>

#include "base/micros.h"

namespace troutlink {

struct OrderItem {
  const std::vector<Micros>* latest_starts = nullptr;  // time of day, ascending
  double work = 0;                                     // pending work in CPU seconds
  size_t limit_index = 0;  // index of the latest start to meet; past the end if all are missed
};

// Moore-Hodgson: while a job would miss its latest start, defers the job with the most work to its
// next one, which minimises the number of late jobs on one server. `ahead` is the work, in CPU
// seconds, that is served before all of these; `capacity` is in CPUs.
void DeferLargest(Micros now, double capacity, double ahead, std::vector<OrderItem>* items);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_ORDER_H_
