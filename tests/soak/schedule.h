// Schedule of faults of a soak run, drawn from a seed.
#ifndef TROUTLINK_TESTS_SOAK_SCHEDULE_H_
#define TROUTLINK_TESTS_SOAK_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/micros.h"

namespace troutlink::soak {

// Kinds of faults.
enum class FaultKind {
  kKill,           // the controller is killed and restarted after `duration`
  kPause,          // the controller is paused
  kStateDown,      // the store answers 503 to all
  kStateRefuses,   // the store answers 503 to this controller
  kStateCut,       // this controller's requests to the store get no answer
  kStateSlow,      // the store answers slowly
  kLateWrites,     // transactions get no answer; some are applied late, some at once
  kWatchGap,       // watches get 410
  kPeerHold,       // messages of this controller to the next one are delayed
  kPeerReset,      // these connections are reset
  kMachinesHang,   // some machines do nothing, and resume later
  kMachinesDeaf,   // replies and commands to some machines are lost
  kMachinesMute,   // heartbeats of some machines are lost
  kMachinesTaken,  // some spot machines are evicted
  kLowerLimits,    // the announced limits of the store apply
};
inline constexpr int kFaultKinds = 15;
// Name in timelines.
const char* NameOf(FaultKind kind);

// One fault. `node` is unused for faults of the store as a whole and of machines.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  Micros at = 0;  // since the start of the run
  Micros duration = 0;
  int node = 0;
  std::string Text() const;
};

// Overlapping faults up to `end`, ordered by start. Deterministic for a seed.
std::vector<Fault> DrawSchedule(uint64_t seed, int nodes, Micros end);

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_SCHEDULE_H_
