#include "core/api/user_api.h"

#include <optional>
#include <string_view>
#include <utility>

#include "wire/messages.h"

namespace troutlink {

UserApi::UserApi(const Settings* settings, uint64_t first_forward_id, const Services& services,
                 JobDirectory* jobs, ClusterStatus* status, CancellationChannel* cancellations,
                 const ShardLoads* loads)
    : status_(status),
      forwarder_(first_forward_id, services.effects, status, cancellations, &counters_),
      records_(services.effects, services.write_budget, services.state_budget, jobs, status,
               &counters_),
      // Half of the deadline for stopping cancelled tasks: by then every replica must contain a
      // cancellation that users know of.
      queries_(settings->cancellation_deadline / 2, services.effects, services.state_budget, jobs,
               status, &records_, cancellations, &forwarder_),
      shard_backlog_(loads),
      shard_selector_(loads, &shard_backlog_),
      admission_(settings, services.write_budget, jobs, status),
      submissions_(settings->next_state_limits.value_bytes, services.effects, jobs, status,
                   &admission_, &shard_backlog_, &shard_selector_, &records_, &queries_,
                   &forwarder_, &counters_) {}

bool UserApi::Ready(Micros now) const {
  return status_->StateFresh(now) && status_->ReplicaSynced() && !status_->MachineTypes().empty();
}

void UserApi::HandleRequest(Micros now, const Request& request) {
  forwarder_.Register(now, request, !Ready(now));
  Route(now, request);
}

void UserApi::HandleForward(Micros now, const std::string& from,
                            const mesh::ForwardedRequest& forward) {
  if (std::optional<Request> request = forwarder_.Accept(from, forward)) Route(now, *request);
}

void UserApi::HandleForwardReply(Micros now, const mesh::ForwardedResponse& reply) {
  forwarder_.HandleReply(now, reply);
}

void UserApi::Route(Micros now, const Request& request) {
  std::string_view target = request.target;
  target = target.substr(0, target.find('?'));
  std::optional<wire::JobPath> path = wire::ParseJobPath(target);
  if (!path) {
    submissions_.Submit(now, request);
    return;
  }
  JobRequest job_request;
  job_request.kind = path->abort ? JobRequest::Kind::kCancel : JobRequest::Kind::kPoll;
  job_request.request_id = request.id;
  job_request.job_id = path->id;
  job_request.received_at = now;
  if (path->abort) {
    ++counters_.cancels;
    queries_.Cancel(now, std::move(job_request));
  } else {
    ++counters_.polls;
    queries_.Poll(now, std::move(job_request));
  }
}

}  // namespace troutlink
