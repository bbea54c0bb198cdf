// Connection on which a controller receives messages from one peer.
#ifndef TROUTLINK_RUNTIME_INCOMING_PEER_CONNECTION_H_
#define TROUTLINK_RUNTIME_INCOMING_PEER_CONNECTION_H_

#include <ev++.h>

#include <string>

#include "mesh/codec.h"
#include "runtime/unique_fd.h"

namespace troutlink::runtime {

// Reads messages from an accepted connection. The first frame is the sender's label; nothing is
// sent back. Use on the loop's thread only.
class IncomingPeerConnection {
 public:
  // Receives the events of its connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Whether `label` is that of a peer; otherwise the connection is closed.
    [[nodiscard]] virtual bool IsPeer(const std::string& label) const = 0;
    // The peer `from` has sent `message`. Must not destroy the connection.
    virtual void OnMessage(const std::string& from, const mesh::Message& message) = 0;
    // The connection has ended or is malformed. Must destroy it.
    virtual void OnClosed(IncomingPeerConnection& connection) = 0;
  };

  // Takes an accepted connection. `owner` must outlive it.
  IncomingPeerConnection(ev::loop_ref loop, UniqueFd socket, Owner& owner);
  ~IncomingPeerConnection() = default;
  IncomingPeerConnection(const IncomingPeerConnection&) = delete;
  IncomingPeerConnection& operator=(const IncomingPeerConnection&) = delete;

 private:
  // Reads available bytes. Returns whether the connection can be read further.
  enum class Verdict { kGood, kBad };

  void OnReadable(ev::io& watcher, int events);
  // Delivers all complete frames.
  [[nodiscard]] Verdict HandleFrames();

  Owner& owner_;
  std::string peer_label_;  // empty before the first frame
  mesh::Framer framer_;
  UniqueFd socket_;
  ev::io watcher_;  // declared after `socket_`: stopped before it is closed
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_INCOMING_PEER_CONNECTION_H_
