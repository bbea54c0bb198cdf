#include "runtime/node.h"

#include <ev++.h>
#include <spdlog/spdlog.h>

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <utility>

#include "core/core.h"
#include "runtime/clock.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/outbox_dispatcher.h"
#include "runtime/peer_transport.h"
#include "runtime/socket_budget.h"

namespace troutlink::runtime {
namespace {

// Interval in seconds of the ticks of the core and the connections.
constexpr double kTickInterval = 0.05;
constexpr int kExitCannotListen = 1;

// Random number that identifies this incarnation of the process.
uint64_t DrawBootId() {
  constexpr int kHalfBits = 32;
  std::random_device device;
  const uint64_t boot_id = (static_cast<uint64_t>(device()) << kHalfBits) | device();
  // Below 2^63: stored as an integer that every reader supports.
  return (boot_id ^ static_cast<uint64_t>(SteadyNow())) >> 1;
}

// Event loop of a controller: passes events to the core, and the core's output to the dispatcher.
class Node {
 public:
  explicit Node(const Settings& settings)
      : settings_(settings),
        loop_(ev_default_loop(EVFLAG_AUTO)),
        core_(settings, DrawBootId(), SteadyNow(), WallNow()),
        server_(loop_, BudgetOf(settings.fd_limit).incoming,
                [this](const Request& request) { OnRequest(request); }),
        client_(loop_, BudgetOf(settings.fd_limit).to_workers,
                [this](CallResult result) { results_.push_back(std::move(result)); }),
        peers_(loop_, settings.label, settings.peers,
               [this](const std::string& from, const mesh::Message& message) {
                 OnPeerMessage(from, message);
               }),
        dispatcher_(settings_, server_, client_, peers_,
                    [this](CallResult result) { results_.push_back(std::move(result)); }),
        tick_timer_(loop_),
        before_waiting_(loop_) {
    tick_timer_.set<Node, &Node::OnTick>(this);
    before_waiting_.set<Node, &Node::OnBeforeWaiting>(this);
  }

  // Serves until the process is killed. Returns an exit code if it cannot listen.
  [[nodiscard]] int Run() {
    core_.SetDetailedLog(spdlog::should_log(spdlog::level::debug));
    if (!CheckListening(server_.Open(settings_.serve), settings_.serve) ||
        !CheckListening(peers_.Open(settings_.mesh), settings_.mesh)) {
      return kExitCannotListen;
    }
    spdlog::info("{} serves on {}", settings_.label, settings_.serve.text);
    tick_timer_.start(0, kTickInterval);
    before_waiting_.start();
    loop_.run(0);
    return 0;
  }

 private:
  // Logs why it cannot listen on `address`, if so.
  [[nodiscard]] static bool CheckListening(const Result<Endpoint, SocketError>& opened,
                                           const Endpoint& address) {
    if (!opened) spdlog::error("cannot listen on {}: {}", address.text, opened.error().text);
    return static_cast<bool>(opened);
  }

  void OnTick(ev::timer& /*watcher*/, int /*events*/) {
    const Micros now = SteadyNow();
    client_.Tick(now);
    server_.Tick(now);
    peers_.Tick(now);
    dispatcher_.Dispatch(core_.Tick(now, WallNow()));
  }

  // Runs before the loop waits for events. Results are delivered to the core only here, as some
  // arise while the core's last output is being sent.
  void OnBeforeWaiting(ev::prepare& /*watcher*/, int /*events*/) {
    while (!results_.empty()) {
      const CallResult result = std::move(results_.front());
      results_.pop_front();
      dispatcher_.Dispatch(
          core_.HandleAnswer(SteadyNow(), result.call_id, result.status, result.body));
    }
  }

  void OnRequest(const Request& request) {
    dispatcher_.Dispatch(core_.HandleRequest(SteadyNow(), request));
  }

  void OnPeerMessage(const std::string& from, const mesh::Message& message) {
    dispatcher_.Dispatch(core_.HandlePeer(SteadyNow(), from, message));
  }

  Settings settings_;
  ev::loop_ref loop_;
  Core core_;
  HttpServer server_;
  HttpClient client_;
  PeerTransport peers_;
  OutboxDispatcher dispatcher_;
  std::deque<CallResult> results_;  // not delivered to the core yet, in order of arrival
  ev::timer tick_timer_;
  ev::prepare before_waiting_;
};

}  // namespace

int RunNode(const Settings& settings) {
  Node node(settings);
  return node.Run();
}

}  // namespace troutlink::runtime
