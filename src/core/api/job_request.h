// A user's request about one job, until it is answered.
#ifndef TROUTLINK_CORE_API_JOB_REQUEST_H_
#define TROUTLINK_CORE_API_JOB_REQUEST_H_

#include <cstdint>
#include <string>

#include "base/micros.h"

namespace troutlink {

// Requests are idempotent: several controllers may execute copies of one, and a repeated submission
// is answered like a poll.
struct JobRequest {
  enum class Kind { kPoll, kSubmit, kCancel };

  Kind kind = Kind::kPoll;
  uint64_t request_id = 0;
  std::string job_id;
  Micros received_at = 0;
  int cancel_attempts = 0;       // commits tried for a cancellation
  bool job_was_unknown = false;  // for a cancellation: the replica lacked the job on arrival
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_REQUEST_H_
