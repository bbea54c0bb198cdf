// Digest of everything that the controllers of a simulated world sent: every call, reply and peer
// message, with its time and node, in order. Texts of the log and the metrics are left out. Two
// versions of the core that make the same decisions have the same digests.
#ifndef TROUTLINK_TESTS_DECISION_DIGEST_H_
#define TROUTLINK_TESTS_DECISION_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/micros.h"
#include "core/io/io.h"

namespace troutlink::test {

// Digest of one world. If the environment variable TROUTLINK_DIGESTS names a file, the destructor
// appends a line to it: the test, the number of the world within the test, the digest and the
// number of items. CONTRIBUTING.md explains how to compare the files.
class DecisionDigest {
 public:
  DecisionDigest();
  ~DecisionDigest();
  DecisionDigest(const DecisionDigest&) = delete;
  DecisionDigest& operator=(const DecisionDigest&) = delete;

  // Adds the output of a node at `now`.
  void Add(Micros now, size_t node, const Outbox& outbox);

 private:
  void AddNumber(uint64_t number);
  void AddText(std::string_view text);
  void AddReply(const Reply& reply);
  void AddCall(const Call& call);

  const char* const path_;  // null: disabled
  uint64_t hash_;
  uint64_t items_ = 0;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_DECISION_DIGEST_H_
