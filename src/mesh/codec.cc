#include "mesh/codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mesh/messages.h"
#include "mesh/varint.h"

namespace troutlink::mesh {
namespace {

// Maximum length of a decoded list.
constexpr uint64_t kMaxItems = 100000;

// Message kinds in frames. The form of a kind never changes: a changed message gets a new kind,
// which nodes of other releases skip. 0 and 1 are retired heartbeat forms.
enum class Kind : uint8_t {
  kRelay = 2,
  kRelayReply = 3,
  kForward = 4,
  kForwardReply = 5,
  kPing = 6,
  kPong = 7,
};

Kind KindOf(const HeartbeatRequest&) { return Kind::kPing; }
Kind KindOf(const HeartbeatReply&) { return Kind::kPong; }
Kind KindOf(const RelayedAgentHeartbeat&) { return Kind::kRelay; }
Kind KindOf(const RelayedAgentHeartbeatReply&) { return Kind::kRelayReply; }
Kind KindOf(const ForwardedRequest&) { return Kind::kForward; }
Kind KindOf(const ForwardedResponse&) { return Kind::kForwardReply; }

// Put() appends a value to a frame. Overloads for integers, strings, the structs of messages.h
// field by field, and lists of them.
void Put(std::string* out, uint64_t value) { PutVarint(out, value); }

void Put(std::string* out, const std::string& text) {
  PutVarint(out, text.size());
  out->append(text);
}

template <typename Item>
void Put(std::string* out, const std::vector<Item>& list);

void Put(std::string* out, const ShardEpoch& epoch) {
  Put(out, epoch.shard_id);
  Put(out, epoch.revision);
  Put(out, epoch.leader);
}

void Put(std::string* out, const CachedImages& cached) {
  Put(out, cached.machine);
  Put(out, cached.images);
}

void Put(std::string* out, const SilentMachine& silent) {
  Put(out, silent.machine);
  Put(out, silent.silent_us);
}

void Put(std::string* out, const Heartbeat& heartbeat) {
  Put(out, heartbeat.seq);
  Put(out, heartbeat.state_age_us);
  Put(out, heartbeat.epochs);
  Put(out, heartbeat.cancelled_jobs);
  Put(out, heartbeat.cancellations_complete_above);
  Put(out, heartbeat.replica_revision);
  Put(out, heartbeat.wanted_shards);
  Put(out, heartbeat.cached_images);
  Put(out, heartbeat.silent_machines);
}

void Put(std::string* out, const RelayedAgentHeartbeat& relay) {
  Put(out, relay.id);
  Put(out, relay.body);
}

void Put(std::string* out, const RelayedAgentHeartbeatReply& reply) {
  Put(out, reply.id);
  Put(out, reply.status);
  Put(out, reply.body);
}

void Put(std::string* out, const ForwardedRequest& forward) {
  Put(out, forward.id);
  Put(out, forward.method);
  Put(out, forward.target);
  Put(out, forward.body);
}

void Put(std::string* out, const ForwardedResponse& reply) {
  Put(out, reply.id);
  Put(out, reply.status);
  Put(out, reply.retry_after_s);
  Put(out, reply.body);
}

template <typename Item>
void Put(std::string* out, const std::vector<Item>& list) {
  Put(out, uint64_t{list.size()});
  for (const Item& item : list) Put(out, item);
}

// Get() reads the output of Put() from the front of `in` and advances it. Returns false if it ends
// early or is malformed.
bool Get(std::string_view* in, uint64_t* value) { return GetVarint(in, value); }

bool Get(std::string_view* in, std::string* text) {
  uint64_t size = 0;
  if (!GetVarint(in, &size) || size > in->size()) return false;
  text->assign(in->substr(0, size));
  in->remove_prefix(size);
  return true;
}

template <typename Item>
bool Get(std::string_view* in, std::vector<Item>* list);

bool Get(std::string_view* in, ShardEpoch* epoch) {
  return Get(in, &epoch->shard_id) && Get(in, &epoch->revision) && Get(in, &epoch->leader);
}

bool Get(std::string_view* in, CachedImages* cached) {
  return Get(in, &cached->machine) && Get(in, &cached->images);
}

bool Get(std::string_view* in, SilentMachine* silent) {
  return Get(in, &silent->machine) && Get(in, &silent->silent_us);
}

bool Get(std::string_view* in, Heartbeat* heartbeat) {
  return Get(in, &heartbeat->seq) && Get(in, &heartbeat->state_age_us) &&
         Get(in, &heartbeat->epochs) && Get(in, &heartbeat->cancelled_jobs) &&
         Get(in, &heartbeat->cancellations_complete_above) &&
         Get(in, &heartbeat->replica_revision) && Get(in, &heartbeat->wanted_shards) &&
         Get(in, &heartbeat->cached_images) && Get(in, &heartbeat->silent_machines);
}

bool Get(std::string_view* in, RelayedAgentHeartbeat* relay) {
  return Get(in, &relay->id) && Get(in, &relay->body);
}

bool Get(std::string_view* in, RelayedAgentHeartbeatReply* reply) {
  return Get(in, &reply->id) && Get(in, &reply->status) && Get(in, &reply->body);
}

bool Get(std::string_view* in, ForwardedRequest* forward) {
  return Get(in, &forward->id) && Get(in, &forward->method) && Get(in, &forward->target) &&
         Get(in, &forward->body);
}

bool Get(std::string_view* in, ForwardedResponse* reply) {
  return Get(in, &reply->id) && Get(in, &reply->status) && Get(in, &reply->retry_after_s) &&
         Get(in, &reply->body);
}

template <typename Item>
bool Get(std::string_view* in, std::vector<Item>* list) {
  uint64_t length = 0;
  if (!GetVarint(in, &length)) return false;
  // Every item takes at least one byte: check before reserving memory.
  if (length > in->size() || length > kMaxItems) return false;
  list->resize(length);
  for (Item& item : *list) {
    if (!Get(in, &item)) return false;
  }
  return true;
}

// A message of type `Payload` whose fields are `fields`.
template <typename Payload>
std::optional<Message> DecodeAs(std::string_view fields) {
  Payload message;
  if (!Get(&fields, &message)) return std::nullopt;
  return message;
}

}  // namespace

std::string Encode(const Message& message) {
  std::string content;
  std::visit(
      [&content](const auto& payload) {
        Put(&content, static_cast<uint64_t>(KindOf(payload)));
        Put(&content, payload);
      },
      message);
  std::string frame;
  PutVarint(&frame, content.size());
  return frame + content;
}

std::optional<Message> Decode(std::string_view content) {
  uint64_t kind = 0;
  if (!GetVarint(&content, &kind)) return std::nullopt;
  switch (kind) {
    case static_cast<uint64_t>(Kind::kPing): return DecodeAs<HeartbeatRequest>(content);
    case static_cast<uint64_t>(Kind::kPong): return DecodeAs<HeartbeatReply>(content);
    case static_cast<uint64_t>(Kind::kRelay): return DecodeAs<RelayedAgentHeartbeat>(content);
    case static_cast<uint64_t>(Kind::kRelayReply):
      return DecodeAs<RelayedAgentHeartbeatReply>(content);
    case static_cast<uint64_t>(Kind::kForward): return DecodeAs<ForwardedRequest>(content);
    case static_cast<uint64_t>(Kind::kForwardReply): return DecodeAs<ForwardedResponse>(content);
    default: return std::nullopt;
  }
}

}  // namespace troutlink::mesh
