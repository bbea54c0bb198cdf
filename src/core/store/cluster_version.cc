#include "core/store/cluster_version.h"

#include <algorithm>
#include <optional>

#include "core/store/records.h"

namespace troutlink {

bool ClusterVersion::PublishDue(Micros now) const {
  return !publishing_ && now >= publish_after_ &&
         VersionOf(settings_.label).version < kStoredFormVersion;
}

StateTxn ClusterVersion::BeginPublish() {
  publishing_ = true;
  StateTxn txn;
  const std::string key = NodeVersionKey(settings_.label);
  txn.conditions.push_back({key, VersionOf(settings_.label).revision});
  txn.writes.push_back({key, EncodeNodeVersion(kStoredFormVersion), 0, false});
  return txn;
}

void ClusterVersion::PublishAnswered(Micros now) {
  publishing_ = false;
  publish_after_ = now + kPublishRetryDelay;
}

bool ClusterVersion::Apply(const std::string& label, const std::string& value, uint64_t revision) {
  std::optional<uint64_t> version = DecodeNodeVersion(value);
  if (VersionOf(label).revision >= revision || !version) return false;
  nodes_[label] = {*version, revision};
  if (all_current_) return false;
  all_current_ = std::all_of(
      settings_.labels.begin(), settings_.labels.end(),
      [this](const std::string& node) { return VersionOf(node).version >= kStoredFormVersion; });
  return all_current_;
}

uint64_t ClusterVersion::number() const {
  return all_current_ ? kStoredFormVersion : kStoredFormVersion - 1;
}

ClusterVersion::NodeVersion ClusterVersion::VersionOf(const std::string& label) const {
  auto found = nodes_.find(label);
  return found == nodes_.end() ? NodeVersion() : found->second;
}

}  // namespace troutlink
