// Heartbeats: what controllers tell each other every half second, and what they learn by it.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kHeartbeatPeriod = 500 * kMilli;
constexpr Micros kCachedImagesPeriod = 2 * kSecond;
// Machines in one message. With names as the cloud gives them, all of these and the most cancels
// that are told take three quarters of a frame.
constexpr size_t kMaxCachedImages = 1000;    // the next ones follow in the next message
constexpr size_t kMaxSilentMachines = 8000;  // a whole fleet may fall silent
}  // namespace

void Core::Heartbeat(Micros now) {
  next_heartbeat_ = now + kHeartbeatPeriod;
  // What machines hold is long and changes slowly.
  std::vector<mesh::CachedImages> cached_images;
  if (now >= next_cached_images_) {
    next_cached_images_ = now + kCachedImagesPeriod;
    cached_images = NextCachedImages();
  }
  for (auto& [label, peer] : peers_) {
    mesh::Ping ping;
    static_cast<mesh::Heartbeat&>(ping) = MakeHeartbeat(now, peer.seen);
    ping.cached_images = cached_images;
    ping.seq = ++ping_seq_;
    cancellations_.PingSent(label, ping.seq, now, sync_.feed().revision());
    effects_.SendToPeer({label, std::move(ping)});
  }
}

mesh::Heartbeat Core::MakeHeartbeat(Micros now, uint64_t seen) const {
  mesh::Heartbeat heartbeat;
  heartbeat.state_age_us = static_cast<uint64_t>(
      sync_.last_answer() == 0 ? now - started_ + 3600 * kSecond : now - sync_.last_answer());
  heartbeat.seen = sync_.feed().revision();
  TellEpochs(&heartbeat);
  TellSilentMachines(now, &heartbeat);
  cancellations_.FillHeartbeat(seen, &heartbeat);
  if (WantsOwnShard(now)) heartbeat.wanted.push_back(static_cast<uint64_t>(settings_.own_shard));
  return heartbeat;
}

void Core::TellEpochs(mesh::Heartbeat* heartbeat) const {
  for (size_t shard_id = 0; shard_id < shards_.size(); ++shard_id) {
    const Shard& shard = shards_[shard_id];
    if (shard.leadership.is_leader) {
      heartbeat->epochs.push_back({shard_id, shard.leadership.epoch, settings_.label});
    } else if (shard.leadership.rival_epoch > shard.leadership.epoch) {
      heartbeat->epochs.push_back(
          {shard_id, shard.leadership.rival_epoch, shard.leadership.rival_leader});
    }
  }
}

void Core::TellSilentMachines(Micros now, mesh::Heartbeat* heartbeat) const {
  for (const Shard& shard : shards_) {
    if (!shard.leadership.is_leader) continue;
    for (const auto& [name, machine] : shard.replica.assignments.machines) {
      if (heartbeat->silent_machines.size() >= kMaxSilentMachines) return;
      auto info = machines_.find(name);
      if (info == machines_.end() || info->second.first_heard == 0) continue;
      const Micros silent = now - std::max(info->second.heard, info->second.since);
      if (silent > settings_.report * 3 / 2) {
        heartbeat->silent_machines.push_back({name, static_cast<uint64_t>(silent)});
      }
    }
  }
}

// Of a large fleet a part at a time, in turn: receivers keep what they heard of each machine.
std::vector<mesh::CachedImages> Core::NextCachedImages() {
  std::vector<mesh::CachedImages> told;
  for (size_t shard_id = cached_images_from_.first; shard_id < shards_.size(); ++shard_id) {
    const auto& machines = shards_[shard_id].replica.assignments.machines;
    auto it = shard_id == cached_images_from_.first
                  ? machines.lower_bound(cached_images_from_.second)
                  : machines.begin();
    for (; it != machines.end() && shards_[shard_id].leadership.is_leader; ++it) {
      if (told.size() >= kMaxCachedImages) {
        cached_images_from_ = {shard_id, it->first};
        return told;
      }
      if (it->second.spot) continue;
      mesh::CachedImages cached{it->first, CachedServiceImages(it->first)};
      if (!cached.images.empty()) told.push_back(std::move(cached));
    }
  }
  cached_images_from_ = {};
  return told;
}

std::vector<std::string> Core::CachedServiceImages(const std::string& machine) const {
  std::vector<std::string> images;
  auto info = machines_.find(machine);
  if (info == machines_.end()) return images;
  for (const auto& [image, used] : info->second.images) {
    if (jobs_.IsServiceImage(image)) images.push_back(image);
  }
  return images;
}

bool Core::WantsOwnShard(Micros now) const {
  const Shard& own = ShardAt(settings_.own_shard);
  return sync_.feed().synced() && !own.leadership.is_leader &&
         own.replica.leadership_version != 0 && sync_.Fresh(now) && !StoodStill(now) &&
         now - std::max(started_, unwell_at_) > FromSeconds(settings_.op.hand_back_after_s());
}

void Core::HandlePing(Micros now, const std::string& from, const mesh::Ping& ping) {
  HandleHeartbeat(now, from, ping);
  mesh::Pong pong;
  static_cast<mesh::Heartbeat&>(pong) = MakeHeartbeat(now, ping.seen);
  pong.seq = ping.seq;
  effects_.SendToPeer({from, std::move(pong)});
}

void Core::HandleHeartbeat(Micros now, const std::string& from, const mesh::Heartbeat& heartbeat) {
  Peer& peer = peers_[from];
  peer.heard = now;
  peer.seen = heartbeat.seen;
  peer.state_age = static_cast<Micros>(
      std::min<uint64_t>(heartbeat.state_age_us, static_cast<uint64_t>(1) << 60));
  LearnEpochs(now, from, heartbeat);
  for (const std::string& id : heartbeat.cancels) LearnCancellation(now, id);
  LearnCachedImages(now, heartbeat);
  LearnSilentMachines(now, from, heartbeat);
  for (uint64_t wanted : heartbeat.wanted) {
    if (wanted < shards_.size() && settings_.labels[wanted] == from)
      HandBack(now, static_cast<int>(wanted));
  }
}

void Core::LearnEpochs(Micros now, const std::string& from, const mesh::Heartbeat& heartbeat) {
  Peer& peer = peers_[from];
  peer.holds.clear();
  for (const mesh::ShardEpoch& told : heartbeat.epochs) {
    if (told.leader == from) peer.holds.insert(told.shard_id);
    if (told.shard_id >= shards_.size() || told.leader == settings_.label) continue;
    Shard& shard = shards_[told.shard_id];
    if (told.revision <= shard.leadership.rival_epoch) continue;
    shard.leadership.rival_epoch = told.revision;
    shard.leadership.rival_leader = told.leader;
    if (shard.leadership.is_leader && told.revision > shard.leadership.epoch) {
      LoseLeadership(now, static_cast<int>(told.shard_id), "a peer reports another leader");
    }
  }
}

// Our replica may lag, or we may be cut off from the state service: the tasks must end
// all the same.
void Core::LearnCancellation(Micros now, const std::string& id) {
  const JobEntry* job = jobs_.Find(id);
  if (job != nullptr && job->record.state != JobState::kOpen) return;
  if (!cancellations_.AddReported(id)) return;
  ++counters_.told_cancellations;
  LogCancellation(now, id, "peer");
  StopJob(now, id);
  // A leader whose replica lags stores that what depends on it is cancelled too.
  jobs_.CascadeCancellation(id);
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    if (ShardAt(shard_id).leadership.is_leader) MarkDirty(shard_id);
  }
}

bool Core::LedByAnother(const std::string& machine) const {
  const int shard_id = replica_.ShardOfMachine(machine);
  return shard_id >= 0 && !ShardAt(shard_id).leadership.is_leader;
}

// Kept with the machine: who takes it over knows what it has.
void Core::LearnCachedImages(Micros now, const mesh::Heartbeat& heartbeat) {
  for (const mesh::CachedImages& cached : heartbeat.cached_images) {
    if (!LedByAnother(cached.machine)) continue;
    MachineInfo& info = machines_[cached.machine];
    info.images.clear();
    for (const std::string& image : cached.images) info.images[image] = now;
  }
}

void Core::LearnSilentMachines(Micros now, const std::string& from,
                               const mesh::Heartbeat& heartbeat) {
  std::set<std::string> silent_machines;
  for (const mesh::SilentMachine& silent : heartbeat.silent_machines) {
    if (!LedByAnother(silent.machine)) continue;
    machines_[silent.machine].reported_silent_since =
        now - static_cast<Micros>(std::min<uint64_t>(silent.silent_us, 3600 * kSecond));
    silent_machines.insert(silent.machine);
  }
  // Heard again by its leader: whoever takes the shard over must not think that it was
  // silent all the time since.
  Peer& peer = peers_[from];
  for (const std::string& name : peer.silent_machines) {
    auto info = silent_machines.count(name) == 0 ? machines_.find(name) : machines_.end();
    if (info != machines_.end()) info->second.reported_silent_since = 0;
  }
  peer.silent_machines = std::move(silent_machines);
}

}  // namespace troutlink
