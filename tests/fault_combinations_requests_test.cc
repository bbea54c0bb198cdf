// Two troubles at once (docs/fault-combinations.md): late requests and reports, and
// requests of users in trouble.
// The world checks the rules at every step, from the workers' and the users' side.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(FaultCombinations, MoreWorkThanRoomOverSlowLinks) {
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 6; ++i) w.AddWorker("small");
  w.Run(kReady);
  w.state_latency = 600 * kMillisecond;
  for (int i = 0; i < 4; ++i) {
    JobSpec low = World::Array("job-" + std::to_string(10 + i), 12);
    low.priority = Priority::kLow;
    JobSpec urgent = World::Array("job-" + std::to_string(20 + i), 12);
    urgent.priority = Priority::kHigh;
    for (JobSpec* spec : {&low, &urgent}) {
      spec->spot = false;
      w.SetRunTime(spec->id, spec == &low ? 20 * kSecond : 6 * kSecond);
      Accept(w, static_cast<size_t>(i % 3), *spec);
    }
  }
  Accept(w, 1, World::Service("job-5", 4));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 15 * kSecond));
  for (int i = 0; i < 4; ++i)
    EXPECT_TRUE(DoneWithin(w, "job-" + std::to_string(20 + i), 60 * kSecond));
  for (int i = 0; i < 4; ++i)
    EXPECT_TRUE(DoneWithin(w, "job-" + std::to_string(10 + i), 60 * kSecond));
  EXPECT_KEPT(w);
}

TEST(FaultCombinations, TransactionsAreCarriedOutLateAfterNewerOnes) {
  for (int every = 2; every < 6; ++every) {
    World w;
    w.Run(kReady);
    int n = 0;
    w.lose = [&](size_t node, const Call& call) {
      if (call.target != "/commit" || ++n % every != 0) return false;
      w.ServeLater(node, call, (2 + n % 10) * kSecond);
      return true;
    };
    for (int i = 0; i < 6; ++i) {
      JobSpec spec = World::Array("job-" + std::to_string(10 + i), 5);
      spec.team = "red";  // at its limit all the time
      w.SetRunTime(spec.id, 4 * kSecond);
      Accept(w, static_cast<size_t>(i % 3), spec);
    }
    Accept(w, 0, World::Service("job-5", 3));
    w.Run(5 * kSecond);
    w.AskUntil(1, "POST", "/api/jobs/job-13/abort");
    w.Run(20 * kSecond);
    w.Kill(0);
    w.Run(kSecond);
    w.Start(0);
    w.Run(10 * kSecond);
    w.lose = nullptr;
    w.Run(15 * kSecond);
    for (int i = 0; i < 6; ++i) {
      const std::string id = "job-" + std::to_string(10 + i);
      EXPECT_TRUE(i == 3 || DoneWithin(w, id, 60 * kSecond)) << id;
    }
    EXPECT_EQ(w.OnMachines("job-5"), 3);
    EXPECT_KEPT(w);
  }
}

// Each node asks its share of the limit at most, whatever users ask: commits, watches and
// leases go on. The fake state service counts.
TEST(FaultCombinations, AStormOfQuestionsLeavesRoomForTheRest) {
  World w;
  w.Run(kReady);
  Accept(w, 0, World::Service("job-5", 4));
  for (int i = 0; i < 30; ++i) Accept(w, 1, World::Array("job-" + std::to_string(100 + i), 2));
  w.Run(5 * kSecond);
  uint64_t before = 0, calls = 0;
  for (size_t n = 0; n < 3; ++n) before += w.core(n).call_counts().state;
  int answered = 0, asked = 0;
  std::vector<std::shared_ptr<World::Answered>> answers;
  for (int i = 0; i < 2000; ++i) {
    for (size_t n = 0; n < 3; ++n) {
      answers.push_back(w.Ask(n, "GET", "/api/jobs/job-" + std::to_string(100 + i % 30)));
    }
    // Each change ends every node's watch.
    if (i % 6 == 0) w.Submit(2, World::Array("job-" + std::to_string(1000 + i), 1));
    w.Run(5 * kMillisecond);
  }
  w.Run(2 * kSecond);
  for (const auto& a : answers) {
    ++asked;
    answered += a->status == 200 ? 1 : 0;
    EXPECT_TRUE(a->status == 200 || (a->status == 503 && a->retry_after > 0)) << a->status;
  }
  for (size_t n = 0; n < 3; ++n) calls += w.core(n).call_counts().state;
  EXPECT_GT(answered * 10, asked * 9);
  // 12 s and more at 200 a second, and a burst.
  EXPECT_LT(calls - before, 200u * 14);
  EXPECT_KEPT(w);
}

TEST(FaultCombinations, AReportHeldBackUntilANewLeaderActedProvesNothing) {
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) w.AddWorker("small");
  w.Run(kReady);
  // Reports from before anything ran, which name nothing.
  std::vector<std::pair<std::string, std::string>> old;
  for (auto& [name, x] : w.workers)
    old.emplace_back(name, wire::EncodeAgentHeartbeat(x->MakeReport()));
  Accept(w, 0, World::Service("job-5", 6));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 6; }, 30 * kSecond));
  const int starts = Starts(w);
  for (size_t n = 0; n < 3; ++n) {
    w.Kill(n);
    const Micros end = w.now + 6 * kSecond;
    while (w.now < end) {
      for (const auto& [name, body] : old) {
        for (size_t to = 0; to < 3; ++to) w.Ask(to, "POST", "/v1/report", body);
      }
      w.Run(70 * kMillisecond);
    }
    w.Start(n);
    w.Run(4 * kSecond);
  }
  EXPECT_EQ(w.OnMachines("job-5"), 6);
  EXPECT_EQ(Starts(w), starts);
  EXPECT_KEPT(w);
}

TEST(FaultCombinations, OldReportsOfEarlierSessionsAndAttemptsChangeNothing) {
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) w.AddWorker("small");
  w.Run(kReady);
  Accept(w, 0, World::Service("job-5", 12));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 12; }, 30 * kSecond));
  w.Run(4 * kSecond);
  // Of the first session and attempts; and of the second, before anything ran in it.
  std::vector<std::pair<std::string, std::string>> old;
  for (auto& [name, x] : w.workers) {
    old.emplace_back(name, wire::EncodeAgentHeartbeat(x->MakeReport()));
    x->tasks.clear();
    ++x->incarnation;
    x->lease_from = x->next_report = w.now;
    old.emplace_back(name, wire::EncodeAgentHeartbeat(x->MakeReport()));
  }
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 12; }, 40 * kSecond));
  w.Run(4 * kSecond);
  const int starts = Starts(w);
  for (int i = 0; i < 60; ++i) {
    for (const auto& [name, body] : old) {
      for (size_t n = 0; n < 3; ++n) w.Ask(n, "POST", "/v1/report", body);
    }
    if (i == 30) w.Kill(0);
    w.Run(150 * kMillisecond);
  }
  w.Run(5 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 12);
  EXPECT_EQ(Starts(w), starts);
  EXPECT_KEPT(w);
}

TEST(FaultCombinations, WhatCanNeverRunOrLacksAFieldIsRefusedForGoodInAnyTrouble) {
  Running w;
  JobSpec huge = World::Array("job-91", 1), alien = World::Service("job-92", 33);
  huge.task_resources.cpus = 17000;
  alien.team = "red";  // 66 cpus of 64 at most
  Json lacking = wire::EncodeSpec(World::Array("job-93", 1));
  lacking.erase("pieces");
  auto check = [&] {
    for (int again = 0; again < 2; ++again) {
      for (size_t n = 0; n < 3; ++n) {
        EXPECT_EQ(w.Submit(n, huge)->status, 422) << n;
        EXPECT_EQ(w.Submit(n, alien)->status, 422) << n;
        EXPECT_EQ(w.Ask(n, "POST", "/api/jobs", wire::Pack(lacking))->status, 400) << n;
      }
      w.Run(kSecond);
    }
  };
  check();
  w.refused_by_state = {w.leader};
  w.Run(3 * kSecond);
  check();
  w.state_down = true;
  w.Run(3 * kSecond);
  check();
  w.mesh_down = true;
  w.Run(3 * kSecond);
  check();
  w.state_down = w.mesh_down = false;
  w.refused_by_state.clear();
  w.state.Refresh(w.now);
  w.Run(5 * kSecond);
  for (const char* id : {"job-91", "job-92", "job-93"}) {
    EXPECT_EQ(w.AskUntil(w.third, "GET", std::string("/api/jobs/") + id).status, 404);
  }
  EXPECT_KEPT(w);
}

}  // namespace
}  // namespace troutlink::test
