#include "core/leadership/session_lease.h"

namespace troutlink {

void SessionLease::GrantAnswered(Micros now, std::optional<uint64_t> id) {
  in_flight_ = false;
  next_call_ = now + (id ? life_ / 4 : kGrantPause);
  if (id) id_ = *id;
}

SessionLease::Renewal SessionLease::RenewAnswered(Micros now, uint64_t id, int status) {
  in_flight_ = false;
  if (id != id_) return Renewal::kOutdated;
  switch (status) {
    case 200: next_call_ = now + life_ / 4; return Renewal::kRenewed;
    case 404:
      id_ = 0;
      next_call_ = now;
      return Renewal::kEnded;
    default: next_call_ = now + kRenewPause; return Renewal::kFailed;
  }
}

}  // namespace troutlink
