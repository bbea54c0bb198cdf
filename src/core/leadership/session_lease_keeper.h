// Requests and renews the session lease.
#ifndef TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_KEEPER_H_
#define TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_KEEPER_H_

#include <cstdint>

#include "base/micros.h"
#include "core/io/effects.h"
#include "core/leadership/session_lease.h"
#include "core/leadership/session_lease_observer.h"
#include "core/store/node_health.h"

namespace troutlink {

// Sends the calls that SessionLease finds due and reports their answers to it.
class SessionLeaseKeeper {
 public:
  // `life`: duration of the lease after a grant or renewal. The pointers must outlive this object.
  SessionLeaseKeeper(Micros ttl, Effects* effects, NodeHealth* health,
                     SessionLeaseObserver* observer)
      : lease_(ttl), effects_(effects), health_(health), observer_(observer) {}

  // Sends a due grant or renewal. Call at every tick.
  void Tick(Micros now);

  // Id of the lease at the key-value store; 0: none is held.
  uint64_t id() const { return lease_.id(); }
  bool held() const { return lease_.held(); }
  // Duration of the lease after a grant or renewal.
  Micros ttl() const { return lease_.ttl(); }
  // Drops a lease that the store does not know any more, so that a new one is requested.
  void Drop() { lease_.Drop(); }

 private:
  void SendGrant();
  void SendRenewal();

  SessionLease lease_;
  Effects* const effects_;
  NodeHealth* const health_;
  SessionLeaseObserver* const observer_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_KEEPER_H_
