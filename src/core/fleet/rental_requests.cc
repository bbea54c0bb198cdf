#include "core/fleet/rental_requests.h"

#include <utility>

#include "wire/messages.h"

namespace troutlink {

namespace {
constexpr Micros kRetryPeriod = 1500 * kMillisecond;
}  // namespace

RentalRequests::RentalRequests(Effects* effects, TokenBucket* cloud_calls, OfferBackoff* backoff,
                               Answered answered)
    : effects_(effects),
      cloud_calls_(cloud_calls),
      backoff_(backoff),
      answered_(std::move(answered)) {}

void RentalRequests::Send(Micros now, int shard_id, const RentRequest& ask) {
  State& state = requests_[ask.request];
  if (state.in_flight || state.answered || now < state.retry_at) return;
  if (!cloud_calls_->Take(now, 1)) return;
  state.in_flight = true;
  effects_->Send(Dest::kCloud, "", "POST", wire::RentTarget(), wire::EncodeRent(ask), kCloudTimeout,
                 [this, shard_id, ask](Micros t, int status, const std::string& body) {
                   OnAnswer(t, shard_id, ask, DecodeRentalAnswer(status, body, ask.count));
                 });
}

void RentalRequests::OnAnswer(Micros now, int shard_id, const RentRequest& ask,
                              const RentalAnswer& answer) {
  State& state = requests_[ask.request];
  state.in_flight = false;
  const OfferKey offer{ask.type, ask.zone, ask.spot};
  switch (answer.outcome) {
    case RentalOutcome::kRented: backoff_->Filled(offer); break;
    case RentalOutcome::kFilledInPart: backoff_->FilledInPart(now, offer); break;
    case RentalOutcome::kRefused: backoff_->Refused(now, offer); break;
    case RentalOutcome::kUnknown: state.retry_at = now + kRetryPeriod; break;
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
