// Retry-After values for requests that fail temporarily.
#ifndef TROUTLINK_CORE_API_RETRY_AFTER_H_
#define TROUTLINK_CORE_API_RETRY_AFTER_H_

#include <cstdint>
#include <string>

#include "base/ids.h"

namespace troutlink {

// In seconds, for refusals that are not caused by load.
inline constexpr int kRetryAfter = 1;

// The same under load, with jitter derived from the job id, so that clients do not retry at the
// same moment.
inline int JitteredRetryAfter(const std::string& job_id) {
  constexpr uint64_t kJitterSeconds = 4;
  return kRetryAfter + static_cast<int>(StableHash(job_id) % kJitterSeconds);
}

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_RETRY_AFTER_H_
