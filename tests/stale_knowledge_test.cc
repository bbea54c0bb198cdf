// Decisions of nodes with stale state: former leaders, lagging replicas, peers of another version
// (docs/incidents/2026-12-02-production-size-rules.md).
#include <gtest/gtest.h>

#include <variant>

#include "core/store/records.h"
#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

constexpr uint64_t kStrayAttempt = 999999;

// A leader that just lost its shard while the store is down, so that no successor can be elected.
// It continues to answer its agents with its token.
struct FormerLeader : RunningService {
  FormerLeader() {
    SetRunTime("job-9", 600 * kSecond);
    SubmitUntilAccepted(*this, leader, Array("job-9", 1));
    EXPECT_TRUE(RunUntil([this] { return CountTasks("job-9") == 1; }, 30 * kSecond));
    SendUntilFinal(leader, "POST", "/api/jobs/job-9/abort");
    EXPECT_TRUE(RunUntil([this] { return CountTasks("job-9") == 0; }, 10 * kSecond));
    Run(5 * kSecond);
  }
  void LoseLeadership() {
    refused_by_store = {second, third};
    state.leases.at(state.items.at(LeadershipKey(shard_id)).lease).until = now;
    EXPECT_TRUE(RunUntil([this] { return !core(leader).IsLeader(shard_id); }, kSecond));
    store_down = true;
  }
  // Adds a task to a machine of the shard, of an attempt that no table contains.
  FakeAgent* AddUnknownInstance(const std::string& job, int task) {
    FakeAgent* agent = AgentRunning(*this, "job-5");
    agent->tasks[{job, task}].attempt = kStrayAttempt;
    return agent;
  }
};

// Point 3 of the proof on cancelled tasks in docs/design.md: each reply that renews a lease stops
// finished jobs, whatever the table contains.
TEST(StaleKnowledge, FormerLeaderStopsACancelledTaskThatNoTableContains) {
  FormerLeader world;
  world.LoseLeadership();
  FakeAgent* agent = world.AddUnknownInstance("job-9", 0);
  world.Run(6 * kSecond);
  EXPECT_FALSE(agent->Has("job-9"));
  EXPECT_TRUE(agent->Has("job-5"));  // its lease was renewed meanwhile
}

// A later leader cannot have started it: the agent would have shown its higher token.
TEST(StaleKnowledge, FormerLeaderStopsATaskThatNoTableContains) {
  FormerLeader world;
  world.LoseLeadership();
  FakeAgent* agent = world.AddUnknownInstance("job-5", 77);
  world.Run(6 * kSecond);
  EXPECT_EQ(agent->tasks.count({"job-5", 77}), 0U);
  EXPECT_TRUE(agent->Has("job-5"));
}

// Whether the node forwards the request to a peer within a few ticks.
bool IsForwarded(World& world, size_t node, const std::string& body) {
  constexpr uint64_t kRequest = 777777;
  Micros now = world.now;
  Outbox out = world.core(node).HandleRequest(now, {kRequest, "POST", "/api/jobs", body});
  bool passed_on = false;
  for (int tick = 0; tick < 6; ++tick) {
    for (const PeerMessage& message : out.peers) {
      passed_on = passed_on || std::holds_alternative<mesh::ForwardedRequest>(message.message);
    }
    now += 50 * kMillisecond;
    out = world.core(node).Tick(now, now);
  }
  return passed_on;
}

// A peer of version 1 would store the job without its dependencies, start it at once and not cancel
// it with them.
TEST(StaleKnowledge, SubmissionWithDependenciesIsNotForwardedToAnOlderVersion) {
  World world;
  world.version_1_nodes = {1, 2};
  world.Run(kStartupTime);
  SubmitUntilAccepted(world, 1, World::Array("job-1", 1));
  world.partitioned_from_store = {0};
  world.Run(2 * kSecond);
  JobSpec dependent = World::Array("job-2", 1);
  EXPECT_TRUE(IsForwarded(world, 0, wire::EncodeSubmission(dependent)));
  dependent.dependencies = {"job-1"};
  EXPECT_FALSE(IsForwarded(world, 0, wire::EncodeSubmission(dependent)));
}

// A node without watch answers knows a cancellation from a peer only: a dependent submitted there
// is cancelled from the start and not reported as queued.
TEST(StaleKnowledge, DependentOfAReportedCancellationIsCancelledFromTheStart) {
  World world;
  world.Run(kStartupTime);
  world.SetRunTime("job-1", 600 * kSecond);
  SubmitUntilAccepted(world, 0, World::Array("job-1", 1));
  world.Run(2 * kSecond);
  world.without_watches = {0};
  world.Run(3 * kSecond);
  EXPECT_EQ(world.SendUntilFinal(1, "POST", "/api/jobs/job-1/abort").body.value("status", ""),
            "cancelled");
  world.Run(kSecond);  // time for a heartbeat
  JobSpec dependent = World::Array("job-2", 1);
  dependent.dependencies = {"job-1"};
  auto answer = world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(dependent));
  EXPECT_EQ(answer.status, 201);
  EXPECT_EQ(answer.body.value("status", ""), "cancelled");
  EXPECT_EQ(Status(world, 1, "job-2"), "cancelled");
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
