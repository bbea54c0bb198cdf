// Cancelled jobs stop and stay cancelled.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(Cancellation, CancelledServiceStopsAndStaysCancelled) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 3)));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 3; }, 30 * kSecond));
  EXPECT_EQ(world.SendUntilFinal(2, "POST", "/api/jobs/job-5/abort").body.value("status", ""),
            "cancelled");
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 0; }, 5 * kSecond));
  world.Run(5 * kSecond);
  EXPECT_EQ(world.CountTasks("job-5"), 0);
  EXPECT_EQ(Status(world, 0, "job-5"), "cancelled");
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Cancellation, NodePartitionedFromTheStoreLearnsOfACancellationFromPeers) {
  World world;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 30 * kSecond));
  world.partitioned_from_store = {0};
  world.Run(500 * kMillisecond);
  EXPECT_EQ(world.SendUntilFinal(1, "POST", "/api/jobs/job-5/abort").status, 200);
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 0; }, 4 * kSecond));
}

}  // namespace
}  // namespace troutlink::test
