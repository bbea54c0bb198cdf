// Outcome of applying a stored record to the replica.
#ifndef TROUTLINK_CORE_STORE_RECORD_OUTCOME_H_
#define TROUTLINK_CORE_STORE_RECORD_OUTCOME_H_

#include <string_view>

namespace troutlink {

// Lists, watches and this node's own commits deliver the same record in any order, so kIgnored is
// not an error.
enum class RecordOutcome {
  kApplied,
  kIgnored,     // not newer than the replica's, or not relevant
  kUnreadable,  // cannot be decoded; the replica keeps the previous record
};

// For logs and test messages.
constexpr std::string_view NameOf(RecordOutcome outcome) {
  switch (outcome) {
    case RecordOutcome::kApplied: return "applied";
    case RecordOutcome::kIgnored: return "ignored";
    case RecordOutcome::kUnreadable: return "unreadable";
  }
  return "";
}

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_RECORD_OUTCOME_H_
