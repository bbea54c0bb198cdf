// Core's implementation of ReplicaObserver: reactions to changes of the replica.
#include "core/core.h"
#include "core/io/event.h"

namespace troutlink {

// --- jobs --------------------------------------------------------------------------------

void Core::OnJobOpen(const std::string& id, const JobEntry& entry) {
  const int shard_id = entry.record.shard_id;
  auto execution = executions_.find(id);
  if (execution != executions_.end() && execution->second.shard_id != shard_id)
    executions_.erase(execution);  // it moved to another shard
  if (!LeadsShard(shard_id)) return;
  LoadExecution(shard_id, id, entry);
  MarkDirty(shard_id);
}

void Core::OnJobFinished(Micros now, const std::string& id, const JobEntry& entry) {
  if (entry.record.state == JobState::kCancelled) {
    cancellations_.AddCommitted(entry.version, id);
    ++counters_.cancellations;
    LogCancellation(now, id, "replica");
  }
  cancellations_.ForgetReported(id);
  auto execution = executions_.find(id);
  if (execution != executions_.end()) {
    ShardAt(execution->second.shard_id).cycle.progress_dirty = true;
    executions_.erase(execution);
  }
  health_.ForgetJob(id);
  const int shard_id = entry.record.shard_id;
  if (LeadsShard(shard_id)) {
    StopJob(now, id);
    MarkDirty(shard_id);
  }
}

void Core::OnJobUnblocked(const std::string& /*id*/, const JobEntry& entry) {
  if (LeadsShard(entry.record.shard_id)) MarkDirty(entry.record.shard_id);
}

void Core::OnUrgencyUpdated(const std::string& /*id*/, const JobEntry& entry) {
  if (LeadsShard(entry.record.shard_id)) MarkDirty(entry.record.shard_id);
}

void Core::OnCascadeCancelled(const std::string& id, size_t count) {
  counters_.cascade_cancelled += count;
  LogCancellation(node_health_.last_tick(), id, "dependency");
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    if (ShardAt(shard_id).leadership.is_leader) MarkDirty(shard_id);
  }
}

// --- assignment tables -------------------------------------------------------------------

void Core::OnMachineAssigned(Micros now, int shard_id, const AssignedMachine& machine) {
  const std::string& name = machine.name;
  // A machine that returns from another shard has seen a higher token than this node last used for
  // it: reset assigned_epoch so that a new token is computed.
  AgentState& agent = machines_[name];
  if (agent.last_shard != shard_id) {
    agent.last_shard = shard_id;
    agent.assigned_epoch = 0;
  }
  removed_instances_.erase(name);
  unassigned_agents_.erase(name);
  unknown_instance_since_.erase(name);
  if (ShardAt(shard_id).leadership.is_leader) return;
  const bool free = machine.attempts.empty() && !machine.draining && machine.tail_job.empty();
  if (free) {
    free_since_.try_emplace(name, now);
  } else {
    free_since_.erase(name);
  }
}

void Core::OnMachineUnassigned(Micros now, const std::string& machine) {
  removed_instances_[machine] = now;
}

void Core::OnTableChanged(Micros now, int shard_id) {
  Shard& shard = ShardAt(shard_id);
  shard.usage = UsageOf(shard.replica.assignments);
  if (shard.leadership.is_leader) ReconcileShard(now, shard_id);
}

Core::ShardUsage Core::UsageOf(const AssignmentTable& table) const {
  ShardUsage usage;
  usage.total = TotalUsageOf(table);
  usage.machines.reserve(table.machines.size());
  for (const auto& [name, machine] : table.machines) {
    usage.machines.push_back(CountUsage(machine));
    usage.attempts += machine.attempts.size();
    usage.any_draining = usage.any_draining || machine.draining;
  }
  return usage;
}

Core::MachineUsage Core::CountUsage(const AssignedMachine& machine) const {
  MachineUsage usage;
  usage.machine = &machine;
  for (const Attempt& attempt : machine.attempts) {
    const JobEntry* job = jobs_.Find(attempt.job);
    if (job == nullptr) continue;
    const JobSpec& spec = job->record.spec;
    usage.all += spec.task_resources;
    usage.by_priority[static_cast<size_t>(spec.priority)] += spec.task_resources;
    usage.images.insert(spec.image);
  }
  return usage;
}

// --- leadership --------------------------------------------------------------------------

void Core::OnLeadershipRecord(Micros now, int shard_id, const Leadership& leadership,
                              uint64_t revision) {
  election_.OnRecordPut(now, shard_id, leadership, revision);
}

void Core::OnLeadershipErased(Micros now, int shard_id, uint64_t revision) {
  election_.OnRecordErased(now, shard_id, revision);
}

// --- other -------------------------------------------------------------------------------

void Core::OnMachineTypes(const std::string& value) { machine_types_.LoadStored(value); }

void Core::OnCaughtUp(Source source, Micros complete_up_to) {
  ++(source == Source::kList ? counters_.lists : counters_.watches);
  cancellations_.ReplicaCompleteUpTo(complete_up_to);
}

void Core::OnStateWriteSent() { ++counters_.puts; }

bool Core::LeadsShard(int shard_id) const {
  return shard_id >= 0 && shard_id < settings_.shard_count() &&
         ShardAt(shard_id).leadership.is_leader;
}

// `source`: where the cancellation was learned from.
void Core::LogCancellation(Micros now, const std::string& id, std::string_view source) {
  if (!effects_.logs_debug()) return;
  const ReplicaFeed& feed = sync_.feed();
  effects_.Log(LogLine::Level::kDebug, Event("cancellation")
                                           .With("job", id)
                                           .With("source", source)
                                           .With("revision", feed.revision())
                                           .WithSpan("replica_age_ms", now - feed.complete_up_to())
                                           .text());
}

}  // namespace troutlink
