// In-memory fake of the state service.
#ifndef TROUTLINK_TESTS_FAKE_STATE_H_
#define TROUTLINK_TESTS_FAKE_STATE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "config/settings.h"
#include "core/core.h"
#include "wire/pack.h"

namespace troutlink::test {

using wire::Json;

// Value of a parameter in a target's query, or empty.
std::string QueryParameter(const std::string& target, const std::string& name);

// Versioned keys, conditional transactions, leases and a log of changes, as the published
// protocol describes them. It answers everything at once; delays and outages are the World's.
class FakeState {
 public:
  // A stored value. `version` is the revision that wrote it; `lease` is 0 if it has none.
  struct Item {
    Json value;
    uint64_t version = 0;
    uint64_t lease = 0;
  };
  // A lease ends once simulated time is past `until`.
  struct Lease {
    Micros life = 0, until = 0;
  };
  // One entry of the log that watches are answered from.
  struct Change {
    uint64_t revision;
    std::string key;
    bool erase;
  };

  // What it accepts: a larger transaction or value gets 400. Reading has no limit.
  StateLimits limits;

  // Carries a request out; returns the status and body of the answer.
  std::pair<int, Json> Handle(Micros now, const std::string& method, const std::string& target,
                              const Json& body);
  // Ends the leases whose time is over and erases the keys that were bound to them.
  void Expire(Micros now);
  // An outage ends: every lease has its full time again.
  void Refresh(Micros now);
  // What a watch from that revision is told: the present value of each key that changed since.
  Json EventsAfter(uint64_t after) const;

  std::map<std::string, Item> items;
  uint64_t revision = 0;  // of an empty service
  std::map<uint64_t, Lease> leases;
  uint64_t next_lease = 1;
  std::vector<Change> changes;
  int too_large = 0;  // transactions beyond the limits
  int commits = 0;    // transactions that arrived, also those that were refused

 private:
  std::pair<int, Json> Commit(const Json& body);
  bool WithinLimits(const Json& body) const;
  std::pair<int, Json> Grant(Micros now, const Json& body);
  std::pair<int, Json> Renew(Micros now, uint64_t id);
  std::pair<int, Json> List(const std::string& target) const;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_FAKE_STATE_H_
