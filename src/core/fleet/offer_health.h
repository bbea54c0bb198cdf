// Remembers which kinds of machines lately failed to come up after they were rented, so that
// another type, zone or kind is preferred while that lasts.
#ifndef TROUTLINK_CORE_FLEET_OFFER_HEALTH_H_
#define TROUTLINK_CORE_FLEET_OFFER_HEALTH_H_

#include <cmath>
#include <map>

#include "base/micros.h"
#include "core/fleet/offer.h"

namespace troutlink {

// Counts boots by offer. Counts halve with time, so that an
// offer that failed is tried again later.
class OfferHealth {
 public:
  // A machine of that offer reported for the first time.
  void CameUp(Micros now, const OfferKey& offer) { Count(now, offer)->up += 1; }
  // A machine of that offer was given up before it had reported.
  void NeverCameUp(Micros now, const OfferKey& offer) { Count(now, offer)->failed += 1; }

  // By how much the price of an offer is multiplied when offers are compared: 1 for one
  // without failures, more the larger their share. One failure alone says nothing.
  double PriceFactor(Micros now, const OfferKey& offer) const {
    auto found = boots_.find(offer);
    if (found == boots_.end()) return 1;
    const Boots boots = Faded(now, found->second);
    if (boots.failed < kFewFailures) return 1;
    return 1 + kMaxPenalty * boots.failed / (boots.failed + boots.up);
  }

 private:
  static constexpr Micros kHalfLife = 120 * kSecond;
  static constexpr double kFewFailures = 1.5;  // faded counts of two failures in short order
  static constexpr double kMaxPenalty = 4;

  struct Boots {
    double up = 0;
    double failed = 0;
    Micros at = 0;
  };

  static Boots Faded(Micros now, const Boots& boots) {
    const double half_lives = ToSeconds(now - boots.at) / ToSeconds(kHalfLife);
    const double factor = std::exp2(-half_lives);
    return {boots.up * factor, boots.failed * factor, now};
  }
  Boots* Count(Micros now, const OfferKey& offer) {
    Boots& boots = boots_[offer];
    boots = Faded(now, boots);
    return &boots;
  }

  std::map<OfferKey, Boots> boots_;  // as many as there are offers
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_OFFER_HEALTH_H_
