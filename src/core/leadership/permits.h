// Permits: decide from known facts whether an action on an agent's tasks, or an answer to a user,
// is allowed. Pure functions that return a permit or the reason for refusal.
//
// Encoding a start, a lease renewal or an answer about an open job requires a permit, so that no
// code path can skip the check. docs/design.md explains why these checks are sufficient.
#ifndef TROUTLINK_CORE_LEADERSHIP_PERMITS_H_
#define TROUTLINK_CORE_LEADERSHIP_PERMITS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string_view>

#include "base/micros.h"
#include "base/result.h"
#include "core/store/known_job_state.h"

namespace troutlink {

// Reason for refusing an action. kRefusals is their number.
enum class Refusal {
  kNotLeader,           // the node does not lead the shard
  kNotAssigned,         // no assignment table in the replica contains the attempt
  kJobUnknown,          // the replica does not contain the job
  kJobBlocked,          // a dependency is not done
  kJobFinished,         // the job is cancelled or done
  kProcessPaused,       // the process was paused and has not ticked since
  kCancellationsStale,  // a peer may have confirmed a cancellation that is unknown here
  kReplicaStale,        // the replica may lack a cancellation that users know of
};
inline constexpr size_t kRefusals = 8;
// As in logs and metrics.
std::string_view NameOf(Refusal refusal);

// Permission to start one attempt now.
class StartPermit {
 private:
  StartPermit() = default;
  friend struct StartFacts;
};

// Facts for a start, at the time at which its command is encoded.
struct StartFacts {
  bool is_leader = false;
  bool assigned = false;  // the shard's committed table assigns the attempt to the machine
  bool process_paused = false;
  KnownJobState job_state = KnownJobState::kUnknown;
  Micros now = 0;
  // Until then every unknown cancellation can still be enforced in time.
  Micros cancellations_bound = 0;

  Result<StartPermit, Refusal> Evaluate() const;
};

// Permission to renew an agent's lease and so to keep all its reported tasks running.
class RenewalPermit {
 private:
  RenewalPermit() = default;
  friend struct RenewalFacts;
};

// Facts for a lease renewal. `allowance`: additional time until commands in flight are fenced, for
// renewals on behalf of another node.
struct RenewalFacts {
  Micros now = 0;
  Micros cancellations_bound = 0;
  Micros allowance = 0;

  Result<RenewalPermit, Refusal> Evaluate() const;
};

// Permission to report a job as queued or running.
class OpenAnswerPermit {
 private:
  OpenAnswerPermit() = default;
  friend struct OpenAnswerFacts;
};

// Facts for such an answer. The job's own record was just compared with the key-value store; its
// dependencies are known from the replica only.
struct OpenAnswerFacts {
  KnownJobState job_state = KnownJobState::kUnknown;
  bool has_dependencies = false;
  Micros replica_age = 0;
  // Maximum replica age at which no cancellation that users know of can be missing.
  Micros max_age = 0;

  Result<OpenAnswerPermit, Refusal> Evaluate() const;
};

// Violated invariants. The action is not carried out, and the process continues. kViolations is
// their number.
enum class Violation {
  kStartWithoutLeadership,
  kStartUnassigned,
  kStartBlocked,
  kRenewalWithoutStop,  // a reply that renews a lease lacked the stop of a finished task
  kEpochRegressed,      // an election at a revision that is not above the previous epoch
};
inline constexpr size_t kViolations = 5;
// As in logs and metrics.
std::string_view NameOf(Violation violation);
// The invariant that a refused start violates, if any: what one commit decided under one leadership
// stays led, assigned and unblocked.
std::optional<Violation> ViolationOf(Refusal refusal);

// Counter for each value of an enumeration.
template <typename Kind, size_t Kinds>
class EnumCounter {
 public:
  void Add(Kind kind) { ++counts_[static_cast<size_t>(kind)]; }
  uint64_t Of(Kind kind) const { return counts_[static_cast<size_t>(kind)]; }
  uint64_t Total() const { return std::accumulate(counts_.begin(), counts_.end(), uint64_t{0}); }

 private:
  std::array<uint64_t, Kinds> counts_{};
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_PERMITS_H_
