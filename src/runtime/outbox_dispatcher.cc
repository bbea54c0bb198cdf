#include "runtime/outbox_dispatcher.h"

#include <spdlog/spdlog.h>

#include <optional>

namespace troutlink::runtime {
namespace {

constexpr PoolOptions kStatePool{.max_connections = 6, .shares_limit = false};
constexpr PoolOptions kCloudPool{.max_connections = 2, .shares_limit = false};
constexpr PoolOptions kWorkerPool{.max_connections = 1, .shares_limit = true};

void WriteLog(const LogLine& line) {
  switch (line.level) {
    case LogLine::Level::kError: spdlog::error("{}", line.text); break;
    case LogLine::Level::kInfo: spdlog::info("{}", line.text); break;
    case LogLine::Level::kDebug: spdlog::debug("{}", line.text); break;
  }
}

}  // namespace

void OutboxDispatcher::Dispatch(const Outbox& outbox) {
  for (const LogLine& line : outbox.log) WriteLog(line);
  for (const Call& call : outbox.calls) SendCall(call);
  for (const PeerMessage& message : outbox.peers) peers_.Send(message.to, message.message);
  for (const Reply& reply : outbox.replies) server_.Send(reply);
}

void OutboxDispatcher::SendCall(const Call& call) {
  switch (call.dest) {
    case Dest::kState:
    case Dest::kWatch: client_.Send(settings_.state, kStatePool, call); break;
    case Dest::kCloud: client_.Send(settings_.cloud, kCloudPool, call); break;
    case Dest::kAgent: SendToWorker(call); break;
  }
}

void OutboxDispatcher::SendToWorker(const Call& call) {
  if (const std::optional<Endpoint> worker = ParseEndpoint(call.addr)) {
    client_.Send(*worker, kWorkerPool, call);
  } else {
    on_result_({call.id, kNotSent, ""});
  }
}

}  // namespace troutlink::runtime
