#include "core/api/job_queries.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "core/api/http_status.h"
#include "core/api/retry_after.h"
#include "core/store/records.h"
#include "wire/messages.h"

namespace troutlink {

namespace {

constexpr Micros kQueueTimeout = 1500 * kMillisecond;
constexpr Micros kFailedCheckPause = 50 * kMillisecond;
constexpr size_t kMaxQueued = 2000;
constexpr double kRequestsBesideChecks = 8;  // requests left for other calls
constexpr int kMaxCancelAttempts = 4;
constexpr const char* kStoreUnavailable = "state service does not answer";

// For a finished job.
JobPhase PhaseOf(JobState state) {
  return state == JobState::kDone ? JobPhase::kDone : JobPhase::kCancelled;
}

}  // namespace

void JobQueries::Refuse(const JobRequest& request, const char* why, int retry_after_s) {
  responder_->Answer(request.request_id, http_status::kServiceUnavailable, wire::EncodeError(why),
                     retry_after_s);
}

void JobQueries::Poll(Micros now, JobRequest request) {
  const JobEntry* entry = jobs_->FindJob(request.job_id);
  // Final states never change and need no check.
  if (entry != nullptr && entry->record.state != JobState::kOpen) {
    AnswerConfirmed(now, request);
    return;
  }
  if (!status_->ReplicaSynced() || queue_.size() >= kMaxQueued) {
    Refuse(request, "not ready",
           status_->ReplicaSynced() ? JitteredRetryAfter(request.job_id) : kRetryAfter);
    return;
  }
  queue_.push_back(std::move(request));
}

void JobQueries::CheckQueued(Micros now) {
  // Requests that have waited too long get their final answer.
  while (!queue_.empty() && now - queue_.front().received_at > kQueueTimeout) {
    Refuse(queue_.front(), kStoreUnavailable, kRetryAfter);
    queue_.pop_front();
  }
  if (check_in_flight_ || queue_.empty() || now < next_check_at_) return;
  // Checks use only the request budget that other calls leave, so that many polls cannot starve
  // commits, watches and lease renewals.
  if (!state_budget_->Has(now, kRequestsBesideChecks)) return;
  std::map<std::string, uint64_t> versions;
  std::vector<JobRequest> batch;
  const auto max_conditions = static_cast<size_t>(status_->Limits().conditions());
  while (!queue_.empty() && versions.size() < max_conditions) {
    JobRequest request = std::move(queue_.front());
    queue_.pop_front();
    const JobEntry* entry = jobs_->FindJob(request.job_id);
    versions[request.job_id] = entry == nullptr ? 0 : entry->version;
    batch.push_back(std::move(request));
  }
  StateTxn txn;
  for (const auto& [id, version] : versions) txn.conditions.push_back({JobKey(id), version});
  check_in_flight_ = true;
  effects_->Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn),
                 JobRecordStore::kCallTimeout,
                 [this, batch](Micros answered, int status, const std::string& body) {
                   OnChecked(answered, batch, DecodeCommitOutcome(status, body));
                 });
}

void JobQueries::OnChecked(Micros now, const std::vector<JobRequest>& batch,
                           const CommitOutcome& outcome) {
  check_in_flight_ = false;
  if (!outcome.readable) {
    next_check_at_ = now + kFailedCheckPause;
    for (const JobRequest& request : batch) Refuse(request, kStoreUnavailable, kRetryAfter);
    return;
  }
  status_->NoteStateAnswer(now);
  std::set<std::string> stale;
  for (const std::string& key : outcome.failed_keys) stale.insert(ParseKey(key).id);
  for (const std::string& id : stale) records_->Refresh(now, id);
  for (const JobRequest& request : batch) {
    // A failed transaction proves nothing about keys that it does not name.
    if (outcome.kind == CommitOutcome::Kind::kConflict &&
        (stale.empty() || stale.count(request.job_id) != 0)) {
      queue_.push_back(request);
    } else {
      AnswerConfirmed(now, request);
    }
  }
}

void JobQueries::AnswerConfirmed(Micros now, const JobRequest& request) {
  const JobEntry* entry = jobs_->FindJob(request.job_id);
  if (entry == nullptr) {
    responder_->Answer(request.request_id, http_status::kNotFound,
                       wire::EncodeError("no such job"));
    return;
  }
  if (entry->record.state != JobState::kOpen) {
    AnswerFinished(request, *entry);
    return;
  }
  const OpenAnswerFacts facts{jobs_->StateOf(request.job_id),
                              !entry->record.spec.dependencies.empty(), status_->ReplicaAge(now),
                              max_replica_age_};
  const Result<OpenAnswerPermit, Refusal> result = facts.Evaluate();
  if (result && request.kind != JobRequest::Kind::kCancel) {
    AnswerOpen(*result, request, *entry);
    return;
  }
  if (!result) refusals_.Add(result.error().code);
  if (!result && result.error().code == Refusal::kReplicaStale) {
    // The job's own record does not show that a dependency was cancelled.
    Refuse(request, "not ready", kRetryAfter);
    return;
  }
  // The user cancels it, or it is cancelled with a dependency: answer once that is stored.
  Cancel(now, request);
}

void JobQueries::AnswerFinished(const JobRequest& request, const JobEntry& entry) {
  JobStatus status;
  status.id = request.job_id;
  status.state = PhaseOf(entry.record.state);
  status.done = entry.record.state == JobState::kDone ? entry.record.spec.tasks : 0;
  AnswerStatus(request, status);
}

void JobQueries::AnswerOpen(const OpenAnswerPermit& /*permit*/, const JobRequest& request,
                            const JobEntry& entry) {
  const TaskCounts tasks = jobs_->TaskCountsOf(request.job_id, entry.record);
  JobStatus status;
  status.id = request.job_id;
  status.state = tasks.running > 0 ? JobPhase::kRunning : JobPhase::kQueued;
  status.done = tasks.done;
  status.running = tasks.running;
  AnswerStatus(request, status);
}

void JobQueries::AnswerStatus(const JobRequest& request, const JobStatus& status) {
  responder_->Answer(request.request_id, http_status::kOk,
                     request.kind == JobRequest::Kind::kPoll
                         ? wire::EncodeJobStatus(status)
                         : wire::EncodeJobState(status.id, status.state));
}

void JobQueries::Cancel(Micros now, JobRequest request) {
  const JobEntry* entry = jobs_->FindJob(request.job_id);
  if (entry == nullptr) {
    request.job_was_unknown = true;
    Poll(now, std::move(request));  // answers 404 only after the store confirms it
    return;
  }
  // Another copy of this request may have been answered 404 before the job was submitted, so this
  // copy must not cancel the new job.
  if (request.job_was_unknown && responder_->MayHaveCopy(request.request_id)) {
    Refuse(request, "submitted meanwhile", kRetryAfter);
    return;
  }
  if (entry->record.state != JobState::kOpen) {
    responder_->Answer(request.request_id, http_status::kOk,
                       wire::EncodeJobState(request.job_id, PhaseOf(entry->record.state)));
    return;
  }
  if (++request.cancel_attempts > kMaxCancelAttempts || !status_->StateFresh(now)) {
    Refuse(request, "not stored", kRetryAfter);
    return;
  }
  JobRecord record = entry->record;
  record.state = JobState::kCancelled;
  records_->Write(now, request.job_id, entry->version, EncodeJob(record),
                  [this, request](Micros answered, const CommitOutcome& outcome) {
                    OnCancelAnswered(answered, request, outcome);
                  });
}

void JobQueries::OnCancelAnswered(Micros now, const JobRequest& request,
                                  const CommitOutcome& outcome) {
  switch (outcome.kind) {
    case CommitOutcome::Kind::kCommitted:
      // Peers must be able to learn of it before the user does.
      cancellations_->RequestHeartbeat(now);
      responder_->Answer(request.request_id, http_status::kOk,
                         wire::EncodeJobState(request.job_id, JobPhase::kCancelled));
      break;
    case CommitOutcome::Kind::kConflict:
      records_->Refresh(now, request.job_id);
      Poll(now, request);
      break;
    case CommitOutcome::Kind::kRateLimited:
    case CommitOutcome::Kind::kUnknown: Refuse(request, "not stored", kRetryAfter); break;
  }
}

}  // namespace troutlink
