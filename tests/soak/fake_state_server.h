// The fake key-value store over loopback, with faults.
#ifndef TROUTLINK_TESTS_SOAK_FAKE_STATE_SERVER_H_
#define TROUTLINK_TESTS_SOAK_FAKE_STATE_SERVER_H_

#include <ev.h>

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fake_state.h"
#include "runtime/http_server.h"

namespace troutlink::soak {

// Each controller has its own address, by which it is identified. Storage, transactions and leases
// are those of FakeState.
class FakeStateServer {
 public:
  FakeStateServer(struct ev_loop* loop, uint64_t seed) : loop_(loop), rng_(seed) {}

  // Adds a controller. Returns false if the address is in use.
  bool Listen(const Endpoint& at);
  // Expires leases and sends due answers. Call often.
  void Tick(Micros now);
  // Extends every lease to its full TTL, at the end of an outage.
  void EndOutage(Micros now);

  // Number of active faults of each kind, some by node.
  int down = 0;
  std::multiset<int> refused, cut;
  int slow = 0;
  int late_writes = 0;
  int watch_gap = 0;
  // Number of effects of each kind of fault.
  uint64_t refusals = 0, lost = 0, slowed = 0, late = 0, gaps = 0;

  test::FakeState state;

 private:
  struct Due {
    Micros at = 0;
    size_t node = 0;
    Request request;
    bool answered = true;  // otherwise executed without an answer
  };
  struct OpenWatch {
    size_t node = 0;
    uint64_t request = 0;
    uint64_t after = 0;
    Micros until = 0;
  };
  void OnRequest(size_t node, const Request& request);
  bool Blocked(size_t node) const;
  // Whether this transaction gets no answer.
  bool LoseAnswer(size_t node, const Request& request);
  void CarryOut(Micros now, size_t node, const Request& request, bool answered);
  void BeginWatch(Micros now, size_t node, const Request& request);
  void AnswerWatches(Micros now);

  struct ev_loop* loop_;
  std::mt19937_64 rng_;
  std::vector<std::unique_ptr<runtime::HttpServer>> servers_;
  std::vector<Due> due_;
  std::vector<OpenWatch> watches_;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_FAKE_STATE_SERVER_H_
