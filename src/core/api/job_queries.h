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

// Nothing is told to a user that is not committed, and nothing is told that may be older than
// what another controller told: answers about unfinished jobs are checked with the state service,
// many in one transaction that only compares.
class JobQueries {
 public:
  using Refusals = Tally<Refusal, kRefusals>;

  // `max_replica_age`: how old the replica may be for an answer that rests on the jobs before the
  // one that is asked for. All that it is given must outlive it.
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

  // Answers about a finished job at once, and queues the rest for the next check.
  void Poll(Micros now, JobRequest request);
  // Cancels the job, and answers once that is committed.
  void Cancel(Micros now, JobRequest request);
  // Refuses what has waited too long, and checks what is queued if no check is under way and the
  // node has requests to the state service to spare. After every input.
  void CheckQueued(Micros now);
  // Whether the replica has all cancellations that users were told of long ago.
  bool KnowsCancellations(Micros now) const { return status_->ReplicaAge(now) < max_replica_age_; }

  // Answers that were refused for what is known, by reason.
  const Refusals& refusals() const { return refusals_; }

 private:
  void OnChecked(Micros now, const std::vector<JobRequest>& batch, const CommitOutcome& outcome);
  // The state service has confirmed the job's own record, or it is final.
  void AnswerConfirmed(Micros now, const JobRequest& request);
  void AnswerFinished(const JobRequest& request, const JobEntry& entry);
  void AnswerOpen(const OpenAnswerPermit& permit, const JobRequest& request, const JobEntry& entry);
  void AnswerStatus(const JobRequest& request, const JobStatus& status);
  void OnCancelAnswered(Micros now, const JobRequest& request, const CommitOutcome& outcome);
  // Answers that it cannot be done at the moment.
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
  bool checking_ = false;  // a check is under way
  Micros no_check_before_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_QUERIES_H_
