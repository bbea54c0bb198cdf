// Machine types offered by the cloud.
#ifndef TROUTLINK_CORE_FLEET_MACHINE_TYPE_CATALOG_H_
#define TROUTLINK_CORE_FLEET_MACHINE_TYPE_CATALOG_H_

#include <functional>
#include <string>
#include <vector>

#include "base/micros.h"
#include "core/io/effects.h"
#include "core/io/token_bucket.h"
#include "wire/types.h"

namespace troutlink {

// Refreshes the types from the cloud every minute, and stores a copy in the key-value store for
// starts during an outage of the cloud. Empty until either source has answered.
class MachineTypeCatalog {
 public:
  // Takes a write from the write budget; returns false if there is none.
  using TakeWrite = std::function<bool(Micros now)>;

  // `effects` and `cloud_calls` must outlive this object.
  MachineTypeCatalog(Effects* effects, TokenBucket* cloud_calls, TakeWrite take_write);

  // Requests the types if due and within the call budget. Call at every tick.
  void Refresh(Micros now);
  // Loads the stored copy, which is used until the cloud answers.
  void LoadStored(const std::string& value);

  bool empty() const { return types_.empty(); }
  // In the cloud's order.
  const std::vector<MachineType>& types() const { return types_; }
  // The type with that name, or null. Valid until the next input to the controller.
  const MachineType* Find(const std::string& name) const;

 private:
  void OnAnswer(Micros now, int status, const std::string& body);
  void Store(Micros now, const std::string& body);

  Effects* const effects_;
  TokenBucket* const cloud_calls_;
  const TakeWrite take_write_;
  std::vector<MachineType> types_;
  std::string stored_;  // stored copy, as far as known
  bool in_flight_ = false;
  Micros next_refresh_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_MACHINE_TYPE_CATALOG_H_
