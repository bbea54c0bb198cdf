// Exchange of cancellations between the users' API and the peers.
#ifndef TROUTLINK_CORE_API_CANCELLATION_CHANNEL_H_
#define TROUTLINK_CORE_API_CANCELLATION_CHANNEL_H_

#include <string>

#include "base/micros.h"

namespace troutlink {

// Implemented by the owner of the heartbeat exchange.
class CancellationChannel {
 public:
  virtual ~CancellationChannel() = default;

  // A peer reports the job as cancelled; the replica may not show it yet.
  virtual void LearnCancellation(Micros now, const std::string& job_id) = 0;
  // Requests a heartbeat at the next tick, to pass a committed cancellation to the peers.
  virtual void RequestHeartbeat(Micros now) = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_CANCELLATION_CHANNEL_H_
