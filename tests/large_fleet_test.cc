// Hundreds of machines that fall together.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

constexpr int kServices = 20, kReplicas = 20;

void Rates(Json* facts) {
  (*facts)["state"]["write_rps"] = 200.0;
  (*facts)["state"]["rps"] = 1000.0;
  (*facts)["cloud"]["rps"] = 10.0;
}

// So many machines, services over them, and arrays beside these.
struct BigFleet : World {
  explicit BigFleet(int machines) : World(3, Rates) {
    cloud.capacity = machines;
    for (int i = 0; i < machines; ++i) AddWorker("small", i % 4 == 0);
    Run(3 * kSecond);
    for (int j = 0; j < kServices; ++j) {
      Submit(static_cast<size_t>(j % 3), Service("job-" + std::to_string(100 + j), kReplicas));
      Run(50 * kMillisecond);
    }
    for (int j = 0; j < machines / 20; ++j) {
      const std::string id = "job-" + std::to_string(500 + j);
      run_time[id] = 8 * kSecond;
      for (auto& [n, w] : workers) w->run_time[id] = 8 * kSecond;
      Submit(static_cast<size_t>(j % 3), Array(id, 40));
    }
    EXPECT_TRUE(Until([&] { return Replicas() == kServices * kReplicas; }, 60 * kSecond))
        << Replicas();
  }
  int Replicas() const {
    int n = 0;
    for (int j = 0; j < kServices; ++j) n += OnMachines("job-" + std::to_string(100 + j));
    return n;
  }
  // Until every replica is up on a machine that is heard.
  bool AllUp(Micros most) {
    return Until(
        [&] {
          if (now % (100 * kMillisecond) != 0) return false;
          int n = 0;
          for (const auto& [name, w] : workers) {
            if (w->dead || w->silent || w->hung) continue;
            for (const auto& [key, t] : w->tasks) {
              const int id = std::stoi(key.first.substr(4));
              n += id >= 100 && id < 100 + kServices && t.state != TaskState::kExited ? 1 : 0;
            }
          }
          return n == kServices * kReplicas;
        },
        most);
  }
  template <typename F>
  int Some(int every, F change) {
    int n = 0, changed = 0;
    for (auto& [name, w] : workers) {
      if (w->dead || w->lease_from > now || ++n % every != 0) continue;
      change(w.get());
      ++changed;
    }
    return changed;
  }
  uint64_t Sum(uint64_t Counters::*field) {
    uint64_t sum = 0;
    for (size_t n = 0; n < 3; ++n) sum += alive(n) ? core(n).counters().*field : 0;
    return sum;
  }
  // The same of the calls that were sent.
  uint64_t SumCalls(uint64_t Effects::CallCounts::*field) {
    uint64_t sum = 0;
    for (size_t n = 0; n < 3; ++n) sum += alive(n) ? core(n).call_counts().*field : 0;
    return sum;
  }
};

TEST(LargeFleet, ManyCutAndBackAfterALeaseWithTheLeaderEndedMeanwhile) {
  BigFleet w(400);
  const int cut = w.Some(3, [](FakeWorker* x) { x->silent = true; });
  EXPECT_GT(cut, 100);
  const Micros at = w.now;
  w.Run(2 * kSecond);
  w.Kill(0);
  w.Run(6 * kSecond);
  w.Start(0);
  // The silence of its machines counts from the leader's end, not from each takeover:
  // soon after the leases ended every replica is up elsewhere.
  EXPECT_TRUE(w.AllUp(w.settings.agent_lease + 18 * kSecond - (w.now - at)));
  for (auto& [n, x] : w.workers) x->silent = false;
  w.Run(15 * kSecond);
  EXPECT_EQ(w.Replicas(), kServices * kReplicas);
  EXPECT_KEPT(w);
}

TEST(LargeFleet, SilenceIsRememberedOverTwoChangesOfLeader) {
  BigFleet w(300);
  w.Some(3, [](FakeWorker* x) { x->silent = true; });
  const Micros at = w.now;
  w.Run(w.settings.heartbeat_period * 2);
  w.Kill(0);
  w.Run(4 * kSecond);
  w.Kill(1);  // the one that leads the shard now, or not
  EXPECT_TRUE(w.AllUp(w.settings.agent_lease + 18 * kSecond - (w.now - at)));
  EXPECT_KEPT(w);
}

TEST(LargeFleet, ManyHangAndGoOn) {
  for (Micros hang : {6 * kSecond, 14 * kSecond}) {  // within and beyond their lease
    BigFleet w(300);
    w.Some(3, [](FakeWorker* x) { x->hung = true; });
    w.Run(hang);
    for (auto& [n, x] : w.workers) x->hung = false;
    EXPECT_TRUE(w.AllUp(20 * kSecond)) << hang;
    EXPECT_KEPT(w);
  }
}

// All machines of a fleet beyond 4,000, led by one node, fall silent at once.
TEST(LargeFleet, ThousandsOfMachinesInOneHandFallSilentAndComeBack) {
  World w(3, Rates);
  constexpr int kMachines = 4500;
  w.cloud.capacity = kMachines;
  for (int i = 0; i < kMachines; ++i) {
    FakeWorker& worker = w.AddWorker("small", false);
    worker.node = 0;
    worker.next_report += static_cast<Micros>(i % 200) * 10 * kMillisecond;
  }
  w.Run(4 * kSecond);
  w.Kill(1);
  w.Kill(2);
  JobSpec wide = World::Array("job-1", kMachines);
  wide.task_resources = {16000, 0, 8000};  // one on each machine
  w.SetRunTime("job-1", 600 * kSecond);
  w.Submit(0, wide);
  auto assigned = [&] {
    size_t machines = 0;
    for (int shard_id = 0; shard_id < 3; ++shard_id) {
      machines += w.core(0).AssignmentsOf(shard_id).machines.size();
    }
    return machines;
  };
  EXPECT_TRUE(
      w.Until([&] { return w.now % kSecond == 0 && w.OnMachines("job-1") >= 4000; }, 60 * kSecond));
  w.Start(1);
  for (auto& [name, worker] : w.workers) worker->silent = true;
  w.Run(6 * kSecond);
  for (auto& [name, worker] : w.workers) worker->silent = false;
  w.Run(4 * kSecond);
  EXPECT_GE(assigned(), 4000u);
  EXPECT_KEPT(w);
}

TEST(LargeFleet, AThirdGoneForGoodIsReplacedInFewCalls) {
  BigFleet w(400);
  const uint64_t calls = w.SumCalls(&Effects::CallCounts::cloud), starts = w.Sum(&Counters::starts);
  int rented = w.cloud.rentals;
  const int gone = w.Some(3, [](FakeWorker* x) { x->silent = true; });
  EXPECT_TRUE(w.AllUp(w.settings.agent_lease + 15 * kSecond));
  w.Run(10 * kSecond);
  EXPECT_EQ(w.Replicas(), kServices * kReplicas);
  // Each of them went back, many in a call, and no more were rented than were lost.
  int left = 0;
  for (auto& [n, x] : w.workers) left += x->silent && !x->dead ? 1 : 0;
  EXPECT_EQ(left, 0);
  EXPECT_LE(w.cloud.rentals - rented, gone);
  EXPECT_LT(w.SumCalls(&Effects::CallCounts::cloud) - calls, 150u);
  EXPECT_LT(w.Sum(&Counters::starts) - starts, 1400u);
  EXPECT_KEPT(w);
}

TEST(LargeFleet, AllNodesRestartedDuringAStateOutage) {
  BigFleet w(400);
  w.state_down = true;
  w.Run(kSecond);
  for (size_t n = 0; n < 3; ++n) w.Kill(n);
  w.Run(4 * kSecond);
  for (size_t n = 0; n < 3; ++n) w.Start(n);
  w.Run(kSecond);
  for (size_t n = 0; n < 3; ++n) {
    // Not ready, and says so.
    auto up = w.Ask(n, "GET", "/up");
    w.Run(50 * kMillisecond);
    EXPECT_EQ(up->status, 503);
  }
  w.state_down = false;
  w.state.Refresh(w.now);
  w.Run(2 * kSecond);
  // The content is listed, the shards are acquired, and reports are answered: no
  // lease has ended and nothing starts again.
  const uint64_t starts = w.Sum(&Counters::starts);
  for (int p = 0; p < 3; ++p) EXPECT_NE(w.LeaderOf(p), -1);
  w.Run(10 * kSecond);
  EXPECT_EQ(w.Replicas(), kServices * kReplicas);
  EXPECT_LT(w.Sum(&Counters::starts) - starts, 700u);  // arrays go on
  for (const auto& [n, x] : w.workers) EXPECT_EQ(x->incarnation, 1u);
  EXPECT_KEPT(w);
}

TEST(LargeFleet, AFrozenNodeActsOnNothingThatItBelievedBefore) {
  for (Micros still : {300 * kMillisecond, 5 * kSecond, 40 * kSecond}) {
    BigFleet w(150);
    w.keep_reports = true;
    // In the middle of whatever it was doing.
    w.Submit(0, World::Array("job-900", 30));
    w.Submit(1, World::Service("job-901", 6));
    w.Run(15 * kMillisecond);
    w.Freeze(0);
    w.Run(still / 2);
    EXPECT_EQ(w.AskUntil(1, "POST", "/api/jobs/job-100/abort").body.value("status", ""),
              "cancelled");
    const Micros cancelled = w.now;
    w.Run(still / 2);
    w.Thaw(0);
    if (still > 30 * kSecond) {
      // Its leadership went to another one long ago: it leads nothing until it learns so.
      w.Run(2 * kSecond);
      int leaders = 0;
      for (int p = 0; p < 3; ++p) {
        for (size_t n = 0; n < 3; ++n) leaders += w.core(n).IsLeader(p) ? 1 : 0;
      }
      EXPECT_EQ(leaders, 3);
    }
    EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-100") == 0; },
                        std::max<Micros>(0, cancelled + w.settings.cancellation_deadline - w.now)));
    EXPECT_TRUE(w.Until([&] { return w.Replicas() == (kServices - 1) * kReplicas; }, 30 * kSecond));
    EXPECT_KEPT(w);
  }
}

TEST(LargeFleet, ANodeThatWasCutOffBringsNoOldJudgementBack) {
  BigFleet w(200);

  w.cut_from_state = {0};
  w.cut_from_mesh = {0};
  w.cut_from_workers = {0};
  w.Run(45 * kSecond);  // past lease and cancel: it hears nobody
  w.cut_from_state.clear();
  w.cut_from_mesh.clear();
  w.cut_from_workers.clear();
  EXPECT_TRUE(w.Until([&] { return w.LeaderOf(0) == 0; }, 40 * kSecond));
  int up = 0;
  w.Run(8 * kSecond);
  for (int p = 0; p < 3; ++p) {
    for (const auto& [name, m] : w.core(0).AssignmentsOf(p).machines)
      up += m.attempts.empty() ? 0 : 1;
  }
  EXPECT_GT(up, 20);
  EXPECT_EQ(w.Replicas(), kServices * kReplicas);
  EXPECT_KEPT(w);
}

TEST(LargeFleet, ManyReplicasFindRoomAtOnceOnAFullFleet) {
  World w(3, Rates);
  w.cloud.capacity = 0;
  for (int i = 0; i < 90; ++i) w.AddWorker("small");
  w.Run(3 * kSecond);
  for (int j = 0; j < 9; ++j) {
    w.Submit(static_cast<size_t>(j % 3), World::Array("job-" + std::to_string(500 + j), 40));
  }
  w.Run(10 * kSecond);
  for (int j = 0; j < 12; ++j) {
    w.Submit(static_cast<size_t>(j % 3), World::Service("job-" + std::to_string(100 + j), 20));
  }
  EXPECT_TRUE(w.Until(
      [&] {
        int n = 0;
        for (int j = 0; j < 12; ++j) n += w.OnMachines("job-" + std::to_string(100 + j));
        return n == 240;
      },
      5 * kSecond));
  EXPECT_KEPT(w);
}

TEST(LargeFleet, TwoThousandMachinesTakeBoundedWork) {
  BigFleet w(2000);
  w.Run(30 * kSecond);
  int arrays = 0, done = 0;
  for (int j = 0; j < 100; ++j, ++arrays) {
    auto a =
        w.AskUntil(static_cast<size_t>(j % 3), "GET", "/api/jobs/job-" + std::to_string(500 + j));
    done += a.body.value("status", "") == "done" ? 1 : 0;
  }
  EXPECT_EQ(done, arrays);
  EXPECT_EQ(w.Replicas(), kServices * kReplicas);
  size_t chunks = 0;
  for (int p = 0; p < 3; ++p) {
    chunks += static_cast<size_t>(w.core(0).AssignmentsOf(p).chunks);
    // All of them and some jobs must fit the conditions of one transaction.
    EXPECT_LT(w.core(0).AssignmentsOf(p).chunks, 4 * w.settings.state_limits.txn_ops / 3);
  }
  // 4,400 tasks were started and 4,000 of them ended.
  // Seen: 650 puts, 200 commits, 630 rounds, 120 calls to the cloud, 5,400 to workers.
  EXPECT_LT(w.Sum(&Counters::puts), 1100u);
  EXPECT_LT(w.Sum(&Counters::commits), 400u);
  EXPECT_LT(w.Sum(&Counters::cycles), 1500u);
  EXPECT_LT(w.SumCalls(&Effects::CallCounts::cloud), 250u);
  EXPECT_LT(w.SumCalls(&Effects::CallCounts::agent), 9000u);
  EXPECT_EQ(w.Sum(&Counters::oversized_plans), 0u);
  EXPECT_LT(chunks, 30u);
  EXPECT_KEPT(w);
}

TEST(LargeFleet, RepeatsOfWhatWasCarriedOutChangeNothing) {
  BigFleet w(100);
  w.cloud.capacity = 100;
  w.keep_calls = true;
  JobSpec more = World::Array("job-900", 120);
  w.run_time["job-900"] = 30 * kSecond;
  w.Submit(0, more);
  w.Some(9, [](FakeWorker* x) { x->silent = true; });  // returns among the calls
  w.Run(14 * kSecond);
  // A process is back within a fraction of a second, and everything it had sent, and
  // that was carried out, arrives once more.
  w.Kill(0);
  w.Run(200 * kMillisecond);
  w.Start(0);
  const int rentals = w.cloud.rentals;
  w.RepeatCarried();
  EXPECT_EQ(w.cloud.rentals, rentals);
  w.Run(300 * kMillisecond);
  w.Kill(1);
  w.Run(150 * kMillisecond);
  w.Start(1);
  w.carried.resize(std::min<size_t>(w.carried.size(), 4000));
  w.RepeatCarried();
  EXPECT_TRUE(w.AllUp(40 * kSecond));
  EXPECT_KEPT(w);
}

TEST(LargeFleet, OneNodeIsLeftWithTheWholeFleet) {
  BigFleet w(600);
  w.Kill(1);
  w.Kill(2);
  w.Run(12 * kSecond);
  for (int p = 0; p < 3; ++p) EXPECT_EQ(w.LeaderOf(p), 0);
  EXPECT_EQ(w.Replicas(), kServices * kReplicas);
  EXPECT_EQ(
      w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-900", 10)))
          .status,
      201);
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-900") == 10; }, 10 * kSecond));
  for (const auto& [n, x] : w.workers) {
    EXPECT_TRUE(x->dead || x->incarnation == 1) << n;
  }
  EXPECT_KEPT(w);
}

}  // namespace
}  // namespace troutlink::test
