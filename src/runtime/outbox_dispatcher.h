// Sends the core's output: log lines, calls, messages and replies.
#ifndef TROUTLINK_RUNTIME_OUTBOX_DISPATCHER_H_
#define TROUTLINK_RUNTIME_OUTBOX_DISPATCHER_H_

#include <utility>

#include "config/settings.h"
#include "core/io/io.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/peer_transport.h"

namespace troutlink::runtime {

// Dispatches each item of an Outbox to its destination. Use on the loop's thread only.
class OutboxDispatcher {
 public:
  // Sends over `server`, `client` and `peers`, which must outlive the dispatcher, as must
  // `settings`. `on_result` receives the results of calls that cannot be passed to the client.
  OutboxDispatcher(const Settings& settings, HttpServer& server, HttpClient& client,
                   PeerTransport& peers, HttpClient::OnResult on_result)
      : settings_(settings),
        server_(server),
        client_(client),
        peers_(peers),
        on_result_(std::move(on_result)) {}

  // Writes the log lines, then sends the calls, the peer messages and the replies, each in order.
  void Dispatch(const Outbox& outbox);

 private:
  void SendCall(const Call& call);
  void SendToWorker(const Call& call);

  const Settings& settings_;
  HttpServer& server_;
  HttpClient& client_;
  PeerTransport& peers_;
  HttpClient::OnResult on_result_;
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_OUTBOX_DISPATCHER_H_
