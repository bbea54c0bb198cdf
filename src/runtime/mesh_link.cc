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
  for (const Sibling& sibling : siblings) {
    Outgoing& outgoing = outgoing_[sibling.label];
    outgoing.owner = this;
    outgoing.to = sibling.mesh;
    outgoing.io.data = &outgoing;
    ev_init(&outgoing.io, &MeshLink::OnOut);
  }
}

MeshLink::~MeshLink() {
  for (auto& [label, outgoing] : outgoing_) Close(&outgoing);
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

void MeshLink::OnAccept(struct ev_loop*, ev_io* watcher, int) {
  auto* self = static_cast<MeshLink*>(watcher->data);
  int fd = Accept(self->listener_);
  if (fd < 0) return;
  if (self->incoming_.size() >= kMaxIncoming) {
    close(fd);
    return;
  }
  auto owned = std::make_unique<Incoming>();
  Incoming* connection = owned.get();
  connection->owner = self;
  connection->fd = fd;
  connection->io.data = connection;
  ev_init(&connection->io, &MeshLink::OnIn);
  ev_io_set(&connection->io, fd, EV_READ);
  ev_io_start(self->loop_, &connection->io);
  self->incoming_[connection] = std::move(owned);
}

void MeshLink::OnIn(struct ev_loop*, ev_io* watcher, int) {
  auto* connection = static_cast<Incoming*>(watcher->data);
  connection->owner->Read(connection);
}

void MeshLink::Read(Incoming* connection) {
  char buffer[16384];
  ssize_t count = recv(connection->fd, buffer, sizeof buffer, 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) {
    Drop(connection);
    return;
  }
  connection->framer.Feed({buffer, static_cast<size_t>(count)});
  std::string frame;
  bool bad = false;
  while (connection->framer.Next(&frame, &bad)) {
    if (connection->from.empty()) {
      if (outgoing_.count(frame) == 0) {
        Drop(connection);
        return;
      }
      connection->from = frame;
      continue;
    }
    if (std::optional<mesh::Message> message = mesh::Decode(frame)) {
      on_message_(connection->from, *message);
    }
  }
  if (bad) Drop(connection);
}

void MeshLink::Drop(Incoming* connection) {
  ev_io_stop(loop_, &connection->io);
  close(connection->fd);
  incoming_.erase(connection);
}

void MeshLink::Connect(Outgoing* outgoing) {
  Micros now = SteadyNow();
  if (now < outgoing->retry_at) return;
  outgoing->retry_at = now + kRedial;
  outgoing->fd = Dial(outgoing->to);
  if (outgoing->fd < 0) return;
  outgoing->connecting = true;
  outgoing->opened = outgoing->progress = now;
  mesh::PutVarint(&outgoing->out, label_.size());
  outgoing->out.append(label_);
  ev_io_set(&outgoing->io, outgoing->fd, EV_WRITE);
  ev_io_start(loop_, &outgoing->io);
}

void MeshLink::Close(Outgoing* outgoing) {
  if (outgoing->fd < 0) return;
  ev_io_stop(loop_, &outgoing->io);
  close(outgoing->fd);
  outgoing->fd = -1;
  outgoing->connecting = false;
  outgoing->out.clear();
}

void MeshLink::OnOut(struct ev_loop*, ev_io* watcher, int events) {
  auto* outgoing = static_cast<Outgoing*>(watcher->data);
  if (outgoing->connecting) {
    if (ConnectError(outgoing->fd) != 0) {
      outgoing->owner->Close(outgoing);
      return;
    }
    outgoing->connecting = false;
  }
  if ((events & EV_READ) != 0) {
    // Nothing is ever said on this side: readable means that it ended.
    char byte;
    ssize_t count = recv(outgoing->fd, &byte, 1, 0);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR)) {
      outgoing->owner->Close(outgoing);
      return;
    }
  }
  outgoing->owner->Write(outgoing);
}

void MeshLink::Write(Outgoing* outgoing) {
  while (!outgoing->out.empty()) {
    ssize_t count = send(outgoing->fd, outgoing->out.data(), outgoing->out.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) break;
      Close(outgoing);
      return;
    }
    outgoing->out.erase(0, static_cast<size_t>(count));
    outgoing->progress = SteadyNow();
  }
  ev_io_stop(loop_, &outgoing->io);
  ev_io_set(&outgoing->io, outgoing->fd, outgoing->out.empty() ? EV_READ : EV_READ | EV_WRITE);
  ev_io_start(loop_, &outgoing->io);
}

void MeshLink::Send(const std::string& to, const mesh::Message& message) {
  auto it = outgoing_.find(to);
  if (it == outgoing_.end()) return;
  Outgoing& outgoing = it->second;
  if (outgoing.fd < 0) Connect(&outgoing);
  if (outgoing.fd < 0 || outgoing.out.size() > kMaxBuffered) return;
  if (outgoing.out.empty()) outgoing.progress = SteadyNow();
  outgoing.out.append(mesh::Encode(message));
  if (!outgoing.connecting) Write(&outgoing);
}

void MeshLink::Tick(Micros now) {
  for (auto& [label, outgoing] : outgoing_) {
    if (outgoing.fd < 0) continue;
    bool slow = outgoing.connecting ? now - outgoing.opened > kConnectTimeout
                                    : !outgoing.out.empty() && now - outgoing.progress > kStalled;
    if (slow) Close(&outgoing);
  }
}

}  // namespace troutlink::runtime
