// TCP transport of the messages between controllers. Each direction of a pair has its own
// connection: a controller sends only on those that it opened and receives only on those that it
// accepted.
#ifndef TROUTLINK_RUNTIME_PEER_TRANSPORT_H_
#define TROUTLINK_RUNTIME_PEER_TRANSPORT_H_

#include <ev++.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/micros.h"
#include "base/result.h"
#include "config/settings.h"
#include "mesh/codec.h"
#include "runtime/incoming_peer_connection.h"
#include "runtime/listener.h"
#include "runtime/outgoing_peer_connection.h"
#include "runtime/socket.h"

namespace troutlink::runtime {

// Sends and receives peer messages. Messages may be lost; those of one sender arrive in order per
// connection. Use on the loop's thread only.
class PeerTransport final : private IncomingPeerConnection::Owner {
 public:
  // Receives each message with the label of its sender. May call Send().
  using MessageHandler = std::function<void(const std::string& from, const mesh::Message& message)>;

  // Transport of the controller `own_label` to its `peers`; connects to each on first use.
  PeerTransport(ev::loop_ref loop, const std::string& own_label,
                const std::vector<PeerController>& peers, MessageHandler on_message);
  ~PeerTransport() override = default;
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Starts to accept connections and returns the address, with the chosen port if it was 0. Call
  // once.
  [[nodiscard]] Result<Endpoint, SocketError> Open(const Endpoint& address) {
    return listener_.Open(address);
  }
  // Sends `message` to the peer `to`. Dropped if the peer is unknown or unreachable.
  void Send(const std::string& to, const mesh::Message& message);
  // Closes connections without progress. Call a few times a second.
  void Tick(Micros now);

 private:
  void OnConnection(UniqueFd socket);
  [[nodiscard]] bool IsPeer(const std::string& label) const override;
  void OnMessage(const std::string& from, const mesh::Message& message) override;
  void OnClosed(IncomingPeerConnection& connection) override;

  ev::loop_ref loop_;
  MessageHandler on_message_;
  std::map<std::string, OutgoingPeerConnection> outgoing_;  // by the peer's label
  std::unordered_map<IncomingPeerConnection*, std::unique_ptr<IncomingPeerConnection>> incoming_;
  Listener listener_;
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_PEER_TRANSPORT_H_
