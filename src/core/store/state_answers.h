// Decoded answers of the key-value store to lists and watches.
#ifndef TROUTLINK_CORE_STORE_STATE_ANSWERS_H_
#define TROUTLINK_CORE_STORE_STATE_ANSWERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "wire/messages.h"

namespace troutlink {

// Outcome of a watch.
enum class WatchOutcome {
  kChanges,  // changes, possibly none
  kTooOld,   // the store has compacted the requested changes: list again
  kFailed,   // no answer, a refusal or an unreadable answer: watch again
};

// For logs and test messages.
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
// One page of a list; nothing if the call failed.
std::optional<wire::StatePage> DecodeStateListAnswer(int status, const std::string& body);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_STATE_ANSWERS_H_
