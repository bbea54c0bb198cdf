#include "relay.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>
#include <vector>

#include "runtime/socket.h"

namespace troutlink::soak {

namespace {
constexpr size_t kChunk = 16384;
bool WouldBlock() { return errno == EAGAIN || errno == EINTR; }
}  // namespace

Relay::~Relay() {
  while (!pipes_.empty()) Close(pipes_.begin()->first);
  if (listener_) ev_io_stop(loop_, &accept_);
}

bool Relay::Open(const Endpoint& at) {
  auto listener = runtime::Listen(at);
  if (!listener) return false;
  listener_ = std::move(*listener);
  accept_.data = this;
  ev_init(&accept_, &Relay::OnAccept);
  ev_io_set(&accept_, listener_.get(), EV_READ);
  ev_io_start(loop_, &accept_);
  return true;
}

void Relay::SetMode(Mode mode) {
  mode_ = mode;
  if (mode == Mode::kReset) {
    hits_ += pipes_.size();
    while (!pipes_.empty()) Close(pipes_.begin()->first);
  }
  if (mode != Mode::kOpen) return;
  std::vector<Pipe*> held;
  held.reserve(pipes_.size());
  for (auto& [raw, pipe] : pipes_) held.push_back(raw);
  for (Pipe* pipe : held) Flush(pipe);
}

void Relay::OnAccept(struct ev_loop*, ev_io* watcher, int) {
  auto* self = static_cast<Relay*>(watcher->data);
  auto in = runtime::Accept(self->listener_.get());
  if (!in) return;
  if (self->mode_ == Mode::kReset) {
    ++self->hits_;
    return;
  }
  self->Add(std::move(*in));
}

void Relay::Add(runtime::UniqueFd in) {
  auto out = runtime::Connect(to_);
  if (!out) return;
  auto owned = std::make_unique<Pipe>();
  Pipe* pipe = owned.get();
  pipe->owner = this;
  pipe->in = std::move(in);
  pipe->out = std::move(*out);
  pipe->read.data = pipe->write.data = pipe;
  ev_init(&pipe->read, &Relay::OnRead);
  ev_io_set(&pipe->read, pipe->in.get(), EV_READ);
  ev_io_start(loop_, &pipe->read);
  ev_init(&pipe->write, &Relay::OnWrite);
  ev_io_set(&pipe->write, pipe->out.get(), EV_WRITE);
  ev_io_start(loop_, &pipe->write);
  pipes_[pipe] = std::move(owned);
}

void Relay::OnRead(struct ev_loop*, ev_io* watcher, int) {
  auto* pipe = static_cast<Pipe*>(watcher->data);
  Relay* self = pipe->owner;
  char bytes[kChunk];
  const ssize_t count = recv(pipe->in.get(), bytes, sizeof bytes, 0);
  if (count < 0 && WouldBlock()) return;
  if (count <= 0) {
    ev_io_stop(self->loop_, &pipe->read);
    pipe->ended = true;
  } else {
    pipe->buffer.append(bytes, static_cast<size_t>(count));
    if (self->mode_ == Mode::kHold) ++self->hits_;
  }
  self->Flush(pipe);
}

void Relay::OnWrite(struct ev_loop*, ev_io* watcher, int) {
  auto* pipe = static_cast<Pipe*>(watcher->data);
  if (pipe->connecting && runtime::ConnectOutcome(pipe->out.get())) {
    pipe->owner->Close(pipe);
    return;
  }
  pipe->connecting = false;
  pipe->owner->Flush(pipe);
}

void Relay::Flush(Pipe* pipe) {
  if (mode_ == Mode::kHold || pipe->connecting) {
    if (!pipe->connecting) ev_io_stop(loop_, &pipe->write);
    return;
  }
  while (!pipe->buffer.empty()) {
    const ssize_t count =
        send(pipe->out.get(), pipe->buffer.data(), pipe->buffer.size(), MSG_NOSIGNAL);
    if (count < 0 && WouldBlock()) break;
    if (count <= 0) {
      Close(pipe);
      return;
    }
    pipe->buffer.erase(0, static_cast<size_t>(count));
  }
  if (pipe->buffer.empty() && pipe->ended) {
    Close(pipe);
    return;
  }
  ev_io_stop(loop_, &pipe->write);
  if (!pipe->buffer.empty()) ev_io_start(loop_, &pipe->write);
}

void Relay::Close(Pipe* pipe) {
  ev_io_stop(loop_, &pipe->read);
  ev_io_stop(loop_, &pipe->write);
  pipes_.erase(pipe);
}

}  // namespace troutlink::soak
