// Whose turn it is at a token bucket that several users share.
#ifndef TROUTLINK_CORE_IO_FAIR_TURNS_H_
#define TROUTLINK_CORE_IO_FAIR_TURNS_H_

#include "base/micros.h"

namespace troutlink {

// Prevents starvation among several users of one token bucket: the one that was refused is the
// next to be served, as users that take little at a time would leave nothing for one that takes
// much.
class FairTurns {
 public:
  // Whether `who` may try the bucket now.
  bool MayTake(Micros now, int who) const {
    return waiting_ < 0 || waiting_ == who || now - since_ >= kForget;
  }
  // `who` tried; `got`: whether there were enough tokens.
  void Took(Micros now, int who, bool got) {
    if (!got) {
      waiting_ = who;
      since_ = now;
    } else if (waiting_ == who) {
      waiting_ = -1;
    }
  }

 private:
  static constexpr Micros kForget = kSecond;  // it no longer asks
  int waiting_ = -1;
  Micros since_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_IO_FAIR_TURNS_H_
