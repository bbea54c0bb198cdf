// Decides whether an action on a worker's tasks, or an answer to a user, is allowed by what is
// known. Pure functions: each takes the facts and returns a permit or the reason of a refusal.
//
// Starts, renewals of leases and answers about open jobs are encoded by functions that take a
// permit, so that no path can leave a check out. The argument that these checks keep the rules
// is in docs/design.md.
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

// Why an action is refused. kRefusals counts them.
enum class Refusal {
  kNotLeader,           // the node does not lead the shard
  kNotAssigned,         // no assignment table in the replica holds the attempt
  kJobUnknown,          // the replica does not hold the job
  kJobBlocked,          // a job that it depends on is not done
  kJobOver,             // the job is cancelled or done
  kProcessPaused,       // the process was paused and has not ticked since
  kCancellationsStale,  // a peer may have confirmed a cancellation that is not known here
  kReplicaStale,        // the replica may lack a cancellation that users know of
};
inline constexpr size_t kRefusals = 8;
// As in logs and metrics.
std::string_view NameOf(Refusal refusal);

// The right to start one attempt now.
class StartPermit {
 private:
  StartPermit() = default;
  friend struct StartFacts;
};

// What a start is judged by, at the moment at which its command is encoded.
struct StartFacts {
  bool is_leader = false;
  bool assigned = false;  // the shard's committed table holds the attempt on that machine
  bool process_paused = false;
  KnownJobState job_state = KnownJobState::kUnknown;
  Micros now = 0;
  Micros cancellations_bound = 0;  // until then no unknown cancellation can be overrun

  Result<StartPermit, Refusal> Judge() const;
};

// The right to renew the lease of a worker, which goes on with all that it reported.
class RenewalPermit {
 private:
  RenewalPermit() = default;
  friend struct RenewalFacts;
};

// What a renewal is judged by. `allowance`: how much longer what is under way may take to be
// fenced, for a node that renews on behalf of another.
struct RenewalFacts {
  Micros now = 0;
  Micros cancellations_bound = 0;
  Micros allowance = 0;

  Result<RenewalPermit, Refusal> Judge() const;
};

// The right to call a job queued or running.
class OpenAnswerPermit {
 private:
  OpenAnswerPermit() = default;
  friend struct OpenAnswerFacts;
};

// What such an answer is judged by. The job's own record has just been compared with the state
// service; the jobs that it depends on are known by the replica alone.
struct OpenAnswerFacts {
  KnownJobState job_state = KnownJobState::kUnknown;
  bool has_dependencies = false;
  Micros replica_age = 0;
  Micros most_age = 0;  // at which the replica holds what users were told `cancel_s` ago

  Result<OpenAnswerPermit, Refusal> Judge() const;
};

// What must never come up for decision. Where it does, the action is not carried out; the
// process goes on. kViolations counts them.
enum class Violation {
  kStartWithoutLeadership,
  kStartUnassigned,
  kStartBlocked,
  kRenewalWithoutStop,  // an answer that renews a lease lacked the stop of a task that is over
  kEpochFell,           // an election at a revision that is not above the one before
};
inline constexpr size_t kViolations = 5;
// As in logs and metrics.
std::string_view NameOf(Violation violation);
// The violation that a refused start shows, if it does: what is decided in one commit under one
// leadership is not led, assigned or unblocked any less a moment later.
std::optional<Violation> ViolationOf(Refusal refusal);

// How often each of the values of an enumeration occurred.
template <typename Kind, size_t Kinds>
class Tally {
 public:
  void Add(Kind kind) { ++counts_[static_cast<size_t>(kind)]; }
  uint64_t Of(Kind kind) const { return counts_[static_cast<size_t>(kind)]; }
  uint64_t Total() const { return std::accumulate(counts_.begin(), counts_.end(), uint64_t{0}); }

 private:
  std::array<uint64_t, Kinds> counts_{};
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_PERMITS_H_
