// Outcome of a transaction sent to the key-value store.
#ifndef TROUTLINK_CORE_API_COMMIT_OUTCOME_H_
#define TROUTLINK_CORE_API_COMMIT_OUTCOME_H_

#include <cstdint>
#include <string>
#include <vector>

namespace troutlink {

// Decoded answer of the key-value store.
struct CommitOutcome {
  enum class Kind {
    kCommitted,
    kConflict,     // a condition failed: nothing was written
    kRateLimited,  // rate limited: nothing was written
    kUnknown,      // no or an unclear answer: it may be committed, also later
  };

  Kind kind = Kind::kUnknown;
  // Whether the body could be decoded; always if committed. Otherwise a conflict has no keys.
  bool readable = false;
  uint64_t revision = 0;                 // if committed
  std::vector<std::string> failed_keys;  // keys whose conditions failed, if the answer names them
};

// `status`: the HTTP status, or kNoAnswer or kNotSent.
CommitOutcome DecodeCommitOutcome(int status, const std::string& body);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_COMMIT_OUTCOME_H_
