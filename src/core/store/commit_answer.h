// Decoded answer of the key-value store to a transaction.
#ifndef TROUTLINK_CORE_STORE_COMMIT_ANSWER_H_
#define TROUTLINK_CORE_STORE_COMMIT_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>

namespace troutlink {

// Outcome of a transaction.
enum class TransactionOutcome {
  kCommitted,
  kConflict,  // a condition failed: nothing was written
  kRefused,   // malformed, beyond a limit, or under an unknown lease
  kUnknown,   // no or an unclear answer: it may be committed, also later
};

// The outcome and the revision in the answer.
struct CommitAnswer {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  // Set for a committed transaction or a conflict with a readable body.
  std::optional<uint64_t> revision;
};

// `status`: the HTTP status, or kNoAnswer or kNotSent.
CommitAnswer DecodeCommitAnswer(int status, const std::string& body);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_COMMIT_ANSWER_H_
