// Reports, sessions, commands, and what proves that a task is gone.
#include <gtest/gtest.h>

#include <vector>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(Workers, ALateStartDoesNotRunATaskTwice) {
  World w;
  w.run_time["job-1"] = 15 * kSecond;
  w.AddWorker("small");
  w.AddWorker("small");
  w.Run(2 * kReady);
  // Every first direct command is held back for long.
  int lost = 0;
  w.lose = [&](size_t, const Call& call) {
    return call.target == "/commands" && call.body.find("start") != std::string::npos &&
           ++lost <= 3;
  };
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
  w.Run(20 * kSecond);
  w.DeliverHeld();
  EXPECT_GT(lost, 0);
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-1") == "done"; }, 90 * kSecond));
  w.DeliverHeld();
  EXPECT_KEPT(w);
}

TEST(Workers, ADeadMachinesTasksRunElsewhereOnceItIsReturned) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 30 * kSecond));
  FakeWorker* with = nullptr;
  for (auto& [n, x] : w.workers) {
    if (x->Has("job-5")) with = x.get();
  }
  with->silent = true;
  EXPECT_TRUE(w.Until([&] { return with->dead; }, 20 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 20 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Workers, WorkersThatCannotReachTheirLeaderAreRelayed) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 6)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 6; }, 30 * kSecond));
  w.cut_from_workers = {0};
  w.Run(40 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 6);
  EXPECT_KEPT(w);
}

// With one node away, a worker that lost its leader once went round the others for longer than
// its lease before it was relayed.
TEST(Workers, WorkersThatTheirLeaderMissesAreRelayedAtOnce) {
  for (size_t away : {1, 2}) {
    SCOPED_TRACE(testing::Message() << "away: the leader's neighbour " << away);
    Running w(6);
    w.Kill((w.leader + away) % 3);
    w.Run(8 * kSecond);
    const int starts = Starts(w);
    w.cut_from_workers = {w.leader};
    w.Run(30 * kSecond);
    EXPECT_EQ(w.OnMachines("job-5"), 6);
    EXPECT_EQ(Starts(w), starts);
    EXPECT_KEPT(w);
  }
}

// Nodes that hear their workers again give all of them the time to be back.
TEST(Workers, WorkersThatComeBackOneByOneAreNotGivenUp) {
  Running w(40);
  std::vector<FakeWorker*> busy;
  for (const auto& [name, worker] : w.workers) {
    if (worker->Has("job-5")) busy.push_back(worker.get());
  }
  ASSERT_GE(busy.size(), 5u);
  for (FakeWorker* worker : busy) worker->silent = true;
  w.Run(9 * kSecond);
  for (FakeWorker* worker : busy) {
    worker->silent = false;
    w.Run(kSecond);
  }
  w.Run(15 * kSecond);
  for (const FakeWorker* worker : busy) EXPECT_FALSE(worker->dead) << worker->name;
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 40; }, 10 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Workers, ANewSessionStartsItsTasksAgainOnce) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 30 * kSecond));
  // The network was away for just longer than the lease, unseen by the nodes.
  for (auto& [name, x] : w.workers) {
    if (!x->Has("job-5")) continue;
    x->tasks.clear();
    ++x->incarnation;
  }
  EXPECT_EQ(w.OnMachines("job-5"), 0);
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 10 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Workers, AHungMachineThatWakesFindsItsTasksNowhereElse) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 30 * kSecond));
  FakeWorker* with = nullptr;
  for (auto& [n, x] : w.workers) {
    if (x->Has("job-5")) with = x.get();
  }
  with->silent = true;
  w.Run(8 * kSecond);  // within its lease
  EXPECT_FALSE(with->dead);
  with->silent = false;
  w.Run(10 * kSecond);
  EXPECT_FALSE(with->dead);
  EXPECT_EQ(w.OnMachines("job-5"), 2);
  EXPECT_KEPT(w);
}

TEST(Workers, AMachineThatDoesNotHearIsSetAsideAndItsTasksMove) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  FakeWorker* with = nullptr;
  for (auto& [n, x] : w.workers) {
    if (x->Has("job-5")) with = x.get();
  }
  with->unhearing = true;
  // Its lease ends by itself; the tasks start elsewhere after that is known.
  EXPECT_TRUE(w.Until([&] { return with->dead; }, 60 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 10 * kSecond));
  // And it was not given new work again and again meanwhile.
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-6", 2)));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-6") == 2; }, 20 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Workers, LateCopiesOfReportsProveAndReviveNothing) {
  World w;
  w.run_time["job-1"] = 8 * kSecond;
  w.Run(kReady);
  w.keep_reports = true;
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  w.Run(3 * kSecond);
  auto copies = w.kept;
  auto deliver = [&] {
    for (const auto& [name, body] : copies) {
      for (size_t n = 0; n < 3; ++n) {
        if (w.alive(n)) w.Ask(n, "POST", "/v1/report", body);
      }
    }
  };
  int starts = 0;
  for (auto& [n, x] : w.workers) starts += x->starts;
  // Seconds late, over a takeover, over a restart, and well over a lease late.
  deliver();
  w.Run(3 * kSecond);
  w.Kill(0);
  w.Run(5 * kSecond);
  deliver();
  w.Start(0);
  w.Run(200 * kMillisecond);
  deliver();
  w.Run(40 * kSecond);
  deliver();
  w.Run(2 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  int after = 0;
  for (auto& [n, x] : w.workers) after += x->starts;
  EXPECT_LE(after - starts, 6);  // the array's; no replica a second time
  // A machine that fell silent is not kept alive by copies of its reports.
  FakeWorker* with = nullptr;
  for (auto& [n, x] : w.workers) {
    if (!x->dead && x->Has("job-5")) with = x.get();
  }
  ASSERT_NE(with, nullptr);
  with->silent = true;
  EXPECT_TRUE(w.Until(
      [&] {
        deliver();
        w.Run(kSecond);
        return with->dead;
      },
      25 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 20 * kSecond));
  // Nor is one that went back taken for a machine.
  deliver();
  w.Run(40 * kSecond);
  for (int p = 0; p < 3; ++p) {
    EXPECT_EQ(w.core(0).AssignmentsOf(p).machines.count(with->name), 0u);
  }
  EXPECT_KEPT(w);
}

TEST(Workers, ATaskWithTwoAttemptsOnRecordIsNotFreedByTheEndOfOne) {
  // Small values make many chunks, so that a round may change few of them: an
  // attempt that is gone stays on record beside the next one of its task. The
  // leader ends just then, and the next one learns of the first end anew.
  for (int moment = 0; moment < 8; ++moment) {
    World w(3, [](Json* facts) {
      (*facts)["state"]["value_kb"] = 1.0;
      (*facts)["state"]["write_rps"] = 400.0;
      (*facts)["state"]["rps"] = 1000.0;
    });
    w.cloud.capacity = 0;
    for (int i = 0; i < 300; ++i) w.AddWorker("small");
    w.Run(kReady);
    w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-5", 250)));
    ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 250; }, 60 * kSecond));
    w.Run(3 * kSecond);
    int shard_id = -1;
    for (int p = 0; p < 3; ++p) {
      for (const auto& [name, m] : w.core(0).AssignmentsOf(p).machines) {
        if (!m.attempts.empty()) shard_id = p;
      }
    }
    ASSERT_GE(shard_id, 0);
    ASSERT_GT(w.core(0).AssignmentsOf(shard_id).chunks, 4);
    // Machines lose what they run, as after a lease that ended, and say so.
    int n = 0;
    for (auto& [name, x] : w.workers) {
      if (!x->Has("job-5") || ++n % 2 == 0) continue;
      x->tasks.clear();
      ++x->incarnation;
      x->lease_from = x->next_report = w.now;
    }
    w.Run(60 * kMillisecond + moment * (70 * kMillisecond));
    const auto leader = static_cast<size_t>(w.LeaderOf(shard_id));
    w.Kill(leader);
    w.Run(12 * kSecond);
    EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 250; }, 60 * kSecond)) << moment;
    ASSERT_TRUE(w.broken().empty()) << w.broken().front() << " at moment " << moment;
  }
}

TEST(Workers, ACopyOfAStartAfterItsReapStartsNothing) {
  World w;
  w.cloud.capacity = 0;
  FakeWorker& first = w.AddWorker("small");
  w.Run(kReady);
  w.keep_calls = true;
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-1") == 4; }, 10 * kSecond));
  w.Run(3 * kSecond);
  // Pushed aside there, and reaped; it goes on elsewhere.
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-2", 8)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-2") == 8; }, 10 * kSecond));
  w.Run(3 * kSecond);
  FakeWorker& second = w.AddWorker("small");
  ASSERT_TRUE(w.Until([&] { return second.Has("job-1"); }, 60 * kSecond));
  ASSERT_FALSE(first.Has("job-1"));
  w.RepeatCarried();
  EXPECT_FALSE(first.Has("job-1"));
  EXPECT_KEPT(w);
}

}  // namespace
}  // namespace troutlink::test
