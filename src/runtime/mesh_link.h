// Connections between the controllers. Each direction has its own: a node
// writes only on those it dialled and reads only on those it accepted.
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

class MeshLink {
 public:
  using OnMessage = std::function<void(const std::string& from, const mesh::Message& message)>;

  MeshLink(struct ev_loop* loop, std::string label, const std::vector<Sibling>& siblings,
           OnMessage on_message);
  ~MeshLink();
  MeshLink(const MeshLink&) = delete;
  MeshLink& operator=(const MeshLink&) = delete;

  bool Open(const Endpoint& at);
  // Dropped when the sibling cannot be reached; the core repeats what matters.
  void Send(const std::string& to, const mesh::Message& message);
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

  static void OnAccept(struct ev_loop* loop, ev_io* w, int events);
  static void OnOut(struct ev_loop* loop, ev_io* w, int events);
  static void OnIn(struct ev_loop* loop, ev_io* w, int events);
  void Connect(Outgoing* o);
  void Write(Outgoing* o);
  void Close(Outgoing* o);
  void Read(Incoming* c);
  void Drop(Incoming* c);

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
