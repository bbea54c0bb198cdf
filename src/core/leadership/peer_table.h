// What this controller knows of the other controllers by their heartbeats.
#ifndef TROUTLINK_CORE_LEADERSHIP_PEER_TABLE_H_
#define TROUTLINK_CORE_LEADERSHIP_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/micros.h"
#include "mesh/codec.h"

namespace troutlink {

// Another controller, as its last heartbeat showed it.
struct Peer {
  std::string label;
  Micros last_heard = 0;                  // its last heartbeat; 0: none came
  uint64_t replica_revision = 0;          // its replica holds all up to this revision
  Micros state_age = 0;                   // at `last_heard`, since the state service answered it
  std::set<uint64_t> led_shards;          // that it says are its own
  std::set<std::string> silent_machines;  // that it missed in its last heartbeat
};

// The table of peers. The set of peers is fixed at the start; HeartbeatExchange updates the
// entries, every module may read them.
class PeerTable {
 public:
  // Every controller but this one is added before the first heartbeat.
  void Add(const std::string& label) { peers_[label].label = label; }

  // All peers, by label.
  const std::map<std::string, Peer>& peers() const { return peers_; }
  // The peer of that label; null if there is none.
  const Peer* Find(const std::string& label) const;
  // The peer of that label, which must have been added.
  const Peer& At(const std::string& label) const { return peers_.at(label); }
  // Whether any peer was heard less than `span` ago.
  bool AnyHeardWithin(Micros now, Micros span) const;

  // A heartbeat of the peer, which must have been added, came at `now`. Its silent machines are
  // set apart, as some of them may not count.
  void NoteHeartbeat(Micros now, const std::string& label, const mesh::Heartbeat& heartbeat);
  // Sets the machines that the peer misses now and returns those that it missed before.
  std::set<std::string> ExchangeSilentMachines(const std::string& label,
                                               std::set<std::string> machines);

 private:
  std::map<std::string, Peer> peers_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_PEER_TABLE_H_
