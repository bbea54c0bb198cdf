// Observer of the session lease.
#ifndef TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_OBSERVER_H_
#define TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_OBSERVER_H_

#include "base/micros.h"

namespace troutlink {

// Called by SessionLeaseKeeper.
class SessionLeaseObserver {
 public:
  virtual ~SessionLeaseObserver() = default;
  // The lease no longer exists at the key-value store, nor any leadership record under it.
  virtual void OnSessionLeaseEnded(Micros now) = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_OBSERVER_H_
