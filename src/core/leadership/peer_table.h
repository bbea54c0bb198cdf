// State of the other controllers, from their heartbeats.
#ifndef TROUTLINK_CORE_LEADERSHIP_PEER_TABLE_H_
#define TROUTLINK_CORE_LEADERSHIP_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/micros.h"
#include "mesh/codec.h"

namespace troutlink {

// Another controller, as of its last heartbeat.
struct Peer {
  std::string label;
  Micros last_heard = 0;          // time of its last heartbeat; 0: none yet
  uint64_t replica_revision = 0;  // revision up to which its replica is complete
  Micros state_age = 0;           // at `last_heard`: time since the key-value store answered it
  std::set<uint64_t> led_shards;  // that it claims to lead
  std::set<std::string> silent_machines;  // silent according to its last heartbeat
};

// The set of peers is fixed at the start. HeartbeatExchange updates the entries; all modules may
// read them.
class PeerTable {
 public:
  // Adds a peer; call before the first heartbeat.
  void Add(const std::string& label) { peers_[label].label = label; }

  // All peers, by label.
  const std::map<std::string, Peer>& peers() const { return peers_; }
  // The peer with that label, or null.
  const Peer* Find(const std::string& label) const;
  // The peer with that label, which must exist.
  const Peer& At(const std::string& label) const { return peers_.at(label); }
  // Whether any peer was heard less than `span` ago.
  bool AnyHeardWithin(Micros now, Micros span) const;

  // Records a heartbeat that arrived at `now`; the peer must exist. Its silent machines are set by
  // ExchangeSilentMachines, as some may not count.
  void NoteHeartbeat(Micros now, const std::string& label, const mesh::Heartbeat& heartbeat);
  // Sets the peer's silent machines and returns the previous ones.
  std::set<std::string> ExchangeSilentMachines(const std::string& label,
                                               std::set<std::string> machines);

 private:
  std::map<std::string, Peer> peers_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_PEER_TABLE_H_
