// The connection on which a controller sends messages to one peer.
#ifndef TROUTLINK_RUNTIME_OUTGOING_PEER_CONNECTION_H_
#define TROUTLINK_RUNTIME_OUTGOING_PEER_CONNECTION_H_

#include <ev++.h>

#include <string>

#include "base/micros.h"
#include "config/settings.h"
#include "mesh/codec.h"
#include "runtime/unique_fd.h"
#include "runtime/write_buffer.h"

namespace troutlink::runtime {

// Sends messages to one peer over a TCP connection, which it opens when there is something to
// send and opens again after it was lost. The first frame on a connection is the sender's
// label. To be used on the loop's thread.
class OutgoingPeerConnection {
 public:
  // A connection of the controller `own_label` to the peer at `address`; opens nothing yet.
  OutgoingPeerConnection(ev::loop_ref loop, std::string own_label, Endpoint address);
  ~OutgoingPeerConnection() = default;
  OutgoingPeerConnection(const OutgoingPeerConnection&) = delete;
  OutgoingPeerConnection& operator=(const OutgoingPeerConnection&) = delete;

  // Sends `message`, or drops it without notice when the peer cannot be reached or does not
  // take its messages in time. A message that is sent may be lost with the connection.
  void Send(const mesh::Message& message);
  // Closes a connection that does not open or that takes no bytes; to be called a few times a
  // second.
  void Tick(Micros now);

 private:
  enum class State { kClosed, kConnecting, kOpen };

  void OnReady(ev::io& watcher, int events);
  // Starts to connect, unless it was tried a moment ago.
  void Open();
  void Close();
  void Write();
  // Whether the peer has ended the connection, which is readable.
  [[nodiscard]] bool EndedByPeer() const;

  std::string own_label_;
  Endpoint address_;
  State state_ = State::kClosed;
  Micros opened_ = 0;
  Micros retry_at_ = 0;
  Micros last_progress_ = 0;  // when bytes last left or none were waiting
  WriteBuffer output_;
  UniqueFd socket_;
  ev::io watcher_;  // after `socket_`: stopped before it is closed
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_OUTGOING_PEER_CONNECTION_H_
