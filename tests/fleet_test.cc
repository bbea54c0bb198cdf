// Rental, transfer, quarantine and return of machines.
#include <gtest/gtest.h>

#include <algorithm>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(Fleet, MachineThatFailsAllTasksIsQuarantinedAndReturned) {
  World world;
  world.run_time["job-1"] = 2 * kSecond;
  world.run_time["job-2"] = 2 * kSecond;
  FakeAgent& bad = world.AddAgent("small");
  bad.fails_all_tasks = true;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 8)));
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-2", 8)));
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 0, "job-2") == "done"; }, 90 * kSecond));
  EXPECT_TRUE(world.RunUntil([&] { return bad.dead; }, 60 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Fleet, SubmissionsAreAcceptedDuringACloudOutage) {
  World world;
  world.Run(kStartupTime);
  world.cloud.down = true;
  for (size_t i = 0; i < 3; ++i) {
    world.Kill(i);
    world.Start(i);
  }
  world.Run(kStartupTime);
  EXPECT_EQ(
      world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 2)))
          .status,
      201);
}

TEST(Fleet, DelayedRentalIsNeitherRepeatedNorForgotten) {
  World world;
  world.run_time["job-1"] = 3 * kSecond;
  world.Run(kStartupTime);
  // The cloud executes the first requests late.
  int lost = 0;
  world.drop_call = [&](size_t, const Call& call) {
    return call.method == "POST" && call.target == "/rentals" && ++lost <= 1;
  };
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 3)));
  world.Run(3 * kSecond);
  ASSERT_EQ(lost, 1);
  world.DeliverDroppedCalls();  // the machines exist, but the answers were lost
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_TRUE(
      world.RunUntil([&] { return world.cloud.returns == world.cloud.rentals; }, 120 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Fleet, IdleMachinesAreReturnedAndUnknownOnesAdopted) {
  World world;
  world.AddAgent("small");
  world.AddAgent("small", true);
  world.Run(150 * kSecond);
  EXPECT_EQ(world.cloud.returns, 2);
}

TEST(Fleet, MachinesThatBootLateOrNeverAreReplacedOnceAndReturned) {
  World world;
  int rented = 0;
  // Of the first six instances every other one never boots; the rest boot three times slower.
  world.cloud.boot_time = [&] {
    return ++rented <= 6 && rented % 2 == 0 ? 10000 * kSecond : 15 * kSecond;
  };
  world.run_time["job-1"] = 5 * kSecond;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 24)));
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 60 * kSecond));
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 2, "job-1") == "done"; }, 120 * kSecond));
  world.Run(60 * kSecond);
  int never = 0;
  for (auto& [name, agent] : world.agents)
    never += !agent->dead && agent->lease_from > world.now ? 1 : 0;
  EXPECT_EQ(never, 0);  // instances that never boot are returned
  EXPECT_LE(world.cloud.rentals, 30);
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Fleet, SilentFreeMachineIsNotTransferred) {
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 9; ++i) world.AddAgent("small");
  world.Run(1500 * kMillisecond);
  std::map<std::string, int> shard_of;
  for (int p = 0; p < 3; ++p) {
    for (const auto& [name, m] : world.core(0).AssignmentsOf(p).machines) shard_of[name] = p;
  }
  ASSERT_EQ(shard_of.size(), 9u);
  for (auto& [name, agent] : world.agents) agent->silent = shard_of[name] != 0;
  world.Run(3800 * kMillisecond);
  for (int i = 0; i < 3; ++i) {
    JobSpec wide = World::Array("job-" + std::to_string(10 + i), 9);
    wide.task_resources = {16000, 0, 32000};
    world.Submit(static_cast<size_t>(i), wide);
  }
  world.Run(kSecond);
  for (int p = 0; p < 3; ++p) {
    for (const auto& [name, m] : world.core(0).AssignmentsOf(p).machines) {
      EXPECT_TRUE(!world.agents[name]->silent || p == shard_of[name]) << name;
    }
  }
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Fleet, MachineTransferredBackIsServedAtOnce) {
  // Machines move between shards with the load. A machine that returns has seen a higher token
  // meanwhile.
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 9; ++i) world.AddAgent("small");
  world.Run(kStartupTime);
  uint64_t acquired_machines = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "job-" + std::to_string(100 + i);
    for (auto& [n, agent] : world.agents) agent->run_time[id] = 2 * kSecond;
    JobSpec spec = World::Array(id, 4);
    spec.task_resources = {16000, 0, 32000};
    world.Submit(static_cast<size_t>(i % 3), spec);
    world.Run((1 + i % 4) * (700 * kMillisecond));
  }
  for (size_t n = 0; n < 3; ++n) acquired_machines += world.core(n).counters().acquired_machines;
  EXPECT_GT(acquired_machines, 5u);
  for (const auto& [n, agent] : world.agents) EXPECT_EQ(agent->incarnation, 1u) << n;
  EXPECT_NO_VIOLATIONS(world);
}

// If instances of a zone fail to boot, others are rented elsewhere, and the zone is tried again
// later.
TEST(Fleet, ZoneWithFailedBootsIsPreferredLess) {
  World world(1);  // the failure history is per node
  world.Run(kStartupTime);
  world.cloud.failing_zones = {"z1"};
  world.SetRunTime("job-1", 20 * kSecond);
  SubmitUntilAccepted(world, 0, World::Array("job-1", 40));
  auto rented = [&world](const std::string& zone) {
    return std::count_if(world.agents.begin(), world.agents.end(),
                         [&zone](const auto& entry) { return entry.second->zone == zone; });
  };
  world.Run(90 * kSecond);
  EXPECT_EQ(Status(world, 0, "job-1"), "done");
  // The other zone's machines are returned: both zones cost the same again.
  ASSERT_TRUE(world.RunUntil([&] { return world.cloud.capacity == 100; }, 60 * kSecond));
  const auto dead = rented("z1"), good = rented("z2");
  EXPECT_GT(dead, 0);
  world.SetRunTime("job-2", 20 * kSecond);
  SubmitUntilAccepted(world, 0, World::Array("job-2", 40));
  world.Run(30 * kSecond);
  EXPECT_EQ(rented("z1"), dead);
  EXPECT_GT(rented("z2"), good);
  // Instances that never booted were returned.
  world.Run(60 * kSecond);
  for (const auto& [name, agent] : world.agents) {
    if (agent->zone != "z1") continue;
    EXPECT_TRUE(agent->dead) << name;
  }
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Fleet, MachineThatCannotBeDrainedDoesNotBlockConsolidation) {
  World world(1);
  world.cloud.capacity = 0;
  for (int i = 0; i < 6; ++i) world.AddAgent("small");
  world.Run(kStartupTime);
  // Requests all memory but few CPUs of one machine, so that the other machine with the image has
  // no room for it.
  JobSpec lonely = World::Service("job-1", 1);
  lonely.task_resources = {1000, 0, 64000};
  lonely.image = "rare";
  SubmitUntilAccepted(world, 0, lonely);
  JobSpec neighbour = World::Service("job-3", 1);
  neighbour.image = "rare";
  SubmitUntilAccepted(world, 0, neighbour);
  ASSERT_TRUE(world.RunUntil(
      [&] { return world.CountTasks("job-1") + world.CountTasks("job-3") == 2; }, 20 * kSecond));
  SubmitUntilAccepted(world, 0, World::Service("job-2", 5));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-2") == 5; }, 20 * kSecond));
  EXPECT_TRUE(world.RunUntil([&] { return world.cloud.returns >= 2; }, 150 * kSecond));
  world.Run(20 * kSecond);
  EXPECT_EQ(world.CountTasks("job-1"), 1);
  EXPECT_EQ(world.CountTasks("job-2"), 5);
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
