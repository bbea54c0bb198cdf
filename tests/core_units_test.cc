// Unit tests of src/core: tail sizing, order, placement, quota, budgets and records.
#include <gtest/gtest.h>

#include "core/agents/failure_tracker.h"
#include "core/io/starvation_guard.h"
#include "core/io/token_bucket.h"
#include "core/scheduler/hold_policy.h"
#include "core/scheduler/order.h"
#include "core/scheduler/placement.h"
#include "core/scheduler/quota.h"
#include "core/scheduler/tail.h"
#include "core/store/records.h"

namespace troutlink {
namespace {

TEST(Tail, ComputesCreditRemainingTimeAndCpus) {
  // 100 tasks of 1 CPU and an hour each: 10% of 100 CPU hours.
  EXPECT_DOUBLE_EQ(TailCredit(0.1, 100, 3600 * kSecond, 1000), 10.0);
  EXPECT_FALSE(TailReached(0.9, 89, 100));
  EXPECT_TRUE(TailReached(0.9, 90, 100));
  EXPECT_FALSE(TailReached(0.9, 100, 100));
  // 90% after 9 hours: at that rate one hour remains.
  EXPECT_NEAR(ToSeconds(TailRemaining(9 * (3600 * kSecond), 90, 100)), 3600, 0.01);
  // min(S/t_r, S): S/t_r = 10 and S = 10; with half an hour left S still caps.
  EXPECT_DOUBLE_EQ(TailCpus(10, 3600 * kSecond), 10);
  EXPECT_DOUBLE_EQ(TailCpus(10, 1800 * kSecond), 10);
  EXPECT_DOUBLE_EQ(TailCpus(10, 2 * (3600 * kSecond)), 5);
  EXPECT_DOUBLE_EQ(TailCpus(0, 3600 * kSecond), 0);
}

TEST(Tail, MachineCountIsRoundedUpAndCappedByTheCandidates) {
  EXPECT_EQ(TailMachineCount(0.13, 3, 8000, 16000), 1);  // rounded up to one machine
  EXPECT_EQ(TailMachineCount(100, 3, 8000, 16000), 2);   // no more than the tasks need
  EXPECT_EQ(TailMachineCount(20, 50, 8000, 16000), 2);   // no more than the credit allows
  EXPECT_EQ(TailMachineCount(10, 0, 8000, 16000), 0);
  EXPECT_EQ(TailMachineCount(0, 5, 8000, 16000), 0);
  EXPECT_EQ(TailMachineCount(10, 5, 32000, 16000), 0);  // a task would not fit
  EXPECT_TRUE(TailOverdue(21 * kSecond, 10 * kSecond, 2));
  EXPECT_FALSE(TailOverdue(19 * kSecond, 10 * kSecond, 2));
  EXPECT_FALSE(TailOverdue(19 * kSecond, 0, 2));
}

TEST(FailureTracker, DistinguishesUnhealthyMachinesFromFailingJobs) {
  FailureTracker machine(2, 3);
  machine.NoteFailure(1, "m", "a");
  EXPECT_FALSE(machine.Unhealthy("m"));
  machine.NoteFailure(2, "m", "b");
  EXPECT_TRUE(machine.Unhealthy("m"));
  FailureTracker job(2, 3);
  for (int i = 0; i < 6; ++i) job.NoteFailure(kSecond * i, "m" + std::to_string(i % 3), "a");
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(job.Unhealthy("m" + std::to_string(i)));
  EXPECT_GT(job.NextStart("a"), 5 * kSecond);
  EXPECT_EQ(job.NextStart("b"), 0);
  // Also after the job has finished.
  job.ForgetJob("a");
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(job.Unhealthy("m" + std::to_string(i)));
  // A job that succeeded elsewhere is evidence against the machine, even after it has finished.
  FailureTracker word(2, 3);
  for (int i = 0; i < 2; ++i) word.NoteFailure(kSecond, "m", "a");
  word.NoteStart("n", "a");
  word.NoteSuccess("n", "a");
  word.ForgetJob("a");
  EXPECT_TRUE(word.Unhealthy("m"));
  // A job tried on a single machine is no evidence until it was started elsewhere.
  FailureTracker alone(2, 3);
  for (int i = 0; i < 4; ++i) alone.NoteFailure(kSecond * i, "m", "a");
  EXPECT_FALSE(alone.Unhealthy("m"));
  alone.NoteStart("n", "a");
  EXPECT_TRUE(alone.Unhealthy("m"));
  alone.NoteFailure(5 * kSecond, "n", "a");
  EXPECT_FALSE(alone.Unhealthy("m"));
}

TEST(Order, DefersTheLargestJobsUntilTheOthersAreInTime) {
  const std::vector<Micros> soon = {10 * kSecond, 40 * kSecond}, later = {20 * kSecond};
  // 10 CPUs: 100 CPU seconds take 10 s.
  std::vector<OrderItem> items = {{&soon, 60, 0}, {&soon, 90, 0}, {&soon, 30, 0}, {&later, 100, 0}};
  DeferLargest(0, 10, 0, &items);
  EXPECT_EQ(items[0].limit_index, 0u);
  EXPECT_EQ(items[1].limit_index, 1u);  // 18 s of work in 10 s: the largest is deferred
  EXPECT_EQ(items[2].limit_index, 0u);
  EXPECT_EQ(items[3].limit_index, 0u);
  // With enough capacity nothing is deferred.
  for (OrderItem& i : items) i.limit_index = 0;
  DeferLargest(0, 30, 0, &items);
  for (const OrderItem& i : items) EXPECT_EQ(i.limit_index, 0u);
  // Earlier work counts, and nothing is deferred beyond its last limit.
  DeferLargest(0, 10, 1000, &items);
  for (const OrderItem& i : items) EXPECT_EQ(i.limit_index, i.latest_starts->size());
}

CandidateMachine Machine(const std::string& name, const std::string& zone, bool spot) {
  CandidateMachine m;
  m.name = name;
  m.type = "t";
  m.zone = zone;
  m.spot = spot;
  m.usable = true;
  m.size = m.free = {16000, 0, 64000};
  return m;
}

JobSpec Spec(int tasks) {
  JobSpec s;
  s.id = "job-1";
  s.tasks = tasks;
  s.task_resources = {8000, 0, 1000};
  s.image = "i";
  s.image_gb = 2;
  return s;
}

TEST(Placement, RespectsMachineTypesZonesAndSpread) {
  JobSpec s = Spec(5);
  JobSpread spread;
  EXPECT_FALSE(Allowed(s, spread, Machine("a", "z1", true)));
  s.spread = true;
  spread.by_zone["z1"] = 3;  // half of five, rounded up
  EXPECT_FALSE(Allowed(s, spread, Machine("a", "z1", false)));
  EXPECT_TRUE(Allowed(s, spread, Machine("a", "z2", false)));
  s.spread = false;
  s.one_zone = true;
  EXPECT_FALSE(Allowed(s, spread, Machine("a", "z2", false)));
  s.one_zone = false;
  s.zone = "z2";
  EXPECT_FALSE(Allowed(s, spread, Machine("a", "z1", false)));
  s.types = {"other"};
  EXPECT_FALSE(Allowed(s, spread, Machine("a", "z2", false)));
}

TEST(Placement, PrefersACachedImageAndLeavesHeadroom) {
  JobSpec s = Spec(1);
  JobSpread spread;
  std::vector<CandidateMachine> machines = {Machine("a", "z1", false), Machine("b", "z1", false)};
  const std::map<std::string, Micros> cached = {{"i", 1}};
  machines[1].cached = &cached;
  PlacementRequest r;
  r.spec = &s;
  r.spread = &spread;
  auto choose = [&] {
    return ChooseMachine(r, machines, CandidateIndex({"i"}, &machines)).machine;
  };
  EXPECT_EQ(choose(), 1);
  r.steady_headroom = 30000;
  // Tasks without checkpoints may borrow the headroom; others may not.
  EXPECT_EQ(choose(), 1);
  s.checkpoint = 20 * kSecond;
  EXPECT_EQ(choose(), -1);
  s.kind = JobKind::kService;
  EXPECT_EQ(choose(), 1);
  machines[0].usable = machines[1].usable = false;
  EXPECT_EQ(choose(), -1);
}

// Guards against a job that waits without anybody being able to tell why.
TEST(Placement, TellsWhatKeepsATaskOffTheMachines) {
  JobSpec s = Spec(1);
  s.checkpoint = 20 * kSecond;
  const JobSpread spread;
  std::vector<CandidateMachine> machines = {Machine("a", "z1", false)};
  PlacementRequest r;
  r.spec = &s;
  r.spread = &spread;
  auto reason = [&] { return ChooseMachine(r, machines, CandidateIndex({}, &machines)).reason; };
  r.steady_headroom = machines[0].free.cpus;
  EXPECT_EQ(reason(), WaitReason::kServiceHeadroom);
  r.steady_headroom = 0;
  r.zone_headroom = machines[0].free.cpus;
  EXPECT_EQ(reason(), WaitReason::kZoneHeadroom);
  r.zone_headroom = 0;
  machines[0].tail_job = "another";
  EXPECT_EQ(reason(), WaitReason::kTailMachine);
  machines[0].tail_job.clear();
  machines[0].min_priority = Priority::kProduction;
  EXPECT_EQ(reason(), WaitReason::kProductionPreemption);
  machines[0].min_priority = Priority::kLow;
  machines[0].chunk_closed = true;
  EXPECT_EQ(reason(), WaitReason::kClosedChunk);
  machines[0].chunk_closed = false;
  machines[0].usable = false;
  machines[0].reserved = true;
  EXPECT_EQ(reason(), WaitReason::kReservedMachine);
  machines[0].reserved = false;
  EXPECT_EQ(reason(), WaitReason::kNoRoom);
  // Of several machines, the reason on the one that comes closest to a start.
  machines.push_back(Machine("b", "z1", false));
  r.steady_headroom = machines[1].free.cpus;
  EXPECT_EQ(reason(), WaitReason::kServiceHeadroom);
}

// Guards against holds without a bound, and bounds that leave no time for the start itself.
TEST(HoldPolicy, EveryHoldEndsWithTimeToSpare) {
  constexpr Micros kSpare = 40 * kSecond;  // for a cycle, its commit, an image fetch and the start
  for (const WaitReason hold :
       {WaitReason::kServiceQuota, WaitReason::kOtherShard, WaitReason::kShardHeadroom,
        WaitReason::kPreemption, WaitReason::kTailMachine, WaitReason::kReservedMachine,
        WaitReason::kZoneHeadroom, WaitReason::kImageHeadroom, WaitReason::kServiceHeadroom}) {
    EXPECT_TRUE(MayHold(hold, 10 * kSecond)) << NameOf(hold);
    EXPECT_FALSE(MayHold(hold, kMaxWaitBesideRoom - kSpare)) << NameOf(hold);
  }
  EXPECT_TRUE(MayHold(WaitReason::kNoRoom, 1000 * kSecond));
  EXPECT_TRUE(MayHold(WaitReason::kTeamQuota, 1000 * kSecond));
}

// Guards against jobs in a queue that take a reserved machine at its first moment.
TEST(HoldPolicy, AHoldThatJustBeganBindsJobsThatHaveWaited) {
  EXPECT_TRUE(MayHold(WaitReason::kReservedMachine, {500 * kSecond, kSecond}));
  EXPECT_TRUE(MayHold(WaitReason::kReservedMachine, {kSecond, 500 * kSecond}));
  EXPECT_FALSE(MayHold(WaitReason::kReservedMachine, {kMaxHold, kMaxHold}));
}

// Guards against low-priority work that waits for ever beside room freed for other arrays, and
// against its taking room that is being freed for production work.
TEST(HoldPolicy, RoomFreedForArraysIsHeldForABoundedTime) {
  JobSpec s = Spec(1);
  const JobSpread spread;
  std::vector<CandidateMachine> machines = {Machine("a", "z1", false)};
  PlacementRequest r;
  r.spec = &s;
  r.spread = &spread;
  auto choose = [&] { return ChooseMachine(r, machines, CandidateIndex({}, &machines)).machine; };
  machines[0].min_priority = Priority::kHigh;
  EXPECT_EQ(choose(), -1);
  // Not at once, or low-priority work that waits would refill the room before a task fits.
  r.waited = kMaxHold;
  EXPECT_EQ(choose(), -1);
  machines[0].held = kMaxHold;
  EXPECT_EQ(choose(), 0);
  machines[0].min_priority = Priority::kProduction;
  EXPECT_EQ(choose(), -1);
}

TEST(Quota, SharesAddUpToTheLimit) {
  Team t;
  t.name = "x";
  t.cpus_max = 100001;
  int64_t sum = 0;
  for (int p = 0; p < 3; ++p) sum += EqualQuotaShare(t, p, 3).cpus;
  EXPECT_EQ(sum, t.cpus_max);
  EXPECT_TRUE(FitsQuotaShare(t, {10, 0}, {6, 0}, {4, 0, 0}));
  EXPECT_FALSE(FitsQuotaShare(t, {10, 0}, {6, 0}, {5, 0, 0}));
  t.cpus_max = 0;  // no limit
  EXPECT_TRUE(FitsQuotaShare(t, {0, 0}, {6, 0}, {5, 0, 0}));
  EXPECT_EQ(TransferableQuota({10, 0}, {7, 0}, {9, 0}).cpus, 3);
  EXPECT_EQ(TransferableQuota({10, 0}, {12, 0}, {9, 0}).cpus, 0);
}

TEST(TokenBucket, GrantsRequestsAboveTheBurstAndPaysThemOff) {
  // A request above the capacity must not wait forever.
  TokenBucket b(10, 15);
  EXPECT_TRUE(b.Take(kSecond, 20, 4));
  EXPECT_FALSE(b.Take(kSecond + 500 * kMillisecond, 1));
  EXPECT_TRUE(b.Take(3 * kSecond, 1));
}

TEST(TokenBucket, HasLeavesTokensToOtherClients) {
  TokenBucket b(10, 5);
  EXPECT_TRUE(b.Has(kSecond, 5));
  b.Force(kSecond, 4);
  EXPECT_FALSE(b.Has(kSecond, 2));
  EXPECT_TRUE(b.Has(kSecond, 1));
  // An earlier time changes nothing.
  b.Force(kSecond / 2, 1);
  EXPECT_FALSE(b.Has(kSecond, 1));
  EXPECT_TRUE(b.Has(kSecond + 100 * kMillisecond, 1));
  // A request above the capacity waits for a full bucket only.
  EXPECT_TRUE(b.Has(2 * kSecond, 50));
}

TEST(TokenBucket, LargeRequestsAreNotStarvedBySmallOnes) {
  // Two clients, one taking 2 tokens at a time, the other 4.
  TokenBucket budget(15, 25);
  StarvationGuard guard;
  int taken[2] = {0, 0};
  auto ask = [&](Micros now, int who, double n) {
    bool got = guard.MayTry(now, who);
    if (got) {
      got = budget.Take(now, n, 4);
      guard.RecordAttempt(now, who, got);
    }
    taken[who] += got ? 1 : 0;
  };
  for (Micros now = kSecond; now < 61 * kSecond; now += 50 * kMillisecond) {
    ask(now, 0, 2);
    ask(now, 1, 4);
  }
  EXPECT_GT(taken[1], 100);
  EXPECT_GT(taken[0], 100);
  // A client that gave up does not block the others.
  guard.RecordAttempt(61 * kSecond, 1, false);
  EXPECT_FALSE(guard.MayTry(61 * kSecond, 0));
  EXPECT_TRUE(guard.MayTry(63 * kSecond, 0));
}

TEST(Records, AddingAChunkSplitsOneAndLeavesTheOthers) {
  for (int chunks = 1; chunks < 20; ++chunks) {
    for (int i = 0; i < 500; ++i) {
      std::string name = "n-" + std::to_string(i);
      int before = ChunkOf(name, chunks), after = ChunkOf(name, chunks + 1);
      ASSERT_LT(after, chunks + 1);
      if (before != after) {
        EXPECT_EQ(before, SplitChunk(chunks));
        EXPECT_EQ(after, chunks);
      }
    }
  }
}

TEST(Records, ALargeAssignmentTableFitsFewValues) {
  AssignmentTable r;
  for (int i = 0; i < 150; ++i) {
    AssignedMachine m;
    m.name = "n-000" + std::to_string(100 + i);
    m.addr = "10.1.0." + std::to_string(i) + ":9000";
    m.type = "large-type";
    m.zone = "zone-name";
    for (int k = 0; k < 5; ++k) {
      m.attempts.push_back(
          {"job-000" + std::to_string(400 + k), i, 90000u + static_cast<uint64_t>(i)});
    }
    r.machines[m.name] = m;
  }
  EXPECT_LT(StoredSize(EncodeChunk(r, 0)), 16 * 1024);
  // Malformed records are refused.
  std::string bad = EncodeChunk(r, 0);
  AssignmentTable back;
  EXPECT_FALSE(DecodeChunk(bad.substr(0, bad.size() / 2), 0, &back));
}

TEST(Records, RoundTrip) {
  for (TableForm form : {TableForm::kOriginal, TableForm::kCompact}) {
    AssignmentTable r;
    r.form = form;
    r.chunks = 3;
    r.next_number = 77;
    for (int i = 0; i < 20; ++i) {
      AssignedMachine m;
      m.name = "n-" + std::to_string(i);
      m.addr = "10.1.0.1:9000";
      m.type = "t";
      m.zone = "z";
      m.spot = i % 2 == 0;
      m.draining = i % 3 == 0;
      m.attempts = {{"job-1", i, 5}, {"job-2", 1, 6}};
      r.machines[m.name] = m;
    }
    r.rentals["h"] = {{"h", "t", "z", true, 4}, "job-1"};
    r.shares["team"] = {5, 6};
    r.tail_grants["job-1"] = {0.25};
    AssignmentTable back;
    back.form = form;
    for (int i = 0; i < 3; ++i) ASSERT_TRUE(DecodeChunk(EncodeChunk(r, i), i, &back));
    EXPECT_EQ(back, r);
    const std::string bad = EncodeChunk(r, 1);
    AssignmentTable damaged;
    damaged.form = form;
    EXPECT_FALSE(DecodeChunk(bad.substr(0, bad.size() / 2), 1, &damaged));
  }
  Progress p = {{"job-1", {0, 1, 2, 7, 9}}, {"job-2", {4}}};
  EXPECT_EQ(DecodeProgress(EncodeProgress(p)), p);
}

}  // namespace
}  // namespace troutlink
