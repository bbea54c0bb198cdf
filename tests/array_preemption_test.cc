// More important arrays make less important ones give way, in measure.
#include <gtest/gtest.h>

#include "test_support.h"

namespace troutlink::test {
namespace {

constexpr int kMachines = 3;

// Idle-time work that saves its progress.
JobSpec Survey(const std::string& id, int tasks) {
  JobSpec spec = World::Array(id, tasks);
  spec.priority = Priority::kLow;
  spec.estimate = 300 * kSecond;
  spec.checkpoint = 5 * kSecond;
  spec.save = kSecond;
  return spec;
}

JobSpec Urgent(const std::string& id, int tasks) {
  JobSpec spec = World::Array(id, tasks);
  spec.priority = Priority::kHigh;
  return spec;
}

// A fleet that is full of one job and cannot grow.
struct FullFleet : World {
  explicit FullFleet(const JobSpec& filler, Micros run = 300 * kSecond) {
    cloud.capacity = kMachines;
    run_time[filler.id] = run;
    Run(kReady);
    AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(filler));
    EXPECT_TRUE(Until([&] { return OnMachines(filler.id) == filler.tasks; }, 60 * kSecond));
    Run(5 * kSecond);
  }
};

TEST(ArrayPreemption, UrgentArraysDoNotWaitForIdleTimeWorkThatSaves) {
  FullFleet w(Survey("job-1", kMachines * 4));
  w.run_time["job-2"] = 10 * kSecond;
  for (auto& [name, worker] : w.workers) worker->run_time["job-2"] = 10 * kSecond;
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(Urgent("job-2", 4)));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-2") == 4; }, 15 * kSecond));
  // No more than it needs was stopped.
  EXPECT_GE(w.OnMachines("job-1"), kMachines * 4 - 4);
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-2") == 0; }, 30 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-1") == kMachines * 4; }, 30 * kSecond));
  EXPECT_KEPT(w);
}

TEST(ArrayPreemption, WorkOfTheSamePriorityIsLeftAlone) {
  JobSpec filler = Survey("job-1", kMachines * 4);
  filler.priority = Priority::kHigh;
  FullFleet w(filler);
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(Urgent("job-2", 4)));
  w.Run(30 * kSecond);
  EXPECT_EQ(w.OnMachines("job-1"), kMachines * 4);
  EXPECT_KEPT(w);
}

TEST(ArrayPreemption, WorkThatSavesNothingIsLeftAloneOnceItHasRunForAWhile) {
  JobSpec filler = Survey("job-1", kMachines * 4);
  filler.checkpoint = filler.save = 0;
  filler.estimate = 20 * kSecond;
  FullFleet w(filler, 60 * kSecond);
  w.Run(5 * kSecond);
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(Urgent("job-2", 4)));
  w.Run(20 * kSecond);
  EXPECT_EQ(w.OnMachines("job-1"), kMachines * 4);
  EXPECT_KEPT(w);
}

// Urgent work that never stops coming may not stop the same task again and again.
TEST(ArrayPreemption, WhatWasStoppedTwiceIsLeftToEnd) {
  FullFleet w(Survey("job-1", kMachines * 4), 40 * kSecond);
  int next = 2;
  auto submit = [&] {
    const std::string id = "job-" + std::to_string(next++);
    w.SetRunTime(id, 3 * kSecond);
    w.Submit(static_cast<size_t>(next % 3), Urgent(id, 4));
  };
  for (int i = 0; i < 60; ++i) {
    submit();
    w.Run(2 * kSecond);
  }
  int starts = 0;
  for (const auto& [name, worker] : w.workers) starts += worker->starts;
  // Each of its tasks started once, and again after each of at most two stops.
  EXPECT_TRUE(w.Until(
      [&] { return w.AskUntil(0, "GET", "/api/jobs/job-1").body.value("status", "") == "done"; },
      200 * kSecond));
  EXPECT_LE(starts, kMachines * 4 * 3 + (next - 2) * 4);
  EXPECT_KEPT(w);
}

// Where urgent work takes all room for good, idle-time work still begins in time.
TEST(ArrayPreemption, IdleTimeWorkBeginsBesideUrgentWorkWithoutEnd) {
  JobSpec filler = Urgent("job-1", kMachines * 4);
  FullFleet w(filler, 6 * kSecond);
  int next = 10;
  auto flood = [&] {
    for (int i = 0; i < 3; ++i) {
      const std::string id = "job-" + std::to_string(next++);
      w.SetRunTime(id, 6 * kSecond);
      w.Submit(static_cast<size_t>(next % 3), Urgent(id, 4));
    }
    w.Run(5 * kSecond);
  };
  for (int i = 0; i < 4; ++i) flood();
  w.SetRunTime("job-2", 20 * kSecond);
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(Survey("job-2", 40)));
  const Micros submitted = w.now;
  while (w.OnMachines("job-2") == 0 && w.now < submitted + 300 * kSecond) flood();
  EXPECT_LT(w.now - submitted, 240 * kSecond);
  EXPECT_KEPT(w);
}

// Only what is waited for is worth machines at the full price.
TEST(ArrayPreemption, IdleTimeWorkRentsNoSteadyMachines) {
  World w;
  w.cloud.capacity = 0;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(Survey("job-1", 40)));
  w.Run(5 * kSecond);
  w.cloud.capacity = 100;
  w.Run(120 * kSecond);
  for (const auto& [name, worker] : w.workers) EXPECT_TRUE(worker->spot) << name;
  EXPECT_GT(w.OnMachines("job-1"), 0);
  EXPECT_KEPT(w);
}

}  // namespace
}  // namespace troutlink::test
