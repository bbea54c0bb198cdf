// The machine types that the cloud rents out.
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

// Asks the cloud for its machine types once a minute and stores one copy of them in the state
// service, for a start while the cloud is away. Empty until either of them was heard.
class MachineTypeCatalog {
 public:
  // Whether the state service may be written to now; if so, the write is taken from its budget.
  using TakeWrite = std::function<bool(Micros now)>;

  // `effects` and `cloud_calls` must outlive this.
  MachineTypeCatalog(Effects* effects, TokenBucket* cloud_calls, TakeWrite take_write);

  // Asks the cloud again when that is due and there is a call for it; called at every tick.
  void Refresh(Micros now);
  // The copy that the state service holds, as it was stored. Used until the cloud answers.
  void LoadStored(const std::string& value);

  bool empty() const { return types_.empty(); }
  // In the cloud's order.
  const std::vector<MachineType>& types() const { return types_; }
  // The type of that name, or null. Valid until the next input to the controller.
  const MachineType* Find(const std::string& name) const;

 private:
  void OnAnswer(Micros now, int status, const std::string& body);
  void Store(Micros now, const std::string& body);

  Effects* const effects_;
  TokenBucket* const cloud_calls_;
  const TakeWrite take_write_;
  std::vector<MachineType> types_;
  std::string stored_;  // what the state service holds, as far as we know
  bool in_flight_ = false;
  Micros next_refresh_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_MACHINE_TYPE_CATALOG_H_
