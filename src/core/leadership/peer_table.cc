#include "core/leadership/peer_table.h"

#include <algorithm>
#include <utility>

namespace troutlink {

namespace {
// Limit for ages reported by peers, so that sums of times do not overflow.
constexpr uint64_t kMaxStateAge = uint64_t{1} << 60;
}  // namespace

const Peer* PeerTable::Find(const std::string& label) const {
  auto peer = peers_.find(label);
  return peer == peers_.end() ? nullptr : &peer->second;
}

bool PeerTable::AnyHeardWithin(Micros now, Micros span) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const Peer& peer = item.second;
    return peer.last_heard != 0 && now - peer.last_heard < span;
  });
}

void PeerTable::NoteHeartbeat(Micros now, const std::string& label,
                              const mesh::Heartbeat& heartbeat) {
  Peer& peer = peers_.at(label);
  peer.last_heard = now;
  peer.replica_revision = heartbeat.replica_revision;
  peer.state_age = static_cast<Micros>(std::min(heartbeat.state_age_us, kMaxStateAge));
  peer.led_shards.clear();
  for (const mesh::ShardEpoch& epoch : heartbeat.epochs) {
    if (epoch.leader == label) peer.led_shards.insert(epoch.shard_id);
  }
}

std::set<std::string> PeerTable::ExchangeSilentMachines(const std::string& label,
                                                        std::set<std::string> machines) {
  return std::exchange(peers_.at(label).silent_machines, std::move(machines));
}

}  // namespace troutlink
