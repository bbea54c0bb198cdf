#include "core/fleet/offer_selector.h"

#include <algorithm>

namespace troutlink {

namespace {
constexpr int kMaxTasksCounted = 64;  // per instance; more make no difference to the choice
constexpr double kZoneBalance = 0.001;
}  // namespace

std::optional<Offer> OfferSelector::Cheapest(Micros now, const Want& want) const {
  std::optional<Offer> cheapest;
  double least = 0;
  for (const MachineType& type : types_->types()) {
    if (!TypeAllowed(want.spec, type.name, want.spot)) continue;
    const int tasks = TasksThatFit(want.spec, type.size);
    if (tasks <= 0) continue;
    for (const std::string& zone : type.zones) {
      const Offer offer{&type, zone, want.spot};
      if (backoff_->Paused(now, offer.key())) continue;
      CandidateMachine probe;
      probe.type = type.name;
      probe.zone = zone;
      probe.spot = want.spot;
      if (!Allowed(want.spec, want.spread, probe)) continue;
      double cost = (want.spot ? type.spot_price : type.price) / std::min(tasks, kMaxTasksCounted);
      cost *= health_->PriceFactor(now, offer.key());
      // At equal prices, distribute evenly over zones.
      auto have = want.instances_by_zone.find(zone);
      if (have != want.instances_by_zone.end()) cost *= 1.0 + kZoneBalance * have->second;
      if (!cheapest || cost < least) {
        cheapest = offer;
        least = cost;
      }
    }
  }
  return cheapest;
}

}  // namespace troutlink
