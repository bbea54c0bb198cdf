// Scale out: requests for instances, retried until the cloud answers definitely.
#ifndef TROUTLINK_CORE_FLEET_RENTAL_REQUESTS_H_
#define TROUTLINK_CORE_FLEET_RENTAL_REQUESTS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/micros.h"
#include "core/fleet/cloud_answers.h"
#include "core/fleet/offer_backoff.h"
#include "core/io/effects.h"
#include "core/io/token_bucket.h"
#include "wire/types.h"

namespace troutlink {

// Sends rental requests and keeps their answers. The cloud executes a request once per id, so one
// with an unknown outcome is retried. The caller keeps the request in its assignment table from
// before the first call until all of its instances are adopted.
class RentalRequests {
 public:
  // A request of that shard was answered.
  using Answered = std::function<void(int shard_id, const RentalAnswer& answer)>;

  // The pointers must outlive this object. `backoff` receives the outcomes.
  RentalRequests(Effects* effects, TokenBucket* cloud_calls, OfferBackoff* backoff,
                 Answered answered);

  // Sends the request unless it is in flight, answered, waiting for a retry, or out of budget. Call
  // for shards that this node leads.
  void Send(Micros now, int shard_id, const RentRequest& request);
  // The instances of a request with a definite answer, none if it was refused; null without one.
  const std::vector<std::string>* InstancesOf(const std::string& request) const;
  // Requests the answer again, as another leader may have sent the request meanwhile.
  void Forget(const std::string& request) { requests_.erase(request); }

 private:
  struct State {
    bool in_flight = false;
    bool answered = false;  // definitely
    std::vector<std::string> instances;
    Micros retry_at = 0;
  };
  void OnAnswer(Micros now, int shard_id, const RentRequest& request, const RentalAnswer& answer);

  Effects* const effects_;
  TokenBucket* const cloud_calls_;
  OfferBackoff* const backoff_;
  const Answered answered_;
  std::map<std::string, State> requests_;  // by request id
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_RENTAL_REQUESTS_H_
