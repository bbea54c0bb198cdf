// Preemption between arrays.
#include <gtest/gtest.h>

#include "test_support.h"

namespace troutlink::test {
namespace {

constexpr int kMachines = 3;

// A low-priority array with checkpoints.
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
    Run(kStartupTime);
    SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(filler));
    EXPECT_TRUE(RunUntil([&] { return CountTasks(filler.id) == filler.tasks; }, 60 * kSecond));
    Run(5 * kSecond);
  }
};

TEST(ArrayPreemption, UrgentArraysPreemptLowPriorityTasksWithCheckpoints) {
  FullFleet world(Survey("job-1", kMachines * 4));
  world.run_time["job-2"] = 10 * kSecond;
  for (auto& [name, agent] : world.agents) agent->run_time["job-2"] = 10 * kSecond;
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(Urgent("job-2", 4)));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-2") == 4; }, 15 * kSecond));
  // No more tasks than needed were preempted.
  EXPECT_GE(world.CountTasks("job-1"), kMachines * 4 - 4);
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-2") == 0; }, 30 * kSecond));
  EXPECT_TRUE(
      world.RunUntil([&] { return world.CountTasks("job-1") == kMachines * 4; }, 30 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(ArrayPreemption, WorkOfTheSamePriorityIsNotPreempted) {
  JobSpec filler = Survey("job-1", kMachines * 4);
  filler.priority = Priority::kHigh;
  FullFleet world(filler);
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(Urgent("job-2", 4)));
  world.Run(30 * kSecond);
  EXPECT_EQ(world.CountTasks("job-1"), kMachines * 4);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(ArrayPreemption, TasksWithoutCheckpointsAreNotPreemptedAfterAWhile) {
  JobSpec filler = Survey("job-1", kMachines * 4);
  filler.checkpoint = filler.save = 0;
  filler.estimate = 20 * kSecond;
  FullFleet world(filler, 60 * kSecond);
  world.Run(5 * kSecond);
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(Urgent("job-2", 4)));
  world.Run(20 * kSecond);
  EXPECT_EQ(world.CountTasks("job-1"), kMachines * 4);
  EXPECT_NO_VIOLATIONS(world);
}

// A steady stream of urgent work must not preempt the same task repeatedly.
TEST(ArrayPreemption, TaskIsPreemptedAtMostTwice) {
  FullFleet world(Survey("job-1", kMachines * 4), 40 * kSecond);
  int next = 2;
  auto submit = [&] {
    const std::string id = "job-" + std::to_string(next++);
    world.SetRunTime(id, 3 * kSecond);
    world.Submit(static_cast<size_t>(next % 3), Urgent(id, 4));
  };
  for (int i = 0; i < 60; ++i) {
    submit();
    world.Run(2 * kSecond);
  }
  int starts = 0;
  for (const auto& [name, agent] : world.agents) starts += agent->starts;
  // Each task starts once, and again after each of at most two preemptions.
  EXPECT_TRUE(world.RunUntil(
      [&] {
        return world.SendUntilFinal(0, "GET", "/api/jobs/job-1").body.value("status", "") == "done";
      },
      200 * kSecond));
  EXPECT_LE(starts, kMachines * 4 * 3 + (next - 2) * 4);
  EXPECT_NO_VIOLATIONS(world);
}

// Low-priority work must not starve even if urgent work could use all capacity.
TEST(ArrayPreemption, LowPriorityWorkStartsDespiteEndlessUrgentWork) {
  JobSpec filler = Urgent("job-1", kMachines * 4);
  FullFleet world(filler, 6 * kSecond);
  int next = 10;
  auto flood = [&] {
    for (int i = 0; i < 3; ++i) {
      const std::string id = "job-" + std::to_string(next++);
      world.SetRunTime(id, 6 * kSecond);
      world.Submit(static_cast<size_t>(next % 3), Urgent(id, 4));
    }
    world.Run(5 * kSecond);
  };
  for (int i = 0; i < 4; ++i) flood();
  world.SetRunTime("job-2", 20 * kSecond);
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(Survey("job-2", 40)));
  const Micros submitted = world.now;
  while (world.CountTasks("job-2") == 0 && world.now < submitted + 300 * kSecond) flood();
  EXPECT_LT(world.now - submitted, 240 * kSecond);
  EXPECT_NO_VIOLATIONS(world);
}

// Steady machines are rented only for work with a deadline or objective.
TEST(ArrayPreemption, LowPriorityWorkRentsNoSteadyMachines) {
  World world;
  world.cloud.capacity = 0;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(Survey("job-1", 40)));
  world.Run(5 * kSecond);
  world.cloud.capacity = 100;
  world.Run(120 * kSecond);
  for (const auto& [name, agent] : world.agents) EXPECT_TRUE(agent->spot) << name;
  EXPECT_GT(world.CountTasks("job-1"), 0);
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
