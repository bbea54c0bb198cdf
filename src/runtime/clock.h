// Clocks of the process, whose times are passed to the core.
#ifndef TROUTLINK_RUNTIME_CLOCK_H_
#define TROUTLINK_RUNTIME_CLOCK_H_

#include "base/micros.h"

namespace troutlink::runtime {

// Monotonic time. The origin is arbitrary: compare only with times of the same machine.
[[nodiscard]] Micros SteadyNow();

// Time since 1970; may be set forwards or backwards.
[[nodiscard]] Micros WallNow();

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_CLOCK_H_
