// Connection on which a controller sends messages to one peer.
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

// Sends messages to one peer over a TCP connection, which is opened when needed and reopened after
// a loss. The first frame is the sender's label. Use on the loop's thread only.
class OutgoingPeerConnection {
 public:
  // For messages of the controller `own_label` to the peer at `address`. Does not connect yet.
  OutgoingPeerConnection(ev::loop_ref loop, std::string own_label, Endpoint address);
  ~OutgoingPeerConnection() = default;
  OutgoingPeerConnection(const OutgoingPeerConnection&) = delete;
  OutgoingPeerConnection& operator=(const OutgoingPeerConnection&) = delete;

  // Sends `message`, or drops it silently if the peer is unreachable or too slow. A sent message
  // may be lost with the connection.
  void Send(const mesh::Message& message);
  // Closes a connection that does not open or accepts no bytes. Call a few times a second.
  void Tick(Micros now);

 private:
  enum class State { kClosed, kConnecting, kOpen };

  void OnReady(ev::io& watcher, int events);
  // Starts to connect, unless the last attempt was too recent.
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
  Micros last_progress_ = 0;  // last time that bytes were sent or none were waiting
  WriteBuffer output_;
  UniqueFd socket_;
  ev::io watcher_;  // declared after `socket_`: stopped before it is closed
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_OUTGOING_PEER_CONNECTION_H_
