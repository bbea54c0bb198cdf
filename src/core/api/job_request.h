// A user's request about one job, until it is answered.
#ifndef TROUTLINK_CORE_API_JOB_REQUEST_H_
#define TROUTLINK_CORE_API_JOB_REQUEST_H_

#include <cstdint>
#include <string>

#include "base/micros.h"

namespace troutlink {

// Requests are idempotent: several controllers may carry out copies of one, and a repeat of a
// submission is answered like a poll of the job.
struct JobRequest {
  enum class Kind { kPoll, kSubmit, kCancel };

  Kind kind = Kind::kPoll;
  uint64_t request_id = 0;
  std::string job_id;
  Micros received_at = 0;
  int cancel_attempts = 0;       // commits of the cancellation that were tried
  bool job_was_unknown = false;  // of a cancellation: the replica had no such job when it came
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_REQUEST_H_
