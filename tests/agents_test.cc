// Heartbeats, incarnations, commands, and proofs that a task has terminated.
#include <gtest/gtest.h>

#include <vector>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(Agents, DelayedStartDoesNotRunATaskTwice) {
  World world;
  world.run_time["job-1"] = 15 * kSecond;
  world.AddAgent("small");
  world.AddAgent("small");
  world.Run(2 * kStartupTime);
  // Delays every first direct command.
  int lost = 0;
  world.drop_call = [&](size_t, const Call& call) {
    return call.target == "/commands" && call.body.find("start") != std::string::npos &&
           ++lost <= 3;
  };
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
  world.Run(20 * kSecond);
  world.DeliverDroppedCalls();
  EXPECT_GT(lost, 0);
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 0, "job-1") == "done"; }, 90 * kSecond));
  world.DeliverDroppedCalls();
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Agents, TasksOfADeadMachineRestartOnceItIsReturned) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 2; }, 30 * kSecond));
  FakeAgent* with = nullptr;
  for (auto& [n, agent] : world.agents) {
    if (agent->Has("job-5")) with = agent.get();
  }
  with->silent = true;
  EXPECT_TRUE(world.RunUntil([&] { return with->dead; }, 20 * kSecond));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 2; }, 20 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Agents, AgentsThatCannotReachTheirLeaderAreRelayed) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 6)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 6; }, 30 * kSecond));
  world.partitioned_from_agents = {0};
  world.Run(40 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 6);
  EXPECT_NO_VIOLATIONS(world);
}

// The lease must not expire while an agent tries the remaining nodes.
TEST(Agents, AgentsReportedSilentByTheirLeaderAreRelayedAtOnce) {
  for (size_t away : {1, 2}) {
    SCOPED_TRACE(testing::Message() << "away: the leader's neighbour " << away);
    RunningService world(6);
    world.Kill((world.leader + away) % 3);
    world.Run(8 * kSecond);
    const int starts = CountStarts(world);
    world.partitioned_from_agents = {world.leader};
    world.Run(30 * kSecond);
    EXPECT_EQ(world.CountTasks("job-5"), 6);
    EXPECT_EQ(CountStarts(world), starts);
    EXPECT_NO_VIOLATIONS(world);
  }
}

// After a partition, all agents get time to return.
TEST(Agents, AgentsThatReturnOneByOneAreNotDeclaredLost) {
  RunningService world(40);
  std::vector<FakeAgent*> busy;
  for (const auto& [name, agent] : world.agents) {
    if (agent->Has("job-5")) busy.push_back(agent.get());
  }
  ASSERT_GE(busy.size(), 5u);
  for (FakeAgent* agent : busy) agent->silent = true;
  world.Run(9 * kSecond);
  for (FakeAgent* agent : busy) {
    agent->silent = false;
    world.Run(kSecond);
  }
  world.Run(15 * kSecond);
  for (const FakeAgent* agent : busy) EXPECT_FALSE(agent->dead) << agent->name;
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 40; }, 10 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Agents, NewIncarnationRestartsItsTasksOnce) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 2; }, 30 * kSecond));
  // The partition lasts just longer than the lease, unnoticed by the nodes.
  for (auto& [name, agent] : world.agents) {
    if (!agent->Has("job-5")) continue;
    agent->tasks.clear();
    ++agent->incarnation;
  }
  EXPECT_EQ(world.CountTasks("job-5"), 0);
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 2; }, 10 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Agents, TasksOfAHungMachineDoNotRunTwiceWhenItWakes) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 2; }, 30 * kSecond));
  FakeAgent* with = nullptr;
  for (auto& [n, agent] : world.agents) {
    if (agent->Has("job-5")) with = agent.get();
  }
  with->silent = true;
  world.Run(8 * kSecond);  // within its lease
  EXPECT_FALSE(with->dead);
  with->silent = false;
  world.Run(10 * kSecond);
  EXPECT_FALSE(with->dead);
  EXPECT_EQ(world.CountTasks("job-5"), 2);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Agents, MachineThatReceivesNoRepliesIsQuarantinedAndItsTasksMove) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 30 * kSecond));
  FakeAgent* with = nullptr;
  for (auto& [n, agent] : world.agents) {
    if (agent->Has("job-5")) with = agent.get();
  }
  with->inbound_blocked = true;
  // The lease expires; only then do the tasks start elsewhere.
  EXPECT_TRUE(world.RunUntil([&] { return with->dead; }, 60 * kSecond));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 10 * kSecond));
  // Meanwhile the machine is not given new work again and again.
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-6", 2)));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-6") == 2; }, 20 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Agents, DelayedDuplicatesOfHeartbeatsHaveNoEffect) {
  World world;
  world.run_time["job-1"] = 8 * kSecond;
  world.Run(kStartupTime);
  world.record_heartbeats = true;
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 30 * kSecond));
  world.Run(3 * kSecond);
  auto copies = world.recorded_heartbeats;
  auto deliver = [&] {
    for (const auto& [name, body] : copies) {
      for (size_t n = 0; n < 3; ++n) {
        if (world.alive(n)) world.SendRequest(n, "POST", "/v1/report", body);
      }
    }
  };
  int starts = 0;
  for (auto& [n, agent] : world.agents) starts += agent->starts;
  // Duplicates arrive seconds late, after a failover, after a restart, and well after a lease.
  deliver();
  world.Run(3 * kSecond);
  world.Kill(0);
  world.Run(5 * kSecond);
  deliver();
  world.Start(0);
  world.Run(200 * kMillisecond);
  deliver();
  world.Run(40 * kSecond);
  deliver();
  world.Run(2 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  int after = 0;
  for (auto& [n, agent] : world.agents) after += agent->starts;
  EXPECT_LE(after - starts, 6);  // the array's tasks; no replica restarts
  // Duplicates of its heartbeats do not keep a silent machine alive.
  FakeAgent* with = nullptr;
  for (auto& [n, agent] : world.agents) {
    if (!agent->dead && agent->Has("job-5")) with = agent.get();
  }
  ASSERT_NE(with, nullptr);
  with->silent = true;
  EXPECT_TRUE(world.RunUntil(
      [&] {
        deliver();
        world.Run(kSecond);
        return with->dead;
      },
      25 * kSecond));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 20 * kSecond));
  // Nor do they revive a returned machine.
  deliver();
  world.Run(40 * kSecond);
  for (int p = 0; p < 3; ++p) {
    EXPECT_EQ(world.core(0).AssignmentsOf(p).machines.count(with->name), 0u);
  }
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Agents, TaskWithTwoStoredAttemptsIsPendingOnlyAfterBothTerminated) {
  // Small values mean many chunks, of which a cycle changes few, so a terminated attempt stays
  // stored beside the next attempt of its task. The leader crashes then, and its successor learns
  // of the first termination again.
  for (int moment = 0; moment < 8; ++moment) {
    World world(3, [](Json* facts) {
      (*facts)["state"]["value_kb"] = 1.0;
      (*facts)["state"]["write_rps"] = 400.0;
      (*facts)["state"]["rps"] = 1000.0;
    });
    world.cloud.capacity = 0;
    for (int i = 0; i < 300; ++i) world.AddAgent("small");
    world.Run(kStartupTime);
    world.SendUntilFinal(0, "POST", "/api/jobs",
                         wire::EncodeSubmission(World::Array("job-5", 250)));
    ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 250; }, 60 * kSecond));
    world.Run(3 * kSecond);
    int shard_id = -1;
    for (int p = 0; p < 3; ++p) {
      for (const auto& [name, m] : world.core(0).AssignmentsOf(p).machines) {
        if (!m.attempts.empty()) shard_id = p;
      }
    }
    ASSERT_GE(shard_id, 0);
    ASSERT_GT(world.core(0).AssignmentsOf(shard_id).chunks, 4);
    // Machines lose their tasks, as after an expired lease, and report it.
    int n = 0;
    for (auto& [name, agent] : world.agents) {
      if (!agent->Has("job-5") || ++n % 2 == 0) continue;
      agent->tasks.clear();
      ++agent->incarnation;
      agent->lease_from = agent->next_heartbeat = world.now;
    }
    world.Run(60 * kMillisecond + moment * (70 * kMillisecond));
    const auto leader = static_cast<size_t>(world.LeaderOf(shard_id));
    world.Kill(leader);
    world.Run(12 * kSecond);
    EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 250; }, 60 * kSecond))
        << moment;
    ASSERT_TRUE(world.violations().empty())
        << world.violations().front() << " at moment " << moment;
  }
}

TEST(Agents, DuplicateStartAfterTheForgetCommandHasNoEffect) {
  World world;
  world.cloud.capacity = 0;
  FakeAgent& first = world.AddAgent("small");
  world.Run(kStartupTime);
  world.record_calls = true;
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 4)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-1") == 4; }, 10 * kSecond));
  world.Run(3 * kSecond);
  // Preempted and forgotten there; it continues elsewhere.
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-2", 8)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-2") == 8; }, 10 * kSecond));
  world.Run(3 * kSecond);
  FakeAgent& second = world.AddAgent("small");
  ASSERT_TRUE(world.RunUntil([&] { return second.Has("job-1"); }, 60 * kSecond));
  ASSERT_FALSE(first.Has("job-1"));
  world.RepeatRecordedCalls();
  EXPECT_FALSE(first.Has("job-1"));
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
