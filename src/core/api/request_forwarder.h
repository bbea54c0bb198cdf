// Open user requests, and their forwarding between controllers.
#ifndef TROUTLINK_CORE_API_REQUEST_FORWARDER_H_
#define TROUTLINK_CORE_API_REQUEST_FORWARDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/micros.h"
#include "core/api/api_counters.h"
#include "core/api/cancellation_channel.h"
#include "core/api/cluster_status.h"
#include "core/api/responder.h"
#include "core/io/effects.h"
#include "core/io/io.h"

namespace troutlink {

// Routes answers to the user, or to the peer that forwarded the request. If this controller cannot
// reach the key-value store, or waits too long for it, a peer that can is asked to execute the
// request too; the first definite answer counts. Requests are idempotent.
class RequestForwarder : public Responder {
 public:
  // `first_id`: above all ids of users' requests, and different from those of earlier processes of
  // this controller, whose late answers could otherwise be mistaken. All arguments must outlive
  // this object.
  RequestForwarder(uint64_t first_id, Effects* effects, const ClusterStatus* status,
                   CancellationChannel* cancellations, ApiCounters* counters)
      : next_id_(first_id),
        effects_(effects),
        status_(status),
        cancellations_(cancellations),
        counters_(counters) {}

  // Registers a user's request. `forward_now`: forward it at once.
  void Register(Micros now, const Request& request, bool forward_now);
  // Accepts a request that a peer forwards, and returns it with its local id; nothing if too many
  // are in progress, in which case the peer times out.
  std::optional<Request> Accept(const std::string& from, const mesh::ForwardedRequest& forward);
  // Handles a peer's answer to a forwarded request.
  void HandleReply(Micros now, const mesh::ForwardedResponse& reply);
  // Forwards requests that have waited too long, and ends those that timed out. Call at every tick.
  void Tick(Micros now);

  void Answer(uint64_t request_id, int status, std::string body, int retry_after_s = 0) override;
  bool MayHaveCopy(uint64_t request_id) const override;

 private:
  // A user's request without an answer.
  struct OpenRequest {
    Request request;
    Micros since = 0;
    uint64_t forward_id = 0;  // id at the peer; 0: not in progress at a peer
    Micros forwarded_at = 0;  // 0: never
    bool forward_tried = false;
    std::optional<Reply> refusal;  // this controller's answer, held back while the peer works on it
  };
  // A request forwarded by a peer.
  struct PeerRequest {
    std::string peer;
    uint64_t forward_id = 0;  // id at that peer
  };

  bool MayForward(const Request& request) const;
  void Forward(Micros now, OpenRequest* open);
  // Sends the final answer to a request that is no longer in progress anywhere.
  void Finish(uint64_t request_id);

  uint64_t next_id_;
  Effects* const effects_;
  const ClusterStatus* const status_;
  CancellationChannel* const cancellations_;
  ApiCounters* const counters_;
  std::map<uint64_t, OpenRequest> open_;           // by request id
  std::map<uint64_t, uint64_t> forwarded_;         // by forward id: id of the open request
  std::map<uint64_t, PeerRequest> peer_requests_;  // by local id
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_REQUEST_FORWARDER_H_
