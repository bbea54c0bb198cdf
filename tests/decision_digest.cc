#include "decision_digest.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace troutlink::test {
namespace {

// Parameters of the 64-bit FNV-1a hash.
constexpr uint64_t kHashBasis = 14695981039346656037ull;
constexpr uint64_t kHashPrime = 1099511628211ull;

// Prefix of every line of the metrics.
constexpr std::string_view kMetricsPrefix = "troutlink_";

// The current test, as Suite.Name.
std::string CurrentTest() {
  const testing::TestInfo* test = testing::UnitTest::GetInstance()->current_test_info();
  if (test == nullptr) return "none";
  return std::string(test->test_suite_name()) + "." + test->name();
}

// Number of this world within its test.
int NextWorldOf(const std::string& test) {
  static std::string last_test;
  static int last_world = 0;
  last_world = test == last_test ? last_world + 1 : 1;
  last_test = test;
  return last_world;
}

}  // namespace

DecisionDigest::DecisionDigest() : path_(std::getenv("TROUTLINK_DIGESTS")), hash_(kHashBasis) {}

DecisionDigest::~DecisionDigest() {
  if (path_ == nullptr) return;
  std::FILE* file = std::fopen(path_, "a");
  if (file == nullptr) return;
  const std::string test = CurrentTest();
  std::fprintf(file, "%s %d %016llx %llu\n", test.c_str(), NextWorldOf(test),
               static_cast<unsigned long long>(hash_), static_cast<unsigned long long>(items_));
  std::fclose(file);
}

void DecisionDigest::Add(Micros now, size_t node, const Outbox& outbox) {
  if (path_ == nullptr) return;
  if (outbox.calls.empty() && outbox.peers.empty() && outbox.replies.empty()) return;
  AddNumber(static_cast<uint64_t>(now));
  AddNumber(node);
  for (const Call& call : outbox.calls) AddCall(call);
  for (const PeerMessage& message : outbox.peers) {
    AddText(message.to);
    AddText(mesh::Encode(message.message));
  }
  for (const Reply& reply : outbox.replies) AddReply(reply);
}

void DecisionDigest::AddNumber(uint64_t number) {
  for (int shift = 0; shift < 64; shift += 8) {
    hash_ ^= (number >> shift) & 0xff;
    hash_ *= kHashPrime;
  }
  ++items_;
}

void DecisionDigest::AddText(std::string_view text) {
  AddNumber(text.size());
  for (const char byte : text) {
    hash_ ^= static_cast<unsigned char>(byte);
    hash_ *= kHashPrime;
  }
}

void DecisionDigest::AddReply(const Reply& reply) {
  if (reply.body.rfind(kMetricsPrefix, 0) == 0) return;
  AddNumber(reply.id);
  AddNumber(static_cast<uint64_t>(reply.status));
  AddText(reply.body);
  AddNumber(static_cast<uint64_t>(reply.retry_after_s));
}

void DecisionDigest::AddCall(const Call& call) {
  AddNumber(call.id);
  AddNumber(static_cast<uint64_t>(call.dest));
  AddText(call.addr);
  AddText(call.method);
  AddText(call.target);
  AddText(call.body);
  AddNumber(static_cast<uint64_t>(call.timeout));
}

}  // namespace troutlink::test
