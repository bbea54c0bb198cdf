// Outgoing calls, replies, peer messages and log lines of the core.
#ifndef TROUTLINK_CORE_IO_EFFECTS_H_
#define TROUTLINK_CORE_IO_EFFECTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/micros.h"
#include "core/io/io.h"
#include "core/io/token_bucket.h"

namespace troutlink {

// Collects the output of all modules of a controller until the runtime takes it, and keeps the
// handlers of open calls. Does no I/O.
class Effects {
 public:
  // Called once with the answer to a call. `status`: the HTTP status, or kNoAnswer or kNotSent.
  using Handler = std::function<void(Micros now, int status, const std::string& body)>;

  // Calls sent, by destination, and answers with status 429.
  struct CallCounts {
    uint64_t state = 0;
    uint64_t cloud = 0;
    uint64_t agent = 0;
    uint64_t rate_limited = 0;
  };

  // `state_requests` is charged for every request to the key-value store and must outlive this
  // object.
  explicit Effects(TokenBucket* state_requests) : state_requests_(state_requests) {}

  // Queues a call; `handler` receives its answer. `addr` is for agents only. `timeout` is in
  // microseconds.
  void Send(Dest dest, std::string addr, std::string method, std::string target, std::string body,
            Micros timeout, Handler handler);
  // Queues the reply to a request.
  void SendReply(Reply reply) { outbox_.replies.push_back(std::move(reply)); }
  // Queues a message to another controller.
  void SendToPeer(PeerMessage message) { outbox_.peers.push_back(std::move(message)); }
  // Queues a log line. Debug lines are dropped unless enabled.
  void Log(LogLine::Level level, std::string text);

  // Whether debug lines are enabled, so that callers can avoid building them.
  bool logs_debug() const { return logs_debug_; }
  void set_logs_debug(bool wanted) { logs_debug_ = wanted; }
  // Sets the time at which requests to the key-value store are charged.
  void set_last_tick(Micros now) { last_tick_ = now; }

  // Runs the handler of an open call; ignores other ids.
  void HandleAnswer(Micros now, uint64_t call, int status, const std::string& body);
  // Takes everything queued since the last call.
  Outbox TakeOutbox();

  const CallCounts& call_counts() const { return call_counts_; }

 private:
  TokenBucket* const state_requests_;
  Outbox outbox_;
  CallCounts call_counts_;
  bool logs_debug_ = true;
  Micros last_tick_ = 0;
  uint64_t next_call_ = 1;
  std::unordered_map<uint64_t, Handler> open_calls_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_IO_EFFECTS_H_
