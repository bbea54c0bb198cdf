// Combinations of faults (docs/fault-combinations.md): leader changes. The world checks the rules
// at every step.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(FaultCombinations, ZoneBoundJobsLoseTheirMachinesAndTheirLeader) {
  RunningService world;
  JobSpec array = World::Array("job-7", 6), service = World::Service("job-8", 3);
  array.zone = service.zone = "z2";
  JobSpec together = World::Array("job-9", 6);
  together.one_zone = true;
  for (const char* id : {"job-7", "job-9"}) world.SetRunTime(id, 20 * kSecond);
  for (const JobSpec& spec : {array, service, together}) SubmitUntilAccepted(world, 1, spec);
  ASSERT_TRUE(world.RunUntil(
      [&] {
        return world.CountTasks("job-7") == 6 && world.CountTasks("job-8") == 3 &&
               world.CountTasks("job-9") == 6;
      },
      40 * kSecond));
  for (auto& [name, agent] : world.agents) {
    if (agent->zone != "z2" && !agent->Has("job-9")) continue;
    agent->dead = true;
    agent->tasks.clear();
  }
  world.Kill(world.leader);
  world.Run(500 * kMillisecond);
  world.Start(world.leader);
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-8") == 3; }, 60 * kSecond));
  EXPECT_TRUE(RunsToCompletion(world, "job-7", 90 * kSecond));
  EXPECT_TRUE(RunsToCompletion(world, "job-9", 90 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, TenLeaderChangesInTwoMinutesSomeDuringAnOutage) {
  RunningService world;
  const int starts = CountStarts(world);
  for (int i = 0; i < 10; ++i) {
    const int leader = world.LeaderOf(world.shard_id);
    if (leader >= 0) world.Kill(static_cast<size_t>(leader));
    if (i == 4) world.store_down = true;
    world.Run(i % 3 == 0 ? 200 * kMillisecond : 5 * kSecond);
    if (leader >= 0) world.Start(static_cast<size_t>(leader));
    if (i == 5) {
      world.store_down = false;
      world.state.Refresh(world.now);
    }
    world.Run(7 * kSecond);
  }
  world.Run(20 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  EXPECT_EQ(CountStarts(world), starts);  // no task restarted, not even during the outage
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, AllNodesAreDownForLongerThanALease) {
  RunningService world;
  world.SetRunTime("job-7", 15 * kSecond);
  SubmitUntilAccepted(world, 0, World::Array("job-7", 5));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-7") == 5; }, 20 * kSecond));
  for (size_t n = 0; n < 3; ++n) world.Kill(n);
  world.Run(world.settings.agent_lease + 4 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 0);
  for (size_t n = 0; n < 3; ++n) world.Start(n);
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 30 * kSecond));
  EXPECT_TRUE(RunsToCompletion(world, "job-7", 60 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, PartitionedLeaderDoesNotGiveStaleAnswersToUsers) {
  RunningService world;
  world.partitioned_from_store = {world.leader};
  world.partitioned_from_peers = {world.leader};
  world.Run(12 * kSecond);
  ASSERT_NE(world.LeaderOf(world.shard_id), static_cast<int>(world.leader));
  EXPECT_EQ(
      world.SendUntilFinal(world.second, "POST", "/api/jobs/job-5/abort").body.value("status", ""),
      "cancelled");
  for (int i = 0; i < 20; ++i) {
    world.SendRequest(world.leader, "GET", "/api/jobs/job-5");
    world.SendRequest(world.leader, "POST", "/api/jobs",
                      wire::EncodeSubmission(World::Service("job-5", 4)));
    world.Run(kSecond);
  }
  EXPECT_EQ(world.CountTasks("job-5"), 0);
  world.partitioned_from_store.clear();
  world.partitioned_from_peers.clear();
  world.Run(5 * kSecond);
  EXPECT_EQ(Status(world, world.leader, "job-5"), "cancelled");
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, LeaderCrashesWhileMachinesArePartitionedOrReceiveNoReplies) {
  for (bool hears_few : {false, true}) {
    RunningService world(6);
    const int starts = CountStarts(world);
    FakeAgent* agent = AgentRunning(world, "job-5");
    ASSERT_NE(agent, nullptr);
    (hears_few ? agent->inbound_blocked : agent->silent) = true;
    world.Kill(world.leader);
    // Within the lease nothing changes.
    world.Run(6 * kSecond);
    (hears_few ? agent->inbound_blocked : agent->silent) = false;
    world.Run(8 * kSecond);
    EXPECT_EQ(world.CountTasks("job-5"), 6) << hears_few;
    EXPECT_EQ(CountStarts(world), starts) << hears_few;
    // After it the tasks run elsewhere, once they are proven to have terminated.
    (hears_few ? agent->inbound_blocked : agent->silent) = true;
    world.Start(world.leader);
    world.Run(18 * kSecond);
    world.Kill((world.leader + 1) % 3);
    world.Run(25 * kSecond);
    (hears_few ? agent->inbound_blocked : agent->silent) = false;
    EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 6; }, 30 * kSecond))
        << hears_few;
    EXPECT_NO_VIOLATIONS(world);
  }
}

TEST(FaultCombinations, TasksOfAJobEndFarApartAcrossLeaderChanges) {
  for (Micros before : {kSecond, 4 * kSecond, 12 * kSecond}) {
    RunningService world;
    world.SetRunTime("job-7", 60 * kSecond);
    SubmitUntilAccepted(world, world.second, World::Array("job-7", 3));
    ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-7") == 3; }, 20 * kSecond));
    Micros end = world.now + 2 * kSecond;
    for (auto& [name, agent] : world.agents) {
      for (auto& [key, t] : agent->tasks) {
        if (key.first == "job-7") t.ends = end, end += 15 * kSecond;
      }
    }
    for (size_t n = 0; n < 3; ++n) {
      world.Run(before);
      world.Kill(n);
      world.Run(kSecond);
      EXPECT_FALSE(ReportsStatus(world, (n + 1) % 3, "job-7", "done") && world.results.size() < 3);
      world.Start(n);
      world.Run(13 * kSecond - before);
    }
    EXPECT_TRUE(RunsToCompletion(world, "job-7", 90 * kSecond));
    EXPECT_NO_VIOLATIONS(world);
  }
}

// With the cloud down too, no machine in the partition can be ended: the cancelled job stops only
// because its leader stops renewing leases.
TEST(FaultCombinations, ZoneWithAgentsAndANodeIsPartitionedForLongerThanALease) {
  for (bool cloud_down : {false, true}) {
    RunningService world(6);
    // The leader and its machines are on one side; a job is cancelled on the other.
    SubmitUntilAccepted(world, world.second, World::Service("job-6", 2));
    ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-6") == 2; }, 30 * kSecond));
    for (const auto& [name, m] : world.core(world.second).AssignmentsOf(world.shard_id).machines) {
      world.agents.at(name)->reachable_node = static_cast<int>(world.leader);
    }
    ASSERT_EQ(AgentRunning(world, "job-6")->reachable_node, static_cast<int>(world.leader));
    world.partitioned_from_store = {world.leader};
    world.partitioned_from_peers = {world.leader};
    world.cloud.down = cloud_down;
    world.Run(kSecond);
    EXPECT_EQ(world.SendUntilFinal(world.second, "POST", "/api/jobs/job-6/abort")
                  .body.value("status", ""),
              "cancelled");
    world.Run(world.settings.cancellation_deadline + 5 * kSecond);
    EXPECT_EQ(world.CountTasks("job-6"), 0) << cloud_down;
    world.cloud.down = false;
    EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 6; }, 30 * kSecond))
        << cloud_down;
    for (auto& [name, agent] : world.agents) agent->reachable_node = -1;
    world.partitioned_from_store.clear();
    world.partitioned_from_peers.clear();
    world.Run(30 * kSecond);
    EXPECT_EQ(world.CountTasks("job-5"), 6) << cloud_down;
    EXPECT_NO_VIOLATIONS(world);
  }
}

TEST(FaultCombinations, FailoverAndFailbackThenAllNodesCrashAndOneReturnsAtOnce) {
  for (Micros back : {40 * kMillisecond, 300 * kMillisecond, 900 * kMillisecond}) {
    RunningService world;
    world.Kill(world.leader);
    world.Run(6 * kSecond);  // failover
    world.Start(world.leader);
    world.Run(world.settings.cancellation_deadline / 2 + 2 * kSecond);  // and about now failback
    for (size_t n = 0; n < 3; ++n) world.Kill(n);
    world.Run(back);
    world.Start(world.second);
    world.Run(8 * kSecond);
    EXPECT_EQ(world.CountTasks("job-5"), 4);
    EXPECT_EQ(Status(world, world.second, "job-5"), "running");
    world.Start(world.leader);
    world.Run(back);
    world.Kill(world.second);
    world.Run(back);
    world.Start(world.second);
    world.Start(world.third);
    world.Run(20 * kSecond);
    EXPECT_EQ(world.CountTasks("job-5"), 4);
    EXPECT_NO_VIOLATIONS(world);
  }
}

TEST(FaultCombinations, TeamAtItsLimitDuringAFailoverWithSilentMachinesAndACancellation) {
  World world;
  world.run_time["job-11"] = world.run_time["job-12"] = 12 * kSecond;
  world.Run(kStartupTime);
  JobSpec first = World::Array("job-11", 40), second = World::Array("job-12", 40);
  first.team = second.team = "red";
  SubmitUntilAccepted(world, 0, first);
  SubmitUntilAccepted(world, 1, second);
  auto running = [&] { return world.CountTasks("job-11") + world.CountTasks("job-12"); };
  ASSERT_TRUE(world.RunUntil([&] { return running() >= 14; }, 60 * kSecond)) << running();
  int n = 0;
  for (auto& [name, agent] : world.agents) {
    if (agent->tasks.empty() || ++n % 2 != 0) continue;
    (n % 4 == 0 ? agent->silent : agent->hung) = true;
  }
  for (size_t i = 0; i < 2; ++i) {
    world.Kill(i);
    world.Run(3 * kSecond);
    if (i == 0) world.SendRequest(2, "POST", "/api/jobs/job-12/abort");
    world.Run(3 * kSecond);
    world.Start(i);
    world.Run(2 * kSecond);
  }
  for (auto& [name, agent] : world.agents) agent->silent = agent->hung = false;
  EXPECT_EQ(world.SendUntilFinal(1, "POST", "/api/jobs/job-12/abort").body.value("status", ""),
            "cancelled");
  EXPECT_TRUE(RunsToCompletion(world, "job-11", 150 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
