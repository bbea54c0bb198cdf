#include "runtime/client.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "runtime/net.h"

namespace troutlink::runtime {

namespace {
constexpr Micros kConnectTimeout = kSecond;
constexpr Micros kIdleTimeout = 30 * kSecond;
constexpr size_t kMaxWaiting = 256;
}  // namespace

Client::~Client() {
  for (auto& [raw, connection] : connections_) {
    ev_io_stop(loop_, &connection->io);
    if (connection->fd >= 0) close(connection->fd);
  }
}

void Client::Watch(Connection* connection, int events) {
  ev_io_stop(loop_, &connection->io);
  ev_io_set(&connection->io, connection->fd, events);
  ev_io_start(loop_, &connection->io);
}

void Client::Wake(Connection* connection) {
  if (!connection->resting) return;
  connection->resting = false;
  resting_.erase(connection->place);
}

void Client::Start(const Endpoint& to, int most, bool vital, const Call& call) {
  Pool& pool = pools_[to.text];
  pool.to = to;
  pool.most = most;
  pool.vital = vital;
  pool.waiting.push_back({call, SteadyNow() + call.timeout});
  Pump(&pool);
}

void Client::Pump(Pool* pool) {
  while (!pool->waiting.empty()) {
    Connection* free = nullptr;
    for (Connection* connection : pool->all) {
      if (!connection->busy && !connection->connecting) free = connection;
    }
    if (free == nullptr) {
      if (static_cast<int>(pool->all.size()) >= pool->most) return;
      if (!pool->vital && common_ >= most_) {
        if (resting_.empty()) return;  // Tick() looks again
        Drop(resting_.front());
      }
      int fd = Dial(pool->to);
      if (fd < 0) return;  // Tick() answers it when its time is over
      auto owned = std::make_unique<Connection>();
      free = owned.get();
      free->owner = this;
      free->endpoint = pool->to.text;
      free->fd = fd;
      free->connecting = true;
      free->vital = pool->vital;
      if (!free->vital) ++common_;
      free->opened = SteadyNow();
      free->io.data = free;
      ev_init(&free->io, &Client::OnIo);
      ev_io_set(&free->io, fd, EV_WRITE);
      ev_io_start(loop_, &free->io);
      connections_[free] = std::move(owned);
      pool->all.push_back(free);
    }
    Waiting next = std::move(pool->waiting.front());
    pool->waiting.pop_front();
    Assign(free, next);
  }
}

void Client::Assign(Connection* connection, const Waiting& waiting) {
  connection->busy = true;
  Wake(connection);
  connection->call = waiting.call.id;
  connection->deadline = waiting.deadline;
  connection->out = http::WriteRequest(waiting.call.method, waiting.call.target,
                                       connection->endpoint, waiting.call.body);
  connection->sent = 0;
  if (!connection->connecting) Watch(connection, EV_READ | EV_WRITE);
}

void Client::Write(Connection* connection) {
  while (connection->sent < connection->out.size()) {
    ssize_t count = send(connection->fd, connection->out.data() + connection->sent,
                         connection->out.size() - connection->sent, MSG_NOSIGNAL);
    if (count <= 0) {
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
      Finish(connection, kNoAnswer, "", false);
      return;
    }
    connection->sent += static_cast<size_t>(count);
  }
  connection->out.clear();
  connection->sent = 0;
  Watch(connection, EV_READ);
}

void Client::OnIo(struct ev_loop*, ev_io* watcher, int events) {
  auto* connection = static_cast<Connection*>(watcher->data);
  connection->owner->Handle(connection, events);
}

void Client::Handle(Connection* connection, int events) {
  if (connection->connecting) {
    if (ConnectError(connection->fd) != 0) {
      Finish(connection, kNotSent, "", false);
      return;
    }
    connection->connecting = false;
    if (!connection->busy) {
      Watch(connection, EV_READ);
      return;
    }
    Write(connection);
    return;
  }
  if ((events & EV_READ) != 0) {
    char buffer[16384];
    ssize_t count = recv(connection->fd, buffer, sizeof buffer, 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count <= 0 || !connection->busy) {
      Finish(connection, kNoAnswer, "", false);
      return;
    }
    connection->parser.Feed({buffer, static_cast<size_t>(count)});
    http::Message message;
    switch (connection->parser.Next(&message)) {
      case http::Parser::State::kMore: break;
      case http::Parser::State::kError: Finish(connection, kNoAnswer, "", false); return;
      case http::Parser::State::kMessage:
        Finish(connection, message.status, std::move(message.body),
               !message.close && connection->parser.idle());
        return;
    }
  }
  if ((events & EV_WRITE) != 0 && connection->busy && !connection->out.empty()) Write(connection);
}

void Client::Finish(Connection* connection, int status, std::string body, bool keep) {
  uint64_t call = connection->call;
  bool had = connection->busy;
  connection->busy = false;
  std::string endpoint = connection->endpoint;
  if (keep) {
    connection->idle_since = SteadyNow();
    if (!connection->vital && !connection->resting) {
      connection->resting = true;
      connection->place = resting_.insert(resting_.end(), connection);
    }
    Watch(connection, EV_READ);
  } else {
    Drop(connection);
  }
  if (had) done_(call, status, std::move(body));
  auto pool = pools_.find(endpoint);
  if (pool != pools_.end()) Pump(&pool->second);
}

void Client::Drop(Connection* connection) {
  Wake(connection);
  if (!connection->vital) --common_;
  ev_io_stop(loop_, &connection->io);
  close(connection->fd);
  auto pool = pools_.find(connection->endpoint);
  if (pool != pools_.end()) std::erase(pool->second.all, connection);
  connections_.erase(connection);
}

void Client::Tick(Micros now) {
  std::vector<Connection*> late, idle;
  for (auto& [connection, owned] : connections_) {
    if (connection->busy &&
        (now >= connection->deadline ||
         (connection->connecting && now - connection->opened > kConnectTimeout))) {
      late.push_back(connection);
    } else if (!connection->busy && !connection->connecting &&
               now - connection->idle_since > kIdleTimeout) {
      idle.push_back(connection);
    }
  }
  for (Connection* connection : idle) Drop(connection);
  for (Connection* connection : late) {
    if (connections_.count(connection) == 0) continue;
    // Other kept connections to a host that does not answer are as dead.
    std::vector<Connection*> others;
    for (Connection* other : pools_[connection->endpoint].all) {
      if (other != connection && !other->busy && !other->connecting) {
        others.push_back(other);
      }
    }
    for (Connection* other : others) Drop(other);
    Finish(connection, connection->connecting ? kNotSent : kNoAnswer, "", false);
  }
  for (auto it = pools_.begin(); it != pools_.end();) {
    Pool& pool = it->second;
    while (!pool.waiting.empty() &&
           (now >= pool.waiting.front().deadline || pool.waiting.size() > kMaxWaiting)) {
      uint64_t call = pool.waiting.front().call.id;
      pool.waiting.pop_front();
      done_(call, kNotSent, "");
    }
    Pump(&pool);
    it = pool.all.empty() && pool.waiting.empty() ? pools_.erase(it) : std::next(it);
  }
}

}  // namespace troutlink::runtime
