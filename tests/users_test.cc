// Submissions, polls and invalid requests.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(Users, ArrayRunsAndStaysDone) {
  World world;
  world.run_time["job-1"] = 3 * kSecond;
  world.Run(kStartupTime);
  EXPECT_EQ(
      world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)))
          .status,
      201);
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 1, "job-1") == "done"; }, 60 * kSecond));
  EXPECT_EQ(Status(world, 2, "job-1"), "done");
  EXPECT_EQ(world.SendUntilFinal(1, "POST", "/api/jobs/job-1/abort").body.value("status", ""),
            "done");
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Users, RepeatedSubmissionAtAnotherNodeIsTheSameJob) {
  World world;
  world.Run(kStartupTime);
  JobSpec spec = World::Service("job-7", 2);
  auto a = world.Submit(0, spec);
  auto b = world.Submit(1, spec);
  auto c = world.Submit(2, spec);
  world.Run(kSecond);
  int created = 0;
  for (const auto& r : {a, b, c}) {
    EXPECT_TRUE(r->status == 201 || r->status == 200) << r->status;
    created += r->status == 201 ? 1 : 0;
  }
  EXPECT_EQ(created, 1);
}

TEST(Users, UnknownJobsAreNotFoundAndInvalidOnesRefusedPermanently) {
  World world;
  world.Run(kStartupTime);
  EXPECT_EQ(world.SendUntilFinal(0, "GET", "/api/jobs/job-99").status, 404);
  EXPECT_EQ(world.SendUntilFinal(0, "POST", "/api/jobs/job-99/abort").status, 404);
  EXPECT_EQ(world.SendUntilFinal(0, "GET", "/api/jobs/nonsense").status, 404);
  EXPECT_EQ(world.SendRequest(0, "POST", "/api/jobs", "\xc1")->status, 400);
  EXPECT_EQ(world.SendRequest(0, "PUT", "/api/jobs", "")->status, 405);
  JobSpec spec = World::Array("job-2", 1);
  spec.team = "nobody";
  EXPECT_EQ(world.Submit(0, spec)->status, 422);
  spec = World::Array("job-3", 1);
  spec.task_resources.cpus = 17000;
  EXPECT_EQ(world.Submit(0, spec)->status, 422);
  spec = World::Service("job-4", 33);
  spec.team = "red";
  EXPECT_EQ(world.Submit(0, spec)->status, 422);
}

TEST(Users, OverloadIsRefusedAtOnceAndServiceResumes) {
  World world;
  world.run_time["job-1"] = 3 * kSecond;
  world.Run(kStartupTime);
  world.store_busy = true;
  auto a = world.Submit(0, World::Array("job-1", 3));
  EXPECT_TRUE(world.RunUntil([&] { return a->status != -100; }, kSecond));
  EXPECT_EQ(a->status, 503);
  EXPECT_GE(a->retry_after, 1);
  world.Run(5 * kSecond);
  world.store_busy = false;
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 3)));
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 0, "job-1") == "done"; }, 60 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Users, EveryAcceptedJobIsAnsweredAfterTheFaults) {
  World world;
  world.Run(kStartupTime);
  // A job that is alone of its kind in its shard, the largest one, and one submitted at the last
  // moment.
  world.AddAgent("small");
  JobSpec large = World::Array("job-77", 3000);
  JobSpec last = World::Service("job-88", 1);
  last.team = "red";
  EXPECT_EQ(world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(large)).status,
            201);
  world.Run(5 * kSecond);
  world.partitioned_from_store = {0};
  world.peer_network_down = true;
  world.Run(5 * kSecond);
  EXPECT_EQ(world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(last)).status, 201);
  for (size_t n = 0; n < 3; ++n) world.Kill(n);
  world.Run(20 * kSecond);
  world.partitioned_from_store.clear();
  world.peer_network_down = false;
  for (size_t n = 0; n < 3; ++n) world.Start(n);
  world.Run(20 * kSecond);
  for (size_t n = 0; n < 3; ++n) {
    for (const char* id : {"job-77", "job-88"}) {
      auto a = world.SendRequest(n, "GET", std::string("/api/jobs/") + id);
      EXPECT_TRUE(world.RunUntil([&] { return a->status != -100; }, 2 * kSecond));
      EXPECT_EQ(a->status, 200) << id << " at node " << n;
    }
  }
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-88") == 1; }, 60 * kSecond));
  EXPECT_GT(world.CountTasks("job-77"), 0);
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
