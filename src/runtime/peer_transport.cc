#include "runtime/peer_transport.h"

#include <utility>

namespace troutlink::runtime {

namespace {
constexpr int kMaxAcceptsAtOnce = 1;
// Maximum number of incoming connections; others are closed at once.
constexpr size_t kMaxIncomingConnections = 32;
}  // namespace

PeerTransport::PeerTransport(ev::loop_ref loop, const std::string& own_label,
                             const std::vector<PeerController>& peers, MessageHandler on_message)
    : loop_(loop),
      on_message_(std::move(on_message)),
      listener_(loop, kMaxAcceptsAtOnce,
                [this](UniqueFd socket) { OnConnection(std::move(socket)); }) {
  for (const PeerController& peer : peers) {
    outgoing_.try_emplace(peer.label, loop_, own_label, peer.mesh);
  }
}

void PeerTransport::Send(const std::string& to, const mesh::Message& message) {
  const auto found = outgoing_.find(to);
  if (found != outgoing_.end()) found->second.Send(message);
}

void PeerTransport::Tick(Micros now) {
  for (auto& [label, connection] : outgoing_) connection.Tick(now);
}

void PeerTransport::OnConnection(UniqueFd socket) {
  if (incoming_.size() >= kMaxIncomingConnections) return;
  IncomingPeerConnection::Owner& owner = *this;
  auto connection = std::make_unique<IncomingPeerConnection>(loop_, std::move(socket), owner);
  IncomingPeerConnection* added = connection.get();
  incoming_[added] = std::move(connection);
}

bool PeerTransport::IsPeer(const std::string& label) const { return outgoing_.contains(label); }

void PeerTransport::OnMessage(const std::string& from, const mesh::Message& message) {
  on_message_(from, message);
}

void PeerTransport::OnClosed(IncomingPeerConnection& connection) { incoming_.erase(&connection); }

}  // namespace troutlink::runtime
