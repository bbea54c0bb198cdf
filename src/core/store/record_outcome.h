// What became of a stored record that was read into the replica.
#ifndef TROUTLINK_CORE_STORE_RECORD_OUTCOME_H_
#define TROUTLINK_CORE_STORE_RECORD_OUTCOME_H_

#include <string_view>

namespace troutlink {

// The outcome of applying one record. A list, a watch and the node's own commits bring the same
// record in any order, so an ignored one is no error.
enum class RecordOutcome {
  kApplied,
  kIgnored,     // not newer than what the replica holds, or of no use to it
  kUnreadable,  // cannot be decoded; the replica keeps what it had
};

// For logs and messages of tests.
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
