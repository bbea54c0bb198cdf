// TCP connections between controllers. Each direction has its own connection: a node
// writes only on those that it opened and reads only on those that it accepted. The
// first frame on a connection holds the sender's label.
#ifndef TROUTLINK_RUNTIME_MESH_LINK_H_
#define TROUTLINK_RUNTIME_MESH_LINK_H_

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "mesh/codec.h"

namespace troutlink::runtime {

// Sends messages to the other controllers and receives theirs. A message may be lost,
// and messages of one sender arrive in order on each connection.
class MeshLink {
 public:
  // Receives each message with the label that its sender gave.
  using OnMessage = std::function<void(const std::string& from, const mesh::Message& message)>;

  // A link of the controller `label` to `siblings`; connects when there is something to send.
  MeshLink(struct ev_loop* loop, std::string label, const std::vector<Sibling>& siblings,
           OnMessage on_message);
  ~MeshLink();
  MeshLink(const MeshLink&) = delete;
  MeshLink& operator=(const MeshLink&) = delete;

  // Starts to accept connections; false, with errno set, when it cannot listen.
  bool Open(const Endpoint& at);
  // Sends `message` to the sibling `to`; drops it when the sibling cannot be reached.
  void Send(const std::string& to, const mesh::Message& message);
  // Closes connections that do not progress; to be called a few times a second.
  void Tick(Micros now);

 private:
  struct Outgoing {
    MeshLink* owner = nullptr;
    Endpoint to;
    int fd = -1;
    bool connecting = false;
    Micros opened = 0;
    Micros retry_at = 0;
    Micros progress = 0;  // last time that bytes left or none were waiting
    std::string out;
    ev_io io{};
  };
  struct Incoming {
    MeshLink* owner = nullptr;
    int fd = -1;
    std::string from;  // its first frame names the sender
    mesh::Framer framer;
    ev_io io{};
  };

  static void OnAccept(struct ev_loop* loop, ev_io* watcher, int events);
  static void OnOut(struct ev_loop* loop, ev_io* watcher, int events);
  static void OnIn(struct ev_loop* loop, ev_io* watcher, int events);
  void Connect(Outgoing* outgoing);
  void Write(Outgoing* outgoing);
  void Close(Outgoing* outgoing);
  void Read(Incoming* connection);
  void Drop(Incoming* connection);

  struct ev_loop* loop_;
  std::string label_;
  OnMessage on_message_;
  int listener_ = -1;
  ev_io accept_{};
  std::map<std::string, Outgoing> outgoing_;
  std::unordered_map<Incoming*, std::unique_ptr<Incoming>> incoming_;
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_MESH_LINK_H_
