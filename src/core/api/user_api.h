// The users' API of one controller.
#ifndef TROUTLINK_CORE_API_USER_API_H_
#define TROUTLINK_CORE_API_USER_API_H_

#include <cstdint>
#include <string>

#include "base/micros.h"
#include "config/settings.h"
#include "core/api/api_counters.h"
#include "core/api/cancellation_channel.h"
#include "core/api/cluster_status.h"
#include "core/api/job_admission.h"
#include "core/api/job_directory.h"
#include "core/api/job_queries.h"
#include "core/api/job_record_store.h"
#include "core/api/job_submissions.h"
#include "core/api/request_forwarder.h"
#include "core/api/shard_backlog.h"
#include "core/api/shard_loads.h"
#include "core/api/shard_selector.h"
#include "core/io/effects.h"
#include "core/io/io.h"
#include "core/io/token_bucket.h"

namespace troutlink {

// Owns the classes of this module, and routes requests from users and peers. All arguments must
// outlive this object.
class UserApi {
 public:
  // Shared services of the controller.
  struct Services {
    Effects* effects;
    TokenBucket* write_budget;  // of the key-value store
    TokenBucket* state_budget;  // of the key-value store, for all requests
  };

  // `first_forward_id`: see RequestForwarder.
  UserApi(const Settings* settings, uint64_t first_forward_id, const Services& services,
          JobDirectory* jobs, ClusterStatus* status, CancellationChannel* cancellations,
          const ShardLoads* loads);
  UserApi(const UserApi&) = delete;
  UserApi& operator=(const UserApi&) = delete;

  // Handles a poll, submission or cancellation. The caller has checked the method and the job id.
  void HandleRequest(Micros now, const Request& request);
  // Handles a request forwarded by a peer.
  void HandleForward(Micros now, const std::string& from, const mesh::ForwardedRequest& forward);
  // Handles a peer's answer to a forwarded request.
  void HandleForwardReply(Micros now, const mesh::ForwardedResponse& reply);
  // Call several times a second.
  void Tick(Micros now) { forwarder_.Tick(now); }
  // Call after every input.
  void CheckQueued(Micros now) { queries_.CheckQueued(now); }

  // For callers that found a job's record to be stale.
  JobRecordStore& records() { return records_; }
  // For jobs that may move between shards.
  ShardSelector& shard_selector() { return shard_selector_; }
  ShardBacklog& shard_backlog() { return shard_backlog_; }
  // For metrics.
  const ApiCounters& counters() const { return counters_; }
  const JobQueries::Refusals& refusals() const { return queries_.refusals(); }

 private:
  void Route(Micros now, const Request& request);
  // Whether this controller can execute requests itself.
  bool Ready(Micros now) const;

  const ClusterStatus* const status_;
  ApiCounters counters_;
  RequestForwarder forwarder_;
  JobRecordStore records_;
  JobQueries queries_;
  ShardBacklog shard_backlog_;
  ShardSelector shard_selector_;
  JobAdmission admission_;
  JobSubmissions submissions_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_USER_API_H_
