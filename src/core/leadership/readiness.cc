#include "core/leadership/readiness.h"

namespace troutlink {

namespace {
constexpr Micros kPeerReachableWindow = 1500 * kMillisecond;
}  // namespace

bool IsReady(Micros now, bool replica_synced, const NodeHealth& health, const PeerTable& peers) {
  if (!replica_synced) return false;
  if (health.StateFresh(now)) return true;
  // Without the key-value store a peer can still decide for this node; if no node reaches it, no
  // other node is a better choice. Only an isolated node is not ready.
  return peers.AnyHeardWithin(now, kPeerReachableWindow) || peers.peers().empty();
}

}  // namespace troutlink
