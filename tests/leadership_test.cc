// Leadership of shards under crashes, partitions and outages of the store.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(Leadership, EachNodeLeadsItsHomeShard) {
  World world;
  world.Run(kStartupTime);
  for (int p = 0; p < 3; ++p) EXPECT_EQ(world.LeaderOf(p), p);
}

TEST(Leadership, FailoverDoesNotRestartTasks) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 30 * kSecond));
  int starts = 0;
  for (auto& [n, agent] : world.agents) starts += agent->starts;
  for (size_t i = 0; i < 3; ++i) {
    world.Kill(i);
    world.Run(8 * kSecond);
    for (int p = 0; p < 3; ++p) EXPECT_GE(world.LeaderOf(p), 0);
    world.Start(i);
    world.Run(3 * kSecond);
  }
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  int after = 0;
  for (auto& [n, agent] : world.agents) after += agent->starts;
  EXPECT_EQ(starts, after);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Leadership, RestartedNodeReclaimsItsHomeShardAtOnce) {
  World world;
  world.Run(kStartupTime);
  world.Kill(1);
  world.Start(1);
  world.Run(500 * kMillisecond);
  EXPECT_EQ(world.LeaderOf(1), 1);
}

TEST(Leadership, AcceptedJobsSurviveARestartOfAllNodes) {
  World world;
  world.run_time["job-1"] = 20 * kSecond;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 5)));
  world.Run(8 * kSecond);
  for (size_t i = 0; i < 3; ++i) world.Kill(i);
  world.Run(3 * kSecond);
  for (size_t i = 0; i < 3; ++i) world.Start(i);
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Leadership, NodePartitionedFromTheStoreForwardsRequestsAndLosesItsShard) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 30 * kSecond));
  int starts = 0;
  for (auto& [n, agent] : world.agents) starts += agent->starts;
  for (size_t i = 0; i < 3; ++i) {
    world.partitioned_from_store = {i};
    world.Run(20 * kSecond);
    // A peer executes its requests, so that users notice nothing.
    EXPECT_EQ(
        world
            .SendUntilFinal(i, "POST", "/api/jobs",
                            wire::EncodeSubmission(World::Array("job-10" + std::to_string(i), 1)))
            .status,
        201);
    for (int p = 0; p < 3; ++p) EXPECT_NE(world.LeaderOf(p), static_cast<int>(i));
    world.partitioned_from_store.clear();
    world.Run(3 * kSecond);
  }
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  int after = 0;
  for (auto& [n, agent] : world.agents) after += agent->starts;
  EXPECT_EQ(starts + 3, after);  // the three new jobs; nothing restarted
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Leadership, NodeRefusedByTheStoreForwardsRequests) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 30 * kSecond));
  world.refused_by_store = {1};
  world.Run(15 * kSecond);
  EXPECT_NE(world.LeaderOf(1), 1);
  EXPECT_EQ(Status(world, 1, "job-5"), "running");  // answered by a peer
  world.refused_by_store.clear();
  EXPECT_TRUE(world.RunUntil([&] { return world.LeaderOf(1) == 1; }, 40 * kSecond));
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Leadership, TasksSurviveAStoreOutageLongerThanTheirLease) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 30 * kSecond));
  world.store_down = true;
  // Longer than the cancellation deadline too: peers confirm that no cancellation was accepted.
  world.Run(45 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  auto a = world.Submit(0, World::Array("job-6", 1));
  world.Run(2 * kSecond);
  EXPECT_EQ(a->status, 503);
  EXPECT_GE(a->retry_after, 1);
  world.store_down = false;
  world.state.Refresh(world.now);
  world.Run(3 * kSecond);
  EXPECT_EQ(Status(world, 0, "job-5"), "running");
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Leadership, PeersRenewLeasesForALeaderThatCrashedDuringAStoreOutage) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 30 * kSecond));
  world.Run(5 * kSecond);
  world.store_down = true;
  world.Run(3 * kSecond);
  for (size_t i = 0; i < 2; ++i) world.Kill(i);
  world.Run(3 * kSecond);
  for (size_t i = 0; i < 2; ++i) world.Start(i);
  world.Run(9 * kSecond);  // beyond the agents' lease
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  world.store_down = false;
  world.state.Refresh(world.now);
  world.Run(5 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  // Not indefinitely: a cancellation that a node accepted just before its crash may be unknown to
  // all others.
  world.store_down = true;
  world.Run(kSecond);
  for (size_t i = 0; i < 2; ++i) world.Kill(i);
  world.Run(world.settings.cancellation_deadline);
  EXPECT_EQ(world.CountTasks("job-5"), 0);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Leadership, NodesPartitionedFromEachOtherKeepTheirShardsAndTasks) {
  World world;
  world.run_time["job-1"] = 3 * kSecond;
  world.Run(kStartupTime);
  world.peer_network_down = true;
  for (size_t n = 0; n < 3; ++n) {
    std::string id = "job-2" + std::to_string(n);
    world.SendUntilFinal(n, "POST", "/api/jobs", wire::EncodeSubmission(World::Service(id, 2)));
    EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks(id) == 2; }, 30 * kSecond));
  }
  world.Run(45 * kSecond);  // beyond the cancellation deadline: the store confirms instead
  for (int p = 0; p < 3; ++p) EXPECT_EQ(world.LeaderOf(p), p);
  for (size_t n = 0; n < 3; ++n) EXPECT_EQ(world.CountTasks("job-2" + std::to_string(n)), 2);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Leadership, IsolatedLeaderStopsRenewingLeasesInTime) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 6)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 6; }, 30 * kSecond));
  int shard_id = -1;
  for (int p = 0; p < 3; ++p) {
    if (!world.core(0).AssignmentsOf(p).machines.empty()) shard_id = p;
  }
  ASSERT_GE(shard_id, 0);
  const auto cut = static_cast<size_t>(world.LeaderOf(shard_id));
  int starts = 0;
  for (auto& [n, agent] : world.agents) starts += agent->starts;
  world.partitioned_from_store = {cut};
  world.partitioned_from_peers = {cut};
  world.Run(15 * kSecond);
  // Another node leads its shard, the agents follow the higher token, and nothing restarted.
  EXPECT_NE(world.LeaderOf(shard_id), static_cast<int>(cut));
  EXPECT_EQ(world.CountTasks("job-5"), 6);
  // A cancellation accepted by a peer is enforced although the partitioned node cannot know it.
  const size_t other = (cut + 1) % 3;
  EXPECT_EQ(world.SendUntilFinal(other, "POST", "/api/jobs/job-5/abort").body.value("status", ""),
            "cancelled");
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 0; },
                             world.settings.cancellation_deadline));
  world.partitioned_from_store.clear();
  world.partitioned_from_peers.clear();
  world.Run(10 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 0);
  int after = 0;
  for (auto& [n, agent] : world.agents) after += agent->starts;
  EXPECT_EQ(after, starts);
  EXPECT_EQ(Status(world, cut, "job-5"), "cancelled");
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Leadership, TransactionWithoutAnAnswerIsResolvedOnTheSameVersions) {
  World world;
  world.run_time["job-1"] = 3 * kSecond;
  world.Run(kStartupTime);
  int n = 0;
  world.drop_call = [&](size_t, const Call& call) {
    return call.target == "/commit" && ++n % 4 == 0;
  };
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
  for (int i = 0; i < 6; ++i) {
    world.Run(5 * kSecond);
    world.DeliverDroppedCalls();
  }
  world.drop_call = nullptr;
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Leadership, NodeCrashesAtArbitraryTimes) {
  // The crashes cover commits, starts, rentals and their answers.
  for (int moment = 0; moment < 60; ++moment) {
    World world;
    world.run_time["job-1"] = 4 * kSecond;
    world.Run(kStartupTime);
    world.Submit(0, World::Array("job-1", 6));
    world.Submit(1, World::Service("job-2", 2));
    world.Run(moment < 30 ? moment * (2 * kMillisecond) : moment * (150 * kMillisecond));
    for (size_t n = 0; n < 3; ++n) {
      if (moment % 4 == 3 || static_cast<int>(n) == moment % 4) world.Kill(n);
    }
    world.Run((moment % 3) * (2 * kSecond) + 100 * kMillisecond);
    for (size_t n = 0; n < 3; ++n) {
      if (!world.alive(n)) world.Start(n);
    }
    // A submission without an answer may be repeated.
    world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
    world.SendUntilFinal(1, "POST", "/api/jobs",
                         wire::EncodeSubmission(World::Service("job-2", 2)));
    EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-2") == 2; }, 60 * kSecond))
        << moment;
    EXPECT_TRUE(world.RunUntil(
        [&] {
          world.Run(500 * kMillisecond);
          return Status(world, 2, "job-1") == "done";
        },
        90 * kSecond))
        << moment;
    ASSERT_TRUE(world.violations().empty())
        << world.violations().front() << " at moment " << moment;
  }
}

TEST(Leadership, ProcessRestartsWithinAFractionOfASecond) {
  // Also during leader changes; messages from before arrive late.
  for (int moment = 0; moment < 24; ++moment) {
    World world;
    world.run_time["job-1"] = 4 * kSecond;
    world.Run(kStartupTime);
    int n = 0;
    world.drop_call = [&](size_t, const Call& call) {
      return (call.target == "/commit" || call.target == "/commands") && ++n % 5 == 0;
    };
    world.Submit(0, World::Array("job-1", 6));
    world.Submit(1, World::Service("job-2", 2));
    world.Run(300 * kMillisecond + moment * (130 * kMillisecond));
    const auto first = static_cast<size_t>(moment % 3);
    world.Kill(first);
    world.Run((moment % 4) * (90 * kMillisecond));
    world.Start(first);
    world.Run((moment % 5) * (60 * kMillisecond));
    // Between leaders: the shard has none, or its new leader restarts too.
    world.Kill((first + 1) % 3);
    world.Run(3 * kSecond + (moment % 3) * (40 * kMillisecond));
    world.Kill(first);
    world.Run(50 * kMillisecond);
    world.Start(first);
    world.Start((first + 1) % 3);
    world.DeliverDroppedCalls();
    world.drop_call = nullptr;
    world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
    world.SendUntilFinal(1, "POST", "/api/jobs",
                         wire::EncodeSubmission(World::Service("job-2", 2)));
    EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-2") == 2; }, 60 * kSecond))
        << moment;
    EXPECT_TRUE(world.RunUntil(
        [&] {
          world.Run(500 * kMillisecond);
          return Status(world, 2, "job-1") == "done";
        },
        90 * kSecond))
        << moment;
    ASSERT_TRUE(world.violations().empty())
        << world.violations().front() << " at moment " << moment;
  }
}

TEST(Leadership, PausedNodeMustBeHealthyForAWhileBeforeFailback) {
  World world;
  world.Run(20 * kSecond);
  ASSERT_EQ(world.LeaderOf(0), 0);
  world.Pause(0);
  ASSERT_TRUE(world.RunUntil([&] { return world.core(1).IsLeader(0) || world.core(2).IsLeader(0); },
                             10 * kSecond));
  world.Run(5 * kSecond);
  world.Resume(0);
  world.Run(10 * kSecond);
  EXPECT_NE(world.LeaderOf(0), 0);
  EXPECT_TRUE(world.RunUntil([&] { return world.LeaderOf(0) == 0; }, 10 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

// Counts election attempts that reach the store.
int CountElections(World* world, Micros time) {
  int elections = 0;
  world->drop_call = [&elections](size_t, const Call& call) {
    if (call.dest != Dest::kState || call.target != wire::CommitTarget()) return false;
    const Json body = wire::Unpack(call.body).value_or(Json());
    for (const Json& write : body.at("writes")) {
      if (write.value("put", "").find("/claim/") != std::string::npos) ++elections;
    }
    return false;
  };
  world->Run(time);
  world->drop_call = nullptr;
  return elections;
}

TEST(Leadership, NoElectionWhileAShardHasALeader) {
  World world;
  // All nodes read the empty store before any of them writes to it.
  world.store_latency = 100 * kMillisecond;
  world.Run(kStartupTime);
  world.store_latency = 0;
  EXPECT_EQ(CountElections(&world, 20 * kSecond), 0);
  // Nor after a leader change.
  world.Kill(0);
  world.Run(10 * kSecond);
  EXPECT_EQ(CountElections(&world, 20 * kSecond), 0);
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
