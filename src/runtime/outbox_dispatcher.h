// Carries out what the core has decided: writes its log, sends its calls, messages and replies.
#ifndef TROUTLINK_RUNTIME_OUTBOX_DISPATCHER_H_
#define TROUTLINK_RUNTIME_OUTBOX_DISPATCHER_H_

#include <utility>

#include "config/settings.h"
#include "core/io/io.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/peer_transport.h"

namespace troutlink::runtime {

// Sends each item of an Outbox where it belongs. To be used on the loop's thread.
class OutboxDispatcher {
 public:
  // Sends over `server`, `client` and `peers`, which must outlive it, as must `settings`.
  // `on_result` receives the results of calls that cannot even be handed to the client.
  OutboxDispatcher(const Settings& settings, HttpServer& server, HttpClient& client,
                   PeerTransport& peers, HttpClient::OnResult on_result)
      : settings_(settings),
        server_(server),
        client_(client),
        peers_(peers),
        on_result_(std::move(on_result)) {}

  // Writes the log lines, then sends the calls, the messages to peers and the replies, each in
  // the order of `outbox`.
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
