// Short stories: the controllers' cores against in-memory fakes.
#include <gtest/gtest.h>

#include "world.h"

namespace troutlink::test {
namespace {

constexpr Micros kReady = 3 * kSecond;

#define EXPECT_KEPT(w) EXPECT_TRUE((w).broken.empty()) << (w).broken.front()

std::string Status(World& w, size_t node, const std::string& id) {
  auto a = w.AskUntil(node, "GET", "/api/jobs/" + id);
  return a.status == 200 ? a.body.value("status", "?") : std::to_string(a.status);
}

TEST(Stories, EachNodeClaimsItsOwnPart) {
  World w;
  w.Run(kReady);
  for (int p = 0; p < 3; ++p) EXPECT_EQ(w.LeaderOf(p), p);
}

TEST(Stories, AnArrayRunsAndStaysDone) {
  World w;
  w.run_time["job-1"] = 3 * kSecond;
  w.Run(kReady);
  EXPECT_EQ(
      w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6))).status,
      201);
  EXPECT_TRUE(w.Until([&] { return Status(w, 1, "job-1") == "done"; }, 60 * kSecond));
  EXPECT_EQ(Status(w, 2, "job-1"), "done");
  EXPECT_EQ(w.AskUntil(1, "POST", "/api/jobs/job-1/abort").body.value("status", ""), "done");
  EXPECT_KEPT(w);
}

TEST(Stories, ARepeatOnAnotherNodeIsTheSameJob) {
  World w;
  w.Run(kReady);
  JobSpec spec = World::Service("job-7", 2);
  auto a = w.Submit(0, spec);
  auto b = w.Submit(1, spec);
  auto c = w.Submit(2, spec);
  w.Run(kSecond);
  int created = 0;
  for (const auto& r : {a, b, c}) {
    EXPECT_TRUE(r->status == 201 || r->status == 200) << r->status;
    created += r->status == 201 ? 1 : 0;
  }
  EXPECT_EQ(created, 1);
}

TEST(Stories, UnknownJobsAre404AndBadOnesRefusedForGood) {
  World w;
  w.Run(kReady);
  EXPECT_EQ(w.AskUntil(0, "GET", "/api/jobs/job-99").status, 404);
  EXPECT_EQ(w.AskUntil(0, "POST", "/api/jobs/job-99/abort").status, 404);
  EXPECT_EQ(w.AskUntil(0, "GET", "/api/jobs/nonsense").status, 404);
  EXPECT_EQ(w.Ask(0, "POST", "/api/jobs", "\xc1")->status, 400);
  EXPECT_EQ(w.Ask(0, "PUT", "/api/jobs", "")->status, 405);
  JobSpec spec = World::Array("job-2", 1);
  spec.team = "nobody";
  EXPECT_EQ(w.Submit(0, spec)->status, 422);
  spec = World::Array("job-3", 1);
  spec.each.cpus = 17000;
  EXPECT_EQ(w.Submit(0, spec)->status, 422);
  spec = World::Service("job-4", 33);
  spec.team = "red";
  EXPECT_EQ(w.Submit(0, spec)->status, 422);
}

TEST(Stories, ACancelledServiceLeavesItsMachinesAndStaysCancelled) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 3)));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 3; }, 30 * kSecond));
  EXPECT_EQ(w.AskUntil(2, "POST", "/api/jobs/job-5/abort").body.value("status", ""), "cancelled");
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 0; }, 5 * kSecond));
  w.Run(5 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 0);
  EXPECT_EQ(Status(w, 0, "job-5"), "cancelled");
  EXPECT_KEPT(w);
}

TEST(Stories, ADeadNodesPartIsTakenOverWithoutEndingItsTasks) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  int starts = 0;
  for (auto& [n, x] : w.workers) starts += x->starts;
  for (size_t i = 0; i < 3; ++i) {
    w.Kill(i);
    w.Run(8 * kSecond);
    for (int p = 0; p < 3; ++p) EXPECT_GE(w.LeaderOf(p), 0);
    w.Start(i);
    w.Run(3 * kSecond);
  }
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  int after = 0;
  for (auto& [n, x] : w.workers) after += x->starts;
  EXPECT_EQ(starts, after);
  EXPECT_KEPT(w);
}

TEST(Stories, ARestartedNodeReclaimsItsOwnAtOnce) {
  World w;
  w.Run(kReady);
  w.Kill(1);
  w.Start(1);
  w.Run(500 * kMilli);
  EXPECT_EQ(w.LeaderOf(1), 1);
}

TEST(Stories, AfterAllNodesEndedNothingAcceptedIsLost) {
  World w;
  w.run_time["job-1"] = 20 * kSecond;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 5)));
  w.Run(8 * kSecond);
  for (size_t i = 0; i < 3; ++i) w.Kill(i);
  w.Run(3 * kSecond);
  for (size_t i = 0; i < 3; ++i) w.Start(i);
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Stories, ANodeCutFromTheStateServicePassesItsWorkOn) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  int starts = 0;
  for (auto& [n, x] : w.workers) starts += x->starts;
  for (size_t i = 0; i < 3; ++i) {
    w.cut_from_state = {i};
    w.Run(20 * kSecond);
    // A sibling decides for it: users notice nothing.
    EXPECT_EQ(w.AskUntil(i, "POST", "/api/jobs",
                         wire::EncodeSubmission(World::Array("job-10" + std::to_string(i), 1)))
                  .status,
              201);
    for (int p = 0; p < 3; ++p) EXPECT_NE(w.LeaderOf(p), static_cast<int>(i));
    w.cut_from_state.clear();
    w.Run(3 * kSecond);
  }
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  int after = 0;
  for (auto& [n, x] : w.workers) after += x->starts;
  EXPECT_EQ(starts + 3, after);  // the three jobs submitted meanwhile, nothing again
  EXPECT_KEPT(w);
}

TEST(Stories, TasksOutliveAStateOutageLongerThanTheirLease) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  w.state_down = true;
  // Longer than cancel_s as well: siblings vouch that no cancel was accepted.
  w.Run(45 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  auto a = w.Submit(0, World::Array("job-6", 1));
  w.Run(2 * kSecond);
  EXPECT_EQ(a->status, 503);
  EXPECT_GE(a->retry_after, 1);
  w.state_down = false;
  w.state.Refresh(w.now);
  w.Run(3 * kSecond);
  EXPECT_EQ(Status(w, 0, "job-5"), "running");
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  EXPECT_KEPT(w);
}

TEST(Stories, SiblingsCareForAnOwnerThatEndsDuringAStateOutage) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  w.Run(5 * kSecond);
  w.state_down = true;
  w.Run(3 * kSecond);
  for (size_t i = 0; i < 2; ++i) w.Kill(i);
  w.Run(3 * kSecond);
  for (size_t i = 0; i < 2; ++i) w.Start(i);
  w.Run(9 * kSecond);  // past the workers' lease
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  w.state_down = false;
  w.state.Refresh(w.now);
  w.Run(5 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  // But not for ever: a cancel that a node accepted just before its end is known
  // to nobody, and must not be overrun.
  w.state_down = true;
  w.Run(kSecond);
  for (size_t i = 0; i < 2; ++i) w.Kill(i);
  w.Run(w.settings.cancel);
  EXPECT_EQ(w.OnMachines("job-5"), 0);
  EXPECT_KEPT(w);
}

TEST(Stories, ACutNodeHearsOfACancelFromItsSiblings) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  w.cut_from_state = {0};
  w.Run(500 * kMilli);
  EXPECT_EQ(w.AskUntil(1, "POST", "/api/jobs/job-5/abort").status, 200);
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 0; }, 4 * kSecond));
}

TEST(Stories, ALateStartDoesNotRunATaskTwice) {
  World w;
  w.run_time["job-1"] = 15 * kSecond;
  w.AddWorker("small");
  w.AddWorker("small");
  w.Run(2 * kReady);
  // Every first direct command is held back for long.
  int lost = 0;
  w.lose = [&](size_t, const Call& call) {
    return call.target == "/commands" && call.body.find("start") != std::string::npos &&
           ++lost <= 3;
  };
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
  w.Run(20 * kSecond);
  w.DeliverHeld();
  EXPECT_GT(lost, 0);
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-1") == "done"; }, 90 * kSecond));
  w.DeliverHeld();
  EXPECT_KEPT(w);
}

TEST(Stories, ATransactionWithoutAnAnswerIsSettledOnTheSameStamp) {
  World w;
  w.run_time["job-1"] = 3 * kSecond;
  w.Run(kReady);
  int n = 0;
  w.lose = [&](size_t, const Call& call) { return call.target == "/commit" && ++n % 4 == 0; };
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
  for (int i = 0; i < 6; ++i) {
    w.Run(5 * kSecond);
    w.DeliverHeld();
  }
  w.lose = nullptr;
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Stories, ADeadMachinesTasksRunElsewhereOnceItIsReturned) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 30 * kSecond));
  FakeWorker* with = nullptr;
  for (auto& [n, x] : w.workers) {
    if (x->Has("job-5")) with = x.get();
  }
  with->silent = true;
  EXPECT_TRUE(w.Until([&] { return with->dead; }, 20 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 20 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Stories, WorkersThatCannotReachTheirOwnerAreRelayed) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 6)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 6; }, 30 * kSecond));
  w.cut_from_workers = {0};
  w.Run(40 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 6);
  EXPECT_KEPT(w);
}

TEST(Stories, ATeamStaysWithinItsLimitOverAllParts) {
  World w;
  w.Run(kReady);
  for (int i = 1; i <= 4; ++i) {
    JobSpec spec = World::Array("job-" + std::to_string(i), 10);
    spec.team = "red";  // 64 cpus in all
    w.AskUntil(static_cast<size_t>(i % 3), "POST", "/api/jobs", wire::EncodeSubmission(spec));
  }
  int most = 0;
  for (int s = 0; s < 300; ++s) {
    w.Run(100 * kMilli);
    int n = 0;
    for (int i = 1; i <= 4; ++i) n += w.OnMachines("job-" + std::to_string(i));
    most = std::max(most, n);
  }
  EXPECT_LE(most, 16);
  EXPECT_GE(most, 14);
  EXPECT_KEPT(w);
}

TEST(Stories, AMachineThatFailsAllIsSetAsideAndReturned) {
  World w;
  w.run_time["job-1"] = 2 * kSecond;
  w.run_time["job-2"] = 2 * kSecond;
  FakeWorker& bad = w.AddWorker("small");
  bad.fails_all = true;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 8)));
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-2", 8)));
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-2") == "done"; }, 90 * kSecond));
  EXPECT_TRUE(w.Until([&] { return bad.dead; }, 60 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Stories, ACloudOutageTurnsNoSubmissionAway) {
  World w;
  w.Run(kReady);
  w.cloud_down = true;
  for (size_t i = 0; i < 3; ++i) {
    w.Kill(i);
    w.Start(i);
  }
  w.Run(kReady);
  EXPECT_EQ(
      w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 2))).status,
      201);
}

TEST(Stories, ANodeThatTheStateServiceRefusesPassesItsWorkOn) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  w.refused_by_state = {1};
  w.Run(15 * kSecond);
  EXPECT_NE(w.LeaderOf(1), 1);
  EXPECT_EQ(Status(w, 1, "job-5"), "running");  // a sibling answers for it
  w.refused_by_state.clear();
  EXPECT_TRUE(w.Until([&] { return w.LeaderOf(1) == 1; }, 40 * kSecond));
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  EXPECT_KEPT(w);
}

TEST(Stories, TooManyRequestsAreAnsweredAtOnceAndWorkGoesOnAfterwards) {
  World w;
  w.run_time["job-1"] = 3 * kSecond;
  w.Run(kReady);
  w.state_busy = true;
  auto a = w.Submit(0, World::Array("job-1", 3));
  EXPECT_TRUE(w.Until([&] { return a->status != -100; }, kSecond));
  EXPECT_EQ(a->status, 503);
  EXPECT_GE(a->retry_after, 1);
  w.Run(5 * kSecond);
  w.state_busy = false;
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 3)));
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-1") == "done"; }, 60 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Stories, ALateRentalIsNotRentedAgainNorForgotten) {
  World w;
  w.run_time["job-1"] = 3 * kSecond;
  w.Run(kReady);
  // The cloud carries the first requests out, but only much later.
  int lost = 0;
  w.lose = [&](size_t, const Call& call) {
    return call.method == "POST" && call.target == "/rentals" && ++lost <= 1;
  };
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 3)));
  w.Run(3 * kSecond);
  ASSERT_EQ(lost, 1);
  w.DeliverHeld();  // now the machines exist, and nobody was told
  EXPECT_TRUE(w.Until([&] { return Status(w, 0, "job-1") == "done"; }, 90 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.returns == w.rentals; }, 120 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Stories, ANewSessionStartsItsTasksAgainOnce) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 30 * kSecond));
  // The network was away for just longer than the lease, unseen by the nodes.
  for (auto& [name, x] : w.workers) {
    if (!x->Has("job-5")) continue;
    x->tasks.clear();
    ++x->session;
  }
  EXPECT_EQ(w.OnMachines("job-5"), 0);
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 10 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Stories, AHungMachineThatWakesFindsItsTasksNowhereElse) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 30 * kSecond));
  FakeWorker* with = nullptr;
  for (auto& [n, x] : w.workers) {
    if (x->Has("job-5")) with = x.get();
  }
  with->silent = true;
  w.Run(8 * kSecond);  // within its lease
  EXPECT_FALSE(with->dead);
  with->silent = false;
  w.Run(10 * kSecond);
  EXPECT_FALSE(with->dead);
  EXPECT_EQ(w.OnMachines("job-5"), 2);
  EXPECT_KEPT(w);
}

TEST(Stories, AGangStartsWholeWithOneAttempt) {
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

TEST(Stories, CriticalWorkPushesLesserWorkAside) {
  World w;
  w.capacity = 0;
  w.AddWorker("small");
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 8)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-1") == 4; }, 20 * kSecond));
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 2)));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 2; }, 3 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Stories, ASpreadServiceBeginsWhereItCanBeCompleted) {
  // Part 0 gets machines of one zone only; whichever part the job is given to,
  // it ends up with a replica in each of two zones, and nobody passes it on.
  World w;
  w.capacity = 0;
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

TEST(Stories, ANodeMayEndAtAnyMoment) {
  // The moments sweep over commits, starts, rentals and their answers.
  for (int moment = 0; moment < 60; ++moment) {
    World w;
    w.run_time["job-1"] = 4 * kSecond;
    w.Run(kReady);
    w.Submit(0, World::Array("job-1", 6));
    w.Submit(1, World::Service("job-2", 2));
    w.Run(moment < 30 ? moment * (2 * kMilli) : moment * (150 * kMilli));
    for (size_t n = 0; n < 3; ++n) {
      if (moment % 4 == 3 || static_cast<int>(n) == moment % 4) w.Kill(n);
    }
    w.Run((moment % 3) * (2 * kSecond) + 100 * kMilli);
    for (size_t n = 0; n < 3; ++n) {
      if (!w.alive(n)) w.Start(n);
    }
    // A job whose submission was not answered may be submitted again.
    w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
    w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-2", 2)));
    EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-2") == 2; }, 60 * kSecond)) << moment;
    EXPECT_TRUE(w.Until(
        [&] {
          w.Run(500 * kMilli);
          return Status(w, 2, "job-1") == "done";
        },
        90 * kSecond))
        << moment;
    ASSERT_TRUE(w.broken.empty()) << w.broken.front() << " at moment " << moment;
  }
}

TEST(Stories, SiblingsThatDoNotHearEachOtherKeepTheirPartsAndWork) {
  World w;
  w.run_time["job-1"] = 3 * kSecond;
  w.Run(kReady);
  w.mesh_down = true;
  for (size_t n = 0; n < 3; ++n) {
    std::string id = "job-2" + std::to_string(n);
    w.AskUntil(n, "POST", "/api/jobs", wire::EncodeSubmission(World::Service(id, 2)));
    EXPECT_TRUE(w.Until([&] { return w.OnMachines(id) == 2; }, 30 * kSecond));
  }
  w.Run(45 * kSecond);  // longer than a cancel: the state service vouches instead
  for (int p = 0; p < 3; ++p) EXPECT_EQ(w.LeaderOf(p), p);
  for (size_t n = 0; n < 3; ++n) EXPECT_EQ(w.OnMachines("job-2" + std::to_string(n)), 2);
  EXPECT_KEPT(w);
}

TEST(Stories, IdleMachinesGoBackAndStrayOnesAreFound) {
  World w;
  w.AddWorker("small");
  w.AddWorker("small", true);
  w.Run(150 * kSecond);
  EXPECT_EQ(w.returns, 2);
}

TEST(Stories, AMachineThatDoesNotHearIsSetAsideAndItsTasksMove) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  FakeWorker* with = nullptr;
  for (auto& [n, x] : w.workers) {
    if (x->Has("job-5")) with = x.get();
  }
  with->unhearing = true;
  // Its lease ends by itself; the tasks start elsewhere after that is known.
  EXPECT_TRUE(w.Until([&] { return with->dead; }, 60 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 10 * kSecond));
  // And it was not given new work again and again meanwhile.
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-6", 2)));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-6") == 2; }, 20 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Stories, LateCopiesOfReportsProveAndReviveNothing) {
  World w;
  w.run_time["job-1"] = 8 * kSecond;
  w.Run(kReady);
  w.keep_reports = true;
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  w.Run(3 * kSecond);
  auto copies = w.kept;
  auto deliver = [&] {
    for (const auto& [name, body] : copies) {
      for (size_t n = 0; n < 3; ++n) {
        if (w.alive(n)) w.Ask(n, "POST", "/v1/report", body);
      }
    }
  };
  int starts = 0;
  for (auto& [n, x] : w.workers) starts += x->starts;
  // Seconds late, over a takeover, over a restart, and well over a lease late.
  deliver();
  w.Run(3 * kSecond);
  w.Kill(0);
  w.Run(5 * kSecond);
  deliver();
  w.Start(0);
  w.Run(200 * kMilli);
  deliver();
  w.Run(40 * kSecond);
  deliver();
  w.Run(2 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  int after = 0;
  for (auto& [n, x] : w.workers) after += x->starts;
  EXPECT_LE(after - starts, 6);  // the array's; no replica a second time
  // A machine that fell silent is not kept alive by copies of its reports.
  FakeWorker* with = nullptr;
  for (auto& [n, x] : w.workers) {
    if (!x->dead && x->Has("job-5")) with = x.get();
  }
  ASSERT_NE(with, nullptr);
  with->silent = true;
  EXPECT_TRUE(w.Until(
      [&] {
        deliver();
        w.Run(kSecond);
        return with->dead;
      },
      25 * kSecond));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 20 * kSecond));
  // Nor is one that went back taken for a machine.
  deliver();
  w.Run(40 * kSecond);
  for (int p = 0; p < 3; ++p) {
    EXPECT_EQ(w.core(0).AssignmentsOf(p).machines.count(with->name), 0u);
  }
  EXPECT_KEPT(w);
}

TEST(Stories, ANodeLeftWithItsWorkersOnlyStopsInTime) {
  World w;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 6)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 6; }, 30 * kSecond));
  int shard_id = -1;
  for (int p = 0; p < 3; ++p) {
    if (!w.core(0).AssignmentsOf(p).machines.empty()) shard_id = p;
  }
  ASSERT_GE(shard_id, 0);
  const auto cut = static_cast<size_t>(w.LeaderOf(shard_id));
  int starts = 0;
  for (auto& [n, x] : w.workers) starts += x->starts;
  w.cut_from_state = {cut};
  w.cut_from_mesh = {cut};
  w.Run(15 * kSecond);
  // Another one has its part, the workers follow the higher token, and nothing
  // had to start again.
  EXPECT_NE(w.LeaderOf(shard_id), static_cast<int>(cut));
  EXPECT_EQ(w.OnMachines("job-5"), 6);
  // What a sibling accepts now is obeyed, though the cut node cannot know.
  const size_t other = (cut + 1) % 3;
  EXPECT_EQ(w.AskUntil(other, "POST", "/api/jobs/job-5/abort").body.value("status", ""),
            "cancelled");
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 0; }, w.settings.cancel));
  w.cut_from_state.clear();
  w.cut_from_mesh.clear();
  w.Run(10 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 0);
  int after = 0;
  for (auto& [n, x] : w.workers) after += x->starts;
  EXPECT_EQ(after, starts);
  EXPECT_EQ(Status(w, cut, "job-5"), "cancelled");
  EXPECT_KEPT(w);
}

TEST(Stories, AProcessMayBeBackWithinAFractionOfASecond) {
  // Also while a claim changes hands; what it sent before arrives late.
  for (int moment = 0; moment < 24; ++moment) {
    World w;
    w.run_time["job-1"] = 4 * kSecond;
    w.Run(kReady);
    int n = 0;
    w.lose = [&](size_t, const Call& call) {
      return (call.target == "/commit" || call.target == "/commands") && ++n % 5 == 0;
    };
    w.Submit(0, World::Array("job-1", 6));
    w.Submit(1, World::Service("job-2", 2));
    w.Run(300 * kMilli + moment * (130 * kMilli));
    const auto first = static_cast<size_t>(moment % 3);
    w.Kill(first);
    w.Run((moment % 4) * (90 * kMilli));
    w.Start(first);
    w.Run((moment % 5) * (60 * kMilli));
    // Mid-claim: its part has no owner, or the one that takes it goes as well.
    w.Kill((first + 1) % 3);
    w.Run(3 * kSecond + (moment % 3) * (40 * kMilli));
    w.Kill(first);
    w.Run(50 * kMilli);
    w.Start(first);
    w.Start((first + 1) % 3);
    w.DeliverHeld();
    w.lose = nullptr;
    w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 6)));
    w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-2", 2)));
    EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-2") == 2; }, 60 * kSecond)) << moment;
    EXPECT_TRUE(w.Until(
        [&] {
          w.Run(500 * kMilli);
          return Status(w, 2, "job-1") == "done";
        },
        90 * kSecond))
        << moment;
    ASSERT_TRUE(w.broken.empty()) << w.broken.front() << " at moment " << moment;
  }
}

TEST(Stories, TheLargestJobBeginsWhileSmallOnesKeepComing) {
  World w;
  w.capacity = 0;
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

TEST(Stories, AWideTaskFindsRoomBesideNarrowOnesThatKeepComing) {
  // Narrow tasks end one by one and refill each gap: without a reservation there
  // is never room for a task that takes a whole machine.
  World w;
  w.capacity = 0;
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
  wide.each = {16000, 0, 32000};
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(wide));
  const Micros came = w.now;
  while (w.OnMachines("job-9") == 0 && w.now - came < 240 * kSecond) {
    narrow(4);
    w.Run(2 * kSecond);
  }
  EXPECT_LT(w.now - came, 240 * kSecond);
  EXPECT_KEPT(w);
}

TEST(Stories, ATeamWithinItsGuaranteeIsServedBesideOneThatFloods) {
  World w;
  w.capacity = 0;
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

TEST(Stories, EveryAcceptedJobIsAnsweredForOnceTroublesAreOver) {
  World w;
  w.Run(kReady);
  // Alone of its kind in its part, the largest, and one of the last moment.
  w.AddWorker("small");
  JobSpec large = World::Array("job-77", 3000);
  JobSpec last = World::Service("job-88", 1);
  last.team = "red";
  EXPECT_EQ(w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(large)).status, 201);
  w.Run(5 * kSecond);
  w.cut_from_state = {0};
  w.mesh_down = true;
  w.Run(5 * kSecond);
  EXPECT_EQ(w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(last)).status, 201);
  for (size_t n = 0; n < 3; ++n) w.Kill(n);
  w.Run(20 * kSecond);
  w.cut_from_state.clear();
  w.mesh_down = false;
  for (size_t n = 0; n < 3; ++n) w.Start(n);
  w.Run(20 * kSecond);
  for (size_t n = 0; n < 3; ++n) {
    for (const char* id : {"job-77", "job-88"}) {
      auto a = w.Ask(n, "GET", std::string("/api/jobs/") + id);
      EXPECT_TRUE(w.Until([&] { return a->status != -100; }, 2 * kSecond));
      EXPECT_EQ(a->status, 200) << id << " at node " << n;
    }
  }
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-88") == 1; }, 60 * kSecond));
  EXPECT_GT(w.OnMachines("job-77"), 0);
  EXPECT_KEPT(w);
}

TEST(Stories, ATaskWithTwoAttemptsOnRecordIsNotFreedByTheEndOfOne) {
  // Small values make many chunks, so that a round may change few of them: an
  // attempt that is gone stays on record beside the next one of its task. The
  // owner ends just then, and the next one learns of the first end anew.
  for (int moment = 0; moment < 8; ++moment) {
    World w(3, [](Json* facts) {
      (*facts)["state"]["value_kb"] = 1.0;
      (*facts)["state"]["write_rps"] = 400.0;
      (*facts)["state"]["rps"] = 1000.0;
    });
    w.capacity = 0;
    for (int i = 0; i < 300; ++i) w.AddWorker("small");
    w.Run(kReady);
    w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-5", 250)));
    ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 250; }, 60 * kSecond));
    w.Run(3 * kSecond);
    int shard_id = -1;
    for (int p = 0; p < 3; ++p) {
      for (const auto& [name, m] : w.core(0).AssignmentsOf(p).machines) {
        if (!m.attempts.empty()) shard_id = p;
      }
    }
    ASSERT_GE(shard_id, 0);
    ASSERT_GT(w.core(0).AssignmentsOf(shard_id).chunks, 4);
    // Machines lose what they run, as after a lease that ended, and say so.
    int n = 0;
    for (auto& [name, x] : w.workers) {
      if (!x->Has("job-5") || ++n % 2 == 0) continue;
      x->tasks.clear();
      ++x->session;
      x->lease_from = x->next_report = w.now;
    }
    w.Run(60 * kMilli + moment * (70 * kMilli));
    const auto leader = static_cast<size_t>(w.LeaderOf(shard_id));
    w.Kill(leader);
    w.Run(12 * kSecond);
    EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 250; }, 60 * kSecond)) << moment;
    ASSERT_TRUE(w.broken.empty()) << w.broken.front() << " at moment " << moment;
  }
}

TEST(Stories, ACopyOfAStartAfterItsReapStartsNothing) {
  World w;
  w.capacity = 0;
  FakeWorker& first = w.AddWorker("small");
  w.Run(kReady);
  w.keep_calls = true;
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 4)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-1") == 4; }, 10 * kSecond));
  w.Run(3 * kSecond);
  // Pushed aside there, and reaped; it goes on elsewhere.
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-2", 8)));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-2") == 8; }, 10 * kSecond));
  w.Run(3 * kSecond);
  FakeWorker& second = w.AddWorker("small");
  ASSERT_TRUE(w.Until([&] { return second.Has("job-1"); }, 60 * kSecond));
  ASSERT_FALSE(first.Has("job-1"));
  w.RepeatCarried();
  EXPECT_FALSE(first.Has("job-1"));
  EXPECT_KEPT(w);
}

TEST(Stories, MachinesThatComeLateOrNeverAreReplacedOnceAndReturned) {
  World w;
  int rented = 0;
  // Of the first six every other one never comes up; the rest take three times as long.
  w.boot_time = [&] { return ++rented <= 6 && rented % 2 == 0 ? 10000 * kSecond : 15 * kSecond; };
  w.run_time["job-1"] = 5 * kSecond;
  w.Run(kReady);
  w.AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(World::Array("job-1", 24)));
  w.AskUntil(1, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 60 * kSecond));
  EXPECT_TRUE(w.Until([&] { return Status(w, 2, "job-1") == "done"; }, 120 * kSecond));
  w.Run(60 * kSecond);
  int never = 0;
  for (auto& [name, x] : w.workers) never += !x->dead && x->lease_from > w.now ? 1 : 0;
  EXPECT_EQ(never, 0);  // nothing is paid for that does not come
  EXPECT_LE(w.rentals, 30);
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  EXPECT_KEPT(w);
}

TEST(Stories, AJobWithAMistakeBlamesNoMachineAndStarvesNobody) {
  World w;
  w.mistaken = {"job-66"};
  w.run_time["job-1"] = 4 * kSecond;
  w.capacity = 6;
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
  EXPECT_EQ(w.starts_after_cancel, 0);
  EXPECT_KEPT(w);
}

TEST(Stories, AFreeMachineThatItsOwnerMissesIsNotTaken) {
  World w;
  w.capacity = 0;
  for (int i = 0; i < 9; ++i) w.AddWorker("small");
  w.Run(1500 * kMilli);
  std::map<std::string, int> shard_of;
  for (int p = 0; p < 3; ++p) {
    for (const auto& [name, m] : w.core(0).AssignmentsOf(p).machines) shard_of[name] = p;
  }
  ASSERT_EQ(shard_of.size(), 9u);
  for (auto& [name, x] : w.workers) x->silent = shard_of[name] != 0;
  w.Run(3800 * kMilli);
  for (int i = 0; i < 3; ++i) {
    JobSpec wide = World::Array("job-" + std::to_string(10 + i), 9);
    wide.each = {16000, 0, 32000};
    w.Submit(static_cast<size_t>(i), wide);
  }
  w.Run(kSecond);
  for (int p = 0; p < 3; ++p) {
    for (const auto& [name, m] : w.core(0).AssignmentsOf(p).machines) {
      EXPECT_TRUE(!w.workers[name]->silent || p == shard_of[name]) << name;
    }
  }
  EXPECT_KEPT(w);
}

TEST(Stories, AMachineThatComesBackToItsPartIsServedAtOnce) {
  // Machines go from part to part as work comes to one or another. One that was here
  // before has seen a higher token meanwhile.
  World w;
  w.capacity = 0;
  for (int i = 0; i < 9; ++i) w.AddWorker("small");
  w.Run(kReady);
  uint64_t acquired_machines = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "job-" + std::to_string(100 + i);
    for (auto& [n, x] : w.workers) x->run_time[id] = 2 * kSecond;
    JobSpec spec = World::Array(id, 4);
    spec.each = {16000, 0, 32000};
    w.Submit(static_cast<size_t>(i % 3), spec);
    w.Run((1 + i % 4) * (700 * kMilli));
  }
  for (size_t n = 0; n < 3; ++n) acquired_machines += w.core(n).counters().acquired_machines;
  EXPECT_GT(acquired_machines, 5u);
  for (const auto& [n, x] : w.workers) EXPECT_EQ(x->session, 1u) << n;
  EXPECT_KEPT(w);
}

// Hundreds of machines and thousands of tasks. What is bounded is counted work,
// not time.
TEST(FullSize, WorkIsDoneForWhatChanged) {
  World w;
  w.capacity = 0;
  for (int i = 0; i < 300; ++i) w.AddWorker("small");
  for (auto& [n, x] : w.workers) x->lease_from = x->next_report = w.now + 2 * kSecond;
  w.Run(6 * kSecond);
  size_t adopted = 0;
  for (int p = 0; p < 3; ++p) adopted += w.core(0).AssignmentsOf(p).machines.size();
  EXPECT_EQ(adopted, 300u);
  int tasks = 0;
  for (int j = 0; j < 60; ++j) {
    JobSpec spec = World::Array("job-" + std::to_string(100 + j), 20);
    spec.each = {4000, 0, 8000};
    for (auto& [n, x] : w.workers) x->run_time[spec.id] = 12 * kSecond;
    w.Submit(static_cast<size_t>(j % 3), spec);
    tasks += 20;
    w.Run(100 * kMilli);
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
    puts += c.puts;
    commits += c.commits;
    rounds += c.rounds;
    oversized += c.oversized;
  }
  // 60 submissions, 60 ends; the rest are rosters and progress, many tasks in each.
  EXPECT_LT(puts, 700u);
  EXPECT_LT(commits, 400u);
  EXPECT_LT(rounds, 53u * 3 * 20);  // paced, not one for each of some 9,000 reports
  EXPECT_EQ(oversized, 0u);
  EXPECT_KEPT(w);
}

}  // namespace
}  // namespace troutlink::test
