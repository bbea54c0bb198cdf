// Which faults a soak run has, and when: drawn from a seed before the run begins.
#ifndef TROUTLINK_TESTS_SOAK_SCHEDULE_H_
#define TROUTLINK_TESTS_SOAK_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/micros.h"

namespace troutlink::soak {

// What goes wrong.
enum class FaultKind {
  kKill,           // the controller's process is killed, and started again after `duration`
  kPause,          // the controller's process stands still
  kStateDown,      // the state service answers 503 to all
  kStateRefuses,   // it answers 503 to this controller
  kStateCut,       // requests of this controller get no answer
  kStateSlow,      // every answer takes longer
  kLateWrites,     // transactions get no answer; some are carried out late, some at once
  kWatchGap,       // watches get 410
  kPeerHold,       // what this controller says to the next one is held back, in this direction
  kPeerReset,      // the same connections are reset
  kMachinesHang,   // some machines do nothing, and go on later
  kMachinesDeaf,   // answers and commands to them are lost
  kMachinesMute,   // their reports are lost
  kMachinesTaken,  // some spot machines are gone for good
  kLowerLimits,    // the state service has its announced limits from now on
};
inline constexpr int kFaultKinds = 15;
// As in timelines.
const char* NameOf(FaultKind kind);

// One fault. `node` is of no meaning to faults of the state service as a whole and of machines.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  Micros at = 0;  // since the start of the run
  Micros duration = 0;
  int node = 0;
  std::string Text() const;
};

// Overlapping faults up to `end`, in the order of their beginning. The same for the same seed.
std::vector<Fault> DrawSchedule(uint64_t seed, int nodes, Micros end);

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_SCHEDULE_H_
