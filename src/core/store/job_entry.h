// One job as a controller's replica holds it.
#ifndef TROUTLINK_CORE_STORE_JOB_ENTRY_H_
#define TROUTLINK_CORE_STORE_JOB_ENTRY_H_

#include <cstdint>

#include "base/micros.h"
#include "core/store/dependencies.h"
#include "core/store/records.h"

namespace troutlink {

// A job's record with the revision that it was read at, and what follows from the jobs that it
// depends on and those that depend on it. Kept by JobTable; a plain value for everybody else.
struct JobEntry {
  // The specification is dropped once the job is over. Its priority is the one that the job
  // is served with: its own or that of a job that depends on it.
  JobRecord record;
  uint64_t version = 0;  // revision of the state service
  Priority own_priority = Priority::kLow;
  bool blocked = false;  // waits for a job that it depends on
  Micros ready_at = 0;   // time of day from which it may start, once it is not blocked
  Micros inherited_latest_start = Urgency::kNoLimit;  // time of day, by its dependents
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_JOB_ENTRY_H_
