#include "core/api/commit_outcome.h"

#include <optional>
#include <utility>

#include "core/api/http_status.h"
#include "wire/messages.h"

namespace troutlink {

CommitOutcome DecodeCommitOutcome(int status, const std::string& body) {
  CommitOutcome outcome;
  if (status == http_status::kTooManyRequests) outcome.kind = CommitOutcome::Kind::kRateLimited;
  // The status alone proves that nothing was written.
  if (status == http_status::kConflict) outcome.kind = CommitOutcome::Kind::kConflict;
  if (status != http_status::kOk && status != http_status::kConflict) return outcome;
  std::optional<wire::TxnReply> reply = wire::DecodeTxnReply(body);
  if (!reply) return outcome;
  outcome.readable = true;
  if (status == http_status::kOk) outcome.kind = CommitOutcome::Kind::kCommitted;
  outcome.revision = reply->revision;
  outcome.failed_keys = std::move(reply->failed);
  return outcome;
}

}  // namespace troutlink
