// Fair sharing of a token bucket.
#ifndef TROUTLINK_CORE_IO_FAIR_TURNS_H_
#define TROUTLINK_CORE_IO_FAIR_TURNS_H_

#include "base/micros.h"

namespace troutlink {

// Prevents starvation between clients of a token bucket: after a refusal, that client is served
// next, so that clients with small requests cannot starve one with large requests.
class FairTurns {
 public:
  // Whether `who` may try to take tokens now.
  bool MayTake(Micros now, int who) const {
    return waiting_ < 0 || waiting_ == who || now - since_ >= kForget;
  }
  // Records an attempt by `who`, and whether it was granted.
  void Took(Micros now, int who, bool got) {
    if (!got) {
      waiting_ = who;
      since_ = now;
    } else if (waiting_ == who) {
      waiting_ = -1;
    }
  }

 private:
  static constexpr Micros kForget = kSecond;  // then the waiting client is assumed to have given up
  int waiting_ = -1;
  Micros since_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_IO_FAIR_TURNS_H_
