#include "runtime/outgoing_peer_connection.h"

#include <array>
#include <cstddef>
#include <utility>

#include "runtime/clock.h"
#include "runtime/socket.h"

namespace troutlink::runtime {

namespace {
constexpr Micros kRetryInterval = 300 * kMillisecond;
constexpr Micros kConnectTimeout = kSecond;
constexpr Micros kStallTimeout = 2 * kSecond;
// Maximum number of unsent bytes; further messages are dropped.
constexpr size_t kMaxBufferedBytes = size_t{256} * 1024;
}  // namespace

OutgoingPeerConnection::OutgoingPeerConnection(ev::loop_ref loop, std::string own_label,
                                               Endpoint address)
    : own_label_(std::move(own_label)), address_(std::move(address)), watcher_(loop) {
  watcher_.set<OutgoingPeerConnection, &OutgoingPeerConnection::OnReady>(this);
}

void OutgoingPeerConnection::Send(const mesh::Message& message) {
  if (state_ == State::kClosed) Open();
  if (state_ == State::kClosed || output_.size() > kMaxBufferedBytes) return;
  if (output_.empty()) last_progress_ = SteadyNow();
  output_.Append(mesh::Encode(message));
  if (state_ == State::kOpen) Write();
}

void OutgoingPeerConnection::Tick(Micros now) {
  switch (state_) {
    case State::kClosed: return;
    case State::kConnecting:
      if (now - opened_ > kConnectTimeout) Close();
      return;
    case State::kOpen:
      if (!output_.empty() && now - last_progress_ > kStallTimeout) Close();
      return;
  }
}

void OutgoingPeerConnection::Open() {
  const Micros now = SteadyNow();
  if (now < retry_at_) return;
  retry_at_ = now + kRetryInterval;
  Result<UniqueFd, SocketError> socket = Connect(address_);
  if (!socket) return;
  socket_ = std::move(*socket);
  state_ = State::kConnecting;
  opened_ = last_progress_ = now;
  std::string label_frame;
  mesh::PutVarint(&label_frame, own_label_.size());
  label_frame.append(own_label_);
  output_.Assign(std::move(label_frame));
  watcher_.start(socket_.get(), ev::WRITE);
}

void OutgoingPeerConnection::Close() {
  watcher_.stop();
  socket_.reset();
  state_ = State::kClosed;
  output_.Clear();
}

void OutgoingPeerConnection::OnReady(ev::io& /*watcher*/, int events) {
  if (state_ == State::kConnecting) {
    if (ConnectOutcome(socket_.get())) {
      Close();
      return;
    }
    state_ = State::kOpen;
  }
  if ((events & ev::READ) != 0 && EndedByPeer()) {
    Close();
    return;
  }
  Write();
}

bool OutgoingPeerConnection::EndedByPeer() const {
  // The peer never sends on this connection: readable means that it has ended.
  std::array<char, 1> byte{};
  const Result<size_t, SocketError> count = Receive(socket_.get(), byte);
  return !count && count.error().code != SocketError::kWouldBlock;
}

void OutgoingPeerConnection::Write() {
  const Result<size_t, SocketError> count = output_.Flush(socket_.get());
  if (!count) {
    Close();
    return;
  }
  if (*count > 0) last_progress_ = SteadyNow();
  watcher_.set(socket_.get(), output_.empty() ? ev::READ : ev::READ | ev::WRITE);
}

}  // namespace troutlink::runtime
