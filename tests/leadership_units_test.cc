// Unit tests of src/core/leadership.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/leadership/heartbeat_exchange.h"
#include "core/leadership/leader_election.h"
#include "core/leadership/peer_table.h"
#include "core/leadership/readiness.h"
#include "core/leadership/session_lease_keeper.h"
#include "core/store/commit_answer.h"
#include "core/store/node_health.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using ::testing::IsNull;
using ::testing::NotNull;
using ::testing::SizeIs;

std::string CommitBody(uint64_t revision) { return wire::Pack({{"ledger", revision}}); }
std::string GrantBody(uint64_t lease) { return wire::Pack({{"permit", lease}}); }

TEST(NodeHealth, StateIsFreshForAWhileAfterAnAnswer) {
  NodeHealth health(0);
  health.NoteStateAnswer(10 * kSecond);
  EXPECT_TRUE(health.StateFresh(11 * kSecond));
  EXPECT_EQ(health.StateAge(11 * kSecond), kSecond);
  EXPECT_TRUE(health.StateFresh(10 * kSecond + 1500 * kMillisecond - 1));
  EXPECT_FALSE(health.StateFresh(10 * kSecond + 1500 * kMillisecond));
}

TEST(NodeHealth, WithoutAnswersTheStateAgeExceedsThatOfAllPeers) {
  const NodeHealth health(10 * kSecond);
  EXPECT_EQ(health.StateAge(12 * kSecond), 3602 * kSecond);
}

TEST(NodeHealth, PauseEndsWithTheNextTick) {
  NodeHealth health(0);
  EXPECT_FALSE(health.ProcessPaused(60 * kSecond));  // no tick yet
  health.EndTick(60 * kSecond);
  EXPECT_FALSE(health.ProcessPaused(63 * kSecond));
  EXPECT_TRUE(health.ProcessPaused(63 * kSecond + 1));
  health.BeginTick(64 * kSecond);
  EXPECT_TRUE(health.ProcessPaused(64 * kSecond));
  health.EndTick(64 * kSecond);
  EXPECT_FALSE(health.ProcessPaused(64 * kSecond));
  EXPECT_EQ(health.last_tick(), 64 * kSecond);
}

TEST(NodeHealth, IsHealthyOnlySomeTimeAfterAPause) {
  NodeHealth health(0);
  auto tick = [&health](Micros now) {
    health.NoteStateAnswer(now);
    health.BeginTick(now);
    health.EndTick(now);
  };
  tick(10 * kSecond);
  EXPECT_TRUE(health.HealthyFor(10 * kSecond, 5 * kSecond));
  tick(20 * kSecond);  // after a pause of 10 s
  EXPECT_FALSE(health.HealthyFor(20 * kSecond, 5 * kSecond));
  for (int second = 21; second <= 26; ++second) tick(second * kSecond);
  EXPECT_TRUE(health.HealthyFor(26 * kSecond, 5 * kSecond));
  EXPECT_FALSE(health.HealthyFor(26 * kSecond, 6 * kSecond));
}

TEST(PeerTable, KeepsTheLastHeartbeatOfEachPeer) {
  PeerTable peers;
  peers.Add("b");
  EXPECT_THAT(peers.Find("x"), IsNull());
  ASSERT_THAT(peers.Find("b"), NotNull());
  EXPECT_EQ(peers.At("b").last_heard, 0);
  mesh::Heartbeat heartbeat;
  heartbeat.replica_revision = 7;
  heartbeat.state_age_us = 300;
  heartbeat.epochs = {{0, 5, "b"}, {1, 6, "c"}, {2, 4, "b"}};
  peers.NoteHeartbeat(kSecond, "b", heartbeat);
  EXPECT_EQ(peers.At("b").last_heard, kSecond);
  EXPECT_EQ(peers.At("b").replica_revision, 7u);
  EXPECT_EQ(peers.At("b").state_age, 300);
  EXPECT_THAT(peers.At("b").led_shards, ElementsAre(0, 2));
  peers.NoteHeartbeat(2 * kSecond, "b", {});
  EXPECT_THAT(peers.At("b").led_shards, IsEmpty());
}

TEST(PeerTable, BoundsTheStateAgeReportedByAPeer) {
  PeerTable peers;
  peers.Add("b");
  mesh::Heartbeat heartbeat;
  heartbeat.state_age_us = ~uint64_t{0};
  peers.NoteHeartbeat(kSecond, "b", heartbeat);
  EXPECT_EQ(peers.At("b").state_age, Micros{1} << 60);
}

TEST(PeerTable, ReturnsThePreviouslySilentMachines) {
  PeerTable peers;
  peers.Add("b");
  EXPECT_THAT(peers.ExchangeSilentMachines("b", {"m1", "m2"}), IsEmpty());
  EXPECT_THAT(peers.ExchangeSilentMachines("b", {"m2"}), ElementsAre("m1", "m2"));
  EXPECT_THAT(peers.At("b").silent_machines, ElementsAre("m2"));
}

TEST(Readiness, RequiresTheReplicaAndEitherTheStoreOrAPeer) {
  NodeHealth health(0);
  PeerTable peers;
  peers.Add("b");
  const Micros now = 100 * kSecond;
  EXPECT_FALSE(IsReady(now, true, health, peers));  // partitioned from its peers
  peers.NoteHeartbeat(now - 1500 * kMillisecond, "b", {});
  EXPECT_FALSE(IsReady(now, true, health, peers));
  peers.NoteHeartbeat(now - 1500 * kMillisecond + 1, "b", {});
  EXPECT_TRUE(IsReady(now, true, health, peers));
  EXPECT_FALSE(IsReady(now, false, health, peers));
  EXPECT_TRUE(IsReady(now, true, health, PeerTable()));  // single-node cluster
  health.NoteStateAnswer(now);
  EXPECT_FALSE(IsReady(now, false, health, peers));
  EXPECT_TRUE(IsReady(now + kSecond, true, health, peers));
}

TEST(CommitAnswer, DecodesEachOutcome) {
  const CommitAnswer committed = DecodeCommitAnswer(200, CommitBody(5));
  EXPECT_EQ(committed.outcome, TransactionOutcome::kCommitted);
  EXPECT_EQ(committed.revision, 5u);
  const CommitAnswer conflict = DecodeCommitAnswer(409, CommitBody(6));
  EXPECT_EQ(conflict.outcome, TransactionOutcome::kConflict);
  EXPECT_EQ(conflict.revision, 6u);
  EXPECT_EQ(DecodeCommitAnswer(400, "").outcome, TransactionOutcome::kRefused);
  for (const int status : {kNoAnswer, kNotSent, 429, 500, 503}) {
    EXPECT_EQ(DecodeCommitAnswer(status, CommitBody(5)).outcome, TransactionOutcome::kUnknown);
    EXPECT_EQ(DecodeCommitAnswer(status, CommitBody(5)).revision, std::nullopt);
  }
  EXPECT_EQ(DecodeCommitAnswer(200, "\xc1").outcome, TransactionOutcome::kCommitted);
  EXPECT_EQ(DecodeCommitAnswer(200, "\xc1").revision, std::nullopt);
}

// Stored state of three shards, and the effects of elections.
struct FakeShards : LeadershipStore, LeadershipObserver {
  struct Record {
    uint64_t version = 0;
    Leadership leadership;
  };
  bool Synced() const override { return true; }
  uint64_t LeadershipVersion(int shard_id) const override { return records.at(shard_id).version; }
  const Leadership& LeadershipRecord(int shard_id) const override {
    return records.at(shard_id).leadership;
  }
  bool NeedsTableMigration(int /*shard_id*/) const override { return migrate; }
  void AddElectionRequirements(int /*shard_id*/, StateTxn* /*txn*/) const override {}
  bool CommitInFlight(int /*shard_id*/) const override { return commit_in_flight; }
  bool ManyMachinesSilent(int /*shard_id*/) const override { return many_silent; }
  void ApplyCommitted(Micros /*now*/, const std::vector<StateWrite>& writes,
                      uint64_t revision) override {
    for (const StateWrite& write : writes) {
      const Key key = ParseKey(write.key);
      records[key.shard_id] = {revision, *DecodeLeadership(write.value)};
    }
  }
  void RequestList() override { ++lists; }
  void OnElected(Micros /*now*/, int shard_id) override { elected.push_back(shard_id); }
  void OnEpochRegressed(int /*shard_id*/, uint64_t /*epoch*/, uint64_t revision) override {
    fell.push_back(revision);
  }
  void OnLeadershipLost(Micros /*now*/, int /*shard_id*/, LossReason reason) override {
    losses.push_back(reason);
  }
  void OnWritesSent(size_t count) override { writes += count; }

  std::map<int, Record> records = {{0, {}}, {1, {}}, {2, {}}};
  bool migrate = false, commit_in_flight = false, many_silent = false;
  int lists = 0;
  std::vector<int> elected;
  std::vector<uint64_t> fell;
  std::vector<LossReason> losses;
  size_t writes = 0;
};

constexpr uint64_t kBoot = 9;

// The leadership module of node "a" of "a", "b" and "c", whose home shard is 0.
class LeadershipTest : public ::testing::Test {
 protected:
  // Calls sent since the last call, in order.
  std::vector<Call> Calls() { return effects_.TakeOutbox().calls; }
  // The only call sent.
  Call OnlyCall() {
    std::vector<Call> calls = Calls();
    EXPECT_THAT(calls, SizeIs(1));
    return calls.empty() ? Call() : calls[0];
  }
  void HoldLease() {
    lease_.Tick(now_);
    effects_.HandleAnswer(now_, OnlyCall().id, 200, GrantBody(77));
    ASSERT_TRUE(lease_.held());
  }
  // The other shards have leaders.
  void OthersLead() {
    for (const int shard_id : {1, 2}) shards_.records[shard_id] = {3, {"b", 1}};
  }
  // Elects this node for its home shard only, at that revision.
  void LeadOwnShard(uint64_t revision) {
    HoldLease();
    OthersLead();
    election_.Tick(now_);
    effects_.HandleAnswer(now_, OnlyCall().id, 200, CommitBody(revision));
    ASSERT_TRUE(election_.IsLeader(0));
  }
  void Erase(int shard_id, uint64_t revision) {
    shards_.records[shard_id].version = 0;
    election_.OnRecordErased(now_, shard_id, revision);
  }

  Micros now_ = 100 * kSecond;
  TokenBucket state_requests_{1000, 1000};
  TokenBucket write_budget_{1000, 1000};
  Effects effects_{&state_requests_};
  NodeHealth health_{0};
  FakeShards shards_;
  LeaderElection election_{{"a", {"a", "b", "c"}, 0, kBoot, 0, 30 * kSecond, 5 * kSecond},
                           {&effects_, &write_budget_, &lease_, &health_, &shards_, &shards_}};
  SessionLeaseKeeper lease_{4 * kSecond, &effects_, &health_, &election_};
};

TEST_F(LeadershipTest, RequestsAndRenewsTheSessionLease) {
  lease_.Tick(now_);
  const Call grant = OnlyCall();
  EXPECT_EQ(grant.target, wire::GrantTarget());
  lease_.Tick(now_);
  EXPECT_THAT(Calls(), IsEmpty());  // one call at a time
  effects_.HandleAnswer(now_, grant.id, 200, GrantBody(77));
  EXPECT_EQ(lease_.id(), 77u);
  EXPECT_TRUE(health_.StateFresh(now_));
  lease_.Tick(now_ + kSecond);
  const Call renewal = OnlyCall();
  EXPECT_EQ(renewal.target, wire::RenewTarget(77));
  effects_.HandleAnswer(now_ + 2 * kSecond, renewal.id, 200, "");
  EXPECT_TRUE(lease_.held());
  EXPECT_TRUE(health_.StateFresh(now_ + 2 * kSecond));
}

TEST_F(LeadershipTest, FailedRenewalIsRetriedWithoutLosingLeadership) {
  HoldLease();
  now_ += kSecond;
  for (const int status : {kNoAnswer, kNotSent, 429, 500, 503}) {
    now_ += kSecond;
    lease_.Tick(now_);
    effects_.HandleAnswer(now_, OnlyCall().id, status, "");
    EXPECT_TRUE(lease_.held());  // no answer is no expiry
    EXPECT_FALSE(health_.StateFresh(now_));
    lease_.Tick(now_ + 250 * kMillisecond - 1);
    EXPECT_THAT(Calls(), IsEmpty());
  }
}

TEST_F(LeadershipTest, UnreadableGrantIsNotALease) {
  lease_.Tick(now_);
  effects_.HandleAnswer(now_, OnlyCall().id, 200, "\xc1");
  EXPECT_FALSE(lease_.held());
  EXPECT_FALSE(health_.StateFresh(now_));
}

TEST_F(LeadershipTest, LossOfTheSessionLeaseEndsEveryLeadership) {
  LeadOwnShard(5);
  lease_.Tick(now_ + kSecond);
  effects_.HandleAnswer(now_ + kSecond, OnlyCall().id, 404, "");
  EXPECT_FALSE(lease_.held());
  EXPECT_FALSE(election_.IsLeader(0));
  EXPECT_THAT(shards_.losses, ElementsAre(LossReason::kLeaseEnded));
  EXPECT_EQ(election_.Of(0).epoch, 5u);  // kept, to continue answering heartbeats
}

TEST_F(LeadershipTest, NoElectionWithoutASessionLease) {
  election_.Tick(now_);
  EXPECT_THAT(Calls(), IsEmpty());
}

TEST_F(LeadershipTest, ElectsItselfForItsHomeShardAtOnceAndForOthersByRingOrder) {
  HoldLease();
  election_.Tick(now_);
  // Shard 2 is the home shard of the previous node in the ring, so this node is next; for shard 1
  // node c comes first.
  const std::vector<Call> calls = Calls();
  ASSERT_THAT(calls, SizeIs(2));
  EXPECT_TRUE(election_.Of(0).election_in_flight);
  EXPECT_TRUE(election_.Of(2).election_in_flight);
  election_.Tick(now_ + 600 * kMillisecond - 1);
  EXPECT_THAT(Calls(), IsEmpty());
  election_.Tick(now_ + 600 * kMillisecond);
  EXPECT_THAT(Calls(), SizeIs(1));
  EXPECT_TRUE(election_.Of(1).election_in_flight);
  effects_.HandleAnswer(now_, calls[0].id, 200, CommitBody(5));
  EXPECT_THAT(shards_.elected, ElementsAre(0));
  EXPECT_EQ(shards_.records[0].leadership.boot, kBoot);
  EXPECT_EQ(election_.LedShards(), 1);
  EXPECT_EQ(election_.LeaderOf(0), "a");
}

TEST_F(LeadershipTest, ElectionWaitsForTheWriteBudget) {
  HoldLease();
  write_budget_.Drain(now_);
  write_budget_.Force(now_, 1000);
  election_.Tick(now_);
  EXPECT_THAT(Calls(), IsEmpty());
  EXPECT_FALSE(election_.Of(0).election_in_flight);
}

TEST_F(LeadershipTest, RepeatedConflictsBackOffAndRelistTheReplica) {
  HoldLease();
  OthersLead();
  const std::vector<Micros> pauses = {100 * kMillisecond, 200 * kMillisecond,  400 * kMillisecond,
                                      800 * kMillisecond, 1600 * kMillisecond, 1600 * kMillisecond};
  for (const Micros pause : pauses) {
    election_.Tick(now_);
    effects_.HandleAnswer(now_, OnlyCall().id, 409, CommitBody(4));
    election_.Tick(now_ + pause - 1);
    EXPECT_THAT(Calls(), IsEmpty());
    now_ += pause;
  }
  EXPECT_EQ(shards_.lists, 1);  // after the fourth conflict
  EXPECT_FALSE(election_.IsLeader(0));
}

TEST_F(LeadershipTest, RefusedElectionDropsTheSessionLease) {
  HoldLease();
  OthersLead();
  election_.Tick(now_);
  effects_.HandleAnswer(now_, OnlyCall().id, 400, "");
  EXPECT_FALSE(lease_.held());
  EXPECT_EQ(election_.Of(0).no_election_before, now_ + 100 * kMillisecond);
}

TEST_F(LeadershipTest, ElectionWithALostAnswerTakesEffect) {
  HoldLease();
  OthersLead();
  election_.Tick(now_);
  const Call call = OnlyCall();
  shards_.records[0] = {6, {"a", kBoot}};
  election_.OnRecordPut(now_, 0, {"a", kBoot}, 6);
  effects_.HandleAnswer(now_, call.id, kNoAnswer, "");
  EXPECT_FALSE(election_.IsLeader(0));
  election_.Tick(now_);
  EXPECT_TRUE(election_.IsLeader(0));
  EXPECT_EQ(election_.Of(0).epoch, 6u);
}

TEST_F(LeadershipTest, RecordOfAnEarlierIncarnationIsReplaced) {
  HoldLease();
  OthersLead();
  shards_.records[0] = {4, {"a", kBoot - 1}};
  election_.Tick(now_);
  EXPECT_THAT(Calls(), SizeIs(1));
  EXPECT_TRUE(election_.Of(0).election_in_flight);
}

TEST_F(LeadershipTest, EpochNeverDecreases) {
  LeadOwnShard(9);
  Erase(0, 10);
  now_ += kSecond;
  election_.Tick(now_);
  effects_.HandleAnswer(now_, OnlyCall().id, 200, CommitBody(8));
  EXPECT_THAT(shards_.fell, ElementsAre(8));
  EXPECT_FALSE(election_.IsLeader(0));
  EXPECT_EQ(election_.Of(0).epoch, 9u);
}

TEST_F(LeadershipTest, NewerRecordOfAnotherNodeEndsTheLeadership) {
  LeadOwnShard(5);
  election_.OnRecordPut(now_, 0, {"b", 1}, 6);
  EXPECT_THAT(shards_.losses, ElementsAre(LossReason::kRivalElected));
  EXPECT_TRUE(election_.Of(0).Superseded());
  EXPECT_EQ(election_.PreviousLeaderOf(0), "b");
}

TEST_F(LeadershipTest, OnlyANewerEpochReportedByAPeerEndsTheLeadership) {
  LeadOwnShard(5);
  election_.OnEpochsReported(now_, {{0, 4, "b"}, {0, 9, "a"}, {7, 9, "b"}});
  EXPECT_TRUE(election_.IsLeader(0));
  election_.OnEpochsReported(now_, {{0, 6, "c"}});
  EXPECT_THAT(shards_.losses, ElementsAre(LossReason::kRivalReported));
  shards_.records[0] = {5, {"a", kBoot}};
  EXPECT_EQ(election_.LeaderOf(0), "c");  // the replica lags
  shards_.records[0] = {7, {"b", 1}};
  EXPECT_EQ(election_.LeaderOf(0), "b");
}

TEST_F(LeadershipTest, ErasedRecordNamesNoLeader) {
  shards_.records[1] = {5, {"b", 1}};
  election_.OnRecordPut(now_, 1, {"b", 1}, 5);
  EXPECT_EQ(election_.LeaderOf(1), "b");
  Erase(1, 6);
  EXPECT_EQ(election_.LeaderOf(1), "");
}

TEST_F(LeadershipTest, DeletionOfItsRecordEndsTheLeadership) {
  LeadOwnShard(5);
  Erase(0, 6);
  EXPECT_THAT(shards_.losses, ElementsAre(LossReason::kRecordExpired));
}

TEST_F(LeadershipTest, TableMigrationRequiresAnElection) {
  LeadOwnShard(5);
  shards_.migrate = shards_.commit_in_flight = true;
  election_.Tick(now_);
  EXPECT_THAT(Calls(), IsEmpty());
  shards_.commit_in_flight = false;
  election_.Tick(now_);
  EXPECT_THAT(Calls(), SizeIs(1));
}

// Node a also leads shard 1, the home shard of b.
class FailbackTest : public LeadershipTest {
 protected:
  void SetUp() override {
    HoldLease();
    shards_.records[0] = shards_.records[2] = {3, {"c", 1}};
    election_.Tick(now_);
    now_ += 600 * kMillisecond;
    election_.Tick(now_);
    effects_.HandleAnswer(now_, OnlyCall().id, 200, CommitBody(5));
    ASSERT_TRUE(election_.IsLeader(1));
  }
  void SendRequest(const std::string& from) {
    health_.NoteStateAnswer(now_);
    election_.OnShardsWanted(now_, from, {1, 99});
  }
};

TEST_F(FailbackTest, ShardFailsBackToItsHomeNodeOnRequest) {
  now_ += 5 * kSecond;
  SendRequest("c");
  EXPECT_THAT(Calls(), IsEmpty());  // not c's home shard
  SendRequest("b");
  const Call call = OnlyCall();
  SendRequest("b");
  EXPECT_THAT(Calls(), IsEmpty());  // the failback is in flight
  effects_.HandleAnswer(now_, call.id, 200, CommitBody(6));
  EXPECT_THAT(shards_.losses, ElementsAre(LossReason::kFailback));
  EXPECT_EQ(election_.Of(1).no_election_before, now_ + 3 * kSecond);
}

TEST_F(FailbackTest, LeadershipIsKeptIfTheFailbackFails) {
  now_ += 5 * kSecond;
  SendRequest("b");
  effects_.HandleAnswer(now_, OnlyCall().id, 409, CommitBody(6));
  EXPECT_TRUE(election_.IsLeader(1));
  EXPECT_FALSE(election_.Of(1).failback_in_flight);
}

TEST_F(FailbackTest, NoFailbackWhileTheLeaderIsNewOrCommitting) {
  now_ += 5 * kSecond - 1;
  SendRequest("b");
  EXPECT_THAT(Calls(), IsEmpty());
  now_ += 1;
  shards_.commit_in_flight = true;
  SendRequest("b");
  EXPECT_THAT(Calls(), IsEmpty());
}

TEST_F(FailbackTest, SilentMachinesDelayTheFailbackForABoundedTime) {
  shards_.many_silent = true;
  now_ += 60 * kSecond - 1;
  SendRequest("b");
  EXPECT_THAT(Calls(), IsEmpty());
  now_ += 1;
  SendRequest("b");
  EXPECT_THAT(Calls(), SizeIs(1));
}

TEST_F(FailbackTest, FailbackIsRequestedOnlyAfterAHealthyPeriod) {
  auto wanted = [this] {
    mesh::Heartbeat heartbeat;
    election_.FillWantedShards(now_, &heartbeat);
    return heartbeat.wanted_shards;
  };
  health_.NoteStateAnswer(now_);
  EXPECT_THAT(wanted(), ElementsAre(0));
  health_.BeginTick(now_ + 2 * kSecond);  // without the store
  health_.NoteStateAnswer(now_ + 2 * kSecond);
  now_ += 3 * kSecond;
  EXPECT_THAT(wanted(), IsEmpty());
  shards_.records[0].version = 0;  // no leader to request it from
  health_.NoteStateAnswer(now_ + 60 * kSecond);
  now_ += 60 * kSecond;
  EXPECT_THAT(wanted(), IsEmpty());
}

// Machines m0 to m2 belong to this node, others to peers.
struct FakeMachines : MachineStatusSource, PeerReportListener {
  uint64_t ReplicaRevision() const override { return 12; }
  std::vector<mesh::SilentMachine> SilentMachines(Micros /*now*/, size_t /*limit*/) const override {
    return {{"m0", 20}};
  }
  CachedImagesPage CachedImagesFrom(const MachineCursor& from, size_t /*limit*/) const override {
    if (from.machine.empty()) return {{{"m0", {"web"}}}, {0, "m1"}};
    return {{{from.machine, {"db"}}}, {}};
  }
  void OnCancellationReported(Micros /*now*/, const std::string& job) override {
    cancelled.push_back(job);
  }
  void OnCachedImagesReported(Micros /*now*/, const mesh::CachedImages& cached) override {
    cached_images.push_back(cached.machine);
  }
  bool OnMachineSilent(Micros /*now*/, const std::string& machine, Micros silent) override {
    if (machine[0] == 'm') return false;
    silences.push_back(silent);
    return true;
  }
  void OnMachineHeardAgain(const std::string& machine) override { back.push_back(machine); }

  std::vector<std::string> cancelled, cached_images, back;
  std::vector<Micros> silences;
};

class HeartbeatTest : public LeadershipTest {
 protected:
  HeartbeatTest() {
    for (const std::string label : {"b", "c"}) {
      peers_.Add(label);
      cancellations_.AddPeer(label);
    }
  }
  std::vector<PeerMessage> Messages() { return effects_.TakeOutbox().peers; }
  static const mesh::HeartbeatRequest& PingOf(const PeerMessage& message) {
    return std::get<mesh::HeartbeatRequest>(message.message);
  }

  PeerTable peers_;
  CancellationLog cancellations_{30 * kSecond, 10 * kSecond};
  FakeMachines machines_;
  HeartbeatExchange heartbeats_{
      1000, {&effects_, &peers_, &election_, &cancellations_, &health_, &machines_, &machines_}};
};

TEST_F(HeartbeatTest, EveryPeerIsPingedTwiceASecond) {
  heartbeats_.Tick(now_);
  const std::vector<PeerMessage> messages = Messages();
  ASSERT_THAT(messages, SizeIs(2));
  EXPECT_EQ(messages[0].to, "b");
  EXPECT_EQ(messages[1].to, "c");
  EXPECT_EQ(PingOf(messages[0]).seq, 1001u);
  EXPECT_EQ(PingOf(messages[1]).seq, 1002u);
  EXPECT_EQ(PingOf(messages[0]).replica_revision, 12u);
  EXPECT_THAT(PingOf(messages[0]).silent_machines, ElementsAre(mesh::SilentMachine{"m0", 20}));
  heartbeats_.Tick(now_ + 500 * kMillisecond - 1);
  EXPECT_THAT(Messages(), IsEmpty());
  heartbeats_.Tick(now_ + 500 * kMillisecond);
  EXPECT_THAT(Messages(), SizeIs(2));
}

TEST_F(HeartbeatTest, RequestedHeartbeatIsSentAtTheNextTick) {
  heartbeats_.Tick(now_);
  Messages();
  heartbeats_.SendNextTick(now_ + 1);
  heartbeats_.Tick(now_ + 1);
  EXPECT_THAT(Messages(), SizeIs(2));
}

TEST_F(HeartbeatTest, CachedImagesAreSentInPagesEveryTwoSeconds) {
  auto images_at = [this](Micros time) {
    heartbeats_.Tick(time);
    return PingOf(Messages().at(0)).cached_images;
  };
  EXPECT_THAT(images_at(now_), ElementsAre(mesh::CachedImages{"m0", {"web"}}));
  EXPECT_THAT(images_at(now_ + kSecond), IsEmpty());
  EXPECT_THAT(images_at(now_ + 2 * kSecond), ElementsAre(mesh::CachedImages{"m1", {"db"}}));
  EXPECT_THAT(images_at(now_ + 4 * kSecond), ElementsAre(mesh::CachedImages{"m0", {"web"}}));
}

TEST_F(HeartbeatTest, PingIsAnsweredWithItsSequenceNumber) {
  cancellations_.AddCommitted(8, "old");
  cancellations_.AddCommitted(9, "new");
  mesh::HeartbeatRequest ping;
  ping.seq = 42;
  ping.replica_revision = 8;
  heartbeats_.OnPing(now_, "b", ping);
  const std::vector<PeerMessage> messages = Messages();
  ASSERT_THAT(messages, SizeIs(1));
  EXPECT_EQ(messages[0].to, "b");
  const auto& pong = std::get<mesh::HeartbeatReply>(messages[0].message);
  EXPECT_EQ(pong.seq, 42u);
  EXPECT_THAT(pong.cancelled_jobs, ElementsAre("new"));
  EXPECT_EQ(peers_.At("b").last_heard, now_);
}

TEST_F(HeartbeatTest, PongExtendsTheBoundOfKnownCancellations) {
  cancellations_.ReplicaCompleteUpTo(now_ - 10 * kSecond);
  heartbeats_.Tick(now_);
  for (const PeerMessage& message : Messages()) {
    mesh::HeartbeatReply pong;
    pong.seq = PingOf(message).seq;
    pong.replica_revision = 3;
    pong.cancelled_jobs = {"job"};
    heartbeats_.OnPong(now_ + kSecond, message.to, pong);
  }
  EXPECT_THAT(machines_.cancelled, ElementsAre("job", "job"));
  EXPECT_EQ(cancellations_.KnownUpTo(now_ + kSecond), now_);
}

TEST_F(HeartbeatTest, MachineIsSilentUntilItsLeaderHearsItAgain) {
  mesh::HeartbeatReply pong;
  pong.silent_machines = {{"m1", 5}, {"x", ~uint64_t{0}}, {"y", 6}};
  heartbeats_.OnPong(now_, "b", pong);
  EXPECT_THAT(machines_.silences, ElementsAre(3600 * kSecond, 6));
  pong.silent_machines = {{"y", 7}};
  heartbeats_.OnPong(now_, "b", pong);
  EXPECT_THAT(machines_.back, ElementsAre("x"));
}

TEST_F(HeartbeatTest, EpochsAreExchanged) {
  LeadOwnShard(5);
  mesh::HeartbeatReply pong;
  pong.epochs = {{1, 4, "b"}};
  pong.cached_images = {{"x", {"web"}}};
  heartbeats_.OnPong(now_, "b", pong);
  EXPECT_THAT(machines_.cached_images, ElementsAre("x"));
  EXPECT_THAT(peers_.At("b").led_shards, ElementsAre(1));
  heartbeats_.Tick(now_);
  EXPECT_THAT(PingOf(Messages().at(0)).epochs,
              ElementsAre(mesh::ShardEpoch{0, 5, "a"}, mesh::ShardEpoch{1, 4, "b"}));
}

}  // namespace
}  // namespace troutlink
