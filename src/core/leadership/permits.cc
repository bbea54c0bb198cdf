#include "core/leadership/permits.h"

#include <string>

namespace troutlink {

namespace {

// Errors carry only their code, from which logs take the name.
Error<Refusal> Refuse(Refusal refusal) { return {refusal, std::string(NameOf(refusal))}; }

}  // namespace

std::string_view NameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNotLeader: return "not_leader";
    case Refusal::kNotAssigned: return "not_assigned";
    case Refusal::kJobUnknown: return "job_unknown";
    case Refusal::kJobBlocked: return "job_blocked";
    case Refusal::kJobFinished: return "job_over";
    case Refusal::kProcessPaused: return "stood_still";
    case Refusal::kCancellationsStale: return "cancellations_stale";
    case Refusal::kReplicaStale: return "replica_stale";
  }
  return "";
}

std::string_view NameOf(Violation violation) {
  switch (violation) {
    case Violation::kStartWithoutLeadership: return "start_without_leadership";
    case Violation::kStartUnassigned: return "start_unassigned";
    case Violation::kStartBlocked: return "start_blocked";
    case Violation::kRenewalWithoutStop: return "renewal_without_stop";
    case Violation::kEpochRegressed: return "epoch_fell";
  }
  return "";
}

std::optional<Violation> ViolationOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNotLeader: return Violation::kStartWithoutLeadership;
    case Refusal::kNotAssigned: return Violation::kStartUnassigned;
    case Refusal::kJobBlocked: return Violation::kStartBlocked;
    case Refusal::kJobUnknown:
    case Refusal::kJobFinished:
    case Refusal::kProcessPaused:
    case Refusal::kCancellationsStale:
    case Refusal::kReplicaStale: break;
  }
  return std::nullopt;
}

Result<StartPermit, Refusal> StartFacts::Evaluate() const {
  if (!is_leader) return Refuse(Refusal::kNotLeader);
  if (!assigned) return Refuse(Refusal::kNotAssigned);
  switch (job_state) {
    case KnownJobState::kUnknown: return Refuse(Refusal::kJobUnknown);
    case KnownJobState::kBlocked: return Refuse(Refusal::kJobBlocked);
    case KnownJobState::kCancelled:
    case KnownJobState::kDone: return Refuse(Refusal::kJobFinished);
    case KnownJobState::kOpen: break;
  }
  // Messages that arrived during the pause, such as the loss of the leadership or a cancellation,
  // may not be handled yet.
  if (process_paused) return Refuse(Refusal::kProcessPaused);
  if (now >= cancellations_bound) return Refuse(Refusal::kCancellationsStale);
  return StartPermit();
}

Result<RenewalPermit, Refusal> RenewalFacts::Evaluate() const {
  if (now + allowance >= cancellations_bound) return Refuse(Refusal::kCancellationsStale);
  return RenewalPermit();
}

Result<OpenAnswerPermit, Refusal> OpenAnswerFacts::Evaluate() const {
  if (job_state == KnownJobState::kUnknown) return Refuse(Refusal::kJobUnknown);
  if (IsFinished(job_state)) return Refuse(Refusal::kJobFinished);
  if (has_dependencies && replica_age >= max_age) return Refuse(Refusal::kReplicaStale);
  return OpenAnswerPermit();
}

}  // namespace troutlink
