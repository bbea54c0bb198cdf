// Messages between controllers in memory; codec.h has their binary encoding.
#ifndef TROUTLINK_MESH_MESSAGES_H_
#define TROUTLINK_MESH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace troutlink::mesh {

// The leader of a shard as of a revision of the key-value store.
struct ShardEpoch {
  uint64_t shard_id = 0;
  uint64_t revision = 0;
  std::string leader;
  bool operator==(const ShardEpoch&) const = default;
};

// Service images cached on one of the sender's machines.
struct CachedImages {
  std::string machine;
  std::vector<std::string> images;
  bool operator==(const CachedImages&) const = default;
};

// A silent machine of the sender. A controller that takes over the shard counts the silence from
// its start, not from the failover.
struct SilentMachine {
  std::string machine;
  uint64_t silent_us = 0;
  bool operator==(const SilentMachine&) const = default;
};

// Content of heartbeat requests and replies.
struct Heartbeat {
  uint64_t seq = 0;           // of the request, echoed in the reply
  uint64_t state_age_us = 0;  // microseconds since the key-value store last answered the sender
  std::vector<ShardEpoch> epochs;  // leaders known to the sender
  // Cancelled jobs known to the sender, except those committed up to the receiver's
  // `replica_revision`; complete above `cancellations_complete_above`.
  std::vector<std::string> cancelled_jobs;
  uint64_t cancellations_complete_above = 0;
  uint64_t replica_revision = 0;        // revision up to which the sender's replica is complete
  std::vector<uint64_t> wanted_shards;  // shards that the sender requests for failback
  std::vector<CachedImages> cached_images;
  std::vector<SilentMachine> silent_machines;
  bool operator==(const Heartbeat&) const = default;
};

// Sent a few times a second to every peer.
struct HeartbeatRequest : Heartbeat {};
// Answers a HeartbeatRequest with its `seq`.
struct HeartbeatReply : Heartbeat {};

// An agent heartbeat received by a controller that does not lead the machine's shard, from an agent
// that cannot reach the leader.
struct RelayedAgentHeartbeat {
  uint64_t id = 0;   // chosen by the sender
  std::string body;  // MessagePack, as sent by the agent
  bool operator==(const RelayedAgentHeartbeat&) const = default;
};
// Answer to the RelayedAgentHeartbeat with the same `id`; `status` is an HTTP status.
struct RelayedAgentHeartbeatReply {
  uint64_t id = 0;
  uint64_t status = 0;
  std::string body;  // MessagePack, for the agent
  bool operator==(const RelayedAgentHeartbeatReply&) const = default;
};

// A user's HTTP request that the sender cannot execute itself.
struct ForwardedRequest {
  uint64_t id = 0;  // chosen by the sender
  std::string method;
  std::string target;  // path and query as sent by the user
  std::string body;
  bool operator==(const ForwardedRequest&) const = default;
};
// Answer to the ForwardedRequest with the same `id`; `status` is an HTTP status.
struct ForwardedResponse {
  uint64_t id = 0;
  uint64_t status = 0;
  uint64_t retry_after_s = 0;  // 0: no Retry-After
  std::string body;
  bool operator==(const ForwardedResponse&) const = default;
};

// Any message between controllers.
using Message = std::variant<HeartbeatRequest, HeartbeatReply, RelayedAgentHeartbeat,
                             RelayedAgentHeartbeatReply, ForwardedRequest, ForwardedResponse>;

}  // namespace troutlink::mesh

#endif  // TROUTLINK_MESH_MESSAGES_H_
