// Users' API: submissions.
#ifndef TROUTLINK_CORE_API_JOB_SUBMISSIONS_H_
#define TROUTLINK_CORE_API_JOB_SUBMISSIONS_H_

#include <cstdint>
#include <string>

#include "base/micros.h"
#include "core/api/api_counters.h"
#include "core/api/cluster_status.h"
#include "core/api/commit_outcome.h"
#include "core/api/job_admission.h"
#include "core/api/job_directory.h"
#include "core/api/job_queries.h"
#include "core/api/job_record_store.h"
#include "core/api/job_request.h"
#include "core/api/responder.h"
#include "core/api/shard_backlog.h"
#include "core/api/shard_selector.h"
#include "core/io/effects.h"
#include "core/io/io.h"
#include "wire/types.h"

namespace troutlink {

// A job is accepted once its record is committed. A repeated submission is answered like a poll.
class JobSubmissions {
 public:
  // `max_record_bytes`: maximum size of a record, considering announced limits. All arguments must
  // outlive this object.
  JobSubmissions(int64_t max_record_bytes, Effects* effects, const JobDirectory* jobs,
                 const ClusterStatus* status, const JobAdmission* admission, ShardBacklog* backlog,
                 ShardSelector* selector, JobRecordStore* records, JobQueries* queries,
                 Responder* responder, ApiCounters* counters)
      : max_record_bytes_(max_record_bytes),
        effects_(effects),
        jobs_(jobs),
        status_(status),
        admission_(admission),
        backlog_(backlog),
        selector_(selector),
        records_(records),
        queries_(queries),
        responder_(responder),
        counters_(counters) {}

  // Handles the submission in the request's body.
  void Submit(Micros now, const Request& request);

 private:
  // Stores the job once all of its dependencies are known, after reading those that the replica
  // lacks.
  void ResolveDependencies(Micros now, const JobRequest& request, JobSpec spec);
  void ReadDependency(const std::string& id, const JobRequest& request, JobSpec spec);
  void Store(Micros now, const JobRequest& request, JobSpec spec);
  // `accepted`: log line.
  void OnStored(Micros now, const JobRequest& request, JobPhase phase, const std::string& accepted,
                const CommitOutcome& outcome);
  void Refuse(const JobRequest& request, const AdmissionError& error);

  const int64_t max_record_bytes_;
  Effects* const effects_;
  const JobDirectory* const jobs_;
  const ClusterStatus* const status_;
  const JobAdmission* const admission_;
  ShardBacklog* const backlog_;
  ShardSelector* const selector_;
  JobRecordStore* const records_;
  JobQueries* const queries_;
  Responder* const responder_;
  ApiCounters* const counters_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_SUBMISSIONS_H_
