#include "core/store/commit_answer.h"

#include "wire/messages.h"

namespace troutlink {

CommitAnswer DecodeCommitAnswer(int status, const std::string& body) {
  CommitAnswer answer;
  switch (status) {
    case 200: answer.outcome = TransactionOutcome::kCommitted; break;
    case 409: answer.outcome = TransactionOutcome::kConflict; break;
    case 400: answer.outcome = TransactionOutcome::kRefused; return answer;
    default: return answer;
  }
  if (const std::optional<wire::TxnReply> reply = wire::DecodeTxnReply(body)) {
    answer.revision = reply->revision;
  }
  return answer;
}

}  // namespace troutlink
