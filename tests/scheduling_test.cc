// Which task begins where, and in which order.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(Scheduling, ATeamStaysWithinItsLimitOverAllShards) {
  World w;
  w.Run(kReady);
  for (int i = 1; i <= 4; ++i) {
    JobSpec spec = World::Array("job-" + std::to_string(i), 10);
    spec.team = "red";  // 64 cpus in all
    w.AskUntil(static_cast<size_t>(i % 3), "POST", "/api/jobs", wire::EncodeSubmission(spec));
  }
  int most = 0;
  for (int s = 0; s < 300; ++s) {
    w.Run(100 * kMillisecond);
    int n = 0;
    for (int i = 1; i <= 4; ++i) n += w.OnMachines("job-" + std::to_string(i));
    most = std::max(most, n);
  }
  EXPECT_LE(most, 16);
  EXPECT_GE(most, 14);
  EXPECT_KEPT(w);
}

TEST(Scheduling, WhatATeamKeepsForItsServicesLeavesNoTaskWithoutAPlaceForLong) {
  // Three shards keep 4 cpus of the limit each, so the last task that it allows fits in none.
  World w(3, [](Json* facts) { (*facts)["teams"][1]["cpus_max"] = 40.0; });
  w.Run(kReady);
  w.run_time["job-1"] = 600 * kSecond;
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 40 * kSecond));
  JobSpec wide = World::Array("job-1", 12);
  wide.task_resources = {8000, 0, 8000};
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(wide));
  // 8 cpus of services and 4 tasks of 8 cpus are the limit.
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-1") == 4; }, 75 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Scheduling, AGangStartsWholeWithOneAttempt) {
  World w;
  w.run_time["job-9"] = 4 * kSecond;
  w.Run(kReady);
  JobSpec gang = World::Array("job-9", 5);
  gang.kind = JobKind::kGang;
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(gang));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-9") == 5; }, 40 * kSecond));
  std::set<uint64_t> attempts;
  for (auto& [n, x] : w.workers) {
    for (auto& [key, t] : x->tasks) attempts.insert(t.attempt);
  }
  EXPECT_EQ(attempts.size(), 1u);
  EXPECT_TRUE(w.Until([&] { return Status(w, 1, "job-9") == "done"; }, 30 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Scheduling, CriticalWorkPushesLesserWorkAside) {
  World w;
  w.cloud.capacity = 0;
  w.AddWorker("small");
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 8)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-1") == 4; }, 20 * kSecond));
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 3 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Scheduling, ASpreadServiceBeginsWhereItCanBeCompleted) {
  // Shard 0 gets machines of one zone only; whichever shard the job is given to,
  // it ends up with a replica in each of two zones, and nobody passes it on.
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 6; ++i) w.AddWorker("small").zone = i < 4 ? "z1" : "z2";
  w.Run(kReady);
  JobSpec spec = World::Service("job-8", 2);
  spec.spread = true;
  for (size_t n = 0; n < 3; ++n) {
    spec.id = "job-8" + std::to_string(n);
    w.AskUntil(n, "POST", "/api/jobs", wire::EncodeSubmission(spec));
    EXPECT_TRUE(w.Until([&] { return w.OnMachines(spec.id) == 2; }, 10 * kSecond)) << spec.id;
    std::set<std::string> zones;
    for (auto& [name, x] : w.workers) {
      if (x->Has(spec.id)) zones.insert(x->zone);
    }
    EXPECT_EQ(zones.size(), 2u);
  }
  EXPECT_KEPT(w);
}

TEST(Scheduling, TheLargestJobBeginsWhileSmallOnesKeepComing) {
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) w.AddWorker("small");
  w.Run(2 * kReady);
  int id = 1000;
  for (int i = 0; i < 12; ++i) {
    JobSpec small = World::Array("job-" + std::to_string(++id), 2);
    small.estimate = 10 * kSecond;
    for (auto& [n, x] : w.workers) x->run_time[small.id] = 10 * kSecond;
    w.Submit(static_cast<size_t>(i % 3), small);
  }
  JobSpec large = World::Array("job-9", 60);
  large.estimate = 60 * kSecond;
  for (auto& [n, x] : w.workers) x->run_time[large.id] = 60 * kSecond;
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(large));
  const Micros came = w.now;
  // More small work than the machines can do, without end.
  while (w.OnMachines("job-9") == 0 && w.now - came < 240 * kSecond) {
    for (int i = 0; i < 3; ++i) {
      JobSpec small = World::Array("job-" + std::to_string(++id), 4);
      small.estimate = 10 * kSecond;
      for (auto& [n, x] : w.workers) x->run_time[small.id] = 10 * kSecond;
      w.Submit(static_cast<size_t>(i), small);
    }
    w.Run(2 * kSecond);
  }
  EXPECT_GT(w.OnMachines("job-9"), 0);
  EXPECT_LT(w.now - came, 240 * kSecond);
  EXPECT_KEPT(w);
}

TEST(Scheduling, AWideTaskFindsRoomBesideNarrowOnesThatKeepComing) {
  // Narrow tasks end one by one and refill each gap: without a reservation there
  // is never room for a task that takes a whole machine.
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) w.AddWorker("small");
  w.Run(2 * kReady);
  int id = 1000;
  auto narrow = [&](int n) {
    for (int i = 0; i < n; ++i) {
      JobSpec spec = World::Array("job-" + std::to_string(++id), 1);
      spec.estimate = 10 * kSecond;
      for (auto& [name, x] : w.workers) x->run_time[spec.id] = (7 + id % 7) * kSecond;
      w.Submit(static_cast<size_t>(i % 3), spec);
    }
  };
  narrow(40);
  JobSpec wide = World::Array("job-9", 2);
  wide.task_resources = {16000, 0, 32000};
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(wide));
  const Micros came = w.now;
  while (w.OnMachines("job-9") == 0 && w.now - came < 240 * kSecond) {
    narrow(4);
    w.Run(2 * kSecond);
  }
  EXPECT_LT(w.now - came, 240 * kSecond);
  EXPECT_KEPT(w);
}

TEST(Scheduling, ATeamWithinItsGuaranteeIsServedBesideOneThatFloods) {
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) w.AddWorker("small");
  w.Run(2 * kReady);
  int id = 1000;
  for (int i = 0; i < 40; ++i) {
    JobSpec flood = World::Array("job-" + std::to_string(++id), 6);  // team blue, no guarantee
    for (auto& [n, x] : w.workers) x->run_time[flood.id] = 10 * kSecond;
    w.Submit(static_cast<size_t>(i % 3), flood);
  }
  w.Run(10 * kSecond);
  int served = 0;
  for (int i = 0; i < 8; ++i) {
    JobSpec spec = World::Array("job-" + std::to_string(i + 1), 4);
    spec.team = "red";  // 16 cpus guaranteed: all four tasks
    for (auto& [n, x] : w.workers) x->run_time[spec.id] = 5 * kSecond;
    w.AskUntil(static_cast<size_t>(i % 3), "POST", "/api/jobs", wire::EncodeSubmission(spec));
    served += w.Until([&] { return w.OnMachines(spec.id) > 0; }, 25 * kSecond) ? 1 : 0;
    w.Run(10 * kSecond);
  }
  EXPECT_GE(served, 7);
  EXPECT_KEPT(w);
}

TEST(Scheduling, AJobWithAMistakeBlamesNoMachineAndStarvesNobody) {
  World w;
  w.mistaken = {"job-66"};
  w.run_time["job-1"] = 4 * kSecond;
  w.cloud.capacity = 6;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-66", 40)));
  w.Run(10 * kSecond);
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 32)));
  w.AskUntil(2, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 25 * kSecond));
  EXPECT_TRUE(w.Until([&] { return Status(w, 2, "job-1") == "done"; }, 60 * kSecond));
  int starts = 0;
  for (auto& [name, x] : w.workers) starts += x->starts;
  w.Run(60 * kSecond);
  int after = 0;
  for (auto& [name, x] : w.workers) {
    after += x->starts;
    EXPECT_FALSE(x->dead && x->Has("job-5")) << name;
  }
  EXPECT_LE(after - starts, 60);  // it backs off
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  EXPECT_EQ(w.AskUntil(1, "POST", "/api/jobs/job-66/abort").body.value("status", ""), "cancelled");
  w.Run(5 * kSecond);
  EXPECT_EQ(w.OnMachines("job-66"), 0);
  EXPECT_EQ(w.rules.starts_after_cancel, 0);
  EXPECT_KEPT(w);
}

// Hundreds of machines and thousands of tasks. What is bounded is counted work,
// not time.
TEST(Scheduling, WorkIsDoneForWhatChanged) {
  World w;
  w.cloud.capacity = 0;
  for (int i = 0; i < 300; ++i) w.AddWorker("small");
  for (auto& [n, x] : w.workers) x->lease_from = x->next_report = w.now + 2 * kSecond;
  w.Run(6 * kSecond);
  size_t adopted = 0;
  for (int p = 0; p < 3; ++p) adopted += w.core(0).AssignmentsOf(p).machines.size();
  EXPECT_EQ(adopted, 300u);
  int tasks = 0;
  for (int j = 0; j < 60; ++j) {
    JobSpec spec = World::Array("job-" + std::to_string(100 + j), 20);
    spec.task_resources = {4000, 0, 8000};
    for (auto& [n, x] : w.workers) x->run_time[spec.id] = 12 * kSecond;
    w.Submit(static_cast<size_t>(j % 3), spec);
    tasks += 20;
    w.Run(100 * kMillisecond);
  }
  int most = 0;
  for (int s = 0; s < 40; ++s) {
    w.Run(kSecond);
    int on = 0;
    for (auto& [n, x] : w.workers) on += static_cast<int>(x->tasks.size());
    most = std::max(most, on);
  }
  int started = 0;
  for (auto& [n, x] : w.workers) started += x->starts;
  EXPECT_EQ(started, tasks);
  EXPECT_GT(most, 600);
  uint64_t puts = 0, commits = 0, rounds = 0, oversized = 0;
  for (size_t n = 0; n < 3; ++n) {
    const Counters& c = w.core(n).counters();
    puts += c.puts + w.core(n).api_counters().record_writes;
    commits += c.commits;
    rounds += c.cycles;
    oversized += c.oversized_plans;
  }
  // 60 submissions, 60 ends; the rest are assignment tables and progress, many tasks in each.
  EXPECT_LT(puts, 700u);
  EXPECT_LT(commits, 400u);
  EXPECT_LT(rounds, 53u * 3 * 20);  // paced, not one for each of some 9,000 reports
  EXPECT_EQ(oversized, 0u);
  EXPECT_KEPT(w);
}

}  // namespace
}  // namespace troutlink::test
