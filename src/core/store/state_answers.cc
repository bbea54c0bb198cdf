#include "core/store/state_answers.h"

#include <utility>

namespace troutlink {

namespace {
constexpr int kOk = 200;
constexpr int kGone = 410;  // the revision at which the watch starts was compacted
}  // namespace

WatchAnswer DecodeWatchAnswer(int status, const std::string& body) {
  if (status == kGone) return {WatchOutcome::kTooOld, {}};
  if (status != kOk) return {};
  std::optional<wire::WatchReply> reply = wire::DecodeWatch(body);
  if (!reply) return {};
  return {WatchOutcome::kChanges, std::move(*reply)};
}

std::optional<wire::StatePage> DecodeStateListAnswer(int status, const std::string& body) {
  if (status != kOk) return std::nullopt;
  return wire::DecodeList(body);
}

}  // namespace troutlink
