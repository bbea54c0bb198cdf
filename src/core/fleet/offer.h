// Offers of the cloud: instances of a machine type, in a zone, spot or on demand.
#ifndef TROUTLINK_CORE_FLEET_OFFER_H_
#define TROUTLINK_CORE_FLEET_OFFER_H_

#include <compare>
#include <string>

#include "wire/types.h"

namespace troutlink {

// Identifies an offer.
struct OfferKey {
  std::string type;
  std::string zone;
  bool spot = false;

  auto operator<=>(const OfferKey&) const = default;  // NOLINT(modernize-use-nullptr): see Attempt
  // "type/zone/spot" or "type/zone/steady".
  std::string Text() const { return type + "/" + zone + (spot ? "/spot" : "/steady"); }
};

// A selected offer.
struct Offer {
  const MachineType* type = nullptr;  // in the catalog; valid until the next input
  std::string zone;
  bool spot = false;

  OfferKey key() const { return {type->name, zone, spot}; }
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_OFFER_H_
