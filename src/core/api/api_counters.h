// How often users' requests took each way, since the start of the process.
#ifndef TROUTLINK_CORE_API_API_COUNTERS_H_
#define TROUTLINK_CORE_API_API_COUNTERS_H_

#include <cstdint>

namespace troutlink {

// One for all classes of the module; shown as metrics.
struct ApiCounters {
  uint64_t submissions = 0;
  uint64_t accepted = 0;
  uint64_t refused = 0;  // for the moment: neither malformed nor never to run
  uint64_t polls = 0;
  uint64_t cancels = 0;
  uint64_t forwards = 0;
  uint64_t kept_from_forwarding = 0;  // which no peer of an older version may carry out
  uint64_t record_writes = 0;         // job records in transactions
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_API_COUNTERS_H_
