// What the core does to the outside: calls, replies, messages to peers and lines of the log.
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

// Collects what the modules of one controller want done until the runtime takes it, and keeps
// the handlers of calls that are not answered yet. Shared by all modules; does no I/O itself.
class Effects {
 public:
  // Called once with the answer to a call: its HTTP status, or kNoAnswer or kNotSent.
  using Handler = std::function<void(Micros now, int status, const std::string& body)>;

  // Calls sent so far, by destination, and answers that refused one for its rate (429).
  struct CallCounts {
    uint64_t state = 0;
    uint64_t cloud = 0;
    uint64_t agent = 0;
    uint64_t rate_limited = 0;
  };

  // Every request to the state service is charged to `state_requests`, which must outlive this.
  explicit Effects(TokenBucket* state_requests) : state_requests_(state_requests) {}

  // Queues a call; `handler` gets its answer. `addr` only for agents. `timeout` in microseconds.
  void Send(Dest dest, std::string addr, std::string method, std::string target, std::string body,
            Micros timeout, Handler handler);
  // Queues the reply to a request that the runtime brought.
  void SendReply(Reply reply) { outbox_.replies.push_back(std::move(reply)); }
  // Queues a message to another controller.
  void SendToPeer(PeerMessage message) { outbox_.peers.push_back(std::move(message)); }
  // Queues a line of the log. Debug lines are dropped unless they are wanted.
  void Log(LogLine::Level level, std::string text);

  // Whether debug lines are wanted; callers skip building them otherwise.
  bool logs_debug() const { return logs_debug_; }
  void set_logs_debug(bool wanted) { logs_debug_ = wanted; }
  // The time that state requests are charged at: that of the last tick.
  void set_last_tick(Micros now) { last_tick_ = now; }

  // Runs the handler of that call; does nothing for one that is not open.
  void HandleAnswer(Micros now, uint64_t call, int status, const std::string& body);
  // Everything queued since the last time.
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
