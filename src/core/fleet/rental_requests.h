// Scale out: requests for instances, each sent until the cloud gave a definite answer.
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

// Sends rental requests and keeps their answers. A request is idempotent by its id: the cloud
// carries it out once however often it is sent, so one whose outcome is unknown is repeated.
// The caller has the request on record in its assignment table before it is first sent, and
// until all of its instances are adopted.
class RentalRequests {
 public:
  // A request of that shard was answered.
  using Answered = std::function<void(int shard_id, const RentalAnswer& answer)>;

  // The pointers must outlive this; `backoff` is told what became of each offer.
  RentalRequests(Effects* effects, TokenBucket* cloud_calls, OfferBackoff* backoff,
                 Answered answered);

  // Sends the request unless it is in flight, answered, to be repeated later only, or there is no
  // call for it. Only a shard's leader sends its requests.
  void Send(Micros now, int shard_id, const RentRequest& ask);
  // The instances of a request that has its definite answer, none if it was refused; null: it has
  // no such answer yet.
  const std::vector<std::string>* InstancesOf(const std::string& request) const;
  // Another leader may have sent it meanwhile: its answer is asked for anew.
  void Forget(const std::string& request) { requests_.erase(request); }

 private:
  struct State {
    bool in_flight = false;
    bool answered = false;  // definitely
    std::vector<std::string> instances;
    Micros retry_at = 0;
  };
  void OnAnswer(Micros now, int shard_id, const RentRequest& ask, const RentalAnswer& answer);

  Effects* const effects_;
  TokenBucket* const cloud_calls_;
  OfferBackoff* const backoff_;
  const Answered answered_;
  std::map<std::string, State> requests_;  // by request id
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_RENTAL_REQUESTS_H_
