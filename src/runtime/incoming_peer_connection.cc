#include "runtime/incoming_peer_connection.h"

#include <array>
#include <cstddef>
#include <optional>
#include <utility>

#include "runtime/socket.h"

namespace troutlink::runtime {

IncomingPeerConnection::IncomingPeerConnection(ev::loop_ref loop, UniqueFd socket, Owner& owner)
    : owner_(owner), socket_(std::move(socket)), watcher_(loop) {
  watcher_.set<IncomingPeerConnection, &IncomingPeerConnection::OnReadable>(this);
  watcher_.start(socket_.get(), ev::READ);
}

void IncomingPeerConnection::OnReadable(ev::io& /*watcher*/, int /*events*/) {
  std::array<char, kReadBytes> buffer;  // NOLINT(*-member-init): filled by Receive()
  const Result<size_t, SocketError> count = Receive(socket_.get(), buffer);
  if (!count) {
    if (count.error().code != SocketError::kWouldBlock) owner_.OnClosed(*this);
    return;
  }
  framer_.Feed({buffer.data(), *count});
  if (HandleFrames() == Verdict::kBad) owner_.OnClosed(*this);
}

IncomingPeerConnection::Verdict IncomingPeerConnection::HandleFrames() {
  std::string frame;
  bool malformed = false;
  while (framer_.Next(&frame, &malformed)) {
    if (peer_label_.empty()) {
      if (!owner_.IsPeer(frame)) return Verdict::kBad;
      peer_label_ = frame;
      continue;
    }
    // Skip message kinds that this version does not know.
    if (const std::optional<mesh::Message> message = mesh::Decode(frame)) {
      owner_.OnMessage(peer_label_, *message);
    }
  }
  return malformed ? Verdict::kBad : Verdict::kGood;
}

}  // namespace troutlink::runtime
