// What changes of assignment tables in the replica mean for the rest of a controller.
#ifndef TROUTLINK_CORE_STORE_TABLE_OBSERVER_H_
#define TROUTLINK_CORE_STORE_TABLE_OBSERVER_H_

#include <string>

#include "base/micros.h"
#include "core/store/records.h"

namespace troutlink {

// Told by TableReplica, synchronously, for each machine of a chunk that was read.
class TableObserver {
 public:
  // The machine is in the table of that shard, as given.
  virtual void OnMachineAssigned(Micros now, int shard_id, const AssignedMachine& machine) = 0;
  // The machine left the table, and no other table is known to have it.
  virtual void OnMachineUnassigned(Micros now, const std::string& machine) = 0;

 protected:
  ~TableObserver() = default;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_TABLE_OBSERVER_H_
