#include "runtime/server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <vector>

#include "runtime/net.h"

namespace troutlink::runtime {

namespace {
constexpr Micros kStalled = 10 * kSecond;  // in the middle of a request or an answer
constexpr Micros kIdle = 90 * kSecond;     // between requests
constexpr Micros kSpared = 500 * kMilli;   // idle for less: a request may be on its way
constexpr int kAcceptsAtOnce = 32;
}  // namespace

Server::~Server() {
  for (auto& [raw, c] : connections_) {
    ev_io_stop(loop_, &c->io);
    close(c->fd);
  }
  if (listener_ >= 0) {
    ev_io_stop(loop_, &accept_);
    close(listener_);
  }
}

bool Server::Open(const Endpoint& at) {
  listener_ = Listen(at);
  if (listener_ < 0) return false;
  accept_.data = this;
  ev_init(&accept_, &Server::OnAccept);
  ev_io_set(&accept_, listener_, EV_READ);
  ev_io_start(loop_, &accept_);
  return true;
}

void Server::OnAccept(struct ev_loop*, ev_io* w, int) {
  auto* self = static_cast<Server*>(w->data);
  for (int i = 0; i < kAcceptsAtOnce; ++i) {
    int fd = Accept(self->listener_);
    if (fd < 0) return;
    if (self->connections_.size() >= self->most_ && !self->DropIdle()) {
      // Refuse at once rather than let it wait for a socket.
      std::string refusal = http::WriteResponse(503, "", true, 1);
      (void)!send(fd, refusal.data(), refusal.size(), MSG_NOSIGNAL);
      close(fd);
      continue;
    }
    auto owned = std::make_unique<Connection>();
    Connection* c = owned.get();
    c->owner = self;
    c->fd = fd;
    c->last = SteadyNow();
    c->io.data = c;
    ev_init(&c->io, &Server::OnIo);
    self->connections_[c] = std::move(owned);
    self->Rest(c);
    self->Watch(c);
  }
}

void Server::Rest(Connection* c) {
  if (c->resting) return;
  c->resting = true;
  c->place = resting_.insert(resting_.end(), c);
}

void Server::Wake(Connection* c) {
  if (!c->resting) return;
  c->resting = false;
  resting_.erase(c->place);
}

bool Server::DropIdle() {
  if (resting_.empty() || SteadyNow() - resting_.front()->last < kSpared) return false;
  Drop(resting_.front());
  return true;
}

void Server::Watch(Connection* c) {
  int events = 0;
  if (c->request == 0 && !c->close_after) events |= EV_READ;
  if (!c->out.empty()) events |= EV_WRITE;
  // While a request is being answered, a hang-up still has to be seen.
  if (events == 0) events = EV_READ;
  ev_io_stop(loop_, &c->io);
  ev_io_set(&c->io, c->fd, events);
  ev_io_start(loop_, &c->io);
}

void Server::OnIo(struct ev_loop*, ev_io* w, int events) {
  auto* c = static_cast<Connection*>(w->data);
  c->owner->Handle(c, events);
}

void Server::Handle(Connection* c, int events) {
  if ((events & EV_WRITE) != 0 && !c->out.empty()) {
    if (!Write(c)) return;
    if (c->out.empty()) {
      Watch(c);
      if (c->request == 0) Parse(c);
      return;
    }
  }
  if ((events & EV_READ) == 0) return;
  char buffer[16384];
  ssize_t n = recv(c->fd, buffer, sizeof buffer, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  // Nobody pipelines: bytes that come while a request is being answered are
  // either a hang-up or a client of no good.
  if (n <= 0 || c->request != 0) {
    Drop(c);
    return;
  }
  c->last = SteadyNow();
  Wake(c);
  c->parser.Feed({buffer, static_cast<size_t>(n)});
  Parse(c);
}

void Server::Parse(Connection* c) {
  http::Message message;
  switch (c->parser.Next(&message)) {
    case http::Parser::State::kMore: return;
    case http::Parser::State::kError:
      c->close_after = true;
      c->out = http::WriteResponse(c->parser.error_status(), "", true, 0);
      c->sent = 0;
      if (Write(c)) Watch(c);
      return;
    case http::Parser::State::kMessage: break;
  }
  c->request = next_request_++;
  c->close_after = message.close;
  requests_[c->request] = c;
  Request request{c->request, std::move(message.method), std::move(message.target),
                  std::move(message.body)};
  on_request_(std::move(request));
}

void Server::Send(const Reply& reply) {
  auto it = requests_.find(reply.id);
  if (it == requests_.end()) return;
  Connection* c = it->second;
  requests_.erase(it);
  c->request = 0;
  // With nearly all sockets taken each answer ends its connection, so that every
  // client gets its turn: one node may be left with all workers there are.
  c->close_after = c->close_after || Crowded();
  c->out = http::WriteResponse(reply.status, reply.body, c->close_after, reply.retry_after_s);
  c->sent = 0;
  if (Write(c)) Watch(c);
}

// False when the connection is gone.
bool Server::Write(Connection* c) {
  while (c->sent < c->out.size()) {
    ssize_t n = send(c->fd, c->out.data() + c->sent, c->out.size() - c->sent, MSG_NOSIGNAL);
    if (n <= 0) {
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) return true;
      Drop(c);
      return false;
    }
    c->sent += static_cast<size_t>(n);
    c->last = SteadyNow();
  }
  c->out.clear();
  c->sent = 0;
  if (c->close_after) {
    Drop(c);
    return false;
  }
  if (c->request == 0 && c->parser.idle()) Rest(c);
  return true;
}

void Server::Drop(Connection* c) {
  Wake(c);
  ev_io_stop(loop_, &c->io);
  close(c->fd);
  if (c->request != 0) requests_.erase(c->request);
  connections_.erase(c);
}

void Server::Tick(Micros now) {
  std::vector<Connection*> late;
  for (auto& [c, owned] : connections_) {
    bool middle = !c->parser.idle() || !c->out.empty();
    if (now - c->last > (middle ? kStalled : kIdle) && c->request == 0) late.push_back(c);
  }
  for (Connection* c : late) Drop(c);
}

}  // namespace troutlink::runtime
