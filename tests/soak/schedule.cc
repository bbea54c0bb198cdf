#include "schedule.h"

#include <algorithm>
#include <random>

namespace troutlink::soak {

namespace {
constexpr Micros kFirst = 6 * kSecond;  // controllers have started and lead by then
constexpr Micros kLeastGap = 500 * kMillisecond;
constexpr Micros kMostGap = 4 * kSecond;  // shorter than most faults, so that two or three overlap
constexpr Micros kShort = 100 * kMillisecond;
constexpr Micros kMedium = 1500 * kMillisecond;
constexpr Micros kTakeover = 5 * kSecond;
constexpr Micros kLong = 14 * kSecond;
}  // namespace

const char* NameOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKill: return "kill";
    case FaultKind::kPause: return "pause";
    case FaultKind::kStateDown: return "state_down";
    case FaultKind::kStateRefuses: return "state_refuses";
    case FaultKind::kStateCut: return "state_cut";
    case FaultKind::kStateSlow: return "state_slow";
    case FaultKind::kLateWrites: return "late_writes";
    case FaultKind::kWatchGap: return "watch_gap";
    case FaultKind::kPeerHold: return "peer_hold";
    case FaultKind::kPeerReset: return "peer_reset";
    case FaultKind::kMachinesHang: return "machines_hang";
    case FaultKind::kMachinesDeaf: return "machines_deaf";
    case FaultKind::kMachinesMute: return "machines_mute";
    case FaultKind::kMachinesTaken: return "machines_taken";
    case FaultKind::kLowerLimits: return "lower_limits";
  }
  return "";
}

std::string Fault::Text() const {
  return std::string(NameOf(kind)) + " node=" + std::to_string(node) +
         " at_ms=" + std::to_string(at / kMillisecond) +
         " duration_ms=" + std::to_string(duration / kMillisecond);
}

std::vector<Fault> DrawSchedule(uint64_t seed, int nodes, Micros end) {
  std::mt19937_64 rng(seed);
  auto draw = [&rng](Micros from, Micros to) {
    return std::uniform_int_distribution<Micros>(from, to)(rng);
  };
  std::vector<Fault> schedule;
  for (Micros at = kFirst; at < end; at += draw(kLeastGap, kMostGap)) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(draw(0, kFaultKinds - 1));
    fault.at = at;
    fault.node = static_cast<int>(draw(0, nodes - 1));
    const bool brief = draw(0, 2) == 0;
    fault.duration = brief ? draw(kShort, kMedium) : draw(kMedium, kLong);
    // Each run keeps some leader down for longer than its lease.
    if (schedule.empty()) {
      fault.kind = FaultKind::kKill;
      fault.duration = draw(kTakeover, kLong);
    }
    fault.duration = std::min(fault.duration, end - at);
    schedule.push_back(fault);
  }
  return schedule;
}

}  // namespace troutlink::soak
