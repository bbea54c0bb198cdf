// Backoff from offers without capacity.
#ifndef TROUTLINK_CORE_FLEET_OFFER_BACKOFF_H_
#define TROUTLINK_CORE_FLEET_OFFER_BACKOFF_H_

#include <algorithm>
#include <map>

#include "base/micros.h"
#include "core/fleet/offer.h"

namespace troutlink {

// Exponential backoff by offer, driven by the results of rental requests.
class OfferBackoff {
 public:
  // `pause`: backoff after the first refusal.
  explicit OfferBackoff(Micros pause) : pause_(pause) {}

  // A request for the offer was fully granted.
  void Filled(const OfferKey& offer) { pauses_.erase(offer); }
  // A request was granted in part: the capacity is exhausted.
  void PartiallyFilled(Micros now, const OfferKey& offer) { pauses_[offer] = {now + pause_, 1}; }
  // A request was refused.
  void Refused(Micros now, const OfferKey& offer) {
    Pause& pause = pauses_[offer];
    pause.until = now + (pause_ << std::min(pause.refusals, kMaxDoublings));
    ++pause.refusals;
  }
  // Whether to back off from the offer now.
  bool Paused(Micros now, const OfferKey& offer) const {
    auto found = pauses_.find(offer);
    return found != pauses_.end() && now < found->second.until;
  }

 private:
  static constexpr int kMaxDoublings = 2;
  struct Pause {
    Micros until = 0;
    int refusals = 0;
  };
  const Micros pause_;
  std::map<OfferKey, Pause> pauses_;  // bounded by the number of offers
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_OFFER_BACKOFF_H_
