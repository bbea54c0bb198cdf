// Users' API: polls and cancellations.
#ifndef TROUTLINK_CORE_API_JOB_QUERIES_H_
#define TROUTLINK_CORE_API_JOB_QUERIES_H_

#include <deque>
#include <string>
#include <vector>

#include "base/micros.h"
#include "core/api/cancellation_channel.h"
#include "core/api/cluster_status.h"
#include "core/api/commit_outcome.h"
#include "core/api/job_directory.h"
#include "core/api/job_record_store.h"
#include "core/api/job_request.h"
#include "core/api/responder.h"
#include "core/io/effects.h"
#include "core/io/token_bucket.h"
#include "core/leadership/permits.h"

namespace troutlink {

// Answers contain only committed state that is not older than another controller's answer. Answers
// about unfinished jobs are therefore checked against the key-value store, many in one transaction
// that only has conditions.
class JobQueries {
 public:
  using Refusals = EnumCounter<Refusal, kRefusals>;

  // `max_replica_age`: maximum age of the replica for answers that depend on the state of
  // dependencies. All arguments must outlive this object.
  JobQueries(Micros max_replica_age, Effects* effects, TokenBucket* state_budget,
             JobDirectory* jobs, ClusterStatus* status, JobRecordStore* records,
             CancellationChannel* cancellations, Responder* responder)
      : max_replica_age_(max_replica_age),
        effects_(effects),
        state_budget_(state_budget),
        jobs_(jobs),
        status_(status),
        records_(records),
        cancellations_(cancellations),
        responder_(responder) {}

  // Answers for a finished job at once; queues other polls for the next check.
  void Poll(Micros now, JobRequest request);
  // Cancels the job, and answers once that is committed.
  void Cancel(Micros now, JobRequest request);
  // Refuses requests that have waited too long, and starts a check of the queue if none is in
  // flight and the request budget allows it. Call after every input.
  void CheckQueued(Micros now);
  // Whether the replica is recent enough to contain all cancellations that matter.
  bool KnowsCancellations(Micros now) const { return status_->ReplicaAge(now) < max_replica_age_; }

  // Refused answers, by reason.
  const Refusals& refusals() const { return refusals_; }

 private:
  void OnChecked(Micros now, const std::vector<JobRequest>& batch, const CommitOutcome& outcome);
  // Call when the store has confirmed the job's record, or the record is final.
  void AnswerConfirmed(Micros now, const JobRequest& request);
  void AnswerFinished(const JobRequest& request, const JobEntry& entry);
  void AnswerOpen(const OpenAnswerPermit& permit, const JobRequest& request, const JobEntry& entry);
  void AnswerStatus(const JobRequest& request, const JobStatus& status);
  void OnCancelAnswered(Micros now, const JobRequest& request, const CommitOutcome& outcome);
  // Answers that the request cannot be served at the moment.
  void Refuse(const JobRequest& request, const char* why, int retry_after_s);

  const Micros max_replica_age_;
  Effects* const effects_;
  TokenBucket* const state_budget_;
  JobDirectory* const jobs_;
  ClusterStatus* const status_;
  JobRecordStore* const records_;
  CancellationChannel* const cancellations_;
  Responder* const responder_;
  Refusals refusals_;
  std::deque<JobRequest> queue_;
  bool check_in_flight_ = false;  // a check is in flight
  Micros next_check_at_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_QUERIES_H_
