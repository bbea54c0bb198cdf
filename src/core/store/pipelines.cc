// Pipelines: jobs that wait for others, what they inherit, and their cancellation with a job
// that they depend on.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
// Between the end of a stage and the start of the next one's tasks: a report, a commit, a
// command and the fetch of an image.
constexpr Micros kStageOverhead = 6 * kSecond;
}  // namespace

// A job that just became known as open, or whose record changed.
void Core::NoteOpenJob(const std::string& id) {
  JobEntry& entry = jobs_.at(id);
  const JobSpec& spec = entry.record.spec;
  if (!spec.dependencies.empty()) {
    dependencies_.Add(id, spec.dependencies, OwnUrgency(entry), StageTime(spec));
    for (const std::string& dependency : spec.dependencies) {
      const JobEntry* known = FindJob(dependency);
      if (known == nullptr || known->record.state != JobState::kOpen) continue;
      dependencies_.SetOwn(dependency, OwnUrgency(*known), StageTime(known->record.spec));
    }
    if (HasCancelledDependency(spec)) AddOrphan(id);
  }
  CheckDependencies(id);
  ApplyInheritedUrgency(id);
  for (const std::string& changed : dependencies_.TakeChanged()) ApplyInheritedUrgency(changed);
}

// A job that is done or cancelled for good.
void Core::NoteFinishedJob(const std::string& id) {
  const JobState state = jobs_.at(id).record.state;
  orphans_.erase(id);
  if (state == JobState::kCancelled) {
    for (const std::string& dependent : dependencies_.AllDependentsOf(id)) AddOrphan(dependent);
  }
  for (const std::string& dependent : dependencies_.DependentsOf(id)) CheckDependencies(dependent);
  dependencies_.Remove(id);
  for (const std::string& changed : dependencies_.TakeChanged()) ApplyInheritedUrgency(changed);
}

bool Core::HasCancelledDependency(const JobSpec& spec) const {
  return std::any_of(spec.dependencies.begin(), spec.dependencies.end(),
                     [this](const std::string& id) { return FateOf(id) == JobFate::kCancelled; });
}

void Core::AddOrphan(const std::string& id) {
  if (!orphans_.insert(id).second) return;
  ++counters_.orphans;
  LogCancellation(node_health_.last_tick(), id, "dependency");
  for (const std::string& dependent : dependencies_.AllDependentsOf(id)) {
    if (orphans_.insert(dependent).second) ++counters_.orphans;
  }
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    if (ShardAt(shard_id).leadership.is_leader) MarkDirty(shard_id);
  }
}

// Sets whether the job waits for others, and since when it does not.
void Core::CheckDependencies(const std::string& id) {
  auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.record.state != JobState::kOpen) return;
  JobEntry& entry = found->second;
  const bool was_blocked = entry.blocked;
  entry.blocked = false;
  // Where nobody stored when a dependency was done (version 1 did not), the job counts as
  // waiting for a start since its submission.
  entry.ready_at = entry.record.submitted;
  for (const std::string& name : entry.record.spec.dependencies) {
    // One that the replica does not hold yet is not done.
    if (FateOf(name) != JobFate::kDone) {
      entry.blocked = true;
      return;
    }
    entry.ready_at = std::max(entry.ready_at, jobs_.at(name).record.finished);
  }
  if (!was_blocked) return;
  if (JobRun* run = RunOf(id)) run->last_start = node_health_.last_tick();
  if (LeadsShard(entry.record.shard_id)) MarkDirty(entry.record.shard_id);
}

Urgency Core::OwnUrgency(const JobEntry& entry) const {
  const JobSpec& spec = entry.record.spec;
  Urgency urgency;
  urgency.priority = entry.own_priority;
  if (spec.deadline > 0) {
    urgency.latest_start = entry.record.submitted + spec.deadline - spec.estimate - kStageOverhead;
  }
  return urgency;
}

Micros Core::StageTime(const JobSpec& spec) { return spec.estimate + kStageOverhead; }

// The replica's copy of a job has the priority that it is served with; its record keeps the
// user's.
void Core::ApplyInheritedUrgency(const std::string& id) {
  auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.record.state != JobState::kOpen) return;
  JobEntry& entry = found->second;
  const Urgency inherited = dependencies_.InheritedBy(id);
  entry.record.spec.priority = std::max(entry.own_priority, inherited.priority);
  entry.inherited_latest_start = inherited.latest_start;
  if (LeadsShard(entry.record.shard_id)) MarkDirty(entry.record.shard_id);
}

}  // namespace troutlink
