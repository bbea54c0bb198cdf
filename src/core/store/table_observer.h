// Observer of assignment table changes in the replica.
#ifndef TROUTLINK_CORE_STORE_TABLE_OBSERVER_H_
#define TROUTLINK_CORE_STORE_TABLE_OBSERVER_H_

#include <string>

#include "base/micros.h"
#include "core/store/records.h"

namespace troutlink {

// Called synchronously by TableReplica for each machine of an applied chunk.
class TableObserver {
 public:
  // The shard's table contains the machine, as given.
  virtual void OnMachineAssigned(Micros now, int shard_id, const AssignedMachine& machine) = 0;
  // The machine was removed and no other table is known to contain it.
  virtual void OnMachineUnassigned(Micros now, const std::string& machine) = 0;

 protected:
  ~TableObserver() = default;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_TABLE_OBSERVER_H_
