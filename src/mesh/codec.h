// What the controllers say to each other, in the project's own varint codec.
//
// A frame is varint(length) and that many bytes: varint(kind), then the
// message's fields in order. Integers are LEB128 varints, texts and lists are
// preceded by their length. Unknown kinds are skipped by receivers.
#ifndef TROUTLINK_MESH_CODEC_H_
#define TROUTLINK_MESH_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace troutlink::mesh {

inline constexpr size_t kMaxFrame = size_t{256} * 1024;

struct ShardEpoch {
  uint64_t shard_id = 0;
  uint64_t revision = 0;
  std::string leader;
  bool operator==(const ShardEpoch&) const = default;
};

// Images of services that a machine of the sender's has.
struct CachedImages {
  std::string machine;
  std::vector<std::string> images;
  bool operator==(const CachedImages&) const = default;
};

// A machine of the sender's that has been silent for so long: whoever takes the
// part over must not count its silence from the takeover.
struct SilentMachine {
  std::string machine;
  uint64_t silent_us = 0;
  bool operator==(const SilentMachine&) const = default;
};

// Sent a few times a second to every peer; a Pong answers each.
struct Heartbeat {
  uint64_t seq = 0;           // of the ping, echoed by the pong
  uint64_t state_age_us = 0;  // since the state service last answered us
  std::vector<ShardEpoch> epochs;
  // Cancelled jobs that the sender knows of, whoever committed them, but for those with a
  // revision up to the receiver's `seen`; complete above `cancels_from`.
  std::vector<std::string> cancels;
  uint64_t cancels_from = 0;
  uint64_t seen = 0;             // the sender's replica holds all up to this revision
  std::vector<uint64_t> wanted;  // shards the sender would like handed back
  std::vector<CachedImages> cached_images;
  std::vector<SilentMachine> silent_machines;
  bool operator==(const Heartbeat&) const = default;
};

struct Ping : Heartbeat {};
struct Pong : Heartbeat {};

// A worker's report that reached a node which does not own the machine and
// that the worker could not take to the leader itself.
struct Relay {
  uint64_t id = 0;
  std::string body;
  bool operator==(const Relay&) const = default;
};
struct RelayReply {
  uint64_t id = 0;
  uint64_t status = 0;
  std::string body;
  bool operator==(const RelayReply&) const = default;
};

// A user's request that the sender cannot decide, and its answer.
struct Forward {
  uint64_t id = 0;
  std::string method;
  std::string target;
  std::string body;
  bool operator==(const Forward&) const = default;
};
struct ForwardReply {
  uint64_t id = 0;
  uint64_t status = 0;
  uint64_t retry_after_s = 0;
  std::string body;
  bool operator==(const ForwardReply&) const = default;
};

using Message = std::variant<Ping, Pong, Relay, RelayReply, Forward, ForwardReply>;

void PutVarint(std::string* out, uint64_t v);
// Advances `in`; false when it ends early or does not fit 64 bits.
bool GetVarint(std::string_view* in, uint64_t* v);

// One frame, its length included.
std::string Encode(const Message& message);
// The content of a frame without its length.
std::optional<Message> Decode(std::string_view frame);

// Cuts a byte stream into frames.
class Framer {
 public:
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // False when there is no whole frame; `*bad` tells a stream of no use.
  bool Next(std::string* frame, bool* bad);

 private:
  std::string buffer_;
};

}  // namespace troutlink::mesh

#endif  // TROUTLINK_MESH_CODEC_H_
