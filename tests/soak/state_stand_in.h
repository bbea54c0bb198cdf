// The state service over loopback, with its faults.
#ifndef TROUTLINK_TESTS_SOAK_STATE_STAND_IN_H_
#define TROUTLINK_TESTS_SOAK_STATE_STAND_IN_H_

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

// Each controller has an address of its own, by which it is known. What is stored, and the rules
// of transactions and leases, are those of the fake state service of the stories.
class StateStandIn {
 public:
  StateStandIn(struct ev_loop* loop, uint64_t seed) : loop_(loop), rng_(seed) {}

  // One more controller; false when the address is taken.
  bool Listen(const Endpoint& at);
  // Ends leases and answers what is due. To be called often.
  void Tick(Micros now);
  // The end of an outage: every lease has its full time again.
  void EndOutage(Micros now);

  // Faults: how many of each go on, of a node by its number.
  int down = 0;
  std::multiset<int> refused, cut;
  int slow = 0;
  int late_writes = 0;
  int watch_gap = 0;
  // How often each took effect.
  uint64_t refusals = 0, lost = 0, slowed = 0, late = 0, gaps = 0;

  test::FakeState state;

 private:
  struct Due {
    Micros at = 0;
    size_t node = 0;
    Request request;
    bool answered = true;  // else it is carried out without an answer
  };
  struct OpenWatch {
    size_t node = 0;
    uint64_t request = 0;
    uint64_t after = 0;
    Micros until = 0;
  };
  void OnRequest(size_t node, const Request& request);
  bool Blocked(size_t node) const;
  // Whether the transaction is one that gets no answer.
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

#endif  // TROUTLINK_TESTS_SOAK_STATE_STAND_IN_H_
