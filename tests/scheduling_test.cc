// Placement and order of tasks.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

TEST(Scheduling, TeamStaysWithinItsLimitOverAllShards) {
  World world;
  world.Run(kStartupTime);
  for (int i = 1; i <= 4; ++i) {
    JobSpec spec = World::Array("job-" + std::to_string(i), 10);
    spec.team = "red";  // limit of 64 CPUs
    world.SendUntilFinal(static_cast<size_t>(i % 3), "POST", "/api/jobs",
                         wire::EncodeSubmission(spec));
  }
  int most = 0;
  for (int s = 0; s < 300; ++s) {
    world.Run(100 * kMillisecond);
    int n = 0;
    for (int i = 1; i <= 4; ++i) n += world.CountTasks("job-" + std::to_string(i));
    most = std::max(most, n);
  }
  EXPECT_LE(most, 16);
  EXPECT_GE(most, 14);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Scheduling, QuotaReservedForServicesDoesNotStarveAnArrayTask) {
  // Each of three shards reserves 4 CPUs of the limit, so the last allowed task fits in none.
  World world(3, [](Json* facts) { (*facts)["teams"][1]["cpus_max"] = 40.0; });
  world.Run(kStartupTime);
  world.run_time["job-1"] = 600 * kSecond;
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 40 * kSecond));
  JobSpec wide = World::Array("job-1", 12);
  wide.task_resources = {8000, 0, 8000};
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(wide));
  // Services with 8 CPUs and 4 tasks of 8 CPUs are the limit.
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-1") == 4; }, 75 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

// Guards against on-call engineers who see a job wait and not why.
TEST(Scheduling, WaitingJobsAreCountedByReason) {
  World world;
  world.cloud.capacity = 0;
  world.AddAgent("small");
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 1)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 1; }, 20 * kSecond));
  JobSpec saving = World::Array("job-1", 1);
  saving.task_resources = {8000, 0, 8000};
  saving.checkpoint = 20 * kSecond;
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(saving));
  auto metric = [&](const std::string& line) {
    for (size_t node = 0; node < 3; ++node) {
      if (world.core(node).MetricsText(world.now).find(line) != std::string::npos) return true;
    }
    return false;
  };
  world.Run(5 * kSecond);
  EXPECT_TRUE(metric("troutlink_waiting_jobs{reason=\"service_headroom\"} 1\n"));
  EXPECT_TRUE(metric("troutlink_longest_wait_ms{reason=\"service_headroom\"} "));
  world.SendUntilFinal(0, "POST", "/api/jobs/job-1/abort");
  world.Run(5 * kSecond);
  EXPECT_FALSE(metric("troutlink_waiting_jobs{reason=\"service_headroom\"} 1\n"));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Scheduling, GangStartsAsAWholeWithOneAttemptNumber) {
  World world;
  world.run_time["job-9"] = 4 * kSecond;
  world.Run(kStartupTime);
  JobSpec gang = World::Array("job-9", 5);
  gang.kind = JobKind::kGang;
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(gang));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-9") == 5; }, 40 * kSecond));
  std::set<uint64_t> attempts;
  for (auto& [n, agent] : world.agents) {
    for (auto& [key, t] : agent->tasks) attempts.insert(t.attempt);
  }
  EXPECT_EQ(attempts.size(), 1u);
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 1, "job-9") == "done"; }, 30 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Scheduling, ProductionWorkPreemptsLowerPriorities) {
  World world;
  world.cloud.capacity = 0;
  world.AddAgent("small");
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 8)));
  ASSERT_TRUE(world.RunUntil([&] { return world.CountTasks("job-1") == 4; }, 20 * kSecond));
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 2; }, 3 * kSecond));
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Scheduling, SpreadServiceStartsInAShardThatCanPlaceAllReplicas) {
  // Shard 0 has machines of one zone only: whichever shard gets the job, its replicas end up in two
  // zones, and it is not moved back and forth.
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 6; ++i) world.AddAgent("small").zone = i < 4 ? "z1" : "z2";
  world.Run(kStartupTime);
  JobSpec spec = World::Service("job-8", 2);
  spec.spread = true;
  for (size_t n = 0; n < 3; ++n) {
    spec.id = "job-8" + std::to_string(n);
    world.SendUntilFinal(n, "POST", "/api/jobs", wire::EncodeSubmission(spec));
    EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks(spec.id) == 2; }, 10 * kSecond))
        << spec.id;
    std::set<std::string> zones;
    for (auto& [name, agent] : world.agents) {
      if (agent->Has(spec.id)) zones.insert(agent->zone);
    }
    EXPECT_EQ(zones.size(), 2u);
  }
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Scheduling, LargestJobStartsDespiteASteadyStreamOfSmallJobs) {
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) world.AddAgent("small");
  world.Run(2 * kStartupTime);
  int id = 1000;
  for (int i = 0; i < 12; ++i) {
    JobSpec small = World::Array("job-" + std::to_string(++id), 2);
    small.estimate = 10 * kSecond;
    for (auto& [n, agent] : world.agents) agent->run_time[small.id] = 10 * kSecond;
    world.Submit(static_cast<size_t>(i % 3), small);
  }
  JobSpec large = World::Array("job-9", 60);
  large.estimate = 60 * kSecond;
  for (auto& [n, agent] : world.agents) agent->run_time[large.id] = 60 * kSecond;
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(large));
  const Micros came = world.now;
  // A steady stream of more small jobs than the machines can run.
  while (world.CountTasks("job-9") == 0 && world.now - came < 240 * kSecond) {
    for (int i = 0; i < 3; ++i) {
      JobSpec small = World::Array("job-" + std::to_string(++id), 4);
      small.estimate = 10 * kSecond;
      for (auto& [n, agent] : world.agents) agent->run_time[small.id] = 10 * kSecond;
      world.Submit(static_cast<size_t>(i), small);
    }
    world.Run(2 * kSecond);
  }
  EXPECT_GT(world.CountTasks("job-9"), 0);
  EXPECT_LT(world.now - came, 240 * kSecond);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Scheduling, WideTaskGetsAMachineDespiteASteadyStreamOfNarrowTasks) {
  // Narrow tasks end one by one and refill each gap: without a reservation a task that needs a
  // whole machine never fits.
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) world.AddAgent("small");
  world.Run(2 * kStartupTime);
  int id = 1000;
  auto narrow = [&](int n) {
    for (int i = 0; i < n; ++i) {
      JobSpec spec = World::Array("job-" + std::to_string(++id), 1);
      spec.estimate = 10 * kSecond;
      for (auto& [name, agent] : world.agents) agent->run_time[spec.id] = (7 + id % 7) * kSecond;
      world.Submit(static_cast<size_t>(i % 3), spec);
    }
  };
  narrow(40);
  JobSpec wide = World::Array("job-9", 2);
  wide.task_resources = {16000, 0, 32000};
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(wide));
  const Micros came = world.now;
  while (world.CountTasks("job-9") == 0 && world.now - came < 240 * kSecond) {
    narrow(4);
    world.Run(2 * kSecond);
  }
  EXPECT_LT(world.now - came, 240 * kSecond);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Scheduling, GuaranteeIsServedDespiteAnotherTeamsFlood) {
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 3; ++i) world.AddAgent("small");
  world.Run(2 * kStartupTime);
  int id = 1000;
  for (int i = 0; i < 40; ++i) {
    JobSpec flood =
        World::Array("job-" + std::to_string(++id), 6);  // team blue without a guarantee
    for (auto& [n, agent] : world.agents) agent->run_time[flood.id] = 10 * kSecond;
    world.Submit(static_cast<size_t>(i % 3), flood);
  }
  world.Run(10 * kSecond);
  int served = 0;
  for (int i = 0; i < 8; ++i) {
    JobSpec spec = World::Array("job-" + std::to_string(i + 1), 4);
    spec.team = "red";  // 16 CPUs guaranteed: all four tasks
    for (auto& [n, agent] : world.agents) agent->run_time[spec.id] = 5 * kSecond;
    world.SendUntilFinal(static_cast<size_t>(i % 3), "POST", "/api/jobs",
                         wire::EncodeSubmission(spec));
    served += world.RunUntil([&] { return world.CountTasks(spec.id) > 0; }, 25 * kSecond) ? 1 : 0;
    world.Run(10 * kSecond);
  }
  EXPECT_GE(served, 7);
  EXPECT_NO_VIOLATIONS(world);
}

TEST(Scheduling, FailingJobQuarantinesNoMachineAndStarvesNoOtherJob) {
  World world;
  world.failing_jobs = {"job-66"};
  world.run_time["job-1"] = 4 * kSecond;
  world.cloud.capacity = 6;
  world.Run(kStartupTime);
  world.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-66", 40)));
  world.Run(10 * kSecond);
  world.SendUntilFinal(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 32)));
  world.SendUntilFinal(2, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  EXPECT_TRUE(world.RunUntil([&] { return world.CountTasks("job-5") == 4; }, 25 * kSecond));
  EXPECT_TRUE(world.RunUntil([&] { return Status(world, 2, "job-1") == "done"; }, 60 * kSecond));
  int starts = 0;
  for (auto& [name, agent] : world.agents) starts += agent->starts;
  world.Run(60 * kSecond);
  int after = 0;
  for (auto& [name, agent] : world.agents) {
    after += agent->starts;
    EXPECT_FALSE(agent->dead && agent->Has("job-5")) << name;
  }
  EXPECT_LE(after - starts, 60);  // starts back off
  EXPECT_EQ(world.CountTasks("job-5"), 4);
  EXPECT_EQ(world.SendUntilFinal(1, "POST", "/api/jobs/job-66/abort").body.value("status", ""),
            "cancelled");
  world.Run(5 * kSecond);
  EXPECT_EQ(world.CountTasks("job-66"), 0);
  EXPECT_EQ(world.rules.starts_after_cancel, 0);
  EXPECT_NO_VIOLATIONS(world);
}

// Hundreds of machines and thousands of tasks. Counts work, not time.
TEST(Scheduling, CostIsBoundedByTheNumberOfChanges) {
  World world;
  world.cloud.capacity = 0;
  for (int i = 0; i < 300; ++i) world.AddAgent("small");
  for (auto& [n, agent] : world.agents)
    agent->lease_from = agent->next_heartbeat = world.now + 2 * kSecond;
  world.Run(6 * kSecond);
  size_t adopted = 0;
  for (int p = 0; p < 3; ++p) adopted += world.core(0).AssignmentsOf(p).machines.size();
  EXPECT_EQ(adopted, 300u);
  int tasks = 0;
  for (int j = 0; j < 60; ++j) {
    JobSpec spec = World::Array("job-" + std::to_string(100 + j), 20);
    spec.task_resources = {4000, 0, 8000};
    for (auto& [n, agent] : world.agents) agent->run_time[spec.id] = 12 * kSecond;
    world.Submit(static_cast<size_t>(j % 3), spec);
    tasks += 20;
    world.Run(100 * kMillisecond);
  }
  int most = 0;
  for (int s = 0; s < 40; ++s) {
    world.Run(kSecond);
    int on = 0;
    for (auto& [n, agent] : world.agents) on += static_cast<int>(agent->tasks.size());
    most = std::max(most, on);
  }
  int started = 0;
  for (auto& [n, agent] : world.agents) started += agent->starts;
  EXPECT_EQ(started, tasks);
  EXPECT_GT(most, 600);
  uint64_t puts = 0, commits = 0, rounds = 0, oversized = 0;
  for (size_t n = 0; n < 3; ++n) {
    const Counters& c = world.core(n).counters();
    puts += c.puts + world.core(n).api_counters().record_writes;
    commits += c.commits;
    rounds += c.cycles;
    oversized += c.oversized_plans;
  }
  // 60 submissions and 60 ends; the rest are assignment tables and progress with many tasks each.
  EXPECT_LT(puts, 700u);
  EXPECT_LT(commits, 400u);
  EXPECT_LT(rounds, 53u * 3 * 20);  // paced, not one for each of some 9,000 heartbeats
  EXPECT_EQ(oversized, 0u);
  EXPECT_NO_VIOLATIONS(world);
}

}  // namespace
}  // namespace troutlink::test
