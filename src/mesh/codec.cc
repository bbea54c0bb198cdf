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

void PutText(std::string* out, std::string_view s) {
  PutVarint(out, s.size());
  out->append(s);
}

bool GetText(std::string_view* in, std::string* s) {
  uint64_t n = 0;
  if (!GetVarint(in, &n) || n > in->size()) return false;
  s->assign(in->substr(0, n));
  in->remove_prefix(n);
  return true;
}

bool GetLength(std::string_view* in, uint64_t* n) {
  // Every item takes at least a byte: a longer list is a lie.
  return GetVarint(in, n) && *n <= in->size() && *n <= kMaxItems;
}

void PutHeartbeat(std::string* out, const Heartbeat& g) {
  PutVarint(out, g.seq);
  PutVarint(out, g.state_age_us);
  PutVarint(out, g.epochs.size());
  for (const ShardEpoch& c : g.epochs) {
    PutVarint(out, c.shard_id);
    PutVarint(out, c.revision);
    PutText(out, c.leader);
  }
  PutVarint(out, g.cancels.size());
  for (const std::string& c : g.cancels) PutText(out, c);
  PutVarint(out, g.cancels_from);
  PutVarint(out, g.seen);
  PutVarint(out, g.wanted.size());
  for (uint64_t p : g.wanted) PutVarint(out, p);
  PutVarint(out, g.cached_images.size());
  for (const CachedImages& w : g.cached_images) {
    PutText(out, w.machine);
    PutVarint(out, w.images.size());
    for (const std::string& image : w.images) PutText(out, image);
  }
  PutVarint(out, g.silent_machines.size());
  for (const SilentMachine& q : g.silent_machines) {
    PutText(out, q.machine);
    PutVarint(out, q.silent_us);
  }
}

bool GetHeartbeat(std::string_view* in, Heartbeat* g) {
  uint64_t n = 0;
  if (!GetVarint(in, &g->seq) || !GetVarint(in, &g->state_age_us) || !GetLength(in, &n)) {
    return false;
  }
  g->epochs.resize(n);
  for (ShardEpoch& c : g->epochs) {
    if (!GetVarint(in, &c.shard_id) || !GetVarint(in, &c.revision) || !GetText(in, &c.leader)) {
      return false;
    }
  }
  if (!GetLength(in, &n)) return false;
  g->cancels.resize(n);
  for (std::string& c : g->cancels) {
    if (!GetText(in, &c)) return false;
  }
  if (!GetVarint(in, &g->cancels_from) || !GetVarint(in, &g->seen)) return false;
  if (!GetLength(in, &n)) return false;
  g->wanted.resize(n);
  for (uint64_t& p : g->wanted) {
    if (!GetVarint(in, &p)) return false;
  }
  if (!GetLength(in, &n)) return false;
  g->cached_images.resize(n);
  for (CachedImages& w : g->cached_images) {
    if (!GetText(in, &w.machine) || !GetLength(in, &n)) return false;
    w.images.resize(n);
    for (std::string& image : w.images) {
      if (!GetText(in, &image)) return false;
    }
  }
  if (!GetLength(in, &n)) return false;
  g->silent_machines.resize(n);
  for (SilentMachine& q : g->silent_machines) {
    if (!GetText(in, &q.machine) || !GetVarint(in, &q.silent_us)) return false;
  }
  return true;
}

}  // namespace

void PutVarint(std::string* out, uint64_t v) {
  while (v >= 0x80) {
    out->push_back(static_cast<char>((v & 0x7f) | 0x80));
    v >>= 7;
  }
  out->push_back(static_cast<char>(v));
}

bool GetVarint(std::string_view* in, uint64_t* v) {
  *v = 0;
  for (int shift = 0; shift < 64; shift += 7) {
    if (in->empty()) return false;
    uint8_t b = static_cast<uint8_t>(in->front());
    in->remove_prefix(1);
    if (shift == 63 && b > 1) return false;
    *v |= static_cast<uint64_t>(b & 0x7f) << shift;
    if ((b & 0x80) == 0) return true;
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
      Ping m;
      if (GetHeartbeat(&in, &m)) return m;
      break;
    }
    case kPong: {
      Pong m;
      if (GetHeartbeat(&in, &m)) return m;
      break;
    }
    case kRelay: {
      Relay m;
      if (GetVarint(&in, &m.id) && GetText(&in, &m.body)) return m;
      break;
    }
    case kRelayReply: {
      RelayReply m;
      if (GetVarint(&in, &m.id) && GetVarint(&in, &m.status) && GetText(&in, &m.body)) return m;
      break;
    }
    case kForward: {
      Forward m;
      if (GetVarint(&in, &m.id) && GetText(&in, &m.method) && GetText(&in, &m.target) &&
          GetText(&in, &m.body)) {
        return m;
      }
      break;
    }
    case kForwardReply: {
      ForwardReply m;
      if (GetVarint(&in, &m.id) && GetVarint(&in, &m.status) && GetVarint(&in, &m.retry_after_s) &&
          GetText(&in, &m.body)) {
        return m;
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
  uint64_t n = 0;
  if (!GetVarint(&in, &n)) {
    *bad = buffer_.size() >= 10;
    return false;
  }
  if (n > kMaxFrame) {
    *bad = true;
    return false;
  }
  if (in.size() < n) return false;
  frame->assign(in.substr(0, n));
  buffer_.erase(0, buffer_.size() - in.size() + n);
  return true;
}

}  // namespace troutlink::mesh
