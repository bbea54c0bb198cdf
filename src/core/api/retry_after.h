// After how long a user whose request failed for the moment is asked to repeat it.
#ifndef TROUTLINK_CORE_API_RETRY_AFTER_H_
#define TROUTLINK_CORE_API_RETRY_AFTER_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace troutlink {

// Value of the Retry-After header of a refusal that has nothing to do with load, in seconds.
inline constexpr int kRetryAfter = 1;

// The same under load, in seconds: it depends on the job, so that the users do not all come back
// at the same moment.
inline int SpreadRetryAfter(const std::string& job_id) {
  constexpr uint64_t kSpread = 4;
  return kRetryAfter + static_cast<int>(StableHash(job_id) % kSpread);
}

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_RETRY_AFTER_H_
