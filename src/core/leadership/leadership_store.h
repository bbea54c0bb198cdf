// Stored state that elections need.
#ifndef TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_STORE_H_
#define TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_STORE_H_

#include <cstdint>
#include <vector>

#include "base/micros.h"
#include "core/store/records.h"
#include "wire/types.h"

namespace troutlink {

// Gives LeaderElection access to the replica, and applies committed elections to it.
class LeadershipStore {
 public:
  virtual ~LeadershipStore() = default;

  // Whether the replica was read completely and is being followed.
  virtual bool Synced() const = 0;
  // Version of the shard's leadership record in the replica; 0: there is none.
  virtual uint64_t LeadershipVersion(int shard_id) const = 0;
  // That record, or the last one.
  virtual const Leadership& LeadershipRecord(int shard_id) const = 0;

  // Whether the table's storage form must change, which requires an election.
  virtual bool NeedsTableMigration(int shard_id) const = 0;
  // Adds the condition that the table is the one in the replica, and the writes that a new leader
  // requires.
  virtual void AddElectionRequirements(int shard_id, StateTxn* txn) const = 0;
  // Whether a commit of the shard's scheduler is in flight.
  virtual bool CommitInFlight(int shard_id) const = 0;
  // Whether many of the shard's machines are silent, which a new leader would have to detect again.
  virtual bool ManyMachinesSilent(int shard_id) const = 0;

  // Applies writes that were committed at `revision`.
  virtual void ApplyCommitted(Micros now, const std::vector<StateWrite>& writes,
                              uint64_t revision) = 0;
  // Reads the replica again, as it seems to lack a change.
  virtual void RequestList() = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_STORE_H_
