// State machine of this process's session lease at the key-value store.
#ifndef TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_H_
#define TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_H_

#include <cstdint>
#include <optional>

#include "base/micros.h"

namespace troutlink {

// Decides when to request and when to renew the lease. One call is in flight at a time;
// SessionLeaseKeeper makes the calls and reports their answers. When the lease expires, the store
// deletes all leadership records attached to it, so the process leads no shard.
class SessionLease {
 public:
  // `life`: duration of the lease after a grant or renewal.
  explicit SessionLease(Micros ttl) : ttl_(ttl) {}

  // Duration of the lease after a grant or renewal.
  Micros ttl() const { return ttl_; }
  uint64_t id() const { return id_; }  // 0: none is held
  bool held() const { return id_ != 0; }

  // Whether to send a grant (if none is held) or a renewal now.
  bool CallDue(Micros now) const { return !in_flight_ && now >= next_call_; }
  // Records that the call was sent.
  void OnCallSent() { in_flight_ = true; }

  // Handles the answer to a grant; nothing if there was none.
  void GrantAnswered(Micros now, std::optional<uint64_t> id);

  // Answer of the store to a renewal.
  enum class RenewalAnswer {
    kRenewed,
    kNoSuchLease,
    kUnknown,  // no or an unclear answer
  };
  // Result of a renewal.
  enum class Renewal {
    kOutdated,  // of an earlier lease
    kRenewed,
    kEnded,  // the lease no longer exists: every leadership is lost
    kFailed,
  };
  // Handles the answer to the renewal of lease `id`.
  Renewal RenewalAnswered(Micros now, uint64_t id, RenewalAnswer answer);

  // Drops a lease that the store does not know any more, so that a new one is requested.
  void Drop() { id_ = 0; }

 private:
  static constexpr Micros kGrantPause = 200 * kMillisecond;
  static constexpr Micros kRenewPause = 250 * kMillisecond;

  const Micros ttl_;
  uint64_t id_ = 0;
  bool in_flight_ = false;
  Micros next_call_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_SESSION_LEASE_H_
