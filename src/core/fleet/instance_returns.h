// Scale in: instances that go back to the cloud.
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

// Sends instances that leave an assignment table back to the cloud, until that confirms it, and
// remembers the confirmation until the table has dropped them.
class InstanceReturns {
 public:
  // The cloud confirmed that the instance and everything on it is gone. False when the shard's
  // table no longer has it, or the shard is no longer led here: the confirmation is dropped.
  using Returned = std::function<bool(int shard_id, const std::string& name)>;
  // A request of that shard was answered, one way or the other; called after `Returned`.
  using Answered = std::function<void(int shard_id)>;

  // The pointers must outlive this.
  InstanceReturns(Effects* effects, TokenBucket* cloud_calls, Returned returned, Answered answered);

  // Sends one request for those of a shard's instances that leave and whose return is due. Only a
  // shard's leader returns its instances.
  void Send(Micros now, int shard_id, const std::map<std::string, AssignedMachine>& instances);
  // Whether the cloud confirmed the return and a table may still have the instance.
  bool Confirmed(const std::string& name) const { return confirmed_.count(name) != 0; }
  // Drops the confirmations of instances that no table has any more.
  void DropConfirmed(const std::function<bool(const std::string& name)>& assigned);
  // A request in flight for the instance was made under another leadership and counts no more.
  void Restart(const std::string& name);
  // Nothing is known of the instance any more.
  void Forget(const std::string& name) { requests_.erase(name); }

 private:
  struct State {
    bool in_flight = false;
    Micros retry_at = 0;
  };
  // Whether to ask for the instance's return now.
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
