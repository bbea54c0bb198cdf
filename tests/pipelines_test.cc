// Job dependencies: start, quota, urgency and cancellation.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

JobSpec Stage(const std::string& id, int tasks, std::vector<std::string> dependencies) {
  JobSpec spec = World::Array(id, tasks);
  spec.dependencies = std::move(dependencies);
  return spec;
}

int Submitted(World& world, size_t node, const JobSpec& spec) {
  return world.SendUntilFinal(node, "POST", "/api/jobs", wire::EncodeSubmission(spec)).status;
}

// A long job, and two that follow it one after the other.
void AcceptLongPipeline(World& world) {
  world.SetRunTime("job-1", 600 * kSecond);
  SubmitUntilAccepted(world, 0, Stage("job-1", 2, {}));
  SubmitUntilAccepted(world, 1, Stage("job-2", 2, {"job-1"}));
  SubmitUntilAccepted(world, 1, Stage("job-3", 2, {"job-2"}));
  world.Run(5 * kSecond);
}

TEST(Pipelines, EachStageStartsOnceItsDependenciesAreDone) {
  World world;
  world.Run(kStartupTime);
  for (const char* id : {"job-1", "job-2", "job-3", "job-4"}) world.SetRunTime(id, 4 * kSecond);
  // A diamond, submitted to different nodes.
  EXPECT_EQ(Submitted(world, 0, Stage("job-1", 3, {})), 201);
  EXPECT_EQ(Submitted(world, 1, Stage("job-2", 3, {"job-1"})), 201);
  EXPECT_EQ(Submitted(world, 2, Stage("job-3", 3, {"job-1", "job-1"})), 201);
  EXPECT_EQ(Submitted(world, 0, Stage("job-4", 3, {"job-2", "job-3"})), 201);
  for (size_t node = 0; node < 3; ++node) EXPECT_EQ(Status(world, node, "job-4"), "queued");
  EXPECT_TRUE(RunsToCompletion(world, "job-4", 120 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Pipelines, OnlyAcceptedArraysCanBeDependencies) {
  World world;
  world.Run(kStartupTime);
  SubmitUntilAccepted(world, 0, World::Service("job-5", 1));
  EXPECT_EQ(Submitted(world, 0, Stage("job-2", 1, {"job-77"})), 422);
  EXPECT_EQ(Submitted(world, 1, Stage("job-2", 1, {"job-2"})), 422);
  EXPECT_EQ(Submitted(world, 2, Stage("job-2", 1, {"nonsense"})), 422);
  EXPECT_EQ(Submitted(world, 2, Stage("job-2", 1, {"job-5"})), 422);
  Json malformed = wire::EncodeSpec(World::Array("job-3", 1));
  malformed["awaits"] = "job-5";
  EXPECT_EQ(world.SendUntilFinal(0, "POST", "/api/jobs", wire::Pack(malformed)).status, 400);
  malformed["awaits"] = {1, 2};
  EXPECT_EQ(world.SendUntilFinal(0, "POST", "/api/jobs", wire::Pack(malformed)).status, 400);
  malformed["awaits"] = nullptr;
  EXPECT_EQ(world.SendUntilFinal(0, "POST", "/api/jobs", wire::Pack(malformed)).status, 201);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Pipelines, BlockedJobUsesNoQuota) {
  World world;
  world.Run(kStartupTime);
  world.SetRunTime("job-1", 15 * kSecond);
  for (const char* id : {"job-2", "job-3"}) world.SetRunTime(id, 2 * kSecond);
  JobSpec first = Stage("job-1", 1, {});
  JobSpec waits = Stage("job-2", 16, {"job-1"});
  JobSpec other = Stage("job-3", 15, {});
  // 64 CPUs in all: job-1 and job-3 use them while job-2 is blocked.
  for (JobSpec* spec : {&first, &waits, &other}) spec->team = "red";
  waits.priority = Priority::kHigh;
  for (const JobSpec* spec : {&first, &waits, &other}) SubmitUntilAccepted(world, 0, *spec);
  EXPECT_TRUE(RunsToCompletion(world, "job-3", 60 * kSecond));
  EXPECT_TRUE(RunsToCompletion(world, "job-2", 90 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

// Only the last job of a low-priority pipeline is urgent.
TEST(Pipelines, EarlyStagesInheritTheUrgencyOfTheLastOne) {
  World world;
  world.cloud.capacity = 4;
  world.Run(kStartupTime);
  for (int i = 1; i <= 40; ++i) {
    JobSpec busy = World::Array("job-" + std::to_string(100 + i), 4);
    world.SetRunTime(busy.id, 10 * kSecond);
    SubmitUntilAccepted(world, 0, busy);
  }
  world.Run(20 * kSecond);
  JobSpec first = Stage("job-1", 2, {});
  first.priority = Priority::kLow;
  SubmitUntilAccepted(world, 1, first);
  JobSpec last = Stage("job-2", 1, {"job-1"});
  last.priority = Priority::kHigh;
  last.deadline = 60 * kSecond;
  world.SetRunTime("job-1", 3 * kSecond);
  world.SetRunTime("job-2", 3 * kSecond);
  SubmitUntilAccepted(world, 2, last);
  EXPECT_TRUE(RunsToCompletion(world, "job-2", 60 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Pipelines, CancellationReachesAllDependents) {
  World world;
  world.Run(kStartupTime);
  world.SetRunTime("job-1", 600 * kSecond);
  SubmitUntilAccepted(world, 0, Stage("job-1", 2, {}));
  for (int i = 2; i <= 4; ++i) {
    SubmitUntilAccepted(world, static_cast<size_t>(i % 3),
                        Stage("job-" + std::to_string(i), 2, {"job-" + std::to_string(i - 1)}));
  }
  constexpr int kDependents = 300;
  for (int i = 0; i < kDependents; ++i) {
    SubmitUntilAccepted(world, static_cast<size_t>(i % 3),
                        Stage("job-" + std::to_string(1000 + i), 1, {"job-2"}));
  }
  world.SetRunTime("job-9", 2 * kSecond);
  SubmitUntilAccepted(world, 0, Stage("job-9", 2, {}));  // no dependencies
  EXPECT_EQ(world.SendUntilFinal(1, "POST", "/api/jobs/job-2/abort").body.value("status", ""),
            "cancelled");
  const Micros answered_at = world.now;
  for (size_t node = 0; node < 3; ++node) {
    EXPECT_EQ(Status(world, node, "job-3"), "cancelled");
    EXPECT_EQ(Status(world, node, "job-4"), "cancelled");
  }
  world.Run(answered_at + world.settings.cancellation_deadline - world.now);
  for (int i = 0; i < kDependents; ++i) {
    EXPECT_EQ(Status(world, static_cast<size_t>(i % 3), "job-" + std::to_string(1000 + i)),
              "cancelled");
  }
  // Its dependencies, and jobs that name it later.
  EXPECT_NE(Status(world, 0, "job-1"), "cancelled");
  EXPECT_EQ(Submitted(world, 2, Stage("job-6", 1, {"job-4"})), 201);
  EXPECT_TRUE(
      world.RunUntil([&] { return ReportsStatus(world, 0, "job-6", "cancelled"); }, 10 * kSecond));
  EXPECT_TRUE(RunsToCompletion(world, "job-9", 60 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Pipelines, CancellationOfADoneJobDoesNotCancelItsDependents) {
  World world;
  world.Run(kStartupTime);
  world.SetRunTime("job-1", 2 * kSecond);
  world.SetRunTime("job-2", 2 * kSecond);
  world.SetRunTime("job-3", 2 * kSecond);
  SubmitUntilAccepted(world, 0, Stage("job-1", 2, {}));
  SubmitUntilAccepted(world, 1, Stage("job-2", 2, {"job-1"}));
  ASSERT_TRUE(RunsToCompletion(world, "job-1", 60 * kSecond));
  EXPECT_EQ(world.SendUntilFinal(2, "POST", "/api/jobs/job-1/abort").body.value("status", ""),
            "done");
  EXPECT_TRUE(RunsToCompletion(world, "job-2", 60 * kSecond));
  EXPECT_EQ(Submitted(world, 2, Stage("job-3", 1, {"job-1", "job-2"})), 201);
  EXPECT_TRUE(RunsToCompletion(world, "job-3", 60 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

// The cancellation is stored and confirmed, and then the store is down for longer than `cancel_s`.
TEST(Pipelines, CancellationJustBeforeAStoreOutageReachesItsDependents) {
  World world;
  world.Run(kStartupTime);
  AcceptLongPipeline(world);
  auto answered_at = world.SendRequest(0, "POST", "/api/jobs/job-1/abort");
  ASSERT_TRUE(world.RunUntil([&] { return answered_at->status == 200; }, kSecond));
  world.store_down = true;
  for (int s = 0; s < 50; ++s) {
    for (size_t node = 0; node < 3; ++node) world.SendRequest(node, "GET", "/api/jobs/job-3");
    world.Run(kSecond);
  }
  world.store_down = false;
  world.state.Refresh(world.now);
  for (int s = 0; s < 100; ++s) {
    for (size_t node = 0; node < 3; ++node) world.SendRequest(node, "GET", "/api/jobs/job-3");
    world.Run(100 * kMillisecond);
  }
  for (size_t node = 0; node < 3; ++node) EXPECT_EQ(Status(world, node, "job-3"), "cancelled");
  EXPECT_NO_VIOLATIONS(world);
}

// A node without watch answers must not report a job as queued whose dependency another node
// cancelled long ago.
TEST(Pipelines, NodeWithAStaleReplicaDoesNotReportADependentAsQueued) {
  World world;
  world.Run(kStartupTime);
  AcceptLongPipeline(world);
  world.partitioned_from_store.insert(2);
  world.Run(2 * kSecond);
  EXPECT_EQ(world.SendUntilFinal(0, "POST", "/api/jobs/job-1/abort").body.value("status", ""),
            "cancelled");
  for (int s = 0; s < 60; ++s) {
    world.SendRequest(2, "GET", "/api/jobs/job-2");
    world.Run(kSecond);
  }
  world.partitioned_from_store.clear();
  EXPECT_EQ(Status(world, 2, "job-2"), "cancelled");
  EXPECT_NO_VIOLATIONS(world);
}

// A leader without watch answers, whose commits and checks succeed: only it stores that jobs of its
// shard are cancelled with a dependency.
struct LeaderThatHearsOfNoChange : World {
  LeaderThatHearsOfNoChange() {
    Run(kStartupTime);
    AcceptLongPipeline(*this);
    const JobRecord record = *DecodeJob(wire::Pack(state.items.at(JobKey("job-2")).value));
    leader = static_cast<size_t>(LeaderOf(record.shard_id));
    without_watches.insert(leader);
    Run(4 * kSecond);  // the open watch still delivers changes
  }
  size_t leader = 0;
};

TEST(Pipelines, LeaderCancelsDependentsOfACancellationReportedByAPeer) {
  LeaderThatHearsOfNoChange world;
  EXPECT_EQ(world.SendUntilFinal((world.leader + 1) % 3, "POST", "/api/jobs/job-1/abort").status,
            200);
  EXPECT_TRUE(world.RunUntil(
      [&] { return ReportsStatus(world, world.leader, "job-2", "cancelled"); }, 5 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Pipelines, LeaderWithoutChangesDoesNotReportADependentAsQueued) {
  LeaderThatHearsOfNoChange world;
  world.partitioned_from_peers.insert(world.leader);
  EXPECT_EQ(world.SendUntilFinal((world.leader + 1) % 3, "POST", "/api/jobs/job-1/abort").status,
            200);
  for (int s = 0; s < 60; ++s) {
    world.SendRequest(world.leader, "GET", "/api/jobs/job-2");
    world.Run(kSecond);
  }
  world.without_watches.clear();
  world.partitioned_from_peers.clear();
  EXPECT_TRUE(world.RunUntil(
      [&] { return ReportsStatus(world, world.leader, "job-2", "cancelled"); }, 20 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Pipelines, LeaderChangesStartNoStageTooEarly) {
  World world;
  world.Run(kStartupTime);
  for (int i = 1; i <= 12; ++i) world.SetRunTime("job-" + std::to_string(i), 3 * kSecond);
  for (int i = 1; i <= 12; ++i) {
    // Three chains over all shards.
    JobSpec spec = Stage("job-" + std::to_string(i), 2, {});
    if (i > 3) spec.dependencies = {"job-" + std::to_string(i - 3)};
    SubmitUntilAccepted(world, static_cast<size_t>(i % 3), spec);
  }
  world.record_calls = true;
  for (int i = 0; i < 6; ++i) {
    const auto node = static_cast<size_t>(i % 3);
    world.Run(5 * kSecond);
    world.Kill(node);
    world.Run(i % 2 == 0 ? 300 * kMillisecond : 4 * kSecond);
    world.Start(node);
    world.RepeatRecordedCalls();
  }
  for (int i = 10; i <= 12; ++i) {
    EXPECT_TRUE(RunsToCompletion(world, "job-" + std::to_string(i), 120 * kSecond));
  }
  EXPECT_NO_VIOLATIONS(world);
}

// Waiting time counts from the end of the last dependency, also for a new leader.
TEST(Pipelines, NewLeaderServesReadyJobsInTheOrderOfReadiness) {
  World world;
  world.Run(kStartupTime);
  world.SetRunTime("job-1", 30 * kSecond);
  world.SetRunTime("job-2", 2 * kSecond);
  SubmitUntilAccepted(world, 0, Stage("job-1", 1, {}));
  SubmitUntilAccepted(world, 0, Stage("job-2", 1, {"job-1"}));
  ASSERT_TRUE(RunsToCompletion(world, "job-1", 90 * kSecond));
  bool stored = false;
  for (const auto& [key, item] : world.state.items) {
    if (key == JobKey("job-1")) stored = item.value.value("finished", int64_t{0}) > 0;
  }
  EXPECT_TRUE(stored);
  EXPECT_TRUE(RunsToCompletion(world, "job-2", 60 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
