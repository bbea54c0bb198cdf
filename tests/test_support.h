// Helpers of the tests on the simulated World.
#ifndef TROUTLINK_TESTS_TEST_SUPPORT_H_
#define TROUTLINK_TESTS_TEST_SUPPORT_H_

#include <gtest/gtest.h>

#include <string>

#include "world.h"

// Expects that no rule was violated.
#define EXPECT_NO_VIOLATIONS(world) \
  EXPECT_TRUE((world).violations().empty()) << (world).violations().front()

namespace troutlink::test {

// Time after which started nodes lead their shards.
constexpr Micros kStartupTime = 3 * kSecond;

// The job's status as reported by the node, or the HTTP status if it is not 200.
std::string Status(World& world, size_t node, const std::string& id);

// Whether a single poll reports the status within a second.
bool ReportsStatus(World& world, size_t node, const std::string& id, const std::string& status);

// Submits a job until it is accepted.
void SubmitUntilAccepted(World& world, size_t node, const JobSpec& spec);

// Waits until the job is done, polling all nodes in turn.
bool RunsToCompletion(World& world, const std::string& id, Micros most);

// Number of start commands executed by all machines.
int CountStarts(const World& world);

// A machine that runs a task of the job, or null.
FakeAgent* AgentRunning(World& world, const std::string& job);

// A world with a running service (job-5), and the node that leads its machines' shard.
struct RunningService : World {
  explicit RunningService(int replicas = 4);
  // Takes the store down for that time.
  void TakeStoreDown(Micros time);

  int shard_id = -1;
  size_t leader = 0, second = 1, third = 2;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_TEST_SUPPORT_H_
