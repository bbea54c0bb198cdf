#include "runtime/mesh_link.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "runtime/net.h"

namespace troutlink::runtime {

namespace {
constexpr Micros kRedial = 300 * kMilli;
constexpr Micros kConnectTimeout = kSecond;
constexpr Micros kStalled = 2 * kSecond;
constexpr size_t kMaxBuffered = size_t{256} * 1024;
constexpr size_t kMaxIncoming = 32;
}  // namespace

MeshLink::MeshLink(struct ev_loop* loop, std::string label, const std::vector<Sibling>& siblings,
                   OnMessage on_message)
    : loop_(loop), label_(std::move(label)), on_message_(std::move(on_message)) {
  for (const Sibling& s : siblings) {
    Outgoing& o = outgoing_[s.label];
    o.owner = this;
    o.to = s.mesh;
    o.io.data = &o;
    ev_init(&o.io, &MeshLink::OnOut);
  }
}

MeshLink::~MeshLink() {
  for (auto& [label, o] : outgoing_) Close(&o);
  while (!incoming_.empty()) Drop(incoming_.begin()->first);
  if (listener_ >= 0) {
    ev_io_stop(loop_, &accept_);
    close(listener_);
  }
}

bool MeshLink::Open(const Endpoint& at) {
  listener_ = Listen(at);
  if (listener_ < 0) return false;
  accept_.data = this;
  ev_init(&accept_, &MeshLink::OnAccept);
  ev_io_set(&accept_, listener_, EV_READ);
  ev_io_start(loop_, &accept_);
  return true;
}

void MeshLink::OnAccept(struct ev_loop*, ev_io* w, int) {
  auto* self = static_cast<MeshLink*>(w->data);
  int fd = Accept(self->listener_);
  if (fd < 0) return;
  if (self->incoming_.size() >= kMaxIncoming) {
    close(fd);
    return;
  }
  auto owned = std::make_unique<Incoming>();
  Incoming* c = owned.get();
  c->owner = self;
  c->fd = fd;
  c->io.data = c;
  ev_init(&c->io, &MeshLink::OnIn);
  ev_io_set(&c->io, fd, EV_READ);
  ev_io_start(self->loop_, &c->io);
  self->incoming_[c] = std::move(owned);
}

void MeshLink::OnIn(struct ev_loop*, ev_io* w, int) {
  auto* c = static_cast<Incoming*>(w->data);
  c->owner->Read(c);
}

void MeshLink::Read(Incoming* c) {
  char buffer[16384];
  ssize_t n = recv(c->fd, buffer, sizeof buffer, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n <= 0) {
    Drop(c);
    return;
  }
  c->framer.Feed({buffer, static_cast<size_t>(n)});
  std::string frame;
  bool bad = false;
  while (c->framer.Next(&frame, &bad)) {
    if (c->from.empty()) {
      if (outgoing_.count(frame) == 0) {
        Drop(c);
        return;
      }
      c->from = frame;
      continue;
    }
    if (std::optional<mesh::Message> message = mesh::Decode(frame)) on_message_(c->from, *message);
  }
  if (bad) Drop(c);
}

void MeshLink::Drop(Incoming* c) {
  ev_io_stop(loop_, &c->io);
  close(c->fd);
  incoming_.erase(c);
}

void MeshLink::Connect(Outgoing* o) {
  Micros now = SteadyNow();
  if (now < o->retry_at) return;
  o->retry_at = now + kRedial;
  o->fd = Dial(o->to);
  if (o->fd < 0) return;
  o->connecting = true;
  o->opened = o->progress = now;
  mesh::PutVarint(&o->out, label_.size());
  o->out.append(label_);
  ev_io_set(&o->io, o->fd, EV_WRITE);
  ev_io_start(loop_, &o->io);
}

void MeshLink::Close(Outgoing* o) {
  if (o->fd < 0) return;
  ev_io_stop(loop_, &o->io);
  close(o->fd);
  o->fd = -1;
  o->connecting = false;
  o->out.clear();
}

void MeshLink::OnOut(struct ev_loop*, ev_io* w, int events) {
  auto* o = static_cast<Outgoing*>(w->data);
  if (o->connecting) {
    if (ConnectError(o->fd) != 0) {
      o->owner->Close(o);
      return;
    }
    o->connecting = false;
  }
  if ((events & EV_READ) != 0) {
    // Nothing is ever said on this side: readable means that it ended.
    char byte;
    ssize_t n = recv(o->fd, &byte, 1, 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
      o->owner->Close(o);
      return;
    }
  }
  o->owner->Write(o);
}

void MeshLink::Write(Outgoing* o) {
  while (!o->out.empty()) {
    ssize_t n = send(o->fd, o->out.data(), o->out.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) break;
      Close(o);
      return;
    }
    o->out.erase(0, static_cast<size_t>(n));
    o->progress = SteadyNow();
  }
  ev_io_stop(loop_, &o->io);
  ev_io_set(&o->io, o->fd, o->out.empty() ? EV_READ : EV_READ | EV_WRITE);
  ev_io_start(loop_, &o->io);
}

void MeshLink::Send(const std::string& to, const mesh::Message& message) {
  auto it = outgoing_.find(to);
  if (it == outgoing_.end()) return;
  Outgoing& o = it->second;
  if (o.fd < 0) Connect(&o);
  if (o.fd < 0 || o.out.size() > kMaxBuffered) return;
  if (o.out.empty()) o.progress = SteadyNow();
  o.out.append(mesh::Encode(message));
  if (!o.connecting) Write(&o);
}

void MeshLink::Tick(Micros now) {
  for (auto& [label, o] : outgoing_) {
    if (o.fd < 0) continue;
    bool slow = o.connecting ? now - o.opened > kConnectTimeout
                             : !o.out.empty() && now - o.progress > kStalled;
    if (slow) Close(&o);
  }
}

}  // namespace troutlink::runtime
