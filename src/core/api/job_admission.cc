#include "core/api/job_admission.h"

#include <algorithm>
#include <cstdint>

#include "core/scheduler/placement.h"

namespace troutlink {

bool IsTemporary(AdmissionFault fault) { return fault >= AdmissionFault::kNotReady; }

bool JobAdmission::FitsSomeMachine(const JobSpec& spec) const {
  const std::vector<MachineType>& types = status_->MachineTypes();
  return std::any_of(types.begin(), types.end(), [&](const MachineType& type) {
    if (!TypeAllowed(spec, type.name, false) || !spec.task_resources.Fits(type.size)) return false;
    if (spec.zone.empty()) return !type.zones.empty() || settings_->zones.empty();
    return std::find(type.zones.begin(), type.zones.end(), spec.zone) != type.zones.end();
  });
}

std::optional<AdmissionError> JobAdmission::CheckFeasible(const JobSpec& spec) const {
  const Team* team = settings_->FindTeam(spec.team);
  if (team == nullptr) return AdmissionError{AdmissionFault::kUnknownTeam, "unknown team"};
  if (!FitsSomeMachine(spec)) {
    return AdmissionError{AdmissionFault::kFitsNoMachine,
                          "no allowed machine type has room for a task"};
  }
  const int64_t concurrent_tasks = spec.kind == JobKind::kArray ? 1 : spec.tasks;
  if ((team->cpus_max > 0 && concurrent_tasks * spec.task_resources.cpus > team->cpus_max) ||
      (team->gpus_max > 0 && concurrent_tasks * spec.task_resources.gpus > team->gpus_max)) {
    return AdmissionError{AdmissionFault::kAboveTeamLimit, "more than the team's limit"};
  }
  return std::nullopt;
}

std::optional<AdmissionError> JobAdmission::Check(Micros now, const JobSpec& spec) const {
  const bool types_known = !status_->MachineTypes().empty();
  // Infeasible jobs are refused even while the node is not ready: only the machine types are
  // needed.
  if (types_known) {
    if (std::optional<AdmissionError> error = CheckFeasible(spec)) return error;
  }
  if (!status_->ReplicaSynced() || !types_known || !status_->StateFresh(now)) {
    return AdmissionError{AdmissionFault::kNotReady, "not ready"};
  }
  // Submissions take precedence over all other writes: they are refused only if the write budget is
  // deep in debt. Otherwise the store itself applies its rate limit.
  if (write_budget_->tokens() < -status_->Limits().write_rps / 2) {
    return AdmissionError{AdmissionFault::kTooManySubmissions, "too many submissions"};
  }
  // A node of version 1 would start the job's tasks at once.
  if (!spec.dependencies.empty() && !status_->AllNodesCurrent()) {
    return AdmissionError{AdmissionFault::kMixedVersions, "not all nodes know dependencies yet"};
  }
  return std::nullopt;
}

std::optional<AdmissionError> JobAdmission::CheckDependencies(const JobSpec& spec) const {
  for (const std::string& id : spec.dependencies) {
    const JobEntry* job = jobs_->FindJob(id);
    if (job != nullptr && job->record.spec.kind == JobKind::kService) {
      return AdmissionError{AdmissionFault::kDependsOnService, "services are never done: " + id};
    }
  }
  return std::nullopt;
}

}  // namespace troutlink
