// Whether this controller is ready to serve users, as its probe answers.
#ifndef TROUTLINK_CORE_LEADERSHIP_READINESS_H_
#define TROUTLINK_CORE_LEADERSHIP_READINESS_H_

#include "base/micros.h"
#include "core/leadership/peer_table.h"
#include "core/store/node_health.h"

namespace troutlink {

// `replica_synced`: whether the replica was read whole. The machine types follow within moments;
// waiting for them would cost a whole round of the balancer's probes.
bool IsReady(Micros now, bool replica_synced, const NodeHealth& health, const PeerTable& peers);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_READINESS_H_
