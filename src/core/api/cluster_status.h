// State of the controller and its connections, as the users' API needs it.
#ifndef TROUTLINK_CORE_API_CLUSTER_STATUS_H_
#define TROUTLINK_CORE_API_CLUSTER_STATUS_H_

#include <string>
#include <vector>

#include "base/micros.h"
#include "config/settings.h"
#include "wire/types.h"

namespace troutlink {

// Implemented by the controller. All times are on the steady clock.
class ClusterStatus {
 public:
  virtual ~ClusterStatus() = default;

  // Whether the replica was read completely.
  virtual bool ReplicaSynced() const = 0;
  // Age of the oldest change that the replica may lack.
  virtual Micros ReplicaAge(Micros now) const = 0;
  // Whether the key-value store answered recently.
  virtual bool StateFresh(Micros now) const = 0;
  // Records an answer of the key-value store.
  virtual void NoteStateAnswer(Micros now) = 0;
  // Limits of the key-value store in force.
  virtual const StateLimits& Limits() const = 0;
  // Whether all controllers support the newest storage forms; never reverts to false.
  virtual bool AllNodesCurrent() const = 0;
  // The peer with the most recent answer of the key-value store, or empty.
  virtual std::string MostRecentPeer(Micros now) const = 0;
  // Machine types that can be rented; empty: not known yet.
  virtual const std::vector<MachineType>& MachineTypes() const = 0;
  // Time of day.
  virtual Micros WallNow(Micros now) const = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_CLUSTER_STATUS_H_
