#include "core/fleet/offer_selector.h"

#include <algorithm>

namespace troutlink {

namespace {
constexpr int kMaxTasksCounted = 64;  // per instance; more make no difference to the choice
constexpr double kZoneBalance = 0.001;
}  // namespace

std::optional<Offer> OfferSelector::Cheapest(Micros now, const Requirements& required) const {
  std::optional<Offer> cheapest;
  double lowest_cost = 0;
  for (const MachineType& type : types_->types()) {
    if (!TypeAllowed(required.spec, type.name, required.spot)) continue;
    const int tasks = TasksThatFit(required.spec, type.size);
    if (tasks <= 0) continue;
    for (const std::string& zone : type.zones) {
      const Offer offer{&type, zone, required.spot};
      if (backoff_->Paused(now, offer.key())) continue;
      CandidateMachine candidate;
      candidate.type = type.name;
      candidate.zone = zone;
      candidate.spot = required.spot;
      if (!Allowed(required.spec, required.spread, candidate)) continue;
      double cost =
          (required.spot ? type.spot_price : type.price) / std::min(tasks, kMaxTasksCounted);
      cost *= health_->PriceFactor(now, offer.key());
      // At equal prices, distribute evenly over zones.
      auto have = required.instances_by_zone.find(zone);
      if (have != required.instances_by_zone.end()) cost *= 1.0 + kZoneBalance * have->second;
      if (!cheapest || cost < lowest_cost) {
        cheapest = offer;
        lowest_cost = cost;
      }
    }
  }
  return cheapest;
}

}  // namespace troutlink
