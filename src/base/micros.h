// Time in whole microseconds, for points in time and for durations. The origin of a point in time
// depends on its clock.
#ifndef TROUTLINK_BASE_MICROS_H_
#define TROUTLINK_BASE_MICROS_H_

#include <cmath>
#include <cstdint>

namespace troutlink {

// A point in time or a duration.
using Micros = int64_t;

inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;

// Maximum difference between the rates of two machines' steady clocks, in parts per million.
inline constexpr int64_t kDriftPerMillion = 500;

// `seconds` rounded to whole microseconds.
[[nodiscard]] inline Micros FromSeconds(double seconds) {
  return static_cast<Micros>(std::llround(seconds * static_cast<double>(kSecond)));
}

// `time` in seconds.
[[nodiscard]] constexpr double ToSeconds(Micros time) {
  return static_cast<double>(time) / static_cast<double>(kSecond);
}

// Maximum clock drift between two machines over `duration`, rounded down.
[[nodiscard]] constexpr Micros ClockDrift(Micros duration) {
  constexpr int64_t kMillion = 1000000;
  return duration * kDriftPerMillion / kMillion;
}

// Maximum time on this machine's clock for a duration on another machine's.
[[nodiscard]] constexpr Micros LongestOnOtherClock(Micros duration) {
  return duration + ClockDrift(duration);
}

// Minimum time on this machine's clock for a duration on another machine's.
[[nodiscard]] constexpr Micros ShortestOnOtherClock(Micros duration) {
  return duration - ClockDrift(duration);
}

}  // namespace troutlink

#endif  // TROUTLINK_BASE_MICROS_H_
