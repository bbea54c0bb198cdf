// The stored state of shards as elections need it.
#ifndef TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_STORE_H_
#define TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_STORE_H_

#include <cstdint>
#include <vector>

#include "base/micros.h"
#include "core/store/records.h"
#include "wire/types.h"

namespace troutlink {

// Gives LeaderElection the replica's view of shards and takes what an election has written.
class LeadershipStore {
 public:
  virtual ~LeadershipStore() = default;

  // Whether the replica was read whole and is followed.
  virtual bool Synced() const = 0;
  // Version of the shard's leadership record in the replica; 0: nobody holds it.
  virtual uint64_t LeadershipVersion(int shard_id) const = 0;
  // That record, or the last one that there was.
  virtual const Leadership& LeadershipRecord(int shard_id) const = 0;

  // Whether the shard's table has to change its form, which takes an election.
  virtual bool NeedsTableMigration(int shard_id) const = 0;
  // Adds the conditions that the shard's table is the one that the replica holds, and the writes
  // without which a leader could not begin.
  virtual void AddElectionTerms(int shard_id, StateTxn* txn) const = 0;
  // Whether a commit of the shard's scheduler is in flight.
  virtual bool CommitInFlight(int shard_id) const = 0;
  // Whether so many of the shard's machines are silent that a new leader would have to find out
  // about all of them again.
  virtual bool ManyMachinesSilent(int shard_id) const = 0;

  // The writes were committed at `revision`.
  virtual void ApplyCommitted(Micros now, const std::vector<StateWrite>& writes,
                              uint64_t revision) = 0;
  // Something shows that the replica lacks a change: it is read again.
  virtual void RequestList() = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_LEADERSHIP_STORE_H_
