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
  for (auto& [raw, connection] : connections_) {
    ev_io_stop(loop_, &connection->io);
    close(connection->fd);
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

void Server::OnAccept(struct ev_loop*, ev_io* watcher, int) {
  auto* self = static_cast<Server*>(watcher->data);
  for (int index = 0; index < kAcceptsAtOnce; ++index) {
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
    Connection* connection = owned.get();
    connection->owner = self;
    connection->fd = fd;
    connection->last = SteadyNow();
    connection->io.data = connection;
    ev_init(&connection->io, &Server::OnIo);
    self->connections_[connection] = std::move(owned);
    self->Rest(connection);
    self->Watch(connection);
  }
}

void Server::Rest(Connection* connection) {
  if (connection->resting) return;
  connection->resting = true;
  connection->place = resting_.insert(resting_.end(), connection);
}

void Server::Wake(Connection* connection) {
  if (!connection->resting) return;
  connection->resting = false;
  resting_.erase(connection->place);
}

bool Server::DropIdle() {
  if (resting_.empty() || SteadyNow() - resting_.front()->last < kSpared) return false;
  Drop(resting_.front());
  return true;
}

void Server::Watch(Connection* connection) {
  int events = 0;
  if (connection->request == 0 && !connection->close_after) events |= EV_READ;
  if (!connection->out.empty()) events |= EV_WRITE;
  // While a request is being answered, a hang-up still has to be seen.
  if (events == 0) events = EV_READ;
  ev_io_stop(loop_, &connection->io);
  ev_io_set(&connection->io, connection->fd, events);
  ev_io_start(loop_, &connection->io);
}

void Server::OnIo(struct ev_loop*, ev_io* watcher, int events) {
  auto* connection = static_cast<Connection*>(watcher->data);
  connection->owner->Handle(connection, events);
}

void Server::Handle(Connection* connection, int events) {
  if ((events & EV_WRITE) != 0 && !connection->out.empty()) {
    if (!Write(connection)) return;
    if (connection->out.empty()) {
      Watch(connection);
      if (connection->request == 0) Parse(connection);
      return;
    }
  }
  if ((events & EV_READ) == 0) return;
  char buffer[16384];
  ssize_t count = recv(connection->fd, buffer, sizeof buffer, 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  // Nobody pipelines: bytes that come while a request is being answered are
  // either a hang-up or a client of no good.
  if (count <= 0 || connection->request != 0) {
    Drop(connection);
    return;
  }
  connection->last = SteadyNow();
  Wake(connection);
  connection->parser.Feed({buffer, static_cast<size_t>(count)});
  Parse(connection);
}

void Server::Parse(Connection* connection) {
  http::Message message;
  switch (connection->parser.Next(&message)) {
    case http::Parser::State::kMore: return;
    case http::Parser::State::kError:
      connection->close_after = true;
      connection->out = http::WriteResponse(connection->parser.error_status(), "", true, 0);
      connection->sent = 0;
      if (Write(connection)) Watch(connection);
      return;
    case http::Parser::State::kMessage: break;
  }
  connection->request = next_request_++;
  connection->close_after = message.close;
  requests_[connection->request] = connection;
  Request request{connection->request, std::move(message.method), std::move(message.target),
                  std::move(message.body)};
  on_request_(std::move(request));
}

void Server::Send(const Reply& reply) {
  auto it = requests_.find(reply.id);
  if (it == requests_.end()) return;
  Connection* connection = it->second;
  requests_.erase(it);
  connection->request = 0;
  // With nearly all sockets taken each answer ends its connection, so that every
  // client gets its turn: one node may be left with all workers there are.
  connection->close_after = connection->close_after || Crowded();
  connection->out =
      http::WriteResponse(reply.status, reply.body, connection->close_after, reply.retry_after_s);
  connection->sent = 0;
  if (Write(connection)) Watch(connection);
}

// False when the connection is gone.
bool Server::Write(Connection* connection) {
  while (connection->sent < connection->out.size()) {
    ssize_t count = send(connection->fd, connection->out.data() + connection->sent,
                         connection->out.size() - connection->sent, MSG_NOSIGNAL);
    if (count <= 0) {
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) return true;
      Drop(connection);
      return false;
    }
    connection->sent += static_cast<size_t>(count);
    connection->last = SteadyNow();
  }
  connection->out.clear();
  connection->sent = 0;
  if (connection->close_after) {
    Drop(connection);
    return false;
  }
  if (connection->request == 0 && connection->parser.idle()) Rest(connection);
  return true;
}

void Server::Drop(Connection* connection) {
  Wake(connection);
  ev_io_stop(loop_, &connection->io);
  close(connection->fd);
  if (connection->request != 0) requests_.erase(connection->request);
  connections_.erase(connection);
}

void Server::Tick(Micros now) {
  std::vector<Connection*> late;
  for (auto& [connection, owned] : connections_) {
    bool middle = !connection->parser.idle() || !connection->out.empty();
    if (now - connection->last > (middle ? kStalled : kIdle) && connection->request == 0) {
      late.push_back(connection);
    }
  }
  for (Connection* connection : late) Drop(connection);
}

}  // namespace troutlink::runtime
