// Tracks which offers recently failed to boot, so that others are preferred meanwhile.
#ifndef TROUTLINK_CORE_FLEET_OFFER_HEALTH_H_
#define TROUTLINK_CORE_FLEET_OFFER_HEALTH_H_

#include <cmath>
#include <map>

#include "base/micros.h"
#include "core/fleet/offer.h"

namespace troutlink {

// Counts boots by offer, with exponential decay, so that a failed offer is tried again later.
class OfferHealth {
 public:
  // A machine of that offer sent its first heartbeat.
  void CameUp(Micros now, const OfferKey& offer) { DecayedCounts(now, offer)->up += 1; }
  // A machine of that offer was declared lost before its first heartbeat.
  void NeverCameUp(Micros now, const OfferKey& offer) { DecayedCounts(now, offer)->failed += 1; }

  // Factor by which the price is multiplied to compare offers: 1 without failures, higher with
  // their share. A single failure does not count.
  double PriceFactor(Micros now, const OfferKey& offer) const {
    auto found = boots_.find(offer);
    if (found == boots_.end()) return 1;
    const Boots boots = Decayed(now, found->second);
    if (boots.failed < kMinFailures) return 1;
    return 1 + kMaxPenalty * boots.failed / (boots.failed + boots.up);
  }

 private:
  static constexpr Micros kHalfLife = 120 * kSecond;
  // Just below the decayed count of two recent failures.
  static constexpr double kMinFailures = 1.5;
  static constexpr double kMaxPenalty = 4;

  struct Boots {
    double up = 0;
    double failed = 0;
    Micros at = 0;
  };

  static Boots Decayed(Micros now, const Boots& boots) {
    const double half_lives = ToSeconds(now - boots.at) / ToSeconds(kHalfLife);
    const double factor = std::exp2(-half_lives);
    return {boots.up * factor, boots.failed * factor, now};
  }
  Boots* DecayedCounts(Micros now, const OfferKey& offer) {
    Boots& boots = boots_[offer];
    boots = Decayed(now, boots);
    return &boots;
  }

  std::map<OfferKey, Boots> boots_;  // bounded by the number of offers
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_OFFER_HEALTH_H_
