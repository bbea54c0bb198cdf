#include "core/fleet/cloud_answers.h"

#include <utility>

namespace troutlink {

std::string_view NameOf(RentalOutcome outcome) {
  switch (outcome) {
    case RentalOutcome::kRented: return "rented";
    case RentalOutcome::kPartiallyFilled: return "filled_in_part";
    case RentalOutcome::kRefused: return "refused";
    case RentalOutcome::kUnknown: return "unknown";
  }
  return "";
}

std::string_view NameOf(ReturnOutcome outcome) {
  switch (outcome) {
    case ReturnOutcome::kConfirmed: return "confirmed";
    case ReturnOutcome::kUnknown: return "unknown";
  }
  return "";
}

RentalAnswer DecodeRentalAnswer(int status, const std::string& body, int asked) {
  std::optional<std::vector<std::string>> rented;
  if (status == 200) rented = wire::DecodeRented(body);
  if (rented) {
    const bool filled = static_cast<int>(rented->size()) >= asked;
    return {filled ? RentalOutcome::kRented : RentalOutcome::kPartiallyFilled, std::move(*rented)};
  }
  if (status == 400 || (status == 503 && body.find("no capacity") != std::string::npos)) {
    return {RentalOutcome::kRefused, {}};
  }
  return {RentalOutcome::kUnknown, {}};
}

ReturnOutcome DecodeReturnAnswer(int status) {
  return status == 200 ? ReturnOutcome::kConfirmed : ReturnOutcome::kUnknown;
}

std::optional<wire::MachinePage> DecodeInstanceListAnswer(int status, const std::string& body) {
  if (status != 200) return std::nullopt;
  return wire::DecodeMachines(body);
}

}  // namespace troutlink
