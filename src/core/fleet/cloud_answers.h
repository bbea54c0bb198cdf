// The cloud's answers as typed outcomes, so that statuses and bodies are read in one place.
#ifndef TROUTLINK_CORE_FLEET_CLOUD_ANSWERS_H_
#define TROUTLINK_CORE_FLEET_CLOUD_ANSWERS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/micros.h"
#include "wire/messages.h"
#include "wire/types.h"

namespace troutlink {

// How long a call to the cloud may take.
inline constexpr Micros kCloudTimeout = 5 * kSecond;

// What became of a rental request.
enum class RentalOutcome {
  kRented,        // all instances that were asked for
  kFilledInPart,  // fewer: there are no more at the moment
  kRefused,       // none, for good: no capacity, or the request is not valid
  kUnknown,       // may have been carried out: only a repeat of the same request tells
};
// For logs and tests.
std::string_view NameOf(RentalOutcome outcome);

// The answer to a rental request.
struct RentalAnswer {
  RentalOutcome outcome = RentalOutcome::kUnknown;
  std::vector<std::string> instances;  // names of those that were rented
  // Whether the request is settled and must not be sent again.
  bool definite() const { return outcome != RentalOutcome::kUnknown; }
};
// `status` as in Effects::Handler; `asked`: how many instances the request was for.
RentalAnswer DecodeRentalAnswer(int status, const std::string& body, int asked);

// What became of a request to return instances.
enum class ReturnOutcome {
  kConfirmed,  // the instances and everything on them are gone
  kUnknown,    // the request is repeated
};
// For logs and tests.
std::string_view NameOf(ReturnOutcome outcome);
// `status` as in Effects::Handler.
ReturnOutcome DecodeReturnAnswer(int status);

// A page of the list of instances; nothing when the call failed or the page cannot be read.
std::optional<wire::MachinePage> DecodeInstanceListAnswer(int status, const std::string& body);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_CLOUD_ANSWERS_H_
