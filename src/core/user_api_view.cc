#include "core/user_api_view.h"

namespace troutlink {

namespace {
// Longer silence of a peer disqualifies it as a shard's leader, or as a target of forwarding.
constexpr Micros kLeaderAlive = 1500 * kMillisecond;
constexpr Micros kPeerFresh = kSecond;
}  // namespace

const JobEntry* Core::UserApiView::FindJob(const std::string& id) const {
  return core_.jobs_.Find(id);
}

KnownJobState Core::UserApiView::StateOf(const std::string& id) const {
  return core_.jobs_.StateOf(id);
}

bool Core::UserApiView::HasCancelledDependency(const JobSpec& spec) const {
  return core_.jobs_.HasCancelledDependency(spec);
}

bool Core::UserApiView::IsShard(int shard_id) const {
  return shard_id >= 0 && shard_id < core_.settings_.shard_count();
}

TaskCounts Core::UserApiView::TaskCountsOf(const std::string& id, const JobRecord& record) const {
  TaskCounts counts;
  auto execution = core_.executions_.find(id);
  if (execution != core_.executions_.end()) {
    counts.done = execution->second.done;
    counts.running = execution->second.placed;
  } else if (IsShard(record.shard_id)) {
    const Shard& shard = core_.ShardAt(record.shard_id);
    auto progress = shard.replica.progress.find(id);
    if (progress != shard.replica.progress.end()) {
      counts.done = static_cast<int64_t>(progress->second.size());
    }
    auto placed = shard.usage.total.jobs.find(id);
    if (placed != shard.usage.total.jobs.end()) counts.running = placed->second;
  }
  return counts;
}

void Core::UserApiView::ApplyPut(Micros now, const std::string& key, const std::string& value,
                                 uint64_t version) {
  core_.replica_.ApplyPut(now, key, value, version);
}

bool Core::UserApiView::ReplicaSynced() const { return core_.sync_.feed().synced(); }

Micros Core::UserApiView::ReplicaAge(Micros now) const {
  return now - core_.sync_.feed().complete_up_to();
}

bool Core::UserApiView::StateFresh(Micros now) const { return core_.node_health_.StateFresh(now); }

void Core::UserApiView::NoteStateAnswer(Micros now) { core_.node_health_.NoteStateAnswer(now); }

const StateLimits& Core::UserApiView::Limits() const { return core_.cluster_version_.limits(); }

bool Core::UserApiView::AllNodesCurrent() const { return core_.cluster_version_.all_current(); }

std::string Core::UserApiView::MostRecentPeer(Micros now) const {
  const Peer* best = nullptr;
  for (const auto& [label, peer] : core_.peers_.peers()) {
    if (peer.last_heard == 0 || now - peer.last_heard > kPeerFresh || peer.state_age > kPeerFresh) {
      continue;
    }
    if (best == nullptr || peer.state_age < best->state_age) best = &peer;
  }
  return best == nullptr ? "" : best->label;
}

const std::vector<MachineType>& Core::UserApiView::MachineTypes() const {
  return core_.machine_types_.types();
}

Micros Core::UserApiView::WallNow(Micros now) const { return core_.WallNow(now); }

void Core::UserApiView::LearnCancellation(Micros now, const std::string& job_id) {
  core_.OnCancellationReported(now, job_id);
}

void Core::UserApiView::RequestHeartbeat(Micros now) { core_.heartbeats_.SendNextTick(now); }

int Core::UserApiView::ShardCount() const { return core_.settings_.shard_count(); }

Micros Core::UserApiView::LastTick() const { return core_.node_health_.last_tick(); }

void Core::UserApiView::VisitMachines(int shard_id, const MachineVisitor& visit) const {
  for (const MachineUsage& usage : core_.ShardAt(shard_id).usage.machines) {
    visit({*usage.machine, core_.machine_types_.Find(usage.machine->type), usage.all,
           usage.by_priority, usage.images});
  }
}

void Core::UserApiView::VisitRunnableJobs(const BacklogVisitor& visit) const {
  for (const std::string& id : core_.jobs_.open()) {
    const JobEntry& entry = core_.jobs_.At(id);
    const JobRecord& record = entry.record;
    if (!IsShard(record.shard_id) || entry.blocked) continue;
    const TaskCounts counts = TaskCountsOf(id, record);
    visit(record.shard_id, record.spec, record.spec.tasks - counts.done - counts.running);
  }
}

bool Core::UserApiView::CachesImage(const std::string& machine, const std::string& image) const {
  auto agent = core_.machines_.find(machine);
  return agent != core_.machines_.end() && agent->second.images.count(image) != 0;
}

bool Core::UserApiView::HasLiveLeader(int shard_id) const {
  const ShardRecords& replica = core_.ShardAt(shard_id).replica;
  const Peer* leader = core_.peers_.Find(replica.leadership_record.leader);
  return replica.leadership_version != 0 &&
         (leader == nullptr || core_.node_health_.last_tick() - leader->last_heard < kLeaderAlive);
}

}  // namespace troutlink
