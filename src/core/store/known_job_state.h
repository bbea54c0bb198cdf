// The state of a job as one controller knows it.
#ifndef TROUTLINK_CORE_STORE_KNOWN_JOB_STATE_H_
#define TROUTLINK_CORE_STORE_KNOWN_JOB_STATE_H_

#include <string_view>

namespace troutlink {

// What is known of a job: the one answer that every decision is made from.
enum class KnownJobState {
  kUnknown,    // the replica does not hold it
  kBlocked,    // depends on a job that is not known to be done
  kOpen,       // may start
  kCancelled,  // by its record, by a peer's word, or with a job that it depends on
  kDone,
};

// Whether tasks of the job have to end.
constexpr bool IsOver(KnownJobState state) {
  return state == KnownJobState::kCancelled || state == KnownJobState::kDone;
}

// For logs and messages of tests.
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
