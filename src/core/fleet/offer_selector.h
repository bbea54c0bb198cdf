// Which offer to rent for a job.
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

// Compares the offers of the catalog by price for each task, among those that are not backed off
// from. Changes nothing.
class OfferSelector {
 public:
  // All three must outlive this.
  OfferSelector(const MachineTypeCatalog* types, const OfferHealth* health,
                const OfferBackoff* backoff)
      : types_(types), health_(health), backoff_(backoff) {}

  // What to rent for one more task of a job.
  struct Want {
    const JobSpec& spec;
    const JobSpread& spread;  // where its tasks are
    bool spot = false;        // spot instances, or those at the full price
    const std::map<std::string, int>& instances_by_zone;
  };
  // The cheapest offer that fits; nothing when none does. Of equal ones the first in the
  // catalog's order.
  std::optional<Offer> Cheapest(Micros now, const Want& want) const;

 private:
  const MachineTypeCatalog* const types_;
  const OfferHealth* const health_;
  const OfferBackoff* const backoff_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_OFFER_SELECTOR_H_
