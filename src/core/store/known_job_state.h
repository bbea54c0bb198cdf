// State of a job as known to one controller.
#ifndef TROUTLINK_CORE_STORE_KNOWN_JOB_STATE_H_
#define TROUTLINK_CORE_STORE_KNOWN_JOB_STATE_H_

#include <string_view>

namespace troutlink {

// The known state of a job, on which all decisions are based.
enum class KnownJobState {
  kUnknown,    // the replica lacks the job
  kBlocked,    // a dependency is not known to be done
  kOpen,       // may start
  kCancelled,  // according to its record, a peer or a dependency
  kDone,
};

// Whether the job is finished, so that its tasks must end.
constexpr bool IsFinished(KnownJobState state) {
  return state == KnownJobState::kCancelled || state == KnownJobState::kDone;
}

// For logs and test messages.
constexpr std::string_view NameOf(KnownJobState state) {
  switch (state) {
    case KnownJobState::kUnknown: return "unknown";
    case KnownJobState::kBlocked: return "blocked";
    case KnownJobState::kOpen: return "open";
    case KnownJobState::kCancelled: return "cancelled";
    case KnownJobState::kDone: return "done";
  }
  return "";
}

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_KNOWN_JOB_STATE_H_
