// What became of a transaction that was sent to the state service.
#ifndef TROUTLINK_CORE_API_COMMIT_OUTCOME_H_
#define TROUTLINK_CORE_API_COMMIT_OUTCOME_H_

#include <cstdint>
#include <string>
#include <vector>

namespace troutlink {

// The answer of the state service, decoded once.
struct CommitOutcome {
  enum class Kind {
    kCommitted,
    kConflict,     // a condition did not hold: nothing was written
    kRateLimited,  // refused for its rate: nothing was written
    kUnknown,      // no answer, or none that tells: it may be committed or become so
  };

  Kind kind = Kind::kUnknown;
  // Whether the answer could be read. Always when committed; without it a conflict has no keys.
  bool readable = false;
  uint64_t revision = 0;                 // of the transaction, when committed
  std::vector<std::string> failed_keys;  // whose conditions did not hold, as far as it says
};

// Of the answer to a commit: its HTTP status, or that of a call without answer, and its body.
CommitOutcome DecodeCommitOutcome(int status, const std::string& body);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_COMMIT_OUTCOME_H_
