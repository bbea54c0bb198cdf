// Answers of the state service to lists and watches, decoded once.
#ifndef TROUTLINK_CORE_STORE_STATE_ANSWERS_H_
#define TROUTLINK_CORE_STORE_STATE_ANSWERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "wire/messages.h"

namespace troutlink {

// What became of a watch.
enum class WatchOutcome {
  kChanges,  // answered; there may be none
  kTooOld,   // the state service no longer has the changes that were asked for: list anew
  kFailed,   // no answer, a refusal, or one that cannot be read: watch again
};

// For logs and messages of tests.
constexpr std::string_view NameOf(WatchOutcome outcome) {
  switch (outcome) {
    case WatchOutcome::kChanges: return "changes";
    case WatchOutcome::kTooOld: return "too_old";
    case WatchOutcome::kFailed: return "failed";
  }
  return "";
}

struct WatchAnswer {
  WatchOutcome outcome = WatchOutcome::kFailed;
  wire::WatchReply changes;  // with kChanges only
};

// `status`: the HTTP status, or kNoAnswer or kNotSent.
WatchAnswer DecodeWatchAnswer(int status, const std::string& body);
// One page of a list; nothing when the list failed.
std::optional<wire::StatePage> DecodeStateListAnswer(int status, const std::string& body);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_STATE_ANSWERS_H_
