// A token bucket on the steady clock.
#ifndef TROUTLINK_CORE_BUDGET_H_
#define TROUTLINK_CORE_BUDGET_H_

#include <algorithm>

#include "base/micros.h"

namespace troutlink {

class Budget {
 public:
  Budget(double per_second, double burst) : rate_(per_second), burst_(burst), have_(burst) {}

  bool Take(Micros now, double n = 1, double reserve = 0) {
    Refill(now);
    // More than the bucket holds is taken from a full one and worked off; else
    // it would wait for ever.
    if (have_ < std::min(n + reserve, burst_)) return false;
    have_ -= n;
    return true;
  }
  // Whether there is so much; somebody else takes it.
  bool Has(Micros now, double n) {
    Refill(now);
    return have_ >= std::min(n, burst_);
  }
  // Takes what must go out anyway; the debt is worked off.
  void Force(Micros now, double n = 1) {
    Refill(now);
    have_ = std::max(have_ - n, -burst_);
  }
  // Somebody else's use showed: act as if it were empty.
  void Drain(Micros now) {
    Refill(now);
    have_ = std::min(have_, 0.0);
  }
  double have() const { return have_; }
  void SetRate(Micros now, double per_second) {
    if (per_second == rate_) return;
    Refill(now);
    rate_ = per_second;
  }

 private:
  void Refill(Micros now) {
    if (now <= last_) return;
    if (last_ != 0) have_ = std::min(burst_, have_ + rate_ * ToSeconds(now - last_));
    last_ = now;
  }
  double rate_;
  double burst_;
  double have_;
  Micros last_ = 0;
};

// Who waits for a budget goes first: of several that share one, those that take little
// at a time would else leave nothing for one that takes much.
class Turns {
 public:
  bool MayTake(Micros now, int who) const {
    return waiting_ < 0 || waiting_ == who || now - since_ >= kForget;
  }
  // `got`: whether there was enough.
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

#endif  // TROUTLINK_CORE_BUDGET_H_
