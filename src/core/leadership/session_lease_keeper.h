// Grants and renewals of the session lease.
#ifndef TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_KEEPER_H_
#define TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_KEEPER_H_

#include <cstdint>

#include "base/micros.h"
#include "core/io/effects.h"
#include "core/leadership/session_lease.h"
#include "core/leadership/session_lease_observer.h"
#include "core/store/node_health.h"

namespace troutlink {

// Keeps this process in possession of a session lease: sends the calls that SessionLease finds
// due and passes it their answers.
class SessionLeaseKeeper {
 public:
  // `life`: how long the lease lasts without a renewal. The others must outlive this.
  SessionLeaseKeeper(Micros life, Effects* effects, NodeHealth* health,
                     SessionLeaseObserver* observer)
      : lease_(life), effects_(effects), health_(health), observer_(observer) {}

  // Sends the grant or renewal that is due; called at every tick.
  void Tick(Micros now);

  // The lease's id at the state service; 0: none is held.
  uint64_t id() const { return lease_.id(); }
  bool held() const { return lease_.held(); }
  // How long the lease lasts without a renewal.
  Micros life() const { return lease_.life(); }
  // A transaction under the lease was refused as there is no such lease: a new one is asked for.
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
