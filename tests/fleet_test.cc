// Machines that are rented, moved between shards, set aside and returned.
#include <gtest/gtest.h>

#include <algorithm>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(Fleet, AMachineThatFailsAllIsSetAsideAndReturned) {
  World w;
  w.run_time["job-1"] = 2 * kSecond;
  w.run_time["job-2"] = 2 * kSecond;
  FakeWorker& bad = w.AddWorker("small");
  bad.fails_all = true;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 8)));
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-2", 8)));
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-2") == "done"; }, 90 * kSecond));
  EXPECT_TRUE(w.Until([&] { return bad.dead; }, 60 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Fleet, ACloudOutageTurnsNoSubmissionAway) {
  World w;
  w.Run(kReady);
  w.cloud.down = true;
  for (size_t i = 0; i < 3; ++i) {
    w.Kill(i);
    w.Start(i);
  }
  w.Run(kReady);
  EXPECT_EQ(
      w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 2))).status,
      201);
}

TEST(Fleet, ALateRentalIsNotRentedAgainNorForgotten) {
  World w;
  w.run_time["job-1"] = 3 * kSecond;
  w.Run(kReady);
  // The cloud carries the first requests out, but only much later.
  int lost = 0;
  w.lose = [&](size_t, const Call& call) {
    return call.method == "POST" && call.target == "/rentals" && ++lost <= 1;
  };
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 3)));
  w.Run(3 * kSecond);
  ASSERT_EQ(lost, 1);
  w.DeliverHeld();  // now the machines exist, and nobody was told
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.cloud.returns == w.cloud.rentals; }, 120 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Fleet, IdleMachinesGoBackAndStrayOnesAreFound) {
  World w;
  w.AddWorker("small");
  w.AddWorker("small", true);
  w.Run(150 * kSecond);
  EXPECT_EQ(w.cloud.returns, 2);
}

TEST(Fleet, MachinesThatComeLateOrNeverAreReplacedOnceAndReturned) {
  World w;
  int rented = 0;
  // Of the first six every other one never comes up; the rest take three times as long.
  w.cloud.boot_time = [&] {
    return ++rented <= 6 && rented % 2 == 0 ? 10000 * kSecond : 15 * kSecond;
  };
  w.run_time["job-1"] = 5 * kSecond;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 24)));
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 60 * kSecond));
  EXPECT_TRUE(w.Until([&] { return Status(w, 2, "job-1") == "done"; }, 120 * kSecond));
  w.Run(60 * kSecond);
  int never = 0;
  for (auto& [name, x] : w.workers) never += !x->dead && x->lease_from > w.now ? 1 : 0;
  EXPECT_EQ(never, 0);  // nothing is paid for that does not come
  EXPECT_LE(w.cloud.rentals, 30);
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  EXPECT_KEPT(w);
}

TEST(Fleet, AFreeMachineThatItsLeaderMissesIsNotTaken) {
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 9; ++i) w.AddWorker("small");
  w.Run(1500 * kMillisecond);
  std::map<std::string, int> shard_of;
  for (int p = 0; p < 3; ++p) {
    for (const auto& [name, m] : w.core(0).AssignmentsOf(p).machines) shard_of[name] = p;
  }
  ASSERT_EQ(shard_of.size(), 9u);
  for (auto& [name, x] : w.workers) x->silent = shard_of[name] != 0;
  w.Run(3800 * kMillisecond);
  for (int i = 0; i < 3; ++i) {
    JobSpec wide = World::Array("job-" + std::to_string(10 + i), 9);
    wide.task_resources = {16000, 0, 32000};
    w.Submit(static_cast<size_t>(i), wide);
  }
  w.Run(kSecond);
  for (int p = 0; p < 3; ++p) {
    for (const auto& [name, m] : w.core(0).AssignmentsOf(p).machines) {
      EXPECT_TRUE(!w.workers[name]->silent || p == shard_of[name]) << name;
    }
  }
  EXPECT_KEPT(w);
}

TEST(Fleet, AMachineThatComesBackToItsShardIsServedAtOnce) {
  // Machines go from shard to shard as work comes to one or another. One that was here
  // before has seen a higher token meanwhile.
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 9; ++i) w.AddWorker("small");
  w.Run(kReady);
  uint64_t acquired_machines = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "job-" + std::to_string(100 + i);
    for (auto& [n, x] : w.workers) x->run_time[id] = 2 * kSecond;
    JobSpec spec = World::Array(id, 4);
    spec.task_resources = {16000, 0, 32000};
    w.Submit(static_cast<size_t>(i % 3), spec);
    w.Run((1 + i % 4) * (700 * kMillisecond));
  }
  for (size_t n = 0; n < 3; ++n) acquired_machines += w.core(n).counters().acquired_machines;
  EXPECT_GT(acquired_machines, 5u);
  for (const auto& [n, x] : w.workers) EXPECT_EQ(x->incarnation, 1u) << n;
  EXPECT_KEPT(w);
}

// Where machines never come up, others are rented elsewhere, and it is tried again later.
TEST(Fleet, AZoneWhereMachinesNeverComeUpIsPreferredLess) {
  World w(1);  // each node remembers what it rented
  w.Run(kReady);
  w.cloud.dead_zones = {"z1"};
  w.SetRunTime("job-1", 20 * kSecond);
  Accept(w, 0, World::Array("job-1", 40));
  auto rented = [&w](const std::string& zone) {
    return std::count_if(w.workers.begin(), w.workers.end(),
                         [&zone](const auto& entry) { return entry.second->zone == zone; });
  };
  w.Run(90 * kSecond);
  EXPECT_EQ(Status(w, 0, "job-1"), "done");
  // The machines of the other zone are back: both would be rented alike.
  ASSERT_TRUE(w.Until([&] { return w.cloud.capacity == 100; }, 60 * kSecond));
  const auto dead = rented("z1"), good = rented("z2");
  EXPECT_GT(dead, 0);
  w.SetRunTime("job-2", 20 * kSecond);
  Accept(w, 0, World::Array("job-2", 40));
  w.Run(30 * kSecond);
  EXPECT_EQ(rented("z1"), dead);
  EXPECT_GT(rented("z2"), good);
  // What never came up was given back.
  w.Run(60 * kSecond);
  for (const auto& [name, worker] : w.workers) {
    if (worker->zone != "z1") continue;
    EXPECT_TRUE(worker->dead) << name;
  }
  EXPECT_KEPT(w);
}

TEST(Fleet, AMachineThatCannotBeClearedDoesNotHoldUpTheOthers) {
  World w(1);
  w.cloud.capacity = 0;
  for (int i = 0; i < 6; ++i) w.AddWorker("small");
  w.Run(kReady);
  // All memory of one machine and hardly any of its cpus: the other one that has its image has
  // no room for it.
  JobSpec lonely = World::Service("job-1", 1);
  lonely.task_resources = {1000, 0, 64000};
  lonely.image = "rare";
  Accept(w, 0, lonely);
  JobSpec neighbour = World::Service("job-3", 1);
  neighbour.image = "rare";
  Accept(w, 0, neighbour);
  ASSERT_TRUE(
      w.Until([&] { return w.OnMachines("job-1") + w.OnMachines("job-3") == 2; }, 20 * kSecond));
  Accept(w, 0, World::Service("job-2", 5));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-2") == 5; }, 20 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.cloud.returns >= 2; }, 150 * kSecond));
  w.Run(20 * kSecond);
  EXPECT_EQ(w.OnMachines("job-1"), 1);
  EXPECT_EQ(w.OnMachines("job-2"), 5);
  EXPECT_KEPT(w);
}

}  // namespace
}  // namespace troutlink::test
