// Observer of replica changes.
#ifndef TROUTLINK_CORE_STORE_REPLICA_OBSERVER_H_
#define TROUTLINK_CORE_STORE_REPLICA_OBSERVER_H_

#include <cstdint>
#include <string>

#include "base/micros.h"
#include "core/store/job_observer.h"
#include "core/store/records.h"
#include "core/store/table_observer.h"

namespace troutlink {

// Called synchronously by Replica and ReplicaSync. Implementations may send calls and messages but
// must not apply records to the replica.
class ReplicaObserver : public JobObserver, public TableObserver {
 public:
  // How the replica caught up with the key-value store.
  enum class Source { kList, kWatch };

  // A newer leadership record was read.
  virtual void OnLeadershipRecord(Micros now, int shard_id, const Leadership& leadership,
                                  uint64_t revision) = 0;
  // The leadership record was deleted at `revision`: nobody leads the shard.
  virtual void OnLeadershipErased(Micros now, int shard_id, uint64_t revision) = 0;
  // The assignment table changed in the last batch, which is applied completely.
  virtual void OnTableChanged(Micros now, int shard_id) = 0;
  // The stored machine types were read.
  virtual void OnMachineTypes(const std::string& value) = 0;
  // The replica contains every change committed before `complete_up_to`.
  virtual void OnCaughtUp(Source source, Micros complete_up_to) = 0;
  // This module sent a write to the key-value store.
  virtual void OnStateWriteSent() = 0;

 protected:
  ~ReplicaObserver() = default;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_REPLICA_OBSERVER_H_
