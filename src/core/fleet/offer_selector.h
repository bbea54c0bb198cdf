// Selects the offer to rent for a job.
#ifndef TROUTLINK_CORE_FLEET_OFFER_SELECTOR_H_
#define TROUTLINK_CORE_FLEET_OFFER_SELECTOR_H_

#include <map>
#include <optional>
#include <string>

#include "base/micros.h"
#include "core/fleet/machine_type_catalog.h"
#include "core/fleet/offer.h"
#include "core/fleet/offer_backoff.h"
#include "core/fleet/offer_health.h"
#include "core/scheduler/placement.h"

namespace troutlink {

// Compares the catalog's offers without backoff by price per task. Has no state.
class OfferSelector {
 public:
  // All pointers must outlive this object.
  OfferSelector(const MachineTypeCatalog* types, const OfferHealth* health,
                const OfferBackoff* backoff)
      : types_(types), health_(health), backoff_(backoff) {}

  // Requirements of one more task of a job.
  struct Requirements {
    const JobSpec& spec;
    const JobSpread& spread;  // of its tasks so far
    bool spot = false;        // spot or on-demand instances
    const std::map<std::string, int>& instances_by_zone;
  };
  // The cheapest suitable offer, if any. Ties are broken by the catalog's order.
  std::optional<Offer> Cheapest(Micros now, const Requirements& required) const;

 private:
  const MachineTypeCatalog* const types_;
  const OfferHealth* const health_;
  const OfferBackoff* const backoff_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_OFFER_SELECTOR_H_
