#include "core/fleet/instance_returns.h"

#include <utility>

#include "wire/messages.h"

namespace troutlink {

namespace {
constexpr size_t kMaxPerRequest = 100;
constexpr Micros kRetryDelay = kSecond;
}  // namespace

InstanceReturns::InstanceReturns(Effects* effects, TokenBucket* cloud_calls, Returned returned,
                                 Answered answered)
    : effects_(effects),
      cloud_calls_(cloud_calls),
      returned_(std::move(returned)),
      answered_(std::move(answered)) {}

void InstanceReturns::Send(Micros now, int shard_id,
                           const std::map<std::string, AssignedMachine>& instances) {
  std::vector<std::string> names;
  for (const auto& [name, instance] : instances) {
    if (!Due(now, instance)) continue;
    names.push_back(name);
    if (names.size() >= kMaxPerRequest) break;
  }
  if (names.empty() || !cloud_calls_->Take(now, 1)) return;
  for (const std::string& name : names) requests_[name].in_flight = true;
  effects_->Send(Dest::kCloud, "", "POST", wire::ReturnTarget(), wire::EncodeReturn(names),
                 kCloudTimeout,
                 [this, shard_id, names](Micros now, int status, const std::string&) {
                   OnAnswer(now, shard_id, names, DecodeReturnAnswer(status));
                 });
}

bool InstanceReturns::Due(Micros now, const AssignedMachine& instance) const {
  if (!instance.draining || Confirmed(instance.name)) return false;
  auto found = requests_.find(instance.name);
  return found == requests_.end() || (!found->second.in_flight && now >= found->second.retry_at);
}

void InstanceReturns::OnAnswer(Micros now, int shard_id, const std::vector<std::string>& names,
                               ReturnOutcome outcome) {
  for (const std::string& name : names) {
    State& state = requests_[name];
    state.in_flight = false;
    state.retry_at = now + kRetryDelay;
    if (outcome != ReturnOutcome::kConfirmed || !returned_(shard_id, name)) continue;
    confirmed_.insert(name);
  }
  answered_(shard_id);
}

void InstanceReturns::DropConfirmed(const std::function<bool(const std::string& name)>& assigned) {
  std::erase_if(confirmed_, [&assigned](const std::string& name) { return !assigned(name); });
}

void InstanceReturns::ForgetInFlight(const std::string& name) {
  auto found = requests_.find(name);
  if (found != requests_.end()) found->second.in_flight = false;
}

}  // namespace troutlink
