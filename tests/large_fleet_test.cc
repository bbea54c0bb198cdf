// Hundreds of machines that fail together.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

constexpr int kServices = 20, kReplicas = 20;

void Rates(Json* facts) {
  (*facts)["state"]["write_rps"] = 200.0;
  (*facts)["state"]["rps"] = 1000.0;
  (*facts)["cloud"]["rps"] = 10.0;
}

// A fleet with services, and arrays beside them.
struct BigFleet : World {
  explicit BigFleet(int machines) : World(3, Rates) {
    cloud.capacity = machines;
    for (int i = 0; i < machines; ++i) AddAgent("small", i % 4 == 0);
    Run(3 * kSecond);
    for (int j = 0; j < kServices; ++j) {
      Submit(static_cast<size_t>(j % 3), Service("job-" + std::to_string(100 + j), kReplicas));
      Run(50 * kMillisecond);
    }
    for (int j = 0; j < machines / 20; ++j) {
      const std::string id = "job-" + std::to_string(500 + j);
      run_time[id] = 8 * kSecond;
      for (auto& [n, agent] : agents) agent->run_time[id] = 8 * kSecond;
      Submit(static_cast<size_t>(j % 3), Array(id, 40));
    }
    EXPECT_TRUE(RunUntil([&] { return Replicas() == kServices * kReplicas; }, 60 * kSecond))
        << Replicas();
  }
  int Replicas() const {
    int n = 0;
    for (int j = 0; j < kServices; ++j) n += CountTasks("job-" + std::to_string(100 + j));
    return n;
  }
  // Runs until every replica is up on a machine that is heard.
  bool AllUp(Micros most) {
    return RunUntil(
        [&] {
          if (now % (100 * kMillisecond) != 0) return false;
          int n = 0;
          for (const auto& [name, agent] : agents) {
            if (agent->dead || agent->silent || agent->hung) continue;
            for (const auto& [key, task] : agent->tasks) {
              const int id = std::stoi(key.first.substr(4));
              n += id >= 100 && id < 100 + kServices && task.state != TaskState::kExited ? 1 : 0;
            }
          }
          return n == kServices * kReplicas;
        },
        most);
  }
  template <typename F>
  int Some(int every, F change) {
    int n = 0, changed = 0;
    for (auto& [name, agent] : agents) {
      if (agent->dead || agent->lease_from > now || ++n % every != 0) continue;
      change(agent.get());
      ++changed;
    }
    return changed;
  }
  uint64_t Sum(uint64_t Counters::*field) {
    uint64_t sum = 0;
    for (size_t n = 0; n < 3; ++n) sum += alive(n) ? core(n).counters().*field : 0;
    return sum;
  }
  // Sum of the calls sent.
  uint64_t SumCalls(uint64_t Effects::CallCounts::*field) {
    uint64_t sum = 0;
    for (size_t n = 0; n < 3; ++n) sum += alive(n) ? core(n).call_counts().*field : 0;
    return sum;
  }
};

TEST(LargeFleet, ManyMachinesReturnAfterALeaseWhileTheLeaderCrashed) {
  BigFleet world(400);
  const int cut = world.Some(3, [](FakeAgent* agent) { agent->silent = true; });
  EXPECT_GT(cut, 100);
  const Micros at = world.now;
  world.Run(2 * kSecond);
  world.Kill(0);
  world.Run(6 * kSecond);
  world.Start(0);
  // Silence counts from the crash of the leader and not from each failover: soon after the leases
  // expired, every replica runs elsewhere.
  EXPECT_TRUE(world.AllUp(world.settings.agent_lease + 18 * kSecond - (world.now - at)));
  for (auto& [n, agent] : world.agents) agent->silent = false;
  world.Run(15 * kSecond);
  EXPECT_EQ(world.Replicas(), kServices * kReplicas);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(LargeFleet, SilenceIsTrackedAcrossTwoLeaderChanges) {
  BigFleet world(300);
  world.Some(3, [](FakeAgent* agent) { agent->silent = true; });
  const Micros at = world.now;
  world.Run(world.settings.heartbeat_period * 2);
  world.Kill(0);
  world.Run(4 * kSecond);
  world.Kill(1);  // possibly the current leader
  EXPECT_TRUE(world.AllUp(world.settings.agent_lease + 18 * kSecond - (world.now - at)));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(LargeFleet, ManyMachinesHangAndResume) {
  for (Micros hang : {6 * kSecond, 14 * kSecond}) {  // within and beyond the lease
    BigFleet world(300);
    world.Some(3, [](FakeAgent* agent) { agent->hung = true; });
    world.Run(hang);
    for (auto& [n, agent] : world.agents) agent->hung = false;
    EXPECT_TRUE(world.AllUp(20 * kSecond)) << hang;
    EXPECT_NO_VIOLATIONS(world);
  }
}

// All machines of a fleet of more than 4,000, led by one node, fall silent at once.
TEST(LargeFleet, ThousandsOfMachinesOfOneLeaderFallSilentAndReturn) {
  World world(3, Rates);
  constexpr int kMachines = 4500;
  world.cloud.capacity = kMachines;
  for (int i = 0; i < kMachines; ++i) {
    FakeAgent& agent = world.AddAgent("small", false);
    agent.node = 0;
    agent.next_heartbeat += static_cast<Micros>(i % 200) * 10 * kMillisecond;
  }
  world.Run(4 * kSecond);
  world.Kill(1);
  world.Kill(2);
  JobSpec wide = World::Array("job-1", kMachines);
  wide.task_resources = {16000, 0, 8000};  // one per machine
  world.SetRunTime("job-1", 600 * kSecond);
  world.Submit(0, wide);
  auto assigned = [&] {
    size_t machines = 0;
    for (int shard_id = 0; shard_id < 3; ++shard_id) {
      machines += world.core(0).AssignmentsOf(shard_id).machines.size();
    }
    return machines;
  };
  EXPECT_TRUE(world.RunUntil(
      [&] { return world.now % kSecond == 0 && world.CountTasks("job-1") >= 4000; }, 60 * kSecond));
  world.Start(1);
  for (auto& [name, agent] : world.agents) agent->silent = true;
  world.Run(6 * kSecond);
  for (auto& [name, agent] : world.agents) agent->silent = false;
  world.Run(4 * kSecond);
  EXPECT_GE(assigned(), 4000u);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(LargeFleet, LossOfAThirdOfTheMachinesIsReplacedWithFewCalls) {
  BigFleet world(400);
  const uint64_t calls = world.SumCalls(&Effects::CallCounts::cloud),
                 starts = world.Sum(&Counters::starts);
  int rented = world.cloud.rentals;
  const int gone = world.Some(3, [](FakeAgent* agent) { agent->silent = true; });
  EXPECT_TRUE(world.AllUp(world.settings.agent_lease + 15 * kSecond));
  world.Run(10 * kSecond);
  EXPECT_EQ(world.Replicas(), kServices * kReplicas);
  // All were returned, many per call, and no more were rented than lost.
  int left = 0;
  for (auto& [n, agent] : world.agents) left += agent->silent && !agent->dead ? 1 : 0;
  EXPECT_EQ(left, 0);
  EXPECT_LE(world.cloud.rentals - rented, gone);
  EXPECT_LT(world.SumCalls(&Effects::CallCounts::cloud) - calls, 150u);
  EXPECT_LT(world.Sum(&Counters::starts) - starts, 1400u);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(LargeFleet, AllNodesRestartDuringAStoreOutage) {
  BigFleet world(400);
  world.store_down = true;
  world.Run(kSecond);
  for (size_t n = 0; n < 3; ++n) world.Kill(n);
  world.Run(4 * kSecond);
  for (size_t n = 0; n < 3; ++n) world.Start(n);
  world.Run(kSecond);
  for (size_t n = 0; n < 3; ++n) {
    // The node reports that it is not ready.
    auto up = world.SendRequest(n, "GET", "/up");
    world.Run(50 * kMillisecond);
    EXPECT_EQ(up->status, 503);
  }
  world.store_down = false;
  world.state.Refresh(world.now);
  world.Run(2 * kSecond);
  // The store is listed, shards are acquired and heartbeats answered: no lease has expired and
  // nothing restarts.
  const uint64_t starts = world.Sum(&Counters::starts);
  for (int p = 0; p < 3; ++p) EXPECT_NE(world.LeaderOf(p), -1);
  world.Run(10 * kSecond);
  EXPECT_EQ(world.Replicas(), kServices * kReplicas);
  EXPECT_LT(world.Sum(&Counters::starts) - starts, 700u);  // arrays continue
  for (const auto& [n, agent] : world.agents) EXPECT_EQ(agent->incarnation, 1u);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(LargeFleet, PausedNodeDoesNotActOnStaleState) {
  for (Micros still : {300 * kMillisecond, 5 * kSecond, 40 * kSecond}) {
    BigFleet world(150);
    world.record_heartbeats = true;
    // At an arbitrary moment.
    world.Submit(0, World::Array("job-900", 30));
    world.Submit(1, World::Service("job-901", 6));
    world.Run(15 * kMillisecond);
    world.Pause(0);
    world.Run(still / 2);
    EXPECT_EQ(world.SendUntilFinal(1, "POST", "/api/jobs/job-100/abort").body.value("status", ""),
              "cancelled");
    const Micros cancelled = world.now;
    world.Run(still / 2);
    world.Resume(0);
    if (still > 30 * kSecond) {
      // It lost its leadership long ago and must lead nothing once it resumes.
      world.Run(2 * kSecond);
      int leaders = 0;
      for (int p = 0; p < 3; ++p) {
        for (size_t n = 0; n < 3; ++n) leaders += world.core(n).IsLeader(p) ? 1 : 0;
      }
      EXPECT_EQ(leaders, 3);
    }
    EXPECT_TRUE(world.RunUntil(
        [&] { return world.CountTasks("job-100") == 0; },
        std::max<Micros>(0, cancelled + world.settings.cancellation_deadline - world.now)));
    EXPECT_TRUE(world.RunUntil([&] { return world.Replicas() == (kServices - 1) * kReplicas; },
                               30 * kSecond));
    EXPECT_NO_VIOLATIONS(world);
  }
}

TEST(LargeFleet, ReconnectedNodeDropsItsOldConclusions) {
  BigFleet world(200);

  world.partitioned_from_store = {0};
  world.partitioned_from_peers = {0};
  world.partitioned_from_agents = {0};
  world.Run(45 * kSecond);  // beyond the lease and the cancellation deadline
  world.partitioned_from_store.clear();
  world.partitioned_from_peers.clear();
  world.partitioned_from_agents.clear();
  EXPECT_TRUE(world.RunUntil([&] { return world.LeaderOf(0) == 0; }, 40 * kSecond));
  int up = 0;
  world.Run(8 * kSecond);
  for (int p = 0; p < 3; ++p) {
    for (const auto& [name, m] : world.core(0).AssignmentsOf(p).machines)
      up += m.attempts.empty() ? 0 : 1;
  }
  EXPECT_GT(up, 20);
  EXPECT_EQ(world.Replicas(), kServices * kReplicas);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(LargeFleet, ManyReplicasArePlacedAtOnceOnAFullFleet) {
  World world(3, Rates);
  world.cloud.capacity = 0;
  for (int i = 0; i < 90; ++i) world.AddAgent("small");
  world.Run(3 * kSecond);
  for (int j = 0; j < 9; ++j) {
    world.Submit(static_cast<size_t>(j % 3), World::Array("job-" + std::to_string(500 + j), 40));
  }
  world.Run(10 * kSecond);
  for (int j = 0; j < 12; ++j) {
    world.Submit(static_cast<size_t>(j % 3), World::Service("job-" + std::to_string(100 + j), 20));
  }
  EXPECT_TRUE(world.RunUntil(
      [&] {
        int n = 0;
        for (int j = 0; j < 12; ++j) n += world.CountTasks("job-" + std::to_string(100 + j));
        return n == 240;
      },
      5 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(LargeFleet, CostIsBoundedForTwoThousandMachines) {
  BigFleet world(2000);
  world.Run(30 * kSecond);
  int arrays = 0, done = 0;
  for (int j = 0; j < 100; ++j, ++arrays) {
    auto a = world.SendUntilFinal(static_cast<size_t>(j % 3), "GET",
                                  "/api/jobs/job-" + std::to_string(500 + j));
    done += a.body.value("status", "") == "done" ? 1 : 0;
  }
  EXPECT_EQ(done, arrays);
  EXPECT_EQ(world.Replicas(), kServices * kReplicas);
  size_t chunks = 0;
  for (int p = 0; p < 3; ++p) {
    chunks += static_cast<size_t>(world.core(0).AssignmentsOf(p).chunks);
    // All machines and some jobs must fit into the conditions of one transaction.
    EXPECT_LT(world.core(0).AssignmentsOf(p).chunks, 4 * world.settings.state_limits.txn_ops / 3);
  }
  // Bounds on the work for 4,400 started and 4,000 finished tasks.
  EXPECT_LT(world.Sum(&Counters::puts), 1100u);
  EXPECT_LT(world.Sum(&Counters::commits), 400u);
  EXPECT_LT(world.Sum(&Counters::cycles), 1500u);
  EXPECT_LT(world.SumCalls(&Effects::CallCounts::cloud), 250u);
  EXPECT_LT(world.SumCalls(&Effects::CallCounts::agent), 9000u);
  EXPECT_EQ(world.Sum(&Counters::oversized_plans), 0u);
  EXPECT_LT(chunks, 30u);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(LargeFleet, RepeatedRequestsHaveNoEffect) {
  BigFleet world(100);
  world.cloud.capacity = 100;
  world.record_calls = true;
  JobSpec more = World::Array("job-900", 120);
  world.run_time["job-900"] = 30 * kSecond;
  world.Submit(0, more);
  world.Some(9, [](FakeAgent* agent) { agent->silent = true; });  // causes returns
  world.Run(14 * kSecond);
  // A process restarts within a fraction of a second, and all modifying calls that it had sent
  // arrive again.
  world.Kill(0);
  world.Run(200 * kMillisecond);
  world.Start(0);
  const int rentals = world.cloud.rentals;
  world.RepeatRecordedCalls();
  EXPECT_EQ(world.cloud.rentals, rentals);
  world.Run(300 * kMillisecond);
  world.Kill(1);
  world.Run(150 * kMillisecond);
  world.Start(1);
  world.recorded_calls.resize(std::min<size_t>(world.recorded_calls.size(), 4000));
  world.RepeatRecordedCalls();
  EXPECT_TRUE(world.AllUp(40 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(LargeFleet, OneNodeCarriesTheWholeFleet) {
  BigFleet world(600);
  world.Kill(1);
  world.Kill(2);
  world.Run(12 * kSecond);
  for (int p = 0; p < 3; ++p) EXPECT_EQ(world.LeaderOf(p), 0);
  EXPECT_EQ(world.Replicas(), kServices * kReplicas);
  EXPECT_EQ(world
                .SendUntilFinal(0, "POST", "/api/jobs",
                                wire::EncodeSubmission(World::Service("job-900", 10)))
                .status,
            201);
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-900") == 10; }, 10 * kSecond));
  for (const auto& [n, agent] : world.agents) {
    EXPECT_TRUE(agent->dead || agent->incarnation == 1) << n;
  }
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
