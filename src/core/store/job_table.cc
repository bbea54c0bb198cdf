// Applies job records and their effects on dependencies and dependents.
#include "core/store/job_table.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace troutlink {

namespace {
// Time between the end of a stage and the start of the next one: heartbeat, commit, command and
// image fetch.
constexpr Micros kStageOverhead = 6 * kSecond;

// Urgency of the job without its dependents.
Urgency OwnUrgency(const JobEntry& entry) {
  const JobSpec& spec = entry.record.spec;
  Urgency urgency;
  urgency.priority = entry.own_priority;
  if (spec.deadline > 0) {
    urgency.latest_start = entry.record.submitted + spec.deadline - spec.estimate - kStageOverhead;
  }
  return urgency;
}

// Time from the start of the job to the start of its dependents.
Micros StageTime(const JobSpec& spec) { return spec.estimate + kStageOverhead; }
}  // namespace

RecordOutcome JobTable::Apply(Micros now, const std::string& id, const std::string& value,
                              uint64_t version) {
  auto known = jobs_.find(id);
  if (known != jobs_.end() && known->second.version >= version) return RecordOutcome::kIgnored;
  std::optional<JobRecord> record = DecodeJob(value);
  if (!record) return RecordOutcome::kUnreadable;
  JobEntry& entry = jobs_[id];
  entry.record = std::move(*record);
  entry.version = version;
  entry.own_priority = entry.record.spec.priority;
  if (entry.record.spec.kind == JobKind::kService) NoteService(entry.record.spec);
  if (entry.record.state == JobState::kOpen) {
    ApplyOpen(id, &entry);
  } else {
    ApplyFinished(now, id, &entry);
  }
  return RecordOutcome::kApplied;
}

void JobTable::NoteService(const JobSpec& spec) {
  service_teams_.insert(spec.team);
  if (service_images_.size() < kMaxServiceImages) service_images_.insert(spec.image);
  had_spread_service_ = had_spread_service_ || spec.spread;
}

void JobTable::ApplyOpen(const std::string& id, JobEntry* entry) {
  const JobSpec& spec = entry->record.spec;
  if (!spec.dependencies.empty()) {
    dependencies_.Add(id, spec.dependencies, OwnUrgency(*entry), StageTime(spec));
    for (const std::string& dependency : spec.dependencies) {
      const JobEntry* known = Find(dependency);
      if (known == nullptr || known->record.state != JobState::kOpen) continue;
      dependencies_.SetOwnUrgency(dependency, OwnUrgency(*known), StageTime(known->record.spec));
    }
    if (HasCancelledDependency(spec)) MarkCancelled(id);
  }
  UpdateBlocked(id);
  UpdateInheritedUrgency(id);
  UpdateChangedUrgencies();
  open_jobs_.insert(id);
  observer_->OnJobOpen(id, *entry);
}

void JobTable::ApplyFinished(Micros now, const std::string& id, JobEntry* entry) {
  cascade_cancelled_.erase(id);
  if (entry->record.state == JobState::kCancelled) {
    for (const std::string& dependent : dependencies_.AllDependentsOf(id)) MarkCancelled(dependent);
  }
  for (const std::string& dependent : dependencies_.DependentsOf(id)) UpdateBlocked(dependent);
  dependencies_.Remove(id);
  UpdateChangedUrgencies();
  open_jobs_.erase(id);
  observer_->OnJobFinished(now, id, *entry);
  DropSpec(entry);
}

void JobTable::DropSpec(JobEntry* entry) {
  // Records of finished jobs are kept forever, therefore in a small form.
  JobSpec summary;
  summary.id = entry->record.spec.id;
  summary.tasks = entry->record.spec.tasks;
  summary.kind = entry->record.spec.kind;
  // Tasks that are still on machines count for resources and quotas.
  summary.team = entry->record.spec.team;
  summary.task_resources = entry->record.spec.task_resources;
  summary.save = entry->record.spec.save;
  summary.checkpoint = entry->record.spec.checkpoint;
  entry->record.spec = std::move(summary);
}

bool JobTable::HasCancelledDependency(const JobSpec& spec) const {
  return std::any_of(
      spec.dependencies.begin(), spec.dependencies.end(),
      [this](const std::string& id) { return StateOf(id) == KnownJobState::kCancelled; });
}

void JobTable::CascadeCancellation(const std::string& id) {
  for (const std::string& dependent : dependencies_.DependentsOf(id)) MarkCancelled(dependent);
}

// Marks the job and all its dependents as cancelled; their records follow.
void JobTable::MarkCancelled(const std::string& id) {
  if (!cascade_cancelled_.insert(id).second) return;
  size_t count = 1;
  for (const std::string& dependent : dependencies_.AllDependentsOf(id)) {
    if (cascade_cancelled_.insert(dependent).second) ++count;
  }
  observer_->OnCascadeCancelled(id, count);
}

void JobTable::UpdateBlocked(const std::string& id) {
  auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.record.state != JobState::kOpen) return;
  JobEntry& entry = found->second;
  const bool was_blocked = entry.blocked;
  entry.blocked = false;
  // Version 1 does not store when a dependency finished: the job then counts as ready since its
  // submission.
  entry.ready_at = entry.record.submitted;
  for (const std::string& name : entry.record.spec.dependencies) {
    // A dependency that the replica lacks is not done.
    if (StateOf(name) != KnownJobState::kDone) {
      entry.blocked = true;
      return;
    }
    entry.ready_at = std::max(entry.ready_at, jobs_.at(name).record.finished);
  }
  if (was_blocked) observer_->OnJobUnblocked(id, entry);
}

// The entry has the effective priority; the stored record keeps the user's.
void JobTable::UpdateInheritedUrgency(const std::string& id) {
  auto found = jobs_.find(id);
  if (found == jobs_.end() || found->second.record.state != JobState::kOpen) return;
  JobEntry& entry = found->second;
  const Urgency inherited = dependencies_.InheritedBy(id);
  entry.record.spec.priority = std::max(entry.own_priority, inherited.priority);
  entry.inherited_latest_start = inherited.latest_start;
  observer_->OnUrgencyUpdated(id, entry);
}

void JobTable::UpdateChangedUrgencies() {
  for (const std::string& changed : dependencies_.TakeChanged()) UpdateInheritedUrgency(changed);
}

const JobEntry* JobTable::Find(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

KnownJobState JobTable::StateOf(const std::string& id) const {
  const JobEntry* entry = Find(id);
  if (entry != nullptr && entry->record.state == JobState::kDone) return KnownJobState::kDone;
  const bool cancelled = entry != nullptr && entry->record.state == JobState::kCancelled;
  if (cancelled || cascade_cancelled_.count(id) != 0 || cancellations_->IsReported(id)) {
    return KnownJobState::kCancelled;
  }
  // Attempts belong to accepted jobs: a job that the replica lacks has yet to be read.
  if (entry == nullptr) return KnownJobState::kUnknown;
  return entry->blocked ? KnownJobState::kBlocked : KnownJobState::kOpen;
}

size_t JobTable::CountBlocked() const {
  return static_cast<size_t>(
      std::count_if(open_jobs_.begin(), open_jobs_.end(),
                    [this](const std::string& id) { return jobs_.at(id).blocked; }));
}

}  // namespace troutlink
