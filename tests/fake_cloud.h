// In-memory fake of the cloud.
#ifndef TROUTLINK_TESTS_FAKE_CLOUD_H_
#define TROUTLINK_TESTS_FAKE_CLOUD_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "fake_agent.h"

namespace troutlink::test {

// Rents, returns and lists machines as specified by the published protocol.
class FakeCloud {
 public:
  // Creates a machine of that type.
  using MakeAgent = std::function<FakeAgent&(const std::string& type, bool spot)>;

  // `agents`: all machines. `report`: records a violated rule.
  FakeCloud(Agents* agents, MakeAgent make_agent, std::function<void(const std::string&)> report);

  // Executes a request; returns the status and body of the answer.
  std::pair<int, Json> Handle(Micros now, const std::string& method, const std::string& target,
                              const Json& body);

  bool down = false;                    // answers 503 to all
  int capacity = 100;                   // instances that can still be rented
  std::function<Micros()> boot_time;    // of the next instance; unset: 5 s
  std::set<std::string> failing_zones;  // instances in these zones never boot
  int rentals = 0, returns = 0;         // total number of instances

 private:
  std::pair<int, Json> Rent(Micros now, const Json& body);
  std::pair<int, Json> Return(const Json& body);
  std::pair<int, Json> List(Micros now) const;

  Agents* agents_;
  MakeAgent make_agent_;
  std::function<void(const std::string&)> report_;
  std::map<std::string, std::pair<Json, Json>> rented_;  // by request id: request and answer
  std::set<std::string> rented_names_;                   // returning one frees capacity
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_FAKE_CLOUD_H_
