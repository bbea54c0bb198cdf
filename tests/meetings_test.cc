// Two troubles at once: each story brings one meeting of docs/meetings.md about. The
// world itself checks the rules at every step, from the workers' and the users' side.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <random>

#include "world.h"

namespace troutlink::test {
namespace {

#define EXPECT_KEPT(w) EXPECT_TRUE((w).broken.empty()) << (w).broken.front()

constexpr Micros kReady = 3 * kSecond;

std::string Status(World& w, size_t node, const std::string& id) {
  auto a = w.AskUntil(node, "GET", "/api/jobs/" + id);
  return a.status == 200 ? a.body.value("status", "?") : std::to_string(a.status);
}

// Whether one question, asked once, is answered so within a second.
bool Tells(World& w, size_t node, const std::string& id, const std::string& status) {
  auto a = w.Ask(node, "GET", "/api/jobs/" + id);
  w.Until([&] { return a->status != -100; }, kSecond);
  return a->status == 200 && a->body.value("status", "") == status;
}

// A service that runs, and the node that owns its machines.
struct Running : World {
  explicit Running(int replicas = 4) {
    Run(kReady);
    AskUntil(0, "POST", "/api/jobs", wire::EncodeSubmission(Service("job-5", replicas)));
    EXPECT_TRUE(Until([&] { return OnMachines("job-5") == replicas; }, 30 * kSecond));
    Run(4 * kSecond);
    for (int p = 0; p < 3; ++p) {
      for (const auto& [name, m] : core(0).AssignmentsOf(p).machines) {
        if (!m.attempts.empty()) shard_id = p;
      }
    }
    EXPECT_GE(shard_id, 0);
    leader = static_cast<size_t>(LeaderOf(shard_id));
    second = (leader + 1) % 3;
    third = (leader + 2) % 3;
  }
  void StateDown(Micros time) {
    state_down = true;
    Run(time);
    state_down = false;
    state.Refresh(now);
  }
  int shard_id = -1;
  size_t leader = 0, second = 1, third = 2;
};

// --- the gap ------------------------------------------------------------------
//
// The state service refuses the owner alone, another node confirms a cancellation, and
// then it is down for all, while the workers keep reporting to the old owner.

// How the user comes to be told of a cancellation.
enum class Told {
  kByWhoCommitted,  // the ordinary way
  kByAnother,       // the commit's answer was lost; another node tells from its view
  kLate,            // the commit is carried out late, after its node gave up on it
  kThroughOwner,    // the owner passes the request on and tells the answer
};

struct GapCase {
  Told told = Told::kByWhoCommitted;
  Micros refused_before = 0;  // of the cancellation; negative: after it
  Micros down_after = 0;      // of the telling
  bool mesh_cut = false;      // between the owner and whoever confirms
  bool teller_ends = false;   // right after it told, and is back at once
  bool third_blind = false;   // the state service refuses the third node as well
  Micros held = 0;            // what siblings say is held for so long, from the telling on
};

void Gap(const GapCase& g) {
  Running w;
  if (g.third_blind) w.refused_by_state.insert(w.third);
  if (g.refused_before >= 0) {
    w.refused_by_state.insert(w.leader);
    w.Run(g.refused_before);
  }
  size_t teller = w.second;
  const std::string target = "/api/jobs/job-5/abort";
  if (g.told == Told::kByAnother || g.told == Told::kLate) {
    // The third node commits and is not answered; the second tells from its view.
    w.lose = [&](size_t node, const Call& call) {
      return node == w.third && call.target == "/commit" &&
             call.body.find("job-5") != std::string::npos;
    };
    w.Ask(w.third, "POST", target);
    w.Run(g.told == Told::kLate ? 1600 * kMilli : 30 * kMilli);
    w.lose = nullptr;
    if (g.refused_before < 0) w.refused_by_state.insert(w.leader);
    if (g.mesh_cut) w.cut_links = {{w.leader, w.second}, {w.leader, w.third}};
    w.DeliverHeld();
    EXPECT_TRUE(w.Until([&] { return Tells(w, teller, "job-5", "cancelled"); }, 3 * kSecond));
  } else {
    if (g.mesh_cut) w.cut_links = {{w.leader, w.second}};
    if (g.told == Told::kThroughOwner) teller = w.leader;
    EXPECT_EQ(w.AskUntil(teller, "POST", target).body.value("status", ""), "cancelled");
  }
  const Micros told = w.now;
  if (g.refused_before < 0) w.refused_by_state.insert(w.leader);
  if (g.teller_ends) {
    const size_t ends = teller == w.leader ? w.second : teller;
    w.Kill(ends);
    w.Run(100 * kMilli);
    w.Start(ends);
  }
  w.hold_mesh = g.held > 0;
  w.Run(g.down_after);
  w.state_down = true;
  w.Run(g.held);
  w.ReleaseMesh();
  w.Run(w.settings.cancel + 3 * kSecond - g.held);
  EXPECT_EQ(w.OnMachines("job-5"), 0);
  w.Run(12 * kSecond - (w.now - told) % kSecond);
  w.state_down = false;
  w.refused_by_state.clear();
  w.cut_links.clear();
  w.state.Refresh(w.now);
  w.Run(5 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 0);
  EXPECT_EQ(Status(w, w.leader, "job-5"), "cancelled");
  EXPECT_EQ(w.starts_after_cancel, 0);
  EXPECT_KEPT(w);
}

TEST(Meetings, TheGapEndsTasksInTimeHoweverTheUserWasTold) {
  for (Told told : {Told::kByWhoCommitted, Told::kByAnother, Told::kLate, Told::kThroughOwner}) {
    for (Micros before : {2 * kSecond, 100 * kMilli, -kMilli}) {
      for (bool cut : {false, true}) {
        for (bool ends : {false, true}) {
          if (cut && told == Told::kThroughOwner) continue;
          SCOPED_TRACE(testing::Message() << "told " << static_cast<int>(told) << " refused "
                                          << before << " cut " << cut << " ends " << ends);
          Gap({told, before, 0, cut, ends});
        }
      }
    }
  }
}

TEST(Meetings, TheGapWithNobodyLeftWhoKnowsOfTheCancellation) {
  // The node that told it is back before the outage has an end, and knows nothing.
  for (Told told : {Told::kByWhoCommitted, Told::kThroughOwner}) {
    for (Micros before : {2 * kSecond, 100 * kMilli, -kMilli}) {
      SCOPED_TRACE(testing::Message()
                   << "told " << static_cast<int>(told) << " refused " << before);
      Gap({told, before, 0, false, true, true});
    }
  }
}

TEST(Meetings, TheGapWithHeartbeatsHeldUp) {
  for (Told told : {Told::kByWhoCommitted, Told::kByAnother, Told::kLate, Told::kThroughOwner}) {
    for (Micros held : {3 * kSecond, 12 * kSecond, 25 * kSecond}) {
      for (bool ends : {false, true}) {
        SCOPED_TRACE(testing::Message()
                     << "told " << static_cast<int>(told) << " held " << held << " ends " << ends);
        Gap({told, 200 * kMilli, 0, false, ends, false, held});
      }
    }
  }
}

TEST(Meetings, TheGapWithTheOutageAtAnyMomentAfterTheTelling) {
  for (Micros after : {0 * kMilli, 20 * kMilli, 300 * kMilli, 2 * kSecond, 5 * kSecond}) {
    for (Told told : {Told::kByWhoCommitted, Told::kByAnother}) {
      SCOPED_TRACE(testing::Message()
                   << "down after " << after << " told " << static_cast<int>(told));
      Gap({told, 5 * kSecond, after, false, false});
      Gap({told, kSecond, after, true, true});
    }
  }
}

// --- the other meetings, in the order of docs/meetings.md ------------------------

int Starts(const World& w) {
  int n = 0;
  for (const auto& [name, x] : w.workers) n += x->starts;
  return n;
}

void Accept(World& w, size_t node, const JobSpec& spec) {
  EXPECT_LT(w.AskUntil(node, "POST", "/api/jobs", wire::EncodeSubmission(spec)).status, 202);
}

// Waits until the job is done, asking all nodes in turn.
bool DoneWithin(World& w, const std::string& id, Micros most) {
  const Micros end = w.now + most;
  for (size_t n = 0; w.now < end; n = (n + 1) % 3) {
    if (w.alive(n) && Tells(w, n, id, "done")) return true;
    w.Run(300 * kMilli);
  }
  return false;
}

FakeWorker* With(World& w, const std::string& job) {
  for (auto& [name, x] : w.workers) {
    if (!x->dead && x->Has(job)) return x.get();
  }
  return nullptr;
}

TEST(Meetings, JobsBoundToAZoneLoseTheirMachinesWithTheirOwner) {
  Running w;
  JobSpec array = World::Array("job-7", 6), service = World::Service("job-8", 3);
  array.zone = service.zone = "z2";
  JobSpec together = World::Array("job-9", 6);
  together.one_zone = true;
  for (const char* id : {"job-7", "job-9"}) w.SetRunTime(id, 20 * kSecond);
  for (const JobSpec& spec : {array, service, together}) Accept(w, 1, spec);
  ASSERT_TRUE(w.Until(
      [&] {
        return w.OnMachines("job-7") == 6 && w.OnMachines("job-8") == 3 &&
               w.OnMachines("job-9") == 6;
      },
      40 * kSecond));
  for (auto& [name, x] : w.workers) {
    if (x->zone != "z2" && !x->Has("job-9")) continue;
    x->dead = true;
    x->tasks.clear();
  }
  w.Kill(w.leader);
  w.Run(500 * kMilli);
  w.Start(w.leader);
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-8") == 3; }, 60 * kSecond));
  EXPECT_TRUE(DoneWithin(w, "job-7", 90 * kSecond));
  EXPECT_TRUE(DoneWithin(w, "job-9", 90 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Meetings, TenChangesOfOwnerInTwoMinutesSomeInsideAnOutage) {
  Running w;
  const int starts = Starts(w);
  for (int i = 0; i < 10; ++i) {
    const int leader = w.LeaderOf(w.shard_id);
    if (leader >= 0) w.Kill(static_cast<size_t>(leader));
    if (i == 4) w.state_down = true;
    w.Run(i % 3 == 0 ? 200 * kMilli : 5 * kSecond);
    if (leader >= 0) w.Start(static_cast<size_t>(leader));
    if (i == 5) {
      w.state_down = false;
      w.state.Refresh(w.now);
    }
    w.Run(7 * kSecond);
  }
  w.Run(20 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 4);
  EXPECT_EQ(Starts(w), starts);  // also inside the outage its tasks lived on
  EXPECT_KEPT(w);
}

TEST(Meetings, MoreWorkThanRoomOverSlowLinks) {
  World w;
  w.capacity = 0;
  for (int i = 0; i < 6; ++i) w.AddWorker("small");
  w.Run(kReady);
  w.state_latency = 600 * kMilli;
  for (int i = 0; i < 4; ++i) {
    JobSpec low = World::Array("job-" + std::to_string(10 + i), 12);
    low.priority = Priority::kLow;
    JobSpec urgent = World::Array("job-" + std::to_string(20 + i), 12);
    urgent.priority = Priority::kHigh;
    for (JobSpec* spec : {&low, &urgent}) {
      spec->spot = false;
      w.SetRunTime(spec->id, spec == &low ? 20 * kSecond : 6 * kSecond);
      Accept(w, static_cast<size_t>(i % 3), *spec);
    }
  }
  Accept(w, 1, World::Service("job-5", 4));
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 15 * kSecond));
  for (int i = 0; i < 4; ++i)
    EXPECT_TRUE(DoneWithin(w, "job-" + std::to_string(20 + i), 60 * kSecond));
  for (int i = 0; i < 4; ++i)
    EXPECT_TRUE(DoneWithin(w, "job-" + std::to_string(10 + i), 60 * kSecond));
  EXPECT_KEPT(w);
}

// Starts that were sent straight to machines are held up, the job is cancelled, and then
// nobody can commit a fence: the machines go on and carry the starts out.
TEST(Meetings, AHeldUpStartIsNotCarriedOutLongAfterTheCancellation) {
  for (Micros late : {5 * kSecond, 33 * kSecond, 40 * kSecond}) {
    Running w(2);
    Accept(w, w.leader, World::Service("job-6", 1));  // keeps its machine in use
    ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-6") == 1; }, 20 * kSecond));
    std::set<std::string> held;
    w.lose = [&](size_t node, const Call& call) {
      if (call.dest != Dest::kWorker || call.body.find("job-8") == std::string::npos) return false;
      w.ServeLater(node, call, late);
      held.insert(call.addr);
      return true;
    };
    Accept(w, w.second, World::Service("job-8", 3));
    ASSERT_TRUE(w.Until([&] { return !held.empty(); }, 20 * kSecond));
    int leader = -1;
    for (int p = 0; p < 3; ++p) {
      for (const auto& [name, m] : w.core(0).AssignmentsOf(p).machines) {
        if (held.count(m.addr) != 0) leader = w.LeaderOf(p);
      }
    }
    ASSERT_GE(leader, 0);
    // Its commits are refused from here on, so no fence of its own gets through.
    w.refused_by_state = {static_cast<size_t>(leader)};
    EXPECT_EQ(w.AskUntil((static_cast<size_t>(leader) + 1) % 3, "POST", "/api/jobs/job-8/abort")
                  .body.value("status", ""),
              "cancelled");
    w.StateDown(w.settings.cancel + 12 * kSecond);
    w.refused_by_state.clear();
    w.Run(5 * kSecond);
    EXPECT_EQ(w.OnMachines("job-8"), 0);
    EXPECT_KEPT(w);
  }
}

TEST(Meetings, AllNodesAreAwayForLongerThanALease) {
  Running w;
  w.SetRunTime("job-7", 15 * kSecond);
  Accept(w, 0, World::Array("job-7", 5));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-7") == 5; }, 20 * kSecond));
  for (size_t n = 0; n < 3; ++n) w.Kill(n);
  w.Run(w.settings.lease + 4 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 0);
  for (size_t n = 0; n < 3; ++n) w.Start(n);
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 4; }, 30 * kSecond));
  EXPECT_TRUE(DoneWithin(w, "job-7", 60 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Meetings, ACutOwnerStillReachedByUsersSaysNothingOlderThanTheNewOne) {
  Running w;
  w.cut_from_state = {w.leader};
  w.cut_from_mesh = {w.leader};
  w.Run(12 * kSecond);
  ASSERT_NE(w.LeaderOf(w.shard_id), static_cast<int>(w.leader));
  EXPECT_EQ(w.AskUntil(w.second, "POST", "/api/jobs/job-5/abort").body.value("status", ""),
            "cancelled");
  for (int i = 0; i < 20; ++i) {
    w.Ask(w.leader, "GET", "/api/jobs/job-5");
    w.Ask(w.leader, "POST", "/api/jobs", wire::EncodeSubmission(World::Service("job-5", 4)));
    w.Run(kSecond);
  }
  EXPECT_EQ(w.OnMachines("job-5"), 0);
  w.cut_from_state.clear();
  w.cut_from_mesh.clear();
  w.Run(5 * kSecond);
  EXPECT_EQ(Status(w, w.leader, "job-5"), "cancelled");
  EXPECT_KEPT(w);
}

TEST(Meetings, TransactionsAreCarriedOutLateAfterNewerOnes) {
  for (int every = 2; every < 6; ++every) {
    World w;
    w.Run(kReady);
    int n = 0;
    w.lose = [&](size_t node, const Call& call) {
      if (call.target != "/commit" || ++n % every != 0) return false;
      w.ServeLater(node, call, (2 + n % 10) * kSecond);
      return true;
    };
    for (int i = 0; i < 6; ++i) {
      JobSpec spec = World::Array("job-" + std::to_string(10 + i), 5);
      spec.team = "red";  // at its limit all the time
      w.SetRunTime(spec.id, 4 * kSecond);
      Accept(w, static_cast<size_t>(i % 3), spec);
    }
    Accept(w, 0, World::Service("job-5", 3));
    w.Run(5 * kSecond);
    w.AskUntil(1, "POST", "/api/jobs/job-13/abort");
    w.Run(20 * kSecond);
    w.Kill(0);
    w.Run(kSecond);
    w.Start(0);
    w.Run(10 * kSecond);
    w.lose = nullptr;
    w.Run(15 * kSecond);
    for (int i = 0; i < 6; ++i) {
      const std::string id = "job-" + std::to_string(10 + i);
      EXPECT_TRUE(i == 3 || DoneWithin(w, id, 60 * kSecond)) << id;
    }
    EXPECT_EQ(w.OnMachines("job-5"), 3);
    EXPECT_KEPT(w);
  }
}

// Each node asks its share of the limit at most, whatever users ask: commits, watches and
// leases go on. The fake state service counts.
TEST(Meetings, AStormOfQuestionsLeavesRoomForTheRest) {
  World w;
  w.Run(kReady);
  Accept(w, 0, World::Service("job-5", 4));
  for (int i = 0; i < 30; ++i) Accept(w, 1, World::Array("job-" + std::to_string(100 + i), 2));
  w.Run(5 * kSecond);
  uint64_t before = 0, calls = 0;
  for (size_t n = 0; n < 3; ++n) before += w.core(n).counters().state_calls;
  int answered = 0, asked = 0;
  std::vector<std::shared_ptr<World::Answered>> answers;
  for (int i = 0; i < 2000; ++i) {
    for (size_t n = 0; n < 3; ++n) {
      answers.push_back(w.Ask(n, "GET", "/api/jobs/job-" + std::to_string(100 + i % 30)));
    }
    // Each change ends every node's watch.
    if (i % 6 == 0) w.Submit(2, World::Array("job-" + std::to_string(1000 + i), 1));
    w.Run(5 * kMilli);
  }
  w.Run(2 * kSecond);
  for (const auto& a : answers) {
    ++asked;
    answered += a->status == 200 ? 1 : 0;
    EXPECT_TRUE(a->status == 200 || (a->status == 503 && a->retry_after > 0)) << a->status;
  }
  for (size_t n = 0; n < 3; ++n) calls += w.core(n).counters().state_calls;
  EXPECT_GT(answered * 10, asked * 9);
  // 12 s and more at 200 a second, and a burst.
  EXPECT_LT(calls - before, 200u * 14);
  EXPECT_KEPT(w);
}

// One of "done" and "cancelled" is committed, and it alone is ever told.
TEST(Meetings, ACancellationAQuestionAndARepeatMeetTheEndOfTheLastTask) {
  World w;
  w.Run(kReady);
  int done = 0, cancelled = 0;
  for (int i = 0; i < 40; ++i) {
    const std::string id = "job-" + std::to_string(100 + i);
    const JobSpec spec = World::Array(id, 1 + i % 3);
    w.SetRunTime(id, 2 * kSecond);
    Accept(w, static_cast<size_t>(i % 3), spec);
    w.Until([&] { return w.results.count({id, spec.tasks - 1}) != 0; }, 30 * kSecond);
    w.Run(i * (5 * kMilli));
    auto a = w.Ask(static_cast<size_t>(i % 3), "POST", "/api/jobs/" + id + "/abort");
    auto b = w.Ask(static_cast<size_t>((i + 1) % 3), "GET", "/api/jobs/" + id);
    auto c = w.Submit(static_cast<size_t>((i + 2) % 3), spec);
    w.Run(400 * kMilli);
    for (const auto& r : {a, b, c}) EXPECT_EQ(r->status, 200) << id;
    const std::string said = a->body.value("status", "?");
    EXPECT_TRUE(said == "done" || said == "cancelled") << said;
    ++(said == "done" ? done : cancelled);
    for (size_t n = 0; n < 3; ++n) EXPECT_EQ(Status(w, n, id), said);
  }
  EXPECT_GT(done, 0);
  EXPECT_GT(cancelled, 0);
  w.Run(10 * kSecond);
  EXPECT_KEPT(w);
}

TEST(Meetings, AnOwnerEndsWhileMachinesAreCutOffOrDoNotHearTheNextOne) {
  for (bool hears_few : {false, true}) {
    Running w(6);
    const int starts = Starts(w);
    FakeWorker* x = With(w, "job-5");
    ASSERT_NE(x, nullptr);
    (hears_few ? x->unhearing : x->silent) = true;
    w.Kill(w.leader);
    // Within the lease: it goes on as if nothing had been.
    w.Run(6 * kSecond);
    (hears_few ? x->unhearing : x->silent) = false;
    w.Run(8 * kSecond);
    EXPECT_EQ(w.OnMachines("job-5"), 6) << hears_few;
    EXPECT_EQ(Starts(w), starts) << hears_few;
    // Past it: its tasks run elsewhere, once they are proven gone.
    (hears_few ? x->unhearing : x->silent) = true;
    w.Start(w.leader);
    w.Run(18 * kSecond);
    w.Kill((w.leader + 1) % 3);
    w.Run(25 * kSecond);
    (hears_few ? x->unhearing : x->silent) = false;
    EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 6; }, 30 * kSecond)) << hears_few;
    EXPECT_KEPT(w);
  }
}

TEST(Meetings, TasksOfAJobEndFarApartAcrossChangesOfOwner) {
  for (Micros before : {kSecond, 4 * kSecond, 12 * kSecond}) {
    Running w;
    w.SetRunTime("job-7", 60 * kSecond);
    Accept(w, w.second, World::Array("job-7", 3));
    ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-7") == 3; }, 20 * kSecond));
    Micros end = w.now + 2 * kSecond;
    for (auto& [name, x] : w.workers) {
      for (auto& [key, t] : x->tasks) {
        if (key.first == "job-7") t.ends = end, end += 15 * kSecond;
      }
    }
    for (size_t n = 0; n < 3; ++n) {
      w.Run(before);
      w.Kill(n);
      w.Run(kSecond);
      EXPECT_FALSE(Tells(w, (n + 1) % 3, "job-7", "done") && w.results.size() < 3);
      w.Start(n);
      w.Run(13 * kSecond - before);
    }
    EXPECT_TRUE(DoneWithin(w, "job-7", 90 * kSecond));
    EXPECT_KEPT(w);
  }
}

TEST(Meetings, AZoneWithWorkersAndANodeIsCutOffForLongerThanALease) {
  Running w(6);
  // The owner and its machines on one side; a job is cancelled on the other.
  Accept(w, w.second, World::Service("job-6", 2));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-6") == 2; }, 30 * kSecond));
  for (const auto& [name, m] : w.core(w.second).AssignmentsOf(w.shard_id).machines) {
    w.workers.at(name)->only_node = static_cast<int>(w.leader);
  }
  w.cut_from_state = {w.leader};
  w.cut_from_mesh = {w.leader};
  w.Run(kSecond);
  EXPECT_EQ(w.AskUntil(w.second, "POST", "/api/jobs/job-6/abort").body.value("status", ""),
            "cancelled");
  w.Run(w.settings.cancel + 5 * kSecond);
  EXPECT_EQ(w.OnMachines("job-6"), 0);
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 6; }, 30 * kSecond));
  for (auto& [name, x] : w.workers) x->only_node = -1;
  w.cut_from_state.clear();
  w.cut_from_mesh.clear();
  w.Run(30 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 6);
  EXPECT_KEPT(w);
}

TEST(Meetings, WorkersThatReachNoNodeAreToldDirectly) {
  Running w;
  for (auto& [name, x] : w.workers) x->mute = true;
  // The first stop is lost; reports do not come that would ask for another.
  int lost = 0;
  w.lose = [&](size_t, const Call& call) {
    return call.dest == Dest::kWorker && call.body.find("job-5") != std::string::npos &&
           ++lost <= 1;
  };
  w.Run(kSecond);
  EXPECT_EQ(w.AskUntil(w.second, "POST", "/api/jobs/job-5/abort").body.value("status", ""),
            "cancelled");
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 0; }, 6 * kSecond));
  EXPECT_GE(lost, 2);
  for (auto& [name, x] : w.workers) x->mute = false;
  // Past their lease, with tasks that nobody cancelled.
  Accept(w, w.second, World::Service("job-6", 4));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-6") == 4; }, 40 * kSecond));
  for (auto& [name, x] : w.workers) x->mute = true;
  w.Run(w.settings.lease + 3 * kSecond);
  for (auto& [name, x] : w.workers) x->mute = false;
  EXPECT_TRUE(w.Until([&] { return w.OnMachines("job-6") == 4; }, 40 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Meetings, ACancelledTaskThatWaitsForItsImageDoesNotBegin) {
  for (Micros after = 0; after < 1900 * kMilli; after += 200 * kMilli) {
    World w;
    w.capacity = 0;
    for (int i = 0; i < 4; ++i) w.AddWorker("small").fetch_time = 1950 * kMilli;
    w.Run(kReady);
    Accept(w, 0, World::Array("job-7", 8));
    ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-7") == 8; }, 10 * kSecond));
    w.Run(after);
    w.Ask(1, "POST", "/api/jobs/job-7/abort");
    w.Run(5 * kSecond);
    EXPECT_EQ(w.OnMachines("job-7"), 0);
    EXPECT_EQ(w.starts_after_cancel, 0) << after;
    EXPECT_KEPT(w);
  }
}

TEST(Meetings, AReportHeldBackUntilANewOwnerActedProvesNothing) {
  World w;
  w.capacity = 0;
  for (int i = 0; i < 3; ++i) w.AddWorker("small");
  w.Run(kReady);
  // Reports from before anything ran, which name nothing.
  std::vector<std::pair<std::string, std::string>> old;
  for (auto& [name, x] : w.workers) old.emplace_back(name, wire::EncodeReport(x->MakeReport()));
  Accept(w, 0, World::Service("job-5", 6));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 6; }, 30 * kSecond));
  const int starts = Starts(w);
  for (size_t n = 0; n < 3; ++n) {
    w.Kill(n);
    const Micros end = w.now + 6 * kSecond;
    while (w.now < end) {
      for (const auto& [name, body] : old) {
        for (size_t to = 0; to < 3; ++to) w.Ask(to, "POST", "/v1/report", body);
      }
      w.Run(70 * kMilli);
    }
    w.Start(n);
    w.Run(4 * kSecond);
  }
  EXPECT_EQ(w.OnMachines("job-5"), 6);
  EXPECT_EQ(Starts(w), starts);
  EXPECT_KEPT(w);
}

TEST(Meetings, NodesHandOverAndBackAllEndAndOneReturnsAtOnce) {
  for (Micros back : {40 * kMilli, 300 * kMilli, 900 * kMilli}) {
    Running w;
    w.Kill(w.leader);
    w.Run(6 * kSecond);  // handed over
    w.Start(w.leader);
    w.Run(w.settings.cancel / 2 + 2 * kSecond);  // and, about now, back
    for (size_t n = 0; n < 3; ++n) w.Kill(n);
    w.Run(back);
    w.Start(w.second);
    w.Run(8 * kSecond);
    EXPECT_EQ(w.OnMachines("job-5"), 4);
    EXPECT_EQ(Status(w, w.second, "job-5"), "running");
    w.Start(w.leader);
    w.Run(back);
    w.Kill(w.second);
    w.Run(back);
    w.Start(w.second);
    w.Start(w.third);
    w.Run(20 * kSecond);
    EXPECT_EQ(w.OnMachines("job-5"), 4);
    EXPECT_KEPT(w);
  }
}

TEST(Meetings, WhatCanNeverRunOrLacksAFieldIsRefusedForGoodInAnyTrouble) {
  Running w;
  JobSpec huge = World::Array("job-91", 1), alien = World::Service("job-92", 33);
  huge.each.cpus = 17000;
  alien.team = "red";  // 66 cpus of 64 at most
  Json lacking = wire::EncodeSpec(World::Array("job-93", 1));
  lacking.erase("pieces");
  auto check = [&] {
    for (int again = 0; again < 2; ++again) {
      for (size_t n = 0; n < 3; ++n) {
        EXPECT_EQ(w.Submit(n, huge)->status, 422) << n;
        EXPECT_EQ(w.Submit(n, alien)->status, 422) << n;
        EXPECT_EQ(w.Ask(n, "POST", "/api/jobs", wire::Pack(lacking))->status, 400) << n;
      }
      w.Run(kSecond);
    }
  };
  check();
  w.refused_by_state = {w.leader};
  w.Run(3 * kSecond);
  check();
  w.state_down = true;
  w.Run(3 * kSecond);
  check();
  w.mesh_down = true;
  w.Run(3 * kSecond);
  check();
  w.state_down = w.mesh_down = false;
  w.refused_by_state.clear();
  w.state.Refresh(w.now);
  w.Run(5 * kSecond);
  for (const char* id : {"job-91", "job-92", "job-93"}) {
    EXPECT_EQ(w.AskUntil(w.third, "GET", std::string("/api/jobs/") + id).status, 404);
  }
  EXPECT_KEPT(w);
}

TEST(Meetings, ASlowStateServiceThenRefusesTheOwnerAndThenEverybody) {
  for (Micros slow : {300 * kMilli, 1200 * kMilli, 1600 * kMilli}) {
    Running w;
    for (int i = 0; i < 3; ++i)
      Accept(w, w.second, World::Service("job-" + std::to_string(60 + i), 1));
    ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-62") == 1; }, 30 * kSecond));
    w.state_latency = slow;
    auto ask = [&](Micros time) {
      const Micros end = w.now + time;
      while (w.now < end) {
        for (size_t n = 0; n < 3; ++n) {
          for (const char* id : {"job-5", "job-60", "job-61", "job-62"}) {
            w.Ask(n, "GET", std::string("/api/jobs/") + id);
          }
        }
        w.Run(250 * kMilli);
      }
    };
    w.Ask(w.second, "POST", "/api/jobs/job-5/abort");
    ask(400 * kMilli);
    w.refused_by_state = {w.leader};
    w.Ask(w.third, "POST", "/api/jobs/job-60/abort");
    w.Ask(w.leader, "POST", "/api/jobs/job-61/abort");
    ask(2 * kSecond);
    w.state_down = true;
    ask(w.settings.cancel + 6 * kSecond);
    w.state_down = false;
    w.state_latency = 0;
    w.state.Refresh(w.now);
    w.refused_by_state.clear();
    ask(6 * kSecond);
    for (const char* id : {"job-5", "job-60", "job-61"}) {
      EXPECT_EQ(w.AskUntil(w.third, "POST", std::string("/api/jobs/") + id + "/abort")
                    .body.value("status", ""),
                "cancelled");
    }
    w.Run(20 * kSecond);
    EXPECT_EQ(w.OnMachines("job-5"), 0);
    EXPECT_EQ(w.OnMachines("job-62"), 1);
    EXPECT_KEPT(w);
  }
}

TEST(Meetings, ATeamAtItsLimitChangesOwnerWithMachinesAwayAndACancellation) {
  World w;
  w.run_time["job-11"] = w.run_time["job-12"] = 12 * kSecond;
  w.Run(kReady);
  JobSpec first = World::Array("job-11", 40), second = World::Array("job-12", 40);
  first.team = second.team = "red";
  Accept(w, 0, first);
  Accept(w, 1, second);
  auto running = [&] { return w.OnMachines("job-11") + w.OnMachines("job-12"); };
  ASSERT_TRUE(w.Until([&] { return running() >= 14; }, 60 * kSecond)) << running();
  int n = 0;
  for (auto& [name, x] : w.workers) {
    if (x->tasks.empty() || ++n % 2 != 0) continue;
    (n % 4 == 0 ? x->silent : x->hung) = true;
  }
  for (size_t i = 0; i < 2; ++i) {
    w.Kill(i);
    w.Run(3 * kSecond);
    if (i == 0) w.Ask(2, "POST", "/api/jobs/job-12/abort");
    w.Run(3 * kSecond);
    w.Start(i);
    w.Run(2 * kSecond);
  }
  for (auto& [name, x] : w.workers) x->silent = x->hung = false;
  EXPECT_EQ(w.AskUntil(1, "POST", "/api/jobs/job-12/abort").body.value("status", ""), "cancelled");
  EXPECT_TRUE(DoneWithin(w, "job-11", 150 * kSecond));
  EXPECT_KEPT(w);
}

TEST(Meetings, OldReportsOfEarlierSessionsAndAttemptsChangeNothing) {
  World w;
  w.capacity = 0;
  for (int i = 0; i < 3; ++i) w.AddWorker("small");
  w.Run(kReady);
  Accept(w, 0, World::Service("job-5", 12));
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 12; }, 30 * kSecond));
  w.Run(4 * kSecond);
  // Of the first session and attempts; and of the second, before anything ran in it.
  std::vector<std::pair<std::string, std::string>> old;
  for (auto& [name, x] : w.workers) {
    old.emplace_back(name, wire::EncodeReport(x->MakeReport()));
    x->tasks.clear();
    ++x->session;
    x->lease_from = x->next_report = w.now;
    old.emplace_back(name, wire::EncodeReport(x->MakeReport()));
  }
  ASSERT_TRUE(w.Until([&] { return w.OnMachines("job-5") == 12; }, 40 * kSecond));
  w.Run(4 * kSecond);
  const int starts = Starts(w);
  for (int i = 0; i < 60; ++i) {
    for (const auto& [name, body] : old) {
      for (size_t n = 0; n < 3; ++n) w.Ask(n, "POST", "/v1/report", body);
    }
    if (i == 30) w.Kill(0);
    w.Run(150 * kMilli);
  }
  w.Run(5 * kSecond);
  EXPECT_EQ(w.OnMachines("job-5"), 12);
  EXPECT_EQ(Starts(w), starts);
  EXPECT_KEPT(w);
}

// --- any two troubles -----------------------------------------------------------
//
// Overlapping faults of all kinds drawn from a seed. The world checks the rules at every
// step; once all is over, everything accepted must be served. Other seeds by hand:
// TROUTLINK_SEEDS=first:last.

class Troubles {
 public:
  explicit Troubles(unsigned seed) : rng_(seed) {
    w_.capacity = 200;
    for (int i = 0; i < 8; ++i) {
      FakeWorker& m = w_.AddWorker("small", i % 3 == 0);
      m.zone = i % 2 == 0 ? "z1" : "z2";
    }
    w_.lose = [this](size_t node, const Call& call) {
      const bool write = call.dest == Dest::kState && call.target == "/commit";
      const bool command = call.dest == Dest::kWorker && call.method == "POST";
      if ((!write && !command) || !Chance(write ? late_writes_ : late_commands_)) return false;
      // Carried out at once but not answered, or late, or never.
      const int kind = Draw(0, 3);
      if (kind != 0) w_.ServeLater(node, call, kind == 1 ? 2 * kMilli : Draw(2000, 12000) * kMilli);
      return true;
    };
  }

  void Play() {
    w_.Run(kReady);
    for (int i = 0; i < 6; ++i) SubmitOne();
    const Micros end = w_.now + 150 * kSecond;
    while (w_.now < end) {
      w_.Run(Draw(50, 2500) * kMilli);
      if (Chance(0.5)) UsersAct();
      if (Chance(0.5) && healing_.size() < 5) Trouble();
      Heal(false);
      if (!w_.broken.empty()) return;
    }
    Heal(true);
    w_.Run(100 * kSecond);
    Settle();
  }
  const World& world() const { return w_; }
  std::string told() const {
    std::string all;
    for (const std::string& line : log_) all += line + "\n";
    return all;
  }

 private:
  int Draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(rng_); }
  bool Chance(double p) { return std::bernoulli_distribution(p)(rng_); }
  size_t Node() { return static_cast<size_t>(Draw(0, 2)); }
  FakeWorker* Machine() {
    std::vector<FakeWorker*> up;
    for (auto& [name, m] : w_.workers) {
      if (!m->dead && m->lease_from <= w_.now) up.push_back(m.get());
    }
    return up.empty() ? nullptr : up[static_cast<size_t>(Draw(0, static_cast<int>(up.size()) - 1))];
  }
  void Say(const std::string& what) {
    log_.push_back(std::to_string(w_.now / kMilli - 1000000) + " ms: " + what);
  }

  void SubmitOne() {
    const std::string id = "job-" + std::to_string(100 + submitted_++);
    const bool service = Chance(0.3);
    JobSpec spec = service ? World::Service(id, Draw(1, 4)) : World::Array(id, Draw(1, 6));
    if (Chance(0.4)) spec.team = "red";
    if (Chance(0.2)) spec.zone = Chance(0.5) ? "z1" : "z2";
    if (service && Chance(0.4) && spec.zone.empty()) spec.spread = true;
    if (!service) {
      spec.spot = Chance(0.7);
      spec.priority = Chance(0.3) ? Priority::kLow : Priority::kNormal;
      w_.SetRunTime(id, Draw(500, 25000) * kMilli);
    }
    specs_[id] = spec;
    w_.Submit(Node(), spec);
  }
  std::string AnyJob() {
    auto it = specs_.begin();
    std::advance(it, Draw(0, static_cast<int>(specs_.size()) - 1));
    return it->first;
  }
  void UsersAct() {
    if (specs_.size() < 24 && Chance(0.3)) SubmitOne();
    for (int i = 0; i < 3; ++i) w_.Ask(Node(), "GET", "/api/jobs/" + AnyJob());
    if (Chance(0.3)) w_.Submit(Node(), specs_[AnyJob()]);  // a repeat
    if (Chance(0.15)) w_.Ask(Node(), "GET", "/api/jobs/job-99999");
    if (Chance(0.25)) {
      const std::string id = AnyJob();
      const size_t node = Node();
      Say("cancel " + id + " at " + std::to_string(node));
      w_.Ask(node, "POST", "/api/jobs/" + id + "/abort");
    }
  }

  // Begins one; it ends by itself.
  void Trouble() {
    const size_t n = Node();
    const std::string at = " node " + std::to_string(n);
    FakeWorker* m = Machine();
    auto during = [this](const std::string& what, Micros time, std::function<void()> end) {
      Say(what + " for " + std::to_string(time / kMilli) + " ms");
      healing_.push_back({w_.now + time, std::move(end)});
    };
    const Micros time = Chance(0.4) ? Draw(100, 2000) * kMilli : Draw(2000, 45000) * kMilli;
    switch (Draw(0, 17)) {
      case 0:
        w_.state_down = true;
        during("state down", time, [this] {
          w_.state_down = false;
          w_.state.Refresh(w_.now);
        });
        break;
      case 1:
      case 2:
        w_.refused_by_state.insert(n);
        during("state refuses" + at, time, [this, n] { w_.refused_by_state.erase(n); });
        break;
      case 3:
        w_.cut_from_state.insert(n);
        during("state cut from" + at, time, [this, n] { w_.cut_from_state.erase(n); });
        if (!Chance(0.5)) break;
        w_.cut_from_mesh.insert(n);
        during("mesh cut from" + at, time, [this, n] { w_.cut_from_mesh.erase(n); });
        break;
      case 4:
        w_.cut_from_workers.insert(n);
        during("workers cut from" + at, time, [this, n] { w_.cut_from_workers.erase(n); });
        break;
      case 5:
        if (Chance(0.5)) {
          w_.hold_mesh = true;
          during("mesh held", time, [this] { w_.ReleaseMesh(); });
          break;
        }
        w_.mesh_down = true;
        during("mesh down", time, [this] { w_.mesh_down = false; });
        break;
      case 6:
      case 7:
        if (!w_.alive(n)) break;
        w_.Kill(n);
        during("ends" + at, Chance(0.5) ? Draw(20, 900) * kMilli : time / 3,
               [this, n] { w_.Start(n); });
        break;
      case 8:
        for (size_t i = 0; i < 3; ++i) {
          if (!w_.alive(i)) continue;
          w_.Kill(i);
          during("ends node " + std::to_string(i), Draw(20, 15000) * kMilli,
                 [this, i] { w_.Start(i); });
        }
        break;
      case 9:
        if (!w_.alive(n) || frozen_.count(n) != 0) break;
        w_.Freeze(n);
        frozen_.insert(n);
        during("stands still" + at, time / 2, [this, n] {
          frozen_.erase(n);
          if (w_.alive(n)) w_.Thaw(n);
        });
        break;
      case 10:
        late_writes_ = 0.3;
        during("late writes", time, [this] { late_writes_ = 0; });
        break;
      case 11:
        late_commands_ = 0.5;
        during("late commands", time, [this] { late_commands_ = 0; });
        break;
      case 12:
        w_.state_latency = Draw(50, 1400) * kMilli;
        during("slow state", time, [this] { w_.state_latency = 0; });
        break;
      case 13:
      case 14: {
        // The gap: refused alone, cancelled through others and not always answered, then
        // down for all.
        w_.refused_by_state.insert(n);
        during("gap: state refuses" + at, time, [this, n] { w_.refused_by_state.erase(n); });
        if (w_.state_down) break;
        late_writes_ = 0.6;
        for (int i = 0; i < 6; ++i) {
          const std::string id = AnyJob();
          Say("cancel " + id);
          w_.Ask((n + 1) % 3, "POST", "/api/jobs/" + id + "/abort");
          w_.Run(Draw(20, 300) * kMilli);
          for (size_t node = 0; node < 3; ++node) w_.Ask(node, "GET", "/api/jobs/" + id);
        }
        late_writes_ = 0;
        w_.state_down = true;
        during("gap: state down", Draw(20, 50) * kSecond, [this] {
          w_.state_down = false;
          w_.state.Refresh(w_.now);
        });
        break;
      }
      default: {
        const int kind = Draw(0, 4);
        for (int i = Draw(1, 4); i > 0 && m != nullptr; --i, m = Machine()) {
          bool FakeWorker::*what[] = {&FakeWorker::hung, &FakeWorker::silent,
                                      &FakeWorker::unhearing, &FakeWorker::mute};
          static constexpr const char* kNames[] = {"hangs", "is cut off", "is deaf", "is mute"};
          if (kind == 4) {
            for (int copies = 0; copies < 4; ++copies) {
              w_.ReportLater(m, Node(), Draw(100, 20000) * kMilli);
            }
            Say("copies of reports of " + m->name);
            continue;
          }
          m->*what[kind] = true;
          during(m->name + " " + kNames[kind], time / 2,
                 [m, field = what[kind]] { m->*field = false; });
        }
      }
    }
  }
  void Heal(bool all) {
    auto due = std::move(healing_);
    healing_.clear();
    for (auto& [when, end] : due) {
      if (all || when <= w_.now) {
        end();
      } else {
        healing_.push_back({when, std::move(end)});
      }
    }
  }

  // Troubles are over for long: all that was accepted is known, over or running.
  void Settle() {
    for (const auto& [id, known] : w_.jobs()) {
      if (known.accepted == 0) continue;
      const size_t node = Node();
      auto a = w_.AskUntil(node, "GET", "/api/jobs/" + id);
      EXPECT_EQ(a.status, 200) << id << " at " << node;
      const std::string status = a.body.value("status", "?");
      const bool service = known.spec.kind == JobKind::kService;
      if (status == "cancelled" || status == "done") {
        EXPECT_EQ(w_.OnMachines(id), 0) << id << " " << status;
      } else if (service) {
        EXPECT_EQ(w_.OnMachines(id), known.spec.tasks) << id << " " << status;
      } else {
        EXPECT_GT(w_.OnMachines(id), 0) << id << " waits: " << status;
      }
    }
  }

  std::mt19937 rng_;
  World w_;
  std::map<std::string, JobSpec> specs_;
  int submitted_ = 0;
  double late_writes_ = 0, late_commands_ = 0;
  std::set<size_t> frozen_;
  std::vector<std::pair<Micros, std::function<void()>>> healing_;
  std::vector<std::string> log_;
};

TEST(Meetings, AnyTroublesTogetherBreakNoRule) {
  unsigned first = 1, last = 20;
  if (const char* seeds = std::getenv("TROUTLINK_SEEDS")) {
    ASSERT_EQ(std::sscanf(seeds, "%u:%u", &first, &last), 2);
  }
  for (unsigned seed = first; seed <= last; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    Troubles t(seed);
    t.Play();
    EXPECT_KEPT(t.world());
    if (HasFailure()) FAIL() << t.told();
  }
}

}  // namespace
}  // namespace troutlink::test
