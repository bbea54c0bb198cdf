// The cluster version: the storage forms that all nodes can read, and the limits of the key-value
// store in force.
#ifndef TROUTLINK_CORE_STORE_CLUSTER_VERSION_H_
#define TROUTLINK_CORE_STORE_CLUSTER_VERSION_H_

#include <cstdint>
#include <map>
#include <string>

#include "config/settings.h"
#include "wire/messages.h"

namespace troutlink {

// Each node stores its version once, so that others know it even while it is down. Starting an
// earlier release under the same label later is not supported (docs/operating.md).
//
// Makes no calls: ReplicaSync publishes this node's version and applies the records read.
class ClusterVersion {
 public:
  // `settings` must outlive this object.
  explicit ClusterVersion(const Settings& settings) : settings_(settings) {}

  // Whether to store this node's version now: it is not stored, no attempt is in flight, and none
  // was just answered.
  bool PublishDue(Micros now) const;
  // Returns the transaction that stores it. PublishAnswered must follow, whatever its outcome.
  StateTxn BeginPublish();
  void PublishAnswered(Micros now);

  // Applies the version that the node `label` stored. Returns true if it was the last one missing:
  // all nodes have the current version from now on.
  bool Apply(const std::string& label, const std::string& value, uint64_t revision);

  // Whether every node has the current version; never reverts to false.
  bool all_current() const { return all_current_; }
  // As in the metrics.
  uint64_t number() const;
  // Announced limits apply once all nodes support them, as they take effect without notice.
  const StateLimits& limits() const {
    return all_current_ ? settings_.next_state_limits : settings_.state_limits;
  }

 private:
  static constexpr Micros kPublishRetryDelay = 300 * kMillisecond;

  struct NodeVersion {
    uint64_t version = 1;  // of a node without a record
    uint64_t revision = 0;
  };
  NodeVersion VersionOf(const std::string& label) const;

  const Settings& settings_;
  std::map<std::string, NodeVersion> nodes_;  // by label
  bool all_current_ = false;
  bool publishing_ = false;
  Micros publish_after_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_CLUSTER_VERSION_H_
