#include "core/leadership/session_lease.h"

namespace troutlink {

void SessionLease::GrantAnswered(Micros now, std::optional<uint64_t> id) {
  in_flight_ = false;
  next_call_ = now + (id ? ttl_ / 4 : kGrantPause);
  if (id) id_ = *id;
}

SessionLease::Renewal SessionLease::RenewalAnswered(Micros now, uint64_t id, RenewalAnswer answer) {
  in_flight_ = false;
  if (id != id_) return Renewal::kOutdated;
  switch (answer) {
    case RenewalAnswer::kRenewed: next_call_ = now + ttl_ / 4; return Renewal::kRenewed;
    case RenewalAnswer::kNoSuchLease:
      id_ = 0;
      next_call_ = now;
      return Renewal::kEnded;
    case RenewalAnswer::kUnknown: break;
  }
  next_call_ = now + kRenewPause;
  return Renewal::kFailed;
}

}  // namespace troutlink
