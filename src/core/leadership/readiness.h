// Readiness of this controller, for the load balancer's probe.
#ifndef TROUTLINK_CORE_LEADERSHIP_READINESS_H_
#define TROUTLINK_CORE_LEADERSHIP_READINESS_H_

#include "base/micros.h"
#include "core/leadership/peer_table.h"
#include "core/store/node_health.h"

namespace troutlink {

// `replica_synced`: whether the replica was read completely. Machine types are not required: they
// follow quickly, and waiting for them would delay readiness by a probe interval.
bool IsReady(Micros now, bool replica_synced, const NodeHealth& health, const PeerTable& peers);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_READINESS_H_
