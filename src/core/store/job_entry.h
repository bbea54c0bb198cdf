// A job in the replica.
#ifndef TROUTLINK_CORE_STORE_JOB_ENTRY_H_
#define TROUTLINK_CORE_STORE_JOB_ENTRY_H_

#include <cstdint>

#include "base/micros.h"
#include "core/store/dependencies.h"
#include "core/store/records.h"

namespace troutlink {

// A job's record, its revision, and what follows from its dependencies and dependents. Maintained
// by JobTable.
struct JobEntry {
  // The specification is dropped when the job finishes. Its priority is the effective one: the
  // job's own or that of a dependent.
  JobRecord record;
  uint64_t version = 0;  // revision of the record
  Priority own_priority = Priority::kLow;
  bool blocked = false;  // a dependency is not done
  Micros ready_at = 0;   // time of day from which it may start, once it is not blocked
  Micros inherited_latest_start = Urgency::kNoLimit;  // time of day, from its dependents
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_JOB_ENTRY_H_
