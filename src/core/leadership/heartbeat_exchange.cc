#include "core/leadership/heartbeat_exchange.h"

#include <algorithm>
#include <utility>

namespace troutlink {

namespace {
constexpr Micros kPingInterval = 500 * kMillisecond;
constexpr Micros kCachedImagesInterval = 2 * kSecond;
// Maximum entries per message. Together with the maximum of cancellations they stay below the frame
// limit of the peer transport.
constexpr size_t kMaxCachedImages = 1000;  // the next message continues with the following machines
constexpr size_t kMaxSilentMachines = 8000;  // a whole fleet may fall silent
constexpr uint64_t kMaxSilence = 3600 * kSecond;
}  // namespace

void HeartbeatExchange::Tick(Micros now) {
  if (now < next_pings_) return;
  next_pings_ = now + kPingInterval;
  const std::vector<mesh::CachedImages> cached_images = NextCachedImages(now);
  for (const auto& [label, peer] : collaborators_.peers->peers()) {
    mesh::HeartbeatRequest ping;
    static_cast<mesh::Heartbeat&>(ping) = MakeHeartbeat(now, peer.replica_revision);
    ping.cached_images = cached_images;
    ping.seq = ++last_ping_;
    collaborators_.cancellations->PingSent(label, ping.seq, now,
                                           collaborators_.source->ReplicaRevision());
    collaborators_.effects->SendToPeer({label, std::move(ping)});
  }
}

// Cached images are a long list that changes slowly. For a large fleet each message carries the
// next part; receivers keep what they have of the other machines.
std::vector<mesh::CachedImages> HeartbeatExchange::NextCachedImages(Micros now) {
  if (now < next_cached_images_) return {};
  next_cached_images_ = now + kCachedImagesInterval;
  CachedImagesPage page =
      collaborators_.source->CachedImagesFrom(cached_images_from_, kMaxCachedImages);
  cached_images_from_ = std::move(page.next);
  return std::move(page.images);
}

mesh::Heartbeat HeartbeatExchange::MakeHeartbeat(Micros now, uint64_t replica_revision) const {
  mesh::Heartbeat heartbeat;
  heartbeat.state_age_us = static_cast<uint64_t>(collaborators_.health->StateAge(now));
  heartbeat.replica_revision = collaborators_.source->ReplicaRevision();
  collaborators_.election->FillEpochs(&heartbeat);
  heartbeat.silent_machines = collaborators_.source->SilentMachines(now, kMaxSilentMachines);
  collaborators_.cancellations->FillHeartbeat(replica_revision, &heartbeat);
  collaborators_.election->FillWantedShards(now, &heartbeat);
  return heartbeat;
}

void HeartbeatExchange::OnPing(Micros now, const std::string& from,
                               const mesh::HeartbeatRequest& ping) {
  OnHeartbeat(now, from, ping);
  mesh::HeartbeatReply pong;
  static_cast<mesh::Heartbeat&>(pong) = MakeHeartbeat(now, ping.replica_revision);
  pong.seq = ping.seq;
  collaborators_.effects->SendToPeer({from, std::move(pong)});
}

void HeartbeatExchange::OnPong(Micros now, const std::string& from,
                               const mesh::HeartbeatReply& pong) {
  OnHeartbeat(now, from, pong);
  collaborators_.cancellations->PongReceived(from, pong);
}

void HeartbeatExchange::OnHeartbeat(Micros now, const std::string& from,
                                    const mesh::Heartbeat& heartbeat) {
  collaborators_.peers->NoteHeartbeat(now, from, heartbeat);
  collaborators_.election->OnEpochsReported(now, heartbeat.epochs);
  for (const std::string& job : heartbeat.cancelled_jobs) {
    collaborators_.listener->OnCancellationReported(now, job);
  }
  for (const mesh::CachedImages& cached : heartbeat.cached_images) {
    collaborators_.listener->OnCachedImagesReported(now, cached);
  }
  OnSilentMachines(now, from, heartbeat.silent_machines);
  collaborators_.election->OnShardsWanted(now, from, heartbeat.wanted_shards);
}

void HeartbeatExchange::OnSilentMachines(Micros now, const std::string& from,
                                         const std::vector<mesh::SilentMachine>& reported) {
  std::set<std::string> silent_machines;
  for (const mesh::SilentMachine& silent : reported) {
    const auto span = static_cast<Micros>(std::min(silent.silent_us, kMaxSilence));
    if (collaborators_.listener->OnMachineSilent(now, silent.machine, span)) {
      silent_machines.insert(silent.machine);
    }
  }
  // Machines that their leader hears again must not count as silent after a failover.
  for (const std::string& name :
       collaborators_.peers->ExchangeSilentMachines(from, silent_machines)) {
    if (silent_machines.count(name) == 0) collaborators_.listener->OnMachineHeardAgain(name);
  }
}

}  // namespace troutlink
