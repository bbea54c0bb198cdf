// Token bucket on the steady clock, to respect a rate limit of a service.
#ifndef TROUTLINK_CORE_IO_TOKEN_BUCKET_H_
#define TROUTLINK_CORE_IO_TOKEN_BUCKET_H_

#include <algorithm>

#include "base/micros.h"

namespace troutlink {

// Refills at a rate up to a burst; may go into debt. Not thread-safe.
class TokenBucket {
 public:
  // `per_second`: refill rate. `burst`: capacity. The bucket starts full.
  TokenBucket(double per_second, double burst) : rate_(per_second), burst_(burst), tokens_(burst) {}

  // Takes `n` tokens if at least `reserve` remain. Returns false, and takes none, otherwise.
  bool Take(Micros now, double count = 1, double reserve = 0) {
    Refill(now);
    // A request above the capacity is granted from a full bucket and paid off later.
    if (tokens_ < std::min(count + reserve, burst_)) return false;
    tokens_ -= count;
    return true;
  }
  // Whether `n` tokens are available, without taking them.
  bool Has(Micros now, double count) {
    Refill(now);
    return tokens_ >= std::min(count, burst_);
  }
  // Takes tokens even if there are too few; the debt is paid off later.
  void Force(Micros now, double count = 1) {
    Refill(now);
    tokens_ = std::max(tokens_ - count, -burst_);
  }
  // Empties the bucket, after the service has reported its limit as exceeded.
  void Drain(Micros now) {
    Refill(now);
    tokens_ = std::min(tokens_, 0.0);
  }
  // Tokens at the last refill; negative while in debt.
  double tokens() const { return tokens_; }
  // Changes the refill rate.
  void SetRate(Micros now, double per_second) {
    if (per_second == rate_) return;
    Refill(now);
    rate_ = per_second;
  }

 private:
  void Refill(Micros now) {
    if (now <= last_) return;
    if (last_ != 0) tokens_ = std::min(burst_, tokens_ + rate_ * ToSeconds(now - last_));
    last_ = now;
  }
  double rate_;
  double burst_;
  double tokens_;
  Micros last_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_IO_TOKEN_BUCKET_H_
