// In-memory fake of the key-value store.
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

// Value of a query parameter in `target`, or empty.
std::string QueryParameter(const std::string& target, const std::string& name);

// Versioned keys, transactions, leases and a change log, as specified by the published protocol.
// Answers at once; World adds delays and outages.
class FakeState {
 public:
  // A stored value. `version` is the revision that wrote it; `lease` is 0 if there is none.
  struct Item {
    Json value;
    uint64_t version = 0;
    uint64_t lease = 0;
  };
  // Expires at `until`.
  struct Lease {
    Micros life = 0, until = 0;
  };
  // Entry of the change log.
  struct Change {
    uint64_t revision;
    std::string key;
    bool erase;
  };

  // Limits: a larger transaction or value gets 400. Reads are unlimited.
  StateLimits limits;

  // Executes a request; returns the status and body of the answer.
  std::pair<int, Json> Handle(Micros now, const std::string& method, const std::string& target,
                              const Json& body);
  // Expires leases and erases their keys.
  void Expire(Micros now);
  // Extends every lease to its full TTL, at the end of an outage.
  void Refresh(Micros now);
  // Answer to a watch from that revision: the current value of each changed key.
  Json EventsAfter(uint64_t after) const;

  std::map<std::string, Item> items;
  uint64_t revision = 0;  // of an empty store
  std::map<uint64_t, Lease> leases;
  uint64_t next_lease = 1;
  std::vector<Change> changes;
  int too_large = 0;  // transactions above the limits
  int commits = 0;    // received transactions, including refused ones

 private:
  std::pair<int, Json> Commit(const Json& body);
  bool WithinLimits(const Json& body) const;
  std::pair<int, Json> Grant(Micros now, const Json& body);
  std::pair<int, Json> Renew(Micros now, uint64_t id);
  std::pair<int, Json> List(const std::string& target) const;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_FAKE_STATE_H_
