// Heartbeats between controllers.
#ifndef TROUTLINK_CORE_LEADERSHIP_HEARTBEAT_EXCHANGE_H_
#define TROUTLINK_CORE_LEADERSHIP_HEARTBEAT_EXCHANGE_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "core/io/effects.h"
#include "core/leadership/leader_election.h"
#include "core/leadership/machine_status_source.h"
#include "core/leadership/peer_report_listener.h"
#include "core/leadership/peer_table.h"
#include "core/store/cancellations.h"
#include "core/store/node_health.h"
#include "mesh/codec.h"

namespace troutlink {

// Sends a ping to every peer twice a second, answers the peers' pings, and passes the content of
// received heartbeats to the peer table, the election, the cancellation log and the listener.
class HeartbeatExchange {
 public:
  // Must outlive the exchange.
  struct Collaborators {
    Effects* effects;
    PeerTable* peers;
    LeaderElection* election;
    CancellationLog* cancellations;
    const NodeHealth* health;
    const MachineStatusSource* source;
    PeerReportListener* listener;
  };
  // Pings are numbered from `first_ping` + 1. The range must differ from that of earlier processes
  // of this node, whose late answers could otherwise be mistaken for answers to this one.
  HeartbeatExchange(uint64_t first_ping, Collaborators collaborators)
      : last_ping_(first_ping), collaborators_(collaborators) {}

  // Sends pings if they are due. Call at every tick.
  void Tick(Micros now);
  // Makes the next tick send pings, to pass on a cancellation before its user learns of it.
  void SendNextTick(Micros now) { next_pings_ = now; }

  // Answers a ping from the peer `from`, which must be in the peer table.
  void OnPing(Micros now, const std::string& from, const mesh::HeartbeatRequest& ping);
  // Handles a peer's answer to a ping.
  void OnPong(Micros now, const std::string& from, const mesh::HeartbeatReply& pong);

 private:
  std::vector<mesh::CachedImages> NextCachedImages(Micros now);
  // `replica_revision`: revision up to which the receiver's replica is complete.
  mesh::Heartbeat MakeHeartbeat(Micros now, uint64_t replica_revision) const;
  void OnHeartbeat(Micros now, const std::string& from, const mesh::Heartbeat& heartbeat);
  void OnSilentMachines(Micros now, const std::string& from,
                        const std::vector<mesh::SilentMachine>& reported);

  uint64_t last_ping_;
  Micros next_pings_ = 0;
  Micros next_cached_images_ = 0;
  MachineCursor cached_images_from_;  // start of the next page
  const Collaborators collaborators_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_HEARTBEAT_EXCHANGE_H_
