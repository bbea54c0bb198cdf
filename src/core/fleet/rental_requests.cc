#include "core/fleet/rental_requests.h"

#include <utility>

#include "wire/messages.h"

namespace troutlink {

namespace {
constexpr Micros kRetryDelay = 1500 * kMillisecond;
}  // namespace

RentalRequests::RentalRequests(Effects* effects, TokenBucket* cloud_calls, OfferBackoff* backoff,
                               Answered answered)
    : effects_(effects),
      cloud_calls_(cloud_calls),
      backoff_(backoff),
      answered_(std::move(answered)) {}

void RentalRequests::Send(Micros now, int shard_id, const RentRequest& request) {
  State& state = requests_[request.id];
  if (state.in_flight || state.answered || now < state.retry_at) return;
  if (!cloud_calls_->Take(now, 1)) return;
  state.in_flight = true;
  effects_->Send(
      Dest::kCloud, "", "POST", wire::RentTarget(), wire::EncodeRent(request), kCloudTimeout,
      [this, shard_id, request](Micros now, int status, const std::string& body) {
        OnAnswer(now, shard_id, request, DecodeRentalAnswer(status, body, request.count));
      });
}

void RentalRequests::OnAnswer(Micros now, int shard_id, const RentRequest& request,
                              const RentalAnswer& answer) {
  State& state = requests_[request.id];
  state.in_flight = false;
  const OfferKey offer{request.type, request.zone, request.spot};
  switch (answer.outcome) {
    case RentalOutcome::kRented: backoff_->Filled(offer); break;
    case RentalOutcome::kPartiallyFilled: backoff_->PartiallyFilled(now, offer); break;
    case RentalOutcome::kRefused: backoff_->Refused(now, offer); break;
    case RentalOutcome::kUnknown: state.retry_at = now + kRetryDelay; break;
  }
  if (answer.definite()) {
    state.answered = true;
    // A request that was forgotten and sent again may have a second answer: a refusal keeps the
    // instances that were rented before.
    if (answer.outcome != RentalOutcome::kRefused) state.instances = answer.instances;
  }
  answered_(shard_id, answer);
}

const std::vector<std::string>* RentalRequests::InstancesOf(const std::string& request) const {
  auto found = requests_.find(request);
  if (found == requests_.end() || !found->second.answered) return nullptr;
  return &found->second.instances;
}

}  // namespace troutlink
