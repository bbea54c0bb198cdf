// What changes of the replica mean for the rest of a controller.
#ifndef TROUTLINK_CORE_STORE_REPLICA_OBSERVER_H_
#define TROUTLINK_CORE_STORE_REPLICA_OBSERVER_H_

#include <cstdint>
#include <string>

#include "base/micros.h"
#include "core/store/job_observer.h"
#include "core/store/records.h"
#include "core/store/table_observer.h"

namespace troutlink {

// Told by Replica and ReplicaSync, synchronously. An implementation may send calls and messages,
// but must not apply records to the replica from within a call.
class ReplicaObserver : public JobObserver, public TableObserver {
 public:
  // How the replica caught up with the state service.
  enum class Source { kList, kWatch };

  // A leadership record newer than the one before was read.
  virtual void OnLeadershipRecord(Micros now, int shard_id, const Leadership& leadership,
                                  uint64_t revision) = 0;
  // The shard's leadership record was deleted at `revision`: nobody leads it.
  virtual void OnLeadershipErased(Micros now, int shard_id, uint64_t revision) = 0;
  // The assignment table changed since the last batch of records; all of the batch is applied.
  virtual void OnTableChanged(Micros now, int shard_id) = 0;
  // The list of machine types was read, as stored.
  virtual void OnMachineTypes(const std::string& value) = 0;
  // Every change that was committed before `complete_up_to` is in the replica.
  virtual void OnCaughtUp(Source source, Micros complete_up_to) = 0;
  // A write of this module's own was sent to the state service.
  virtual void OnStateWriteSent() = 0;

 protected:
  ~ReplicaObserver() = default;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_REPLICA_OBSERVER_H_
