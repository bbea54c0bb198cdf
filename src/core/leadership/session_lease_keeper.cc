#include "core/leadership/session_lease_keeper.h"

#include <optional>
#include <string>

#include "wire/messages.h"

namespace troutlink {

namespace {
constexpr Micros kCallTimeout = 1500 * kMillisecond;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

SessionLease::RenewalAnswer DecodeRenewal(int status) {
  switch (status) {
    case kOk: return SessionLease::RenewalAnswer::kRenewed;
    case kNotFound: return SessionLease::RenewalAnswer::kNoSuchLease;
    default: return SessionLease::RenewalAnswer::kUnknown;
  }
}
}  // namespace

void SessionLeaseKeeper::Tick(Micros now) {
  if (!lease_.CallDue(now)) return;
  lease_.OnCallSent();
  if (lease_.held()) {
    SendRenewal();
  } else {
    SendGrant();
  }
}

void SessionLeaseKeeper::SendGrant() {
  effects_->Send(Dest::kState, "", "POST", wire::GrantTarget(), wire::EncodeGrant(lease_.ttl()),
                 kCallTimeout, [this](Micros now, int status, const std::string& body) {
                   std::optional<uint64_t> id;
                   if (status == kOk) id = wire::DecodeGrant(body);
                   if (id) health_->NoteStateAnswer(now);
                   lease_.GrantAnswered(now, id);
                 });
}

void SessionLeaseKeeper::SendRenewal() {
  const uint64_t id = lease_.id();
  effects_->Send(Dest::kState, "", "POST", wire::RenewTarget(id), wire::EncodeGrant(lease_.ttl()),
                 kCallTimeout, [this, id](Micros now, int status, const std::string& /*body*/) {
                   switch (lease_.RenewalAnswered(now, id, DecodeRenewal(status))) {
                     case SessionLease::Renewal::kRenewed: health_->NoteStateAnswer(now); break;
                     case SessionLease::Renewal::kEnded:
                       health_->NoteStateAnswer(now);
                       observer_->OnSessionLeaseEnded(now);
                       break;
                     case SessionLease::Renewal::kOutdated:
                     case SessionLease::Renewal::kFailed: break;
                   }
                 });
}

}  // namespace troutlink
