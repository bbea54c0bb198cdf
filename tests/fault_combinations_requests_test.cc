// Combinations of faults (docs/fault-combinations.md): late requests, late heartbeats and users'
// requests. The world checks the rules at every step.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(FaultCombinations, MoreWorkThanCapacityOverSlowLinks) {
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 6; ++i) world.AddAgent("small");
  world.Run(kStartupTime);
  world.store_latency = 600 * kMillisecond;
  for (int i = 0; i < 4; ++i) {
    JobSpec low = World::Array("job-" + std::to_string(10 + i), 12);
    low.priority = Priority::kLow;
    JobSpec urgent = World::Array("job-" + std::to_string(20 + i), 12);
    urgent.priority = Priority::kHigh;
    for (JobSpec* spec : {&low, &urgent}) {
      spec->spot = false;
      world.SetRunTime(spec->id, spec == &low ? 20 * kSecond : 6 * kSecond);
      SubmitUntilAccepted(world, static_cast<size_t>(i % 3), *spec);
    }
  }
  SubmitUntilAccepted(world, 1, World::Service("job-5", 4));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 15 * kSecond));
  for (int i = 0; i < 4; ++i)
    EXPECT_TRUE(RunsToCompletion(world, "job-" + std::to_string(20 + i), 60 * kSecond));
  for (int i = 0; i < 4; ++i)
    EXPECT_TRUE(RunsToCompletion(world, "job-" + std::to_string(10 + i), 60 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, TransactionsAreAppliedLateAfterNewerOnes) {
  for (int every = 2; every < 6; ++every) {
    World world;
    world.Run(kStartupTime);
    int n = 0;
    world.drop_call = [&](size_t node, const Call& call) {
      if (call.target != "/commit" || ++n % every != 0) return false;
      world.DeliverCallLater(node, call, (2 + n % 10) * kSecond);
      return true;
    };
    for (int i = 0; i < 6; ++i) {
      JobSpec spec = World::Array("job-" + std::to_string(10 + i), 5);
      spec.team = "red";  // always at its limit
      world.SetRunTime(spec.id, 4 * kSecond);
      SubmitUntilAccepted(world, static_cast<size_t>(i % 3), spec);
    }
    SubmitUntilAccepted(world, 0, World::Service("job-5", 3));
    world.Run(5 * kSecond);
    world.SendUntilFinal(1, "POST", "/api/jobs/job-13/abort");
    world.Run(20 * kSecond);
    world.Kill(0);
    world.Run(kSecond);
    world.Start(0);
    world.Run(10 * kSecond);
    world.drop_call = nullptr;
    world.Run(15 * kSecond);
    for (int i = 0; i < 6; ++i) {
      const std::string id = "job-" + std::to_string(10 + i);
      EXPECT_TRUE(i == 3 || RunsToCompletion(world, id, 60 * kSecond)) << id;
    }
    EXPECT_EQ(world.CountTasks("job-5"), 3);
    EXPECT_NO_VIOLATIONS(world);
  }
}

// Each node stays within its share of the request limit, whatever users do, so that commits,
// watches and leases continue. The fake store counts.
TEST(FaultCombinations, ManyPollsLeaveRequestsToOtherCalls) {
  World world;
  world.Run(kStartupTime);
  SubmitUntilAccepted(world, 0, World::Service("job-5", 4));
  for (int i = 0; i < 30; ++i)
    SubmitUntilAccepted(world, 1, World::Array("job-" + std::to_string(100 + i), 2));
  world.Run(5 * kSecond);
  uint64_t before = 0, calls = 0;
  for (size_t n = 0; n < 3; ++n) before += world.core(n).call_counts().state;
  int answered = 0, requested_at = 0;
  std::vector<std::shared_ptr<World::Response>> answers;
  for (int i = 0; i < 2000; ++i) {
    for (size_t n = 0; n < 3; ++n) {
      answers.push_back(
          world.SendRequest(n, "GET", "/api/jobs/job-" + std::to_string(100 + i % 30)));
    }
    // Each change ends every node's watch.
    if (i % 6 == 0) world.Submit(2, World::Array("job-" + std::to_string(1000 + i), 1));
    world.Run(5 * kMillisecond);
  }
  world.Run(2 * kSecond);
  for (const auto& a : answers) {
    ++requested_at;
    answered += a->status == 200 ? 1 : 0;
    EXPECT_TRUE(a->status == 200 || (a->status == 503 && a->retry_after > 0)) << a->status;
  }
  for (size_t n = 0; n < 3; ++n) calls += world.core(n).call_counts().state;
  EXPECT_GT(answered * 10, requested_at * 9);
  // 12 s at 200 a second, plus a burst
  EXPECT_LT(calls - before, 200u * 14);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, DelayedHeartbeatProvesNothingToANewLeader) {
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) world.AddAgent("small");
  world.Run(kStartupTime);
  // Heartbeats from before the first task, which list none.
  std::vector<std::pair<std::string, std::string>> old;
  for (auto& [name, agent] : world.agents)
    old.emplace_back(name, wire::EncodeAgentHeartbeat(agent->MakeHeartbeat()));
  SubmitUntilAccepted(world, 0, World::Service("job-5", 6));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 6; }, 30 * kSecond));
  const int starts = CountStarts(world);
  for (size_t n = 0; n < 3; ++n) {
    world.Kill(n);
    const Micros end = world.now + 6 * kSecond;
    while (world.now < end) {
      for (const auto& [name, body] : old) {
        for (size_t to = 0; to < 3; ++to) world.SendRequest(to, "POST", "/v1/report", body);
      }
      world.Run(70 * kMillisecond);
    }
    world.Start(n);
    world.Run(4 * kSecond);
  }
  EXPECT_EQ(world.CountTasks("job-5"), 6);
  EXPECT_EQ(CountStarts(world), starts);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, OldHeartbeatsOfEarlierIncarnationsAndAttemptsHaveNoEffect) {
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) world.AddAgent("small");
  world.Run(kStartupTime);
  SubmitUntilAccepted(world, 0, World::Service("job-5", 12));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 12; }, 30 * kSecond));
  world.Run(4 * kSecond);
  // Of the first incarnation and attempts, and of the second before its first task.
  std::vector<std::pair<std::string, std::string>> old;
  for (auto& [name, agent] : world.agents) {
    old.emplace_back(name, wire::EncodeAgentHeartbeat(agent->MakeHeartbeat()));
    agent->tasks.clear();
    ++agent->incarnation;
    agent->lease_from = agent->next_heartbeat = world.now;
    old.emplace_back(name, wire::EncodeAgentHeartbeat(agent->MakeHeartbeat()));
  }
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 12; }, 40 * kSecond));
  world.Run(4 * kSecond);
  const int starts = CountStarts(world);
  for (int i = 0; i < 60; ++i) {
    for (const auto& [name, body] : old) {
      for (size_t n = 0; n < 3; ++n) world.SendRequest(n, "POST", "/v1/report", body);
    }
    if (i == 30) world.Kill(0);
    world.Run(150 * kMillisecond);
  }
  world.Run(5 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 12);
  EXPECT_EQ(CountStarts(world), starts);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, InfeasibleAndMalformedJobsAreRefusedPermanentlyDuringAnyFault) {
  RunningService world;
  JobSpec huge = World::Array("job-91", 1), alien = World::Service("job-92", 33);
  huge.task_resources.cpus = 17000;
  alien.team = "red";  // 66 CPUs, above the limit of 64
  Json lacking = wire::EncodeSpec(World::Array("job-93", 1));
  lacking.erase("pieces");
  auto check = [&] {
    for (int again = 0; again < 2; ++again) {
      for (size_t n = 0; n < 3; ++n) {
        EXPECT_EQ(world.Submit(n, huge)->status, 422) << n;
        EXPECT_EQ(world.Submit(n, alien)->status, 422) << n;
        EXPECT_EQ(world.SendRequest(n, "POST", "/api/jobs", wire::Pack(lacking))->status, 400) << n;
      }
      world.Run(kSecond);
    }
  };
  check();
  world.refused_by_store = {world.leader};
  world.Run(3 * kSecond);
  check();
  world.store_down = true;
  world.Run(3 * kSecond);
  check();
  world.peer_network_down = true;
  world.Run(3 * kSecond);
  check();
  world.store_down = world.peer_network_down = false;
  world.refused_by_store.clear();
  world.state.Refresh(world.now);
  world.Run(5 * kSecond);
  for (const char* id : {"job-91", "job-92", "job-93"}) {
    EXPECT_EQ(world.SendUntilFinal(world.third, "GET", std::string("/api/jobs/") + id).status, 404);
  }
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
