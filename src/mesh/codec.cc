#include "mesh/codec.h"

namespace troutlink::mesh {
namespace {

constexpr uint64_t kMaxItems = 100000;

// A kind keeps its form: a changed one gets a new number, so that a node of another
// release skips it. 0 and 1 were heartbeats that told of a node's own cancels only.
enum Kind : uint64_t {
  kRelay = 2,
  kRelayReply = 3,
  kForward = 4,
  kForwardReply = 5,
  kPing = 6,
  kPong = 7,
};

void PutText(std::string* out, std::string_view text) {
  PutVarint(out, text.size());
  out->append(text);
}

bool GetText(std::string_view* in, std::string* text) {
  uint64_t size = 0;
  if (!GetVarint(in, &size) || size > in->size()) return false;
  text->assign(in->substr(0, size));
  in->remove_prefix(size);
  return true;
}

bool GetLength(std::string_view* in, uint64_t* length) {
  // Every item takes at least a byte: a longer list is a lie.
  return GetVarint(in, length) && *length <= in->size() && *length <= kMaxItems;
}

void PutHeartbeat(std::string* out, const Heartbeat& heartbeat) {
  PutVarint(out, heartbeat.seq);
  PutVarint(out, heartbeat.state_age_us);
  PutVarint(out, heartbeat.epochs.size());
  for (const ShardEpoch& epoch : heartbeat.epochs) {
    PutVarint(out, epoch.shard_id);
    PutVarint(out, epoch.revision);
    PutText(out, epoch.leader);
  }
  PutVarint(out, heartbeat.cancels.size());
  for (const std::string& job : heartbeat.cancels) PutText(out, job);
  PutVarint(out, heartbeat.cancels_from);
  PutVarint(out, heartbeat.seen);
  PutVarint(out, heartbeat.wanted.size());
  for (uint64_t shard_id : heartbeat.wanted) PutVarint(out, shard_id);
  PutVarint(out, heartbeat.cached_images.size());
  for (const CachedImages& cached : heartbeat.cached_images) {
    PutText(out, cached.machine);
    PutVarint(out, cached.images.size());
    for (const std::string& image : cached.images) PutText(out, image);
  }
  PutVarint(out, heartbeat.silent_machines.size());
  for (const SilentMachine& silent : heartbeat.silent_machines) {
    PutText(out, silent.machine);
    PutVarint(out, silent.silent_us);
  }
}

bool GetHeartbeat(std::string_view* in, Heartbeat* heartbeat) {
  uint64_t length = 0;
  if (!GetVarint(in, &heartbeat->seq) || !GetVarint(in, &heartbeat->state_age_us) ||
      !GetLength(in, &length)) {
    return false;
  }
  heartbeat->epochs.resize(length);
  for (ShardEpoch& epoch : heartbeat->epochs) {
    if (!GetVarint(in, &epoch.shard_id) || !GetVarint(in, &epoch.revision) ||
        !GetText(in, &epoch.leader)) {
      return false;
    }
  }
  if (!GetLength(in, &length)) return false;
  heartbeat->cancels.resize(length);
  for (std::string& job : heartbeat->cancels) {
    if (!GetText(in, &job)) return false;
  }
  if (!GetVarint(in, &heartbeat->cancels_from) || !GetVarint(in, &heartbeat->seen)) return false;
  if (!GetLength(in, &length)) return false;
  heartbeat->wanted.resize(length);
  for (uint64_t& shard_id : heartbeat->wanted) {
    if (!GetVarint(in, &shard_id)) return false;
  }
  if (!GetLength(in, &length)) return false;
  heartbeat->cached_images.resize(length);
  for (CachedImages& cached : heartbeat->cached_images) {
    if (!GetText(in, &cached.machine) || !GetLength(in, &length)) return false;
    cached.images.resize(length);
    for (std::string& image : cached.images) {
      if (!GetText(in, &image)) return false;
    }
  }
  if (!GetLength(in, &length)) return false;
  heartbeat->silent_machines.resize(length);
  for (SilentMachine& silent : heartbeat->silent_machines) {
    if (!GetText(in, &silent.machine) || !GetVarint(in, &silent.silent_us)) return false;
  }
  return true;
}

}  // namespace

void PutVarint(std::string* out, uint64_t value) {
  while (value >= 0x80) {
    out->push_back(static_cast<char>((value & 0x7f) | 0x80));
    value >>= 7;
  }
  out->push_back(static_cast<char>(value));
}

bool GetVarint(std::string_view* in, uint64_t* value) {
  *value = 0;
  for (int shift = 0; shift < 64; shift += 7) {
    if (in->empty()) return false;
    uint8_t byte = static_cast<uint8_t>(in->front());
    in->remove_prefix(1);
    if (shift == 63 && byte > 1) return false;
    *value |= static_cast<uint64_t>(byte & 0x7f) << shift;
    if ((byte & 0x80) == 0) return true;
  }
  return false;
}

std::string Encode(const Message& message) {
  std::string body;
  if (const auto* ping = std::get_if<Ping>(&message)) {
    PutVarint(&body, kPing);
    PutHeartbeat(&body, *ping);
  } else if (const auto* pong = std::get_if<Pong>(&message)) {
    PutVarint(&body, kPong);
    PutHeartbeat(&body, *pong);
  } else if (const auto* relay = std::get_if<Relay>(&message)) {
    PutVarint(&body, kRelay);
    PutVarint(&body, relay->id);
    PutText(&body, relay->body);
  } else if (const auto* reply = std::get_if<RelayReply>(&message)) {
    PutVarint(&body, kRelayReply);
    PutVarint(&body, reply->id);
    PutVarint(&body, reply->status);
    PutText(&body, reply->body);
  } else if (const auto* forward = std::get_if<Forward>(&message)) {
    PutVarint(&body, kForward);
    PutVarint(&body, forward->id);
    PutText(&body, forward->method);
    PutText(&body, forward->target);
    PutText(&body, forward->body);
  } else if (const auto* answer = std::get_if<ForwardReply>(&message)) {
    PutVarint(&body, kForwardReply);
    PutVarint(&body, answer->id);
    PutVarint(&body, answer->status);
    PutVarint(&body, answer->retry_after_s);
    PutText(&body, answer->body);
  }
  std::string out;
  PutVarint(&out, body.size());
  return out + body;
}

std::optional<Message> Decode(std::string_view in) {
  uint64_t kind = 0;
  if (!GetVarint(&in, &kind)) return std::nullopt;
  switch (kind) {
    case kPing: {
      Ping message;
      if (GetHeartbeat(&in, &message)) return message;
      break;
    }
    case kPong: {
      Pong message;
      if (GetHeartbeat(&in, &message)) return message;
      break;
    }
    case kRelay: {
      Relay message;
      if (GetVarint(&in, &message.id) && GetText(&in, &message.body)) return message;
      break;
    }
    case kRelayReply: {
      RelayReply message;
      if (GetVarint(&in, &message.id) && GetVarint(&in, &message.status) &&
          GetText(&in, &message.body))
        return message;
      break;
    }
    case kForward: {
      Forward message;
      if (GetVarint(&in, &message.id) && GetText(&in, &message.method) &&
          GetText(&in, &message.target) && GetText(&in, &message.body)) {
        return message;
      }
      break;
    }
    case kForwardReply: {
      ForwardReply message;
      if (GetVarint(&in, &message.id) && GetVarint(&in, &message.status) &&
          GetVarint(&in, &message.retry_after_s) && GetText(&in, &message.body)) {
        return message;
      }
      break;
    }
    default: break;
  }
  return std::nullopt;
}

bool Framer::Next(std::string* frame, bool* bad) {
  *bad = false;
  std::string_view in = buffer_;
  uint64_t size = 0;
  if (!GetVarint(&in, &size)) {
    *bad = buffer_.size() >= 10;
    return false;
  }
  if (size > kMaxFrame) {
    *bad = true;
    return false;
  }
  if (in.size() < size) return false;
  frame->assign(in.substr(0, size));
  buffer_.erase(0, buffer_.size() - in.size() + size);
  return true;
}

}  // namespace troutlink::mesh
