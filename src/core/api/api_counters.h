// Counters of the users' API since the start of the process.
#ifndef TROUTLINK_CORE_API_API_COUNTERS_H_
#define TROUTLINK_CORE_API_API_COUNTERS_H_

#include <cstdint>

namespace troutlink {

// Shared by all classes of the module and exported as metrics.
struct ApiCounters {
  uint64_t submissions = 0;
  uint64_t accepted = 0;
  uint64_t refused = 0;  // temporarily: neither malformed nor infeasible
  uint64_t polls = 0;
  uint64_t cancels = 0;
  uint64_t forwards = 0;
  uint64_t not_forwarded = 0;  // because a peer of an older version might execute them wrongly
  uint64_t record_writes = 0;  // job records written in transactions
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_API_COUNTERS_H_
