#include "runtime/node.h"

#include <ev.h>
#include <spdlog/spdlog.h>

#include <cerrno>
#include <cstring>
#include <deque>
#include <random>

#include "core/core.h"
#include "runtime/client.h"
#include "runtime/mesh_link.h"
#include "runtime/net.h"
#include "runtime/server.h"

namespace troutlink::runtime {
namespace {

constexpr double kTickSeconds = 0.05;
constexpr int kStateConnections = 6;
constexpr int kCloudConnections = 2;

uint64_t DrawBoot() {
  std::random_device device;
  uint64_t boot = (static_cast<uint64_t>(device()) << 32) | device();
  // Below 2^63: it is stored as an integer that every reader can hold.
  return (boot ^ static_cast<uint64_t>(SteadyNow())) >> 1;
}

class Node {
 public:
  explicit Node(const Settings& settings)
      : settings_(settings),
        loop_(ev_default_loop(EVFLAG_AUTO)),
        core_(settings, DrawBoot(), SteadyNow(), WallNow()),
        server_(loop_, ServerSockets(settings),
                [this](const Request& request) { OnRequest(request); }),
        client_(loop_, WorkerSockets(settings),
                [this](uint64_t call, int status, std::string body) {
                  inbox_.push_back({call, status, std::move(body)});
                }),
        mesh_(loop_, settings.label, settings.siblings,
              [this](const std::string& from, const mesh::Message& message) {
                Dispatch(core_.HandlePeer(SteadyNow(), from, message));
              }) {}

  int Run() {
    core_.SetDetailedLog(spdlog::should_log(spdlog::level::debug));
    if (!server_.Open(settings_.serve)) {
      spdlog::error("cannot listen on {}: {}", settings_.serve.text, std::strerror(errno));
      return 1;
    }
    if (!mesh_.Open(settings_.mesh)) {
      spdlog::error("cannot listen on {}: {}", settings_.mesh.text, std::strerror(errno));
      return 1;
    }
    spdlog::info("{} serves on {}", settings_.label, settings_.serve.text);
    timer_.data = this;
    ev_init(&timer_, &Node::OnTimer);
    ev_timer_set(&timer_, 0, kTickSeconds);
    ev_timer_start(loop_, &timer_);
    prepare_.data = this;
    ev_init(&prepare_, &Node::OnPrepare);
    ev_prepare_start(loop_, &prepare_);
    ev_run(loop_, 0);
    return 0;
  }

 private:
  struct Arrived {
    uint64_t call;
    int status;
    std::string body;
  };

  // Every worker may come to one node, when the others are gone; direct commands are
  // short and share few sockets. Some are kept for the state service, the cloud, the
  // siblings and the loop itself, whatever comes in.
  static constexpr int kKeptSockets = 64;
  static size_t WorkerSockets(const Settings& settings) {
    return static_cast<size_t>(std::max(4, settings.fd_limit / 6));
  }
  static size_t ServerSockets(const Settings& settings) {
    const int left = settings.fd_limit - static_cast<int>(WorkerSockets(settings)) - kKeptSockets;
    return static_cast<size_t>(std::max(16, left));
  }

  static void OnTimer(struct ev_loop*, ev_timer* watcher, int) {
    auto* self = static_cast<Node*>(watcher->data);
    Micros now = SteadyNow();
    self->client_.Tick(now);
    self->server_.Tick(now);
    self->mesh_.Tick(now);
    self->Dispatch(self->core_.Tick(now, WallNow()));
  }

  // Answers are handed to the core here, never from within a call of its own.
  static void OnPrepare(struct ev_loop*, ev_prepare* watcher, int) {
    auto* self = static_cast<Node*>(watcher->data);
    while (!self->inbox_.empty()) {
      Arrived arrived = std::move(self->inbox_.front());
      self->inbox_.pop_front();
      self->Dispatch(
          self->core_.HandleAnswer(SteadyNow(), arrived.call, arrived.status, arrived.body));
    }
  }

  void OnRequest(const Request& request) { Dispatch(core_.HandleRequest(SteadyNow(), request)); }

  void Dispatch(const Outbox& out) {
    for (const LogLine& line : out.log) {
      switch (line.level) {
        case LogLine::Level::kError: spdlog::error("{}", line.text); break;
        case LogLine::Level::kInfo: spdlog::info("{}", line.text); break;
        case LogLine::Level::kDebug: spdlog::debug("{}", line.text); break;
      }
    }
    for (const Call& call : out.calls) {
      switch (call.dest) {
        case Dest::kState:
        case Dest::kWatch: client_.Start(settings_.state, kStateConnections, true, call); break;
        case Dest::kCloud: client_.Start(settings_.cloud, kCloudConnections, true, call); break;
        case Dest::kWorker:
          if (std::optional<Endpoint> to = ParseEndpoint(call.addr)) {
            client_.Start(*to, 1, false, call);
          } else {
            inbox_.push_back({call.id, kNotSent, ""});
          }
          break;
      }
    }
    for (const PeerMessage& message : out.peers) mesh_.Send(message.to, message.message);
    for (const Reply& reply : out.replies) server_.Send(reply);
  }

  Settings settings_;
  struct ev_loop* loop_;
  Core core_;
  Server server_;
  Client client_;
  MeshLink mesh_;
  std::deque<Arrived> inbox_;
  ev_timer timer_{};
  ev_prepare prepare_{};
};

}  // namespace

int RunNode(const Settings& settings) {
  Node node(settings);
  return node.Run();
}

}  // namespace troutlink::runtime
