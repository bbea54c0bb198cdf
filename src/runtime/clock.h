// The clocks that a process reads and passes to the core, which reads none by itself.
#ifndef TROUTLINK_RUNTIME_CLOCK_H_
#define TROUTLINK_RUNTIME_CLOCK_H_

#include "base/micros.h"

namespace troutlink::runtime {

// Time of the machine's steady clock, which is never set. Its origin is arbitrary: compare it
// only with times of the same machine.
[[nodiscard]] Micros SteadyNow();

// Time since 1970, which may be set forwards or backwards.
[[nodiscard]] Micros WallNow();

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_CLOCK_H_
