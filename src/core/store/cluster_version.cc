// The version of the cluster: which stored forms all nodes can read, and the limits of the
// state service that the node keeps to.
#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kPublishTimeout = 1500 * kMilli;
constexpr Micros kPublishPause = 300 * kMilli;
}  // namespace

// Each node stores its version once, so that the others learn it even if it is away by then. A
// node of another version that runs under this label later would be a return to an earlier
// release, which is not supported (docs/operating.md).
void Core::PublishVersion(Micros now) {
  if (!feed_.synced() || !node_health_.StateFresh(now) || publishing_version_ ||
      now < publish_version_after_) {
    return;
  }
  const NodeVersion& own = node_versions_[settings_.label];
  if (own.version >= kStoredFormVersion || HoldsEarlierLeadership()) return;
  publishing_version_ = true;
  write_budget_.Force(now, 1);
  StateTxn txn;
  const std::string key = NodeVersionKey(settings_.label);
  txn.conditions.push_back({key, own.revision});
  txn.writes.push_back({key, EncodeNodeVersion(kStoredFormVersion), 0, false});
  ++counters_.puts;
  effects_.Send(
      Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kPublishTimeout,
      [this, write = txn.writes[0]](Micros answered, int status, const std::string& body) {
        publishing_version_ = false;
        publish_version_after_ = answered + kPublishPause;
        std::optional<wire::TxnReply> reply;
        if (status == 200) reply = wire::DecodeTxnReply(body);
        if (!reply) return;
        node_health_.NoteStateAnswer(answered);
        ApplyPut(answered, write.key, write.value, reply->revision);
      });
}

// Whether a shard's leadership record is still of a process of this node before this one. That
// process may have had version 1, whose commits may still be carried out late under that
// record: they do not write a table's header, which commits of version 2 rely on.
bool Core::HoldsEarlierLeadership() const {
  for (const Shard& shard : shards_) {
    if (shard.replica.leadership_version != 0 &&
        shard.replica.leadership_record.leader == settings_.label &&
        shard.replica.leadership_record.boot != boot_) {
      return true;
    }
  }
  return false;
}

void Core::ApplyNodeVersion(const std::string& label, const std::string& value, uint64_t revision) {
  NodeVersion& known = node_versions_[label];
  std::optional<uint64_t> version = DecodeNodeVersion(value);
  if (known.revision >= revision || !version) return;
  known = {*version, revision};
  if (all_nodes_current_) return;
  for (const std::string& node : settings_.labels) {
    if (node_versions_[node].version < kStoredFormVersion) return;
  }
  all_nodes_current_ = true;
  const StateLimits& limits = Limits();
  effects_.Log(LogLine::Level::kInfo,
               "cluster version " + std::to_string(kStoredFormVersion) +
                   "; limits of the state service: " + std::to_string(limits.value_bytes) +
                   " bytes, " + std::to_string(limits.txn_ops) + " changes a transaction, " +
                   std::to_string(static_cast<int>(limits.write_rps)) + " changes a second");
}

// The announced limits hold from the moment at which all nodes can keep to them, as they come
// without notice.
const StateLimits& Core::Limits() const {
  return all_nodes_current_ ? settings_.next_state_limits : settings_.state_limits;
}

}  // namespace troutlink
