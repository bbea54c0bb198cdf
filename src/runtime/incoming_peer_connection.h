// The connection on which a controller receives messages from one peer.
#ifndef TROUTLINK_RUNTIME_INCOMING_PEER_CONNECTION_H_
#define TROUTLINK_RUNTIME_INCOMING_PEER_CONNECTION_H_

#include <ev++.h>

#include <string>

#include "mesh/codec.h"
#include "runtime/unique_fd.h"

namespace troutlink::runtime {

// Reads messages from an accepted connection. The first frame is the sender's label; nothing
// is ever sent back. To be used on the loop's thread.
class IncomingPeerConnection {
 public:
  // Is told what happens on its connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Whether `label` is that of a peer. A connection with another label is closed.
    [[nodiscard]] virtual bool IsPeer(const std::string& label) const = 0;
    // The peer `from` has sent `message`. Must not destroy the connection.
    virtual void OnMessage(const std::string& from, const mesh::Message& message) = 0;
    // `connection` has ended or is malformed. Must destroy it.
    virtual void OnClosed(IncomingPeerConnection& connection) = 0;
  };

  // Takes an accepted connection. `owner` must outlive it.
  IncomingPeerConnection(ev::loop_ref loop, UniqueFd socket, Owner& owner);
  ~IncomingPeerConnection() = default;
  IncomingPeerConnection(const IncomingPeerConnection&) = delete;
  IncomingPeerConnection& operator=(const IncomingPeerConnection&) = delete;

 private:
  // Whether the connection may be read on.
  enum class Verdict { kGood, kBad };

  void OnReadable(ev::io& watcher, int events);
  // Hands over the whole frames that have arrived.
  [[nodiscard]] Verdict HandleFrames();

  Owner& owner_;
  std::string peer_label_;  // empty until the first frame
  mesh::Framer framer_;
  UniqueFd socket_;
  ev::io watcher_;  // after `socket_`: stopped before it is closed
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_INCOMING_PEER_CONNECTION_H_
