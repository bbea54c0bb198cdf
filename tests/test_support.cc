#include "test_support.h"

namespace troutlink::test {

std::string Status(World& world, size_t node, const std::string& id) {
  auto answer = world.SendUntilFinal(node, "GET", "/api/jobs/" + id);
  return answer.status == 200 ? answer.body.value("status", "?") : std::to_string(answer.status);
}

bool ReportsStatus(World& world, size_t node, const std::string& id, const std::string& status) {
  auto answer = world.SendRequest(node, "GET", "/api/jobs/" + id);
  world.RunUntil([&] { return answer->status != -100; }, kSecond);
  return answer->status == 200 && answer->body.value("status", "") == status;
}

void SubmitUntilAccepted(World& world, size_t node, const JobSpec& spec) {
  EXPECT_LT(world.SendUntilFinal(node, "POST", "/api/jobs", wire::EncodeSubmission(spec)).status,
            202);
}

bool RunsToCompletion(World& world, const std::string& id, Micros most) {
  const Micros end = world.now + most;
  for (size_t n = 0; world.now < end; n = (n + 1) % 3) {
    if (world.alive(n) && ReportsStatus(world, n, id, "done")) return true;
    world.Run(300 * kMillisecond);
  }
  return false;
}

int CountStarts(const World& world) {
  int starts = 0;
  for (const auto& [name, agent] : world.agents) starts += agent->starts;
  return starts;
}

FakeAgent* AgentRunning(World& world, const std::string& job) {
  for (auto& [name, agent] : world.agents) {
    if (!agent->dead && agent->Has(job)) return agent.get();
  }
  return nullptr;
}

RunningService::RunningService(int replicas) {
  Run(kStartupTime);
  SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(Service("job-5", replicas)));
  EXPECT_TRUE(RunUntil([&] { return CountTasks("job-5") == replicas; }, 30 * kSecond));
  Run(4 * kSecond);
  for (int p = 0; p < 3; ++p) {
    for (const auto& [name, machine] : core(0).AssignmentsOf(p).machines) {
      if (!machine.attempts.empty()) shard_id = p;
    }
  }
  EXPECT_GE(shard_id, 0);
  leader = static_cast<size_t>(LeaderOf(shard_id));
  second = (leader + 1) % 3;
  third = (leader + 2) % 3;
}

void RunningService::TakeStoreDown(Micros time) {
  store_down = true;
  Run(time);
  store_down = false;
  state.Refresh(now);
}

}  // namespace troutlink::test
