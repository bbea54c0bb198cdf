// What the tests on the simulated World share.
#ifndef TROUTLINK_TESTS_TEST_SUPPORT_H_
#define TROUTLINK_TESTS_TEST_SUPPORT_H_

#include <gtest/gtest.h>

#include <string>

#include "world.h"

// No rule was broken in that world.
#define EXPECT_KEPT(w) EXPECT_TRUE((w).broken().empty()) << (w).broken().front()

namespace troutlink::test {

// After that time nodes that have just started lead their shards.
constexpr Micros kReady = 3 * kSecond;

// The job's status as users see it at that node, or the status of the answer if it is not 200.
std::string Status(World& w, size_t node, const std::string& id);

// Whether one question, asked once, is answered so within a second.
bool Tells(World& w, size_t node, const std::string& id, const std::string& status);

// Submits a job until it is accepted.
void Accept(World& w, size_t node, const JobSpec& spec);

// Waits until the job is done, asking all nodes in turn.
bool DoneWithin(World& w, const std::string& id, Micros most);

// Starts that all machines have carried out.
int Starts(const World& w);

// A machine with a running task of that job, or null.
FakeWorker* With(World& w, const std::string& job);

// A service that runs (job-5), and the node that leads its machines' shard.
struct Running : World {
  explicit Running(int replicas = 4);
  // The state service is down for all for so long.
  void StateDown(Micros time);

  int shard_id = -1;
  size_t leader = 0, second = 1, third = 2;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_TEST_SUPPORT_H_
