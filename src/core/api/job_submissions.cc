#include "core/api/job_submissions.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "core/api/http_status.h"
#include "core/api/retry_after.h"
#include "core/store/records.h"
#include "wire/messages.h"

namespace troutlink {

namespace {

int HttpStatusOf(AdmissionFault fault) {
  if (fault == AdmissionFault::kMalformed) return http_status::kBadRequest;
  if (fault == AdmissionFault::kTooManySubmissions) return http_status::kTooManyRequests;
  return IsTemporary(fault) ? http_status::kServiceUnavailable : http_status::kUnprocessable;
}

AdmissionError UnknownDependency(const std::string& id) {
  return {AdmissionFault::kDependencyUnknown, "never accepted: " + id};
}

// For the log; empty for a job without dependencies.
std::string DependencySuffix(const std::vector<std::string>& dependencies) {
  std::string list;
  for (const std::string& id : dependencies) list += (list.empty() ? ", depends on " : " ") + id;
  return list;
}

}  // namespace

void JobSubmissions::Refuse(const JobRequest& request, const AdmissionError& error) {
  int retry_after_s = 0;
  if (IsTemporary(error.code)) {
    ++counters_->refused;
    retry_after_s = error.code == AdmissionFault::kTooManySubmissions
                        ? JitteredRetryAfter(request.job_id)
                        : kRetryAfter;
  }
  responder_->Answer(request.request_id, HttpStatusOf(error.code), wire::EncodeError(error.text),
                     retry_after_s);
}

void JobSubmissions::Submit(Micros now, const Request& request) {
  ++counters_->submissions;
  wire::SpecResult spec = wire::DecodeSubmission(request.body);
  JobRequest submission;
  submission.kind = JobRequest::Kind::kSubmit;
  submission.request_id = request.id;
  submission.received_at = now;
  if (!spec) {
    Refuse(submission, {AdmissionFault::kMalformed, spec.error().text});
    return;
  }
  submission.job_id = spec->id;
  if (jobs_->FindJob(spec->id) != nullptr) {
    queries_->Poll(now, std::move(submission));
    return;
  }
  if (std::optional<AdmissionError> error = admission_->Check(now, *spec)) {
    Refuse(submission, *error);
    return;
  }
  if (spec->dependencies.empty()) {
    Store(now, submission, std::move(*spec));
  } else {
    ResolveDependencies(now, submission, std::move(*spec));
  }
}

void JobSubmissions::ResolveDependencies(Micros now, const JobRequest& request, JobSpec spec) {
  auto unknown =
      std::find_if(spec.dependencies.begin(), spec.dependencies.end(),
                   [this](const std::string& id) { return jobs_->FindJob(id) == nullptr; });
  if (unknown != spec.dependencies.end()) {
    const std::string id = *unknown;
    ReadDependency(id, request, std::move(spec));
  } else if (std::optional<AdmissionError> error = admission_->CheckDependencies(spec)) {
    Refuse(request, *error);
  } else if (!queries_->KnowsCancellations(now)) {
    Refuse(request, {AdmissionFault::kNotReady, "not ready"});
  } else {
    Store(now, request, std::move(spec));
  }
}

// Another node may have just accepted a job that this replica lacks: the key-value store decides.
void JobSubmissions::ReadDependency(const std::string& id, const JobRequest& request,
                                    JobSpec spec) {
  if (!IsJobId(id) || id == spec.id) {
    Refuse(request, UnknownDependency(id));
    return;
  }
  records_->Read(id, [this, request, spec = std::move(spec), id](Micros answered, bool read) {
    if (!read) {
      Refuse(request, {AdmissionFault::kStateServiceSilent, "state service does not answer"});
    } else if (jobs_->FindJob(id) == nullptr) {
      Refuse(request, UnknownDependency(id));
    } else {
      ResolveDependencies(answered, request, spec);
    }
  });
}

void JobSubmissions::Store(Micros now, const JobRequest& request, JobSpec spec) {
  JobRecord record;
  record.shard_id = selector_->SelectFor(spec);
  record.submitted = status_->WallNow(now);
  record.spec = std::move(spec);
  // A job with a cancelled dependency is accepted, but is cancelled from the start.
  JobPhase phase = JobPhase::kQueued;
  if (jobs_->HasCancelledDependency(record.spec)) {
    record.state = JobState::kCancelled;
    phase = JobPhase::kCancelled;
  }
  std::string value = EncodeJob(record);
  if (StoredSize(value) > max_record_bytes_) {
    Refuse(request, {AdmissionFault::kRecordTooLarge, "larger than the state service can hold"});
    return;
  }
  // So that the next job of a burst takes this one into account.
  if (record.spec.dependencies.empty()) {
    backlog_->Add(record.shard_id, record.spec, record.spec.tasks);
  }
  records_->Write(now, request.job_id, 0, std::move(value),
                  [this, request, phase,
                   accepted = "accepted " + request.job_id + " " + record.spec.job_class +
                              DependencySuffix(record.spec.dependencies)](
                      Micros answered, const CommitOutcome& outcome) {
                    OnStored(answered, request, phase, accepted, outcome);
                  });
}

void JobSubmissions::OnStored(Micros now, const JobRequest& request, JobPhase phase,
                              const std::string& accepted, const CommitOutcome& outcome) {
  switch (outcome.kind) {
    case CommitOutcome::Kind::kCommitted:
      ++counters_->accepted;
      effects_->Log(LogLine::Level::kDebug, accepted);
      responder_->Answer(request.request_id, http_status::kCreated,
                         wire::EncodeJobState(request.job_id, phase));
      break;
    case CommitOutcome::Kind::kConflict:
      // The job exists already: a repeated or late copy, or a submission through another node.
      records_->Refresh(now, request.job_id);
      queries_->Poll(now, request);
      break;
    case CommitOutcome::Kind::kRateLimited:
    case CommitOutcome::Kind::kUnknown:
      Refuse(request, {AdmissionFault::kNotStored, "not stored"});
      break;
  }
}

}  // namespace troutlink
