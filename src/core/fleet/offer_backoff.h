// Which offers are left alone for a while, as the cloud had no capacity for them.
#ifndef TROUTLINK_CORE_FLEET_OFFER_BACKOFF_H_
#define TROUTLINK_CORE_FLEET_OFFER_BACKOFF_H_

#include <algorithm>
#include <map>

#include "base/micros.h"
#include "core/fleet/offer.h"

namespace troutlink {

// Exponential backoff by offer, from its rental requests.
class OfferBackoff {
 public:
  // `pause`: how long an offer is left alone after its first refusal.
  explicit OfferBackoff(Micros pause) : pause_(pause) {}

  // A request for the offer was filled.
  void Filled(const OfferKey& offer) { pauses_.erase(offer); }
  // A request got fewer instances than it asked for: there are no more at the moment.
  void FilledInPart(Micros now, const OfferKey& offer) { pauses_[offer] = {now + pause_, 1}; }
  // A request was refused. Every request costs writes and calls: ask less and less often.
  void Refused(Micros now, const OfferKey& offer) {
    Pause& pause = pauses_[offer];
    pause.until = now + (pause_ << std::min(pause.refusals, kMaxDoublings));
    ++pause.refusals;
  }
  // Whether the offer is not to be asked for now.
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
  std::map<OfferKey, Pause> pauses_;  // as many as there are offers
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_OFFER_BACKOFF_H_
