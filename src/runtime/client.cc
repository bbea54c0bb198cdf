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
  for (auto& [raw, c] : connections_) {
    ev_io_stop(loop_, &c->io);
    if (c->fd >= 0) close(c->fd);
  }
}

void Client::Watch(Connection* c, int events) {
  ev_io_stop(loop_, &c->io);
  ev_io_set(&c->io, c->fd, events);
  ev_io_start(loop_, &c->io);
}

void Client::Wake(Connection* c) {
  if (!c->resting) return;
  c->resting = false;
  resting_.erase(c->place);
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
    for (Connection* c : pool->all) {
      if (!c->busy && !c->connecting) free = c;
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

void Client::Assign(Connection* c, const Waiting& waiting) {
  c->busy = true;
  Wake(c);
  c->call = waiting.call.id;
  c->deadline = waiting.deadline;
  c->out =
      http::WriteRequest(waiting.call.method, waiting.call.target, c->endpoint, waiting.call.body);
  c->sent = 0;
  if (!c->connecting) Watch(c, EV_READ | EV_WRITE);
}

void Client::Write(Connection* c) {
  while (c->sent < c->out.size()) {
    ssize_t n = send(c->fd, c->out.data() + c->sent, c->out.size() - c->sent, MSG_NOSIGNAL);
    if (n <= 0) {
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
      Finish(c, kNoAnswer, "", false);
      return;
    }
    c->sent += static_cast<size_t>(n);
  }
  c->out.clear();
  c->sent = 0;
  Watch(c, EV_READ);
}

void Client::OnIo(struct ev_loop*, ev_io* w, int events) {
  auto* c = static_cast<Connection*>(w->data);
  c->owner->Handle(c, events);
}

void Client::Handle(Connection* c, int events) {
  if (c->connecting) {
    if (ConnectError(c->fd) != 0) {
      Finish(c, kNotSent, "", false);
      return;
    }
    c->connecting = false;
    if (!c->busy) {
      Watch(c, EV_READ);
      return;
    }
    Write(c);
    return;
  }
  if ((events & EV_READ) != 0) {
    char buffer[16384];
    ssize_t n = recv(c->fd, buffer, sizeof buffer, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0 || !c->busy) {
      Finish(c, kNoAnswer, "", false);
      return;
    }
    c->parser.Feed({buffer, static_cast<size_t>(n)});
    http::Message message;
    switch (c->parser.Next(&message)) {
      case http::Parser::State::kMore: break;
      case http::Parser::State::kError: Finish(c, kNoAnswer, "", false); return;
      case http::Parser::State::kMessage:
        Finish(c, message.status, std::move(message.body), !message.close && c->parser.idle());
        return;
    }
  }
  if ((events & EV_WRITE) != 0 && c->busy && !c->out.empty()) Write(c);
}

void Client::Finish(Connection* c, int status, std::string body, bool keep) {
  uint64_t call = c->call;
  bool had = c->busy;
  c->busy = false;
  std::string endpoint = c->endpoint;
  if (keep) {
    c->idle_since = SteadyNow();
    if (!c->vital && !c->resting) {
      c->resting = true;
      c->place = resting_.insert(resting_.end(), c);
    }
    Watch(c, EV_READ);
  } else {
    Drop(c);
  }
  if (had) done_(call, status, std::move(body));
  auto pool = pools_.find(endpoint);
  if (pool != pools_.end()) Pump(&pool->second);
}

void Client::Drop(Connection* c) {
  Wake(c);
  if (!c->vital) --common_;
  ev_io_stop(loop_, &c->io);
  close(c->fd);
  auto pool = pools_.find(c->endpoint);
  if (pool != pools_.end()) std::erase(pool->second.all, c);
  connections_.erase(c);
}

void Client::Tick(Micros now) {
  std::vector<Connection*> late, idle;
  for (auto& [c, owned] : connections_) {
    if (c->busy && (now >= c->deadline || (c->connecting && now - c->opened > kConnectTimeout))) {
      late.push_back(c);
    } else if (!c->busy && !c->connecting && now - c->idle_since > kIdleTimeout) {
      idle.push_back(c);
    }
  }
  for (Connection* c : idle) Drop(c);
  for (Connection* c : late) {
    if (connections_.count(c) == 0) continue;
    // Other kept connections to a host that does not answer are as dead.
    std::vector<Connection*> others;
    for (Connection* o : pools_[c->endpoint].all) {
      if (o != c && !o->busy && !o->connecting) others.push_back(o);
    }
    for (Connection* o : others) Drop(o);
    Finish(c, c->connecting ? kNotSent : kNoAnswer, "", false);
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
