// Fair sharing of a token bucket.
#ifndef TROUTLINK_CORE_IO_STARVATION_GUARD_H_
#define TROUTLINK_CORE_IO_STARVATION_GUARD_H_

#include "base/micros.h"

namespace troutlink {

// Prevents starvation between clients of a token bucket: after a refusal, that client is served
// next, so that clients with small requests cannot starve one with large requests.
class StarvationGuard {
 public:
  // Whether `client` may try to take tokens now.
  bool MayTry(Micros now, int client) const {
    return refused_client_ == kNoClient || refused_client_ == client ||
           now - refused_at_ >= kMaxPriorityTime;
  }
  // Records an attempt of `client`, and whether it got its tokens.
  void RecordAttempt(Micros now, int client, bool granted) {
    if (!granted) {
      refused_client_ = client;
      refused_at_ = now;
    } else if (refused_client_ == client) {
      refused_client_ = kNoClient;
    }
  }

 private:
  static constexpr int kNoClient = -1;
  static constexpr Micros kMaxPriorityTime = kSecond;  // the client may have given up

  int refused_client_ = kNoClient;
  Micros refused_at_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_IO_STARVATION_GUARD_H_
