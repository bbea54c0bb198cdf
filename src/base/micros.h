// Times are whole microseconds everywhere in the code.
#ifndef TROUTLINK_BASE_MICROS_H_
#define TROUTLINK_BASE_MICROS_H_

#include <cmath>
#include <cstdint>

namespace troutlink {

using Micros = int64_t;

inline constexpr Micros kMilli = 1000;
inline constexpr Micros kSecond = 1000 * kMilli;

// Steady clocks of different machines drift apart by up to 0.05%.
inline constexpr int64_t kDriftPerMillion = 500;

inline Micros FromSeconds(double seconds) {
  return static_cast<Micros>(std::llround(seconds * 1e6));
}
inline double ToSeconds(Micros t) { return static_cast<double>(t) / 1e6; }

// The longest and shortest that `t` on a foreign clock may take on ours.
inline Micros Longest(Micros t) { return t + t * kDriftPerMillion / 1000000; }
inline Micros Shortest(Micros t) { return t - t * kDriftPerMillion / 1000000; }

}  // namespace troutlink

#endif  // TROUTLINK_BASE_MICROS_H_
