// A token bucket on the steady clock: keeps to a rate that a service announces.
#ifndef TROUTLINK_CORE_IO_TOKEN_BUCKET_H_
#define TROUTLINK_CORE_IO_TOKEN_BUCKET_H_

#include <algorithm>

#include "base/micros.h"

namespace troutlink {

// Fills at a rate and holds at most a burst; may go into debt. Not thread-safe.
class TokenBucket {
 public:
  // Tokens per second, and the most that it holds. It begins full.
  TokenBucket(double per_second, double burst) : rate_(per_second), burst_(burst), have_(burst) {}

  // Takes `n` tokens if `reserve` more would be left; false, and nothing taken, otherwise.
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
  // Tokens at the last refill; negative while in debt.
  double have() const { return have_; }
  // Another rate from now on.
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

}  // namespace troutlink

#endif  // TROUTLINK_CORE_IO_TOKEN_BUCKET_H_
