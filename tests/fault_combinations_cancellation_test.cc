// Combinations of faults (docs/fault-combinations.md): cancellations. The world checks the rules at
// every step.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

// --- a leader that is unaware of a cancellation ------------------------------------
//
// The store refuses only the leader, another node confirms a cancellation, and then the store is
// down for all nodes, while the agents keep reporting to the old leader.

// Which node confirms the cancellation to the user.
enum class ConfirmedBy {
  kCommittingNode,  // the node that commits it
  kOtherNode,       // another node, from its replica, as the commit's answer was lost
  kOtherNodeLate,   // the same, and the commit is applied late
  kLeader,          // the leader, which forwards the request
};

struct StaleLeaderCase {
  ConfirmedBy confirmed_by = ConfirmedBy::kCommittingNode;
  Micros refused_before = 0;             // time before the cancellation; negative: after it
  Micros down_after = 0;                 // time after the confirmation
  bool links_cut = false;                // between the leader and the confirming nodes
  bool confirming_node_crashes = false;  // right after the confirmation; it restarts at once
  bool third_node_refused = false;       // the store refuses the third node too
  Micros peer_message_delay = 0;         // delay of all peer messages after the confirmation
};

void RunStaleLeaderCase(const StaleLeaderCase& scenario) {
  RunningService world;
  if (scenario.third_node_refused) world.refused_by_store.insert(world.third);
  if (scenario.refused_before >= 0) {
    world.refused_by_store.insert(world.leader);
    world.Run(scenario.refused_before);
  }
  size_t confirming_node = world.second;
  const std::string target = "/api/jobs/job-5/abort";
  if (scenario.confirmed_by == ConfirmedBy::kOtherNode ||
      scenario.confirmed_by == ConfirmedBy::kOtherNodeLate) {
    // The third node commits without an answer; the second confirms from its replica.
    world.drop_call = [&](size_t node, const Call& call) {
      return node == world.third && call.target == "/commit" &&
             call.body.find("job-5") != std::string::npos;
    };
    world.SendRequest(world.third, "POST", target);
    world.Run(scenario.confirmed_by == ConfirmedBy::kOtherNodeLate ? 1600 * kMillisecond
                                                                   : 30 * kMillisecond);
    world.drop_call = nullptr;
    if (scenario.refused_before < 0) world.refused_by_store.insert(world.leader);
    if (scenario.links_cut)
      world.partitioned_links = {{world.leader, world.second}, {world.leader, world.third}};
    world.DeliverDroppedCalls();
    EXPECT_TRUE(world.RunUntil(
        [&] { return ReportsStatus(world, confirming_node, "job-5", "cancelled"); }, 3 * kSecond));
  } else {
    if (scenario.links_cut) world.partitioned_links = {{world.leader, world.second}};
    if (scenario.confirmed_by == ConfirmedBy::kLeader) confirming_node = world.leader;
    EXPECT_EQ(world.SendUntilFinal(confirming_node, "POST", target).body.value("status", ""),
              "cancelled");
  }
  const Micros confirmed_at = world.now;
  if (scenario.refused_before < 0) world.refused_by_store.insert(world.leader);
  if (scenario.confirming_node_crashes) {
    const size_t ends = confirming_node == world.leader ? world.second : confirming_node;
    world.Kill(ends);
    world.Run(100 * kMillisecond);
    world.Start(ends);
  }
  world.delay_peer_messages = scenario.peer_message_delay > 0;
  world.Run(scenario.down_after);
  world.store_down = true;
  world.Run(scenario.peer_message_delay);
  world.DeliverPeerMessages();
  world.Run(world.settings.cancellation_deadline + 3 * kSecond - scenario.peer_message_delay);
  EXPECT_EQ(world.CountTasks("job-5"), 0);
  world.Run(12 * kSecond - (world.now - confirmed_at) % kSecond);
  world.store_down = false;
  world.refused_by_store.clear();
  world.partitioned_links.clear();
  world.state.Refresh(world.now);
  world.Run(5 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 0);
  EXPECT_EQ(Status(world, world.leader, "job-5"), "cancelled");
  EXPECT_EQ(world.rules.starts_after_cancel, 0);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, LeaderUnawareOfACancellationStopsItsTasksInTimeDuringAStoreOutage) {
  for (ConfirmedBy confirmed_by : {ConfirmedBy::kCommittingNode, ConfirmedBy::kOtherNode,
                                   ConfirmedBy::kOtherNodeLate, ConfirmedBy::kLeader}) {
    for (Micros before : {2 * kSecond, 100 * kMillisecond, -kMillisecond}) {
      for (bool cut : {false, true}) {
        for (bool ends : {false, true}) {
          if (cut && confirmed_by == ConfirmedBy::kLeader) continue;
          SCOPED_TRACE(testing::Message()
                       << "told " << static_cast<int>(confirmed_by) << " refused " << before
                       << " cut " << cut << " ends " << ends);
          RunStaleLeaderCase({confirmed_by, before, 0, cut, ends});
        }
      }
    }
  }
}

TEST(FaultCombinations, LeaderUnawareOfACancellationWhoseConfirmingNodeCrashed) {
  // The confirming node is back before the outage ends and knows nothing.
  for (ConfirmedBy confirmed_by : {ConfirmedBy::kCommittingNode, ConfirmedBy::kLeader}) {
    for (Micros before : {2 * kSecond, 100 * kMillisecond, -kMillisecond}) {
      SCOPED_TRACE(testing::Message()
                   << "told " << static_cast<int>(confirmed_by) << " refused " << before);
      RunStaleLeaderCase({confirmed_by, before, 0, false, true, true});
    }
  }
}

TEST(FaultCombinations, LeaderUnawareOfACancellationWithDelayedHeartbeats) {
  for (ConfirmedBy confirmed_by : {ConfirmedBy::kCommittingNode, ConfirmedBy::kOtherNode,
                                   ConfirmedBy::kOtherNodeLate, ConfirmedBy::kLeader}) {
    for (Micros peer_message_delay : {3 * kSecond, 12 * kSecond, 25 * kSecond}) {
      for (bool ends : {false, true}) {
        SCOPED_TRACE(testing::Message() << "told " << static_cast<int>(confirmed_by) << " held "
                                        << peer_message_delay << " ends " << ends);
        RunStaleLeaderCase(
            {confirmed_by, 200 * kMillisecond, 0, false, ends, false, peer_message_delay});
      }
    }
  }
}

TEST(FaultCombinations, LeaderUnawareOfACancellationForAnyStartOfTheOutage) {
  for (Micros after :
       {0 * kMillisecond, 20 * kMillisecond, 300 * kMillisecond, 2 * kSecond, 5 * kSecond}) {
    for (ConfirmedBy confirmed_by : {ConfirmedBy::kCommittingNode, ConfirmedBy::kOtherNode}) {
      SCOPED_TRACE(testing::Message()
                   << "down after " << after << " told " << static_cast<int>(confirmed_by));
      RunStaleLeaderCase({confirmed_by, 5 * kSecond, after, false, false});
      RunStaleLeaderCase({confirmed_by, kSecond, after, true, true});
    }
  }
}

// Direct start commands are delayed, the job is cancelled, and the store is unavailable for raising
// fencing tokens: the agents must not execute the starts late.
TEST(FaultCombinations, DelayedStartIsNotExecutedLongAfterTheCancellation) {
  for (Micros late : {5 * kSecond, 33 * kSecond, 40 * kSecond}) {
    RunningService world(2);
    SubmitUntilAccepted(world, world.leader, World::Service("job-6", 1));  // keeps its machine busy
    ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-6") == 1; }, 20 * kSecond));
    std::set<std::string> held;
    world.drop_call = [&](size_t node, const Call& call) {
      if (call.dest != Dest::kAgent || call.body.find("job-8") == std::string::npos) return false;
      world.DeliverCallLater(node, call, late);
      held.insert(call.addr);
      return true;
    };
    SubmitUntilAccepted(world, world.second, World::Service("job-8", 3));
    ASSERT_TRUE(world.RunUntil([&] { return !held.empty(); }, 20 * kSecond));
    int leader = -1;
    for (int p = 0; p < 3; ++p) {
      for (const auto& [name, m] : world.core(0).AssignmentsOf(p).machines) {
        if (held.count(m.addr) != 0) leader = world.LeaderOf(p);
      }
    }
    ASSERT_GE(leader, 0);
    // The store refuses its commits from here on.
    world.refused_by_store = {static_cast<size_t>(leader)};
    EXPECT_EQ(
        world.SendUntilFinal((static_cast<size_t>(leader) + 1) % 3, "POST", "/api/jobs/job-8/abort")
            .body.value("status", ""),
        "cancelled");
    world.TakeStoreDown(world.settings.cancellation_deadline + 12 * kSecond);
    world.refused_by_store.clear();
    world.Run(5 * kSecond);
    EXPECT_EQ(world.CountTasks("job-8"), 0);
    EXPECT_NO_VIOLATIONS(world);
  }
}

// Exactly one of "done" and "cancelled" is committed and reported.
TEST(FaultCombinations, CancellationPollAndRepeatRaceWithTheEndOfTheLastTask) {
  World world;
  world.Run(kStartupTime);
  int done = 0, cancelled = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "job-" + std::to_string(100 + i);
    const JobSpec spec = World::Array(id, 1 + i % 3);
    world.SetRunTime(id, 2 * kSecond);
    SubmitUntilAccepted(world, static_cast<size_t>(i % 3), spec);
    world.RunUntil([&] { return world.results.count({id, spec.tasks - 1}) != 0; }, 30 * kSecond);
    world.Run(i * (5 * kMillisecond));
    auto a = world.SendRequest(static_cast<size_t>(i % 3), "POST", "/api/jobs/" + id + "/abort");
    auto b = world.SendRequest(static_cast<size_t>((i + 1) % 3), "GET", "/api/jobs/" + id);
    auto c = world.Submit(static_cast<size_t>((i + 2) % 3), spec);
    world.Run(400 * kMillisecond);
    for (const auto& r : {a, b, c}) EXPECT_EQ(r->status, 200) << id;
    const std::string said = a->body.value("status", "?");
    EXPECT_TRUE(said == "done" || said == "cancelled") << said;
    ++(said == "done" ? done : cancelled);
    for (size_t n = 0; n < 3; ++n) EXPECT_EQ(Status(world, n, id), said);
  }
  EXPECT_GT(done, 0);
  EXPECT_GT(cancelled, 0);
  world.Run(10 * kSecond);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, AgentsThatReachNoNodeAreStoppedByDirectCommands) {
  RunningService world;
  for (auto& [name, agent] : world.agents) agent->outbound_blocked = true;
  // The first stop is lost, and no heartbeats arrive that would request another.
  int lost = 0;
  world.drop_call = [&](size_t, const Call& call) {
    return call.dest == Dest::kAgent && call.body.find("job-5") != std::string::npos && ++lost <= 1;
  };
  world.Run(kSecond);
  EXPECT_EQ(
      world.SendUntilFinal(world.second, "POST", "/api/jobs/job-5/abort").body.value("status", ""),
      "cancelled");
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 0; }, 6 * kSecond));
  EXPECT_GE(lost, 2);
  for (auto& [name, agent] : world.agents) agent->outbound_blocked = false;
  // Past their lease, with uncancelled tasks.
  SubmitUntilAccepted(world, world.second, World::Service("job-6", 4));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-6") == 4; }, 40 * kSecond));
  for (auto& [name, agent] : world.agents) agent->outbound_blocked = true;
  world.Run(world.settings.agent_lease + 3 * kSecond);
  for (auto& [name, agent] : world.agents) agent->outbound_blocked = false;
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-6") == 4; }, 40 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(FaultCombinations, CancelledTaskThatFetchesItsImageDoesNotStart) {
  for (Micros after = 0; after < 1900 * kMillisecond; after += 200 * kMillisecond) {
    World world;
    world.cloud.capacity = 0;
    for (int i = 0; i < 4; ++i) world.AddAgent("small").fetch_time = 1950 * kMillisecond;
    world.Run(kStartupTime);
    SubmitUntilAccepted(world, 0, World::Array("job-7", 8));
    ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-7") == 8; }, 10 * kSecond));
    world.Run(after);
    world.SendRequest(1, "POST", "/api/jobs/job-7/abort");
    world.Run(5 * kSecond);
    EXPECT_EQ(world.CountTasks("job-7"), 0);
    EXPECT_EQ(world.rules.starts_after_cancel, 0) << after;
    EXPECT_NO_VIOLATIONS(world);
  }
}

TEST(FaultCombinations, SlowStoreThenRefusesTheLeaderAndThenAllNodes) {
  for (const auto& [slow, cut] :
       std::vector<std::pair<Micros, bool>>{{300 * kMillisecond, false},
                                            {1200 * kMillisecond, false},
                                            {1600 * kMillisecond, false},
                                            {300 * kMillisecond, true},
                                            {1600 * kMillisecond, true}}) {
    SCOPED_TRACE(testing::Message() << "slow " << slow << " cut " << cut);
    RunningService world;
    for (int i = 0; i < 3; ++i)
      SubmitUntilAccepted(world, world.second, World::Service("job-" + std::to_string(60 + i), 1));
    ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-62") == 1; }, 30 * kSecond));
    world.store_latency = slow;
    auto ask = [&](Micros time) {
      const Micros end = world.now + time;
      while (world.now < end) {
        for (size_t n = 0; n < 3; ++n) {
          for (const char* id : {"job-5", "job-60", "job-61", "job-62"}) {
            world.SendRequest(n, "GET", std::string("/api/jobs/") + id);
          }
        }
        world.Run(250 * kMillisecond);
      }
    };
    world.SendRequest(world.second, "POST", "/api/jobs/job-5/abort");
    ask(400 * kMillisecond);
    world.refused_by_store = {world.leader};
    // Then the leader cannot learn of new cancellations.
    if (cut) world.partitioned_links = {{world.leader, world.second}, {world.leader, world.third}};
    world.SendRequest(world.third, "POST", "/api/jobs/job-60/abort");
    world.SendRequest(world.leader, "POST", "/api/jobs/job-61/abort");
    ask(2 * kSecond);
    world.store_down = true;
    ask(world.settings.cancellation_deadline + 6 * kSecond);
    world.store_down = false;
    world.store_latency = 0;
    world.state.Refresh(world.now);
    world.refused_by_store.clear();
    world.partitioned_links.clear();
    ask(6 * kSecond);
    for (const char* id : {"job-5", "job-60", "job-61"}) {
      EXPECT_EQ(world.SendUntilFinal(world.third, "POST", std::string("/api/jobs/") + id + "/abort")
                    .body.value("status", ""),
                "cancelled");
    }
    world.Run(20 * kSecond);
    EXPECT_EQ(world.CountTasks("job-5"), 0);
    EXPECT_EQ(world.CountTasks("job-62"), 1);
    EXPECT_NO_VIOLATIONS(world);
  }
}

// A cancellation of a job that does not exist yet is forwarded while the store is slow, and
// answered with 404. The forwarded copy must not cancel a job that is submitted later.
TEST(FaultCombinations, CancellationAnsweredNotFoundDoesNotCancelALaterSubmission) {
  for (Micros slow : {1300 * kMillisecond, 300 * kMillisecond, 150 * kMillisecond}) {
    SCOPED_TRACE(testing::Message() << "slow " << slow);
    World world;
    world.Run(kStartupTime);
    SubmitUntilAccepted(world, 2, World::Service("job-5", 1));  // all replicas become fresh
    world.store_latency = 1300 * kMillisecond;
    for (size_t n : {0, 2}) world.SendRequest(n, "GET", "/api/jobs/job-99");  // delays the copy
    auto cancel = world.SendRequest(1, "POST", "/api/jobs/job-7/abort");
    world.Run(kSecond);
    world.store_latency = slow;
    ASSERT_TRUE(world.RunUntil([&] { return cancel->status != -100; }, 3 * kSecond));
    // 404 only if no copy is in progress, or all copies agree.
    if (cancel->status == 503) {
      cancel = std::make_shared<World::Response>(
          world.SendUntilFinal(1, "POST", "/api/jobs/job-7/abort"));
    }
    ASSERT_EQ(cancel->status, 404);
    world.Run(20 * kMillisecond);  // the copy's check is in flight
    world.store_latency = 0;
    auto submitted = world.Submit(1, World::Service("job-7", 1));
    ASSERT_TRUE(world.RunUntil([&] { return submitted->status != -100; }, kSecond));
    ASSERT_EQ(submitted->status, 201);
    world.SendRequest(0, "GET", "/api/jobs/job-98");  // a later poll is checked before the copy
    EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-7") == 1; }, 30 * kSecond));
    world.Run(10 * kSecond);
    EXPECT_EQ(Status(world, 1, "job-7"), "running");
    EXPECT_NO_VIOLATIONS(world);
  }
}

}  // namespace
}  // namespace troutlink::test
