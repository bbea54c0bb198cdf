// The unit of time: whole microseconds, both for points in time and for durations.
// A point in time counts from an origin that its clock defines.
#ifndef TROUTLINK_BASE_MICROS_H_
#define TROUTLINK_BASE_MICROS_H_

#include <cmath>
#include <cstdint>

namespace troutlink {

// A point in time or a duration.
using Micros = int64_t;

// One millisecond.
inline constexpr Micros kMilli = 1000;
// One second.
inline constexpr Micros kSecond = 1000 * kMilli;

// Steady clocks of different machines differ in rate by up to 0.05%.
inline constexpr int64_t kDriftPerMillion = 500;

// `seconds` rounded to whole microseconds.
inline Micros FromSeconds(double seconds) {
  return static_cast<Micros>(std::llround(seconds * 1e6));
}

// `time` in seconds.
inline double ToSeconds(Micros time) { return static_cast<double>(time) / 1e6; }

// The longest that a duration on another machine's clock may take on this one's.
inline Micros Longest(Micros duration) { return duration + duration * kDriftPerMillion / 1000000; }

// The shortest that a duration on another machine's clock may take on this one's.
inline Micros Shortest(Micros duration) { return duration - duration * kDriftPerMillion / 1000000; }

}  // namespace troutlink

#endif  // TROUTLINK_BASE_MICROS_H_
