// What the users' API needs to know of the controller and of its connections.
#ifndef TROUTLINK_CORE_API_CLUSTER_STATUS_H_
#define TROUTLINK_CORE_API_CLUSTER_STATUS_H_

#include <string>
#include <vector>

#include "base/micros.h"
#include "config/settings.h"
#include "wire/types.h"

namespace troutlink {

// The controller implements it. Ages and times are on the clock of `now`.
class ClusterStatus {
 public:
  virtual ~ClusterStatus() = default;

  // Whether the replica has been read whole.
  virtual bool ReplicaSynced() const = 0;
  // How long ago a change may have been made that the replica lacks.
  virtual Micros ReplicaAge(Micros now) const = 0;
  // Whether the state service answered lately.
  virtual bool StateFresh(Micros now) const = 0;
  // The state service answered a call at `now`.
  virtual void NoteStateAnswer(Micros now) = 0;
  // What the state service accepts at present.
  virtual const StateLimits& Limits() const = 0;
  // Whether every controller reads and writes the newest stored forms. Once true, for good.
  virtual bool AllNodesCurrent() const = 0;
  // The peer that heard from the state service last; empty: none did lately.
  virtual std::string FreshPeer(Micros now) const = 0;
  // Types of the machines that can be rented; empty: not known yet.
  virtual const std::vector<MachineType>& MachineTypes() const = 0;
  // Time of day.
  virtual Micros WallNow(Micros now) const = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_CLUSTER_STATUS_H_
