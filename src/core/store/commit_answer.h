// The answer of the state service to a transaction, decoded once.
#ifndef TROUTLINK_CORE_STORE_COMMIT_ANSWER_H_
#define TROUTLINK_CORE_STORE_COMMIT_ANSWER_H_

#include <cstdint>
#include <optional>
#include <string>

namespace troutlink {

// What became of a transaction.
enum class TransactionOutcome {
  kCommitted,
  kConflict,  // a condition did not hold: nothing was written
  kRefused,   // malformed, beyond a limit, or under a lease that does not exist
  kUnknown,   // no answer, or none that tells: it may be or become committed
};

// The outcome with the revision that the answer names.
struct CommitAnswer {
  TransactionOutcome outcome = TransactionOutcome::kUnknown;
  // Of an answer to a committed transaction or a conflict whose body could be read.
  std::optional<uint64_t> revision;
};

// `status`: the HTTP status, or kNoAnswer or kNotSent.
CommitAnswer DecodeCommitAnswer(int status, const std::string& body);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_COMMIT_ANSWER_H_
