// Scale in: returns instances to the cloud.
#ifndef TROUTLINK_CORE_FLEET_INSTANCE_RETURNS_H_
#define TROUTLINK_CORE_FLEET_INSTANCE_RETURNS_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "core/fleet/cloud_answers.h"
#include "core/io/effects.h"
#include "core/io/token_bucket.h"
#include "core/store/records.h"

namespace troutlink {

// Returns draining instances to the cloud until it confirms, and remembers the confirmation until
// the assignment table has dropped the instance.
class InstanceReturns {
 public:
  // The cloud confirmed that the instance and its tasks no longer exist. Returns false, which
  // discards the confirmation, if this node's shard no longer contains the instance.
  using Returned = std::function<bool(int shard_id, const std::string& name)>;
  // A request of that shard was answered; called after `Returned`.
  using Answered = std::function<void(int shard_id)>;

  // The pointers must outlive this object.
  InstanceReturns(Effects* effects, TokenBucket* cloud_calls, Returned returned, Answered answered);

  // Sends one request for the draining instances that are due. Call for shards that this node
  // leads.
  void Send(Micros now, int shard_id, const std::map<std::string, AssignedMachine>& instances);
  // Whether the return was confirmed while a table may still contain the instance.
  bool Confirmed(const std::string& name) const { return confirmed_.count(name) != 0; }
  // Drops confirmations of instances that no table contains any more.
  void DropConfirmed(const std::function<bool(const std::string& name)>& assigned);
  // Forgets a request in flight that was made under another leadership.
  void ForgetInFlight(const std::string& name);
  // Forgets the instance.
  void Forget(const std::string& name) { requests_.erase(name); }

 private:
  struct State {
    bool in_flight = false;
    Micros retry_at = 0;
  };
  // Whether to request the instance's return now.
  bool Due(Micros now, const AssignedMachine& instance) const;
  void OnAnswer(Micros now, int shard_id, const std::vector<std::string>& names,
                ReturnOutcome outcome);

  Effects* const effects_;
  TokenBucket* const cloud_calls_;
  const Returned returned_;
  const Answered answered_;
  std::map<std::string, State> requests_;  // by instance
  std::set<std::string> confirmed_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_INSTANCE_RETURNS_H_
