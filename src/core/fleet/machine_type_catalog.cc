#include "core/fleet/machine_type_catalog.h"

#include <optional>
#include <utility>

#include "core/fleet/cloud_answers.h"
#include "core/store/records.h"
#include "wire/messages.h"

namespace troutlink {

namespace {
constexpr Micros kRefreshInterval = 60 * kSecond;
constexpr Micros kRetryDelay = 2 * kSecond;
}  // namespace

MachineTypeCatalog::MachineTypeCatalog(Effects* effects, TokenBucket* cloud_calls,
                                       TakeWrite take_write)
    : effects_(effects), cloud_calls_(cloud_calls), take_write_(std::move(take_write)) {}

void MachineTypeCatalog::Refresh(Micros now) {
  if (in_flight_ || now < next_refresh_ || !cloud_calls_->Take(now, 1)) return;
  in_flight_ = true;
  effects_->Send(
      Dest::kCloud, "", "GET", wire::MachineTypesTarget(), "", kCloudTimeout,
      [this](Micros now, int status, const std::string& body) { OnAnswer(now, status, body); });
}

void MachineTypeCatalog::OnAnswer(Micros now, int status, const std::string& body) {
  in_flight_ = false;
  next_refresh_ = now + (status == 200 ? kRefreshInterval : kRetryDelay);
  if (status != 200) return;
  std::optional<std::vector<MachineType>> types = wire::DecodeMachineTypes(body);
  if (!types || types->empty()) return;
  types_ = std::move(*types);
  Store(now, body);
}

// Stores the types for starts during an outage of the cloud.
void MachineTypeCatalog::Store(Micros now, const std::string& body) {
  if (!stored_.empty() || !take_write_(now)) return;
  stored_ = body;
  StateTxn txn;
  txn.writes.push_back({std::string(kKeyPrefix) + "types", body, 0, false});
  effects_->Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn),
                 kCloudTimeout, [this](Micros, int status, const std::string&) {
                   if (status != 200) stored_.clear();
                 });
}

void MachineTypeCatalog::LoadStored(const std::string& value) {
  std::optional<std::vector<MachineType>> types = wire::DecodeMachineTypes(value);
  stored_ = value;
  if (types && types_.empty()) types_ = std::move(*types);
}

const MachineType* MachineTypeCatalog::Find(const std::string& name) const {
  for (const MachineType& type : types_) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

}  // namespace troutlink
