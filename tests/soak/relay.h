// TCP relay between two controllers, which can delay or reset connections.
#ifndef TROUTLINK_TESTS_SOAK_RELAY_H_
#define TROUTLINK_TESTS_SOAK_RELAY_H_

#include <ev.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "config/settings.h"
#include "runtime/unique_fd.h"

namespace troutlink::soak {

// Forwards bytes from each accepted connection to `to`. Each connection between controllers carries
// data in one direction only, so a relay covers one direction of a pair.
class Relay {
 public:
  enum class Mode { kOpen, kHold, kReset };

  Relay(struct ev_loop* loop, Endpoint to) : loop_(loop), to_(std::move(to)) {}
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Returns false if it cannot listen.
  bool Open(const Endpoint& at);
  void SetMode(Mode mode);
  // Number of delays and resets.
  uint64_t hits() const { return hits_; }

 private:
  // One connection: incoming bytes are written to the other side.
  struct Pipe {
    Relay* owner = nullptr;
    runtime::UniqueFd in;
    runtime::UniqueFd out;
    bool connecting = true;
    bool ended = false;  // the incoming side has closed; closed once all is written
    std::string buffer;
    ev_io read{};
    ev_io write{};
  };
  static void OnAccept(struct ev_loop* loop, ev_io* watcher, int events);
  static void OnRead(struct ev_loop* loop, ev_io* watcher, int events);
  static void OnWrite(struct ev_loop* loop, ev_io* watcher, int events);
  void Add(runtime::UniqueFd in);
  void Flush(Pipe* pipe);
  void Close(Pipe* pipe);

  struct ev_loop* loop_;
  Endpoint to_;
  Mode mode_ = Mode::kOpen;
  runtime::UniqueFd listener_;
  ev_io accept_{};
  uint64_t hits_ = 0;
  std::map<Pipe*, std::unique_ptr<Pipe>> pipes_;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_RELAY_H_
