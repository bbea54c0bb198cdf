// Decoded answers of the cloud.
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

// Timeout of calls to the cloud.
inline constexpr Micros kCloudTimeout = 5 * kSecond;

// Outcome of a rental request.
enum class RentalOutcome {
  kRented,           // all requested instances
  kPartiallyFilled,  // fewer: the capacity is exhausted
  kRefused,          // permanently: no capacity, or an invalid request
  kUnknown,          // may have been executed: only a retry with the same id tells
};
// For logs and tests.
std::string_view NameOf(RentalOutcome outcome);

// Answer to a rental request.
struct RentalAnswer {
  RentalOutcome outcome = RentalOutcome::kUnknown;
  std::vector<std::string> instances;  // names of the rented instances
  // Whether the request is settled and must not be sent again.
  bool definite() const { return outcome != RentalOutcome::kUnknown; }
};
// `status` as in Effects::Handler. `asked`: number of instances requested.
RentalAnswer DecodeRentalAnswer(int status, const std::string& body, int asked);

// Outcome of a request to return instances.
enum class ReturnOutcome {
  kConfirmed,  // the instances and their tasks no longer exist
  kUnknown,    // the request is retried
};
// For logs and tests.
std::string_view NameOf(ReturnOutcome outcome);
// `status` as in Effects::Handler.
ReturnOutcome DecodeReturnAnswer(int status);

// A page of the list of instances; nothing if the call failed or the page is unreadable.
std::optional<wire::MachinePage> DecodeInstanceListAnswer(int status, const std::string& body);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_CLOUD_ANSWERS_H_
