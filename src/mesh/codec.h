// The messages between controllers and their binary form.
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

// A frame with a longer content ends the connection.
inline constexpr size_t kMaxFrame = size_t{256} * 1024;

// Which controller leads a shard, as of a revision of the state service.
struct ShardEpoch {
  uint64_t shard_id = 0;
  uint64_t revision = 0;
  std::string leader;
  bool operator==(const ShardEpoch&) const = default;
};

// Images of services that are cached on one of the sender's machines.
struct CachedImages {
  std::string machine;
  std::vector<std::string> images;
  bool operator==(const CachedImages&) const = default;
};

// One of the sender's machines that has not reported for this long. A controller that
// takes over the shard counts the silence from its start, not from the takeover.
struct SilentMachine {
  std::string machine;
  uint64_t silent_us = 0;
  bool operator==(const SilentMachine&) const = default;
};

// The content of a Ping and of a Pong.
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

// Sent a few times a second to every peer.
struct Ping : Heartbeat {};
// Answers a Ping, with its `seq`.
struct Pong : Heartbeat {};

// A worker's report that reached a node which does not own the machine and
// that the worker could not take to the leader itself.
struct Relay {
  uint64_t id = 0;
  std::string body;
  bool operator==(const Relay&) const = default;
};
// The answer to the Relay with the same `id`; `status` is an HTTP status.
struct RelayReply {
  uint64_t id = 0;
  uint64_t status = 0;
  std::string body;
  bool operator==(const RelayReply&) const = default;
};

// A user's request that the sender cannot decide.
struct Forward {
  uint64_t id = 0;
  std::string method;
  std::string target;
  std::string body;
  bool operator==(const Forward&) const = default;
};
// The answer to the Forward with the same `id`; `status` is an HTTP status.
struct ForwardReply {
  uint64_t id = 0;
  uint64_t status = 0;
  uint64_t retry_after_s = 0;
  std::string body;
  bool operator==(const ForwardReply&) const = default;
};

// Any message between controllers.
using Message = std::variant<Ping, Pong, Relay, RelayReply, Forward, ForwardReply>;

// Appends `value` to `out` as a LEB128 varint.
void PutVarint(std::string* out, uint64_t value);
// Reads a varint from the front of `in` and advances it; false when it ends early or
// does not fit 64 bits.
bool GetVarint(std::string_view* in, uint64_t* value);

// `message` as one frame, its length included.
std::string Encode(const Message& message);
// The message in the content of a frame (without its length); nothing when the content
// is malformed or of an unknown kind.
std::optional<Message> Decode(std::string_view frame);

// Splits a stream of bytes into the contents of its frames.
class Framer {
 public:
  // Appends bytes of the stream.
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Takes the next frame's content; false when there is no whole frame. `*bad` is set
  // when the stream is malformed and must be closed.
  bool Next(std::string* frame, bool* bad);

 private:
  std::string buffer_;
};

}  // namespace troutlink::mesh

#endif  // TROUTLINK_MESH_CODEC_H_
