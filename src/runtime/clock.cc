#include "runtime/clock.h"

#include <cstdint>
#include <ctime>

namespace troutlink::runtime {
namespace {

constexpr int64_t kNanosInMicro = 1000;

Micros ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<Micros>(time.tv_sec) * kSecond + time.tv_nsec / kNanosInMicro;
}

}  // namespace

Micros SteadyNow() { return ReadClock(CLOCK_MONOTONIC); }
Micros WallNow() { return ReadClock(CLOCK_REALTIME); }

}  // namespace troutlink::runtime
