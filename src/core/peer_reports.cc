// Core's implementation of MachineStatusSource and PeerReportListener: machine status sent to and
// received from peers.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

std::vector<mesh::SilentMachine> Core::SilentMachines(Micros now, size_t limit) const {
  std::vector<mesh::SilentMachine> silent_machines;
  for (const Shard& shard : shards_) {
    if (!shard.leadership.is_leader) continue;
    for (const auto& [name, machine] : shard.replica.assignments.machines) {
      if (silent_machines.size() >= limit) return silent_machines;
      auto agent = machines_.find(name);
      if (agent == machines_.end() || agent->second.first_heartbeat_at == 0) continue;
      const Micros silent = SilentFor(now, agent->second);
      if (silent > settings_.heartbeat_period * 3 / 2) {
        silent_machines.push_back({name, static_cast<uint64_t>(silent)});
      }
    }
  }
  return silent_machines;
}

CachedImagesPage Core::CachedImagesFrom(const MachineCursor& from, size_t limit) const {
  CachedImagesPage page;
  for (size_t shard_id = from.shard_id; shard_id < shards_.size(); ++shard_id) {
    const auto& machines = shards_[shard_id].replica.assignments.machines;
    auto it = shard_id == from.shard_id ? machines.lower_bound(from.machine) : machines.begin();
    for (; it != machines.end() && shards_[shard_id].leadership.is_leader; ++it) {
      if (page.images.size() >= limit) {
        page.next = {shard_id, it->first};
        return page;
      }
      if (it->second.spot) continue;
      mesh::CachedImages cached{it->first, CachedServiceImages(it->first)};
      if (!cached.images.empty()) page.images.push_back(std::move(cached));
    }
  }
  return page;
}

std::vector<std::string> Core::CachedServiceImages(const std::string& machine) const {
  std::vector<std::string> images;
  auto agent = machines_.find(machine);
  if (agent == machines_.end()) return images;
  for (const auto& [image, used] : agent->second.images) {
    if (jobs_.IsServiceImage(image)) images.push_back(image);
  }
  return images;
}

// Tasks must stop even if the replica lags or this node is partitioned from the store.
void Core::OnCancellationReported(Micros now, const std::string& id) {
  const JobEntry* job = jobs_.Find(id);
  if (job != nullptr && job->record.state != JobState::kOpen) return;
  if (!cancellations_.AddReported(id)) return;
  ++counters_.reported_cancellations;
  LogCancellation(now, id, "peer");
  StopJob(now, id);
  // The shard's leader stores the cascaded cancellations.
  jobs_.CascadeCancellation(id);
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    if (ShardAt(shard_id).leadership.is_leader) MarkDirty(shard_id);
  }
}

bool Core::LedByAnother(const std::string& machine) const {
  const int shard_id = replica_.ShardOfMachine(machine);
  return shard_id >= 0 && !ShardAt(shard_id).leadership.is_leader;
}

// Kept for a failover of the machine's shard to this node.
void Core::OnCachedImagesReported(Micros now, const mesh::CachedImages& cached) {
  if (!LedByAnother(cached.machine)) return;
  AgentState& agent = machines_[cached.machine];
  agent.images.clear();
  for (const std::string& image : cached.images) agent.images[image] = now;
}

bool Core::OnMachineSilent(Micros now, const std::string& machine, Micros silent) {
  if (!LedByAnother(machine)) return false;
  machines_[machine].reported_silent_since = now - silent;
  return true;
}

void Core::OnMachineHeardAgain(const std::string& machine) {
  auto agent = machines_.find(machine);
  if (agent != machines_.end()) agent->second.reported_silent_since = 0;
}

}  // namespace troutlink
