// How the users' API and the peers tell each other of cancelled jobs.
#ifndef TROUTLINK_CORE_API_CANCELLATION_CHANNEL_H_
#define TROUTLINK_CORE_API_CANCELLATION_CHANNEL_H_

#include <string>

#include "base/micros.h"

namespace troutlink {

// Whoever exchanges heartbeats with the peers implements it.
class CancellationChannel {
 public:
  virtual ~CancellationChannel() = default;

  // A peer says that the job is cancelled; the replica may not show it yet.
  virtual void LearnCancellation(Micros now, const std::string& job_id) = 0;
  // A cancellation was committed: the next heartbeat, which carries it to the peers, goes out at
  // the next tick.
  virtual void HastenHeartbeat(Micros now) = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_CANCELLATION_CHANNEL_H_
