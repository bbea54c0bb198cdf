// Unit tests of src/core/store: the replica and the calls that read it.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/store/cluster_version.h"
#include "core/store/job_table.h"
#include "core/store/machine_directory.h"
#include "core/store/replica.h"
#include "core/store/replica_sync.h"
#include "core/store/state_answers.h"
#include "core/store/table_replica.h"
#include "wire/pack.h"

namespace troutlink {
namespace {

using ::testing::AllOf;
using ::testing::Contains;
using ::testing::ElementsAre;
using ::testing::Field;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::IsNull;
using ::testing::Key;
using ::testing::Not;
using ::testing::Pair;
using ::testing::SizeIs;
using ::testing::UnorderedElementsAre;
using wire::Json;

using Texts = std::vector<std::string>;

// Records each event as text.
class Recorder : public ReplicaObserver {
 public:
  void OnJobOpen(const std::string& id, const JobEntry& /*entry*/) override { Add("open " + id); }
  void OnJobFinished(Micros /*now*/, const std::string& id, const JobEntry& /*entry*/) override {
    Add("finished " + id);
  }
  void OnJobUnblocked(const std::string& id, const JobEntry& /*entry*/) override {
    Add("unblocked " + id);
  }
  void OnUrgencyUpdated(const std::string& /*id*/, const JobEntry& /*entry*/) override {}
  void OnCascadeCancelled(const std::string& id, size_t count) override {
    Add("cancelled " + id + " and in all " + std::to_string(count));
  }
  void OnMachineAssigned(Micros /*now*/, int shard_id, const AssignedMachine& machine) override {
    Add(machine.name + " in shard " + std::to_string(shard_id));
  }
  void OnMachineUnassigned(Micros /*now*/, const std::string& machine) override {
    Add(machine + " in no shard");
  }
  void OnLeadershipRecord(Micros /*now*/, int shard_id, const Leadership& leadership,
                          uint64_t revision) override {
    Add(leadership.leader + " leads " + std::to_string(shard_id) + " since " +
        std::to_string(revision));
  }
  void OnLeadershipErased(Micros /*now*/, int shard_id, uint64_t revision) override {
    Add("nobody leads " + std::to_string(shard_id) + " since " + std::to_string(revision));
  }
  void OnTableChanged(Micros /*now*/, int shard_id) override {
    Add("table " + std::to_string(shard_id));
  }
  void OnMachineTypes(const std::string& value) override { Add("types " + value); }
  void OnCaughtUp(Source source, Micros complete_up_to) override {
    Add(std::string(source == Source::kList ? "list" : "watch") + " complete up to " +
        std::to_string(complete_up_to));
  }
  void OnStateWriteSent() override { Add("write"); }

  // Events since the last call.
  Texts Take() { return std::exchange(told_, {}); }

 private:
  void Add(std::string text) { told_.push_back(std::move(text)); }

  Texts told_;
};

JobRecord Record(const std::string& id, const Texts& dependencies = {},
                 JobState state = JobState::kOpen) {
  JobRecord record;
  record.spec.id = id;
  record.spec.job_class = "k";
  record.spec.team = "t";
  record.spec.image = "i";
  record.spec.tasks = 3;
  record.spec.dependencies = dependencies;
  record.submitted = 1000 * kSecond;
  record.state = state;
  return record;
}

// --- job table ---------------------------------------------------------------------------

class JobTableTest : public ::testing::Test {
 protected:
  RecordOutcome Put(const JobRecord& record, uint64_t version) {
    return jobs_.Apply(kSecond, record.spec.id, EncodeJob(record), version);
  }

  Recorder recorder_;
  CancellationLog cancellations_{20 * kSecond, 10 * kSecond};
  JobTable jobs_{&cancellations_, &recorder_};
};

TEST_F(JobTableTest, RecordThatIsNotNewerIsIgnored) {
  EXPECT_EQ(Put(Record("job-1"), 5), RecordOutcome::kApplied);
  EXPECT_EQ(Put(Record("job-1", {}, JobState::kDone), 5), RecordOutcome::kIgnored);
  EXPECT_EQ(Put(Record("job-1", {}, JobState::kDone), 4), RecordOutcome::kIgnored);
  EXPECT_EQ(jobs_.StateOf("job-1"), KnownJobState::kOpen);
  EXPECT_THAT(jobs_.open(), ElementsAre("job-1"));
  EXPECT_THAT(recorder_.Take(), ElementsAre("open job-1"));
}

TEST_F(JobTableTest, UnreadableRecordIsIgnored) {
  EXPECT_EQ(jobs_.Apply(0, "job-1", "junk", 5), RecordOutcome::kUnreadable);
  EXPECT_THAT(jobs_.Find("job-1"), IsNull());
  EXPECT_EQ(jobs_.StateOf("job-1"), KnownJobState::kUnknown);
}

TEST_F(JobTableTest, FinishedJobDropsMostOfItsSpecification) {
  Put(Record("job-1"), 1);
  recorder_.Take();
  Put(Record("job-1", {}, JobState::kDone), 2);
  EXPECT_THAT(recorder_.Take(), ElementsAre("finished job-1"));
  EXPECT_TRUE(jobs_.IsFinished("job-1"));
  EXPECT_THAT(jobs_.open(), IsEmpty());
  EXPECT_THAT(
      jobs_.At("job-1").record.spec,
      AllOf(Field(&JobSpec::image, ""), Field(&JobSpec::team, "t"), Field(&JobSpec::tasks, 3)));
}

TEST_F(JobTableTest, JobWaitsUntilAllDependenciesAreDone) {
  Put(Record("job-3", {"job-1", "job-2"}), 1);
  EXPECT_EQ(jobs_.StateOf("job-3"), KnownJobState::kBlocked);
  EXPECT_EQ(jobs_.CountBlocked(), 1U);
  JobRecord a = Record("job-1", {}, JobState::kDone);
  a.finished = 1200 * kSecond;
  Put(a, 2);
  EXPECT_EQ(jobs_.StateOf("job-3"), KnownJobState::kBlocked);
  Put(Record("job-2"), 3);
  recorder_.Take();
  JobRecord b = Record("job-2", {}, JobState::kDone);
  b.finished = 1100 * kSecond;
  Put(b, 4);
  EXPECT_THAT(recorder_.Take(), ElementsAre("unblocked job-3", "finished job-2"));
  EXPECT_EQ(jobs_.StateOf("job-3"), KnownJobState::kOpen);
  EXPECT_EQ(jobs_.CountBlocked(), 0U);
  EXPECT_EQ(jobs_.At("job-3").ready_at, 1200 * kSecond);
}

TEST_F(JobTableTest, JobInheritsThePriorityOfItsDependents) {
  Put(Record("job-1"), 1);
  JobRecord urgent = Record("job-2", {"job-1"});
  urgent.spec.priority = Priority::kHigh;
  Put(urgent, 2);
  EXPECT_EQ(jobs_.At("job-1").record.spec.priority, Priority::kHigh);
  EXPECT_EQ(jobs_.At("job-1").own_priority, Priority::kNormal);
  Put(Record("job-2", {"job-1"}, JobState::kCancelled), 3);
  EXPECT_EQ(jobs_.At("job-1").record.spec.priority, Priority::kNormal);
}

TEST_F(JobTableTest, CancellationCascadesToAllDependents) {
  Put(Record("job-1"), 1);
  Put(Record("job-2", {"job-1"}), 2);
  Put(Record("job-3", {"job-2"}), 3);
  Put(Record("job-4"), 4);
  recorder_.Take();
  Put(Record("job-1", {}, JobState::kCancelled), 5);
  EXPECT_THAT(recorder_.Take(), ElementsAre("cancelled job-2 and in all 2", "finished job-1"));
  EXPECT_THAT(jobs_.cascade_cancelled(), ElementsAre("job-2", "job-3"));
  EXPECT_EQ(jobs_.StateOf("job-3"), KnownJobState::kCancelled);
  EXPECT_EQ(jobs_.StateOf("job-4"), KnownJobState::kOpen);
  // Until their own records are final.
  Put(Record("job-2", {"job-1"}, JobState::kCancelled), 6);
  EXPECT_THAT(jobs_.cascade_cancelled(), ElementsAre("job-3"));
}

TEST_F(JobTableTest, JobSubmittedAfterItsDependencyWasCancelledIsCancelled) {
  Put(Record("job-1", {}, JobState::kCancelled), 1);
  JobRecord late = Record("job-2", {"job-1"});
  EXPECT_TRUE(jobs_.HasCancelledDependency(late.spec));
  Put(late, 2);
  EXPECT_EQ(jobs_.StateOf("job-2"), KnownJobState::kCancelled);
}

TEST_F(JobTableTest, CancellationReportedByAPeerPrecedesTheRecord) {
  Put(Record("job-1"), 1);
  Put(Record("job-2", {"job-1"}), 2);
  cancellations_.AddReported("job-1");
  EXPECT_EQ(jobs_.StateOf("job-1"), KnownJobState::kCancelled);
  EXPECT_EQ(jobs_.StateOf("job-2"), KnownJobState::kBlocked);
  jobs_.CascadeCancellation("job-1");
  EXPECT_EQ(jobs_.StateOf("job-2"), KnownJobState::kCancelled);
  // A done job cannot be cancelled.
  Put(Record("job-1", {}, JobState::kDone), 3);
  EXPECT_EQ(jobs_.StateOf("job-1"), KnownJobState::kDone);
}

TEST_F(JobTableTest, TeamsAndImagesOfServicesAreRemembered) {
  Put(Record("job-5"), 1);
  EXPECT_FALSE(jobs_.HadService("t"));
  JobRecord service = Record("job-6");
  service.spec.kind = JobKind::kService;
  service.spec.spread = true;
  Put(service, 2);
  service.state = JobState::kCancelled;
  Put(service, 3);
  EXPECT_TRUE(jobs_.HadService("t"));
  EXPECT_TRUE(jobs_.IsServiceImage("i"));
  EXPECT_FALSE(jobs_.IsServiceImage("j"));
  EXPECT_TRUE(jobs_.had_spread_service());
}

TEST(KnownJobState, HasANameAndKnowsWhetherTheJobIsFinished) {
  EXPECT_EQ(NameOf(KnownJobState::kBlocked), "blocked");
  EXPECT_FALSE(IsFinished(KnownJobState::kUnknown));
  EXPECT_TRUE(IsFinished(KnownJobState::kCancelled));
  EXPECT_TRUE(IsFinished(KnownJobState::kDone));
}

// --- shards ------------------------------------------------------------------------------

AssignmentTable Table(const Texts& machines, TableForm form = TableForm::kOriginal) {
  AssignmentTable table;
  table.form = form;
  for (const std::string& name : machines) table.machines[name].name = name;
  return table;
}

class TableReplicaTest : public ::testing::Test {
 protected:
  RecordOutcome Put(const AssignmentTable& table, int chunk, uint64_t version) {
    troutlink::Key key;
    key.kind = troutlink::Key::Kind::kAssignments;
    key.chunk = chunk;
    key.form = table.form;
    return replica_.ApplyChunk(7 * kSecond, key, EncodeChunk(table, chunk), version);
  }
  const AssignmentTable& table() const { return replica_.records().assignments; }

  Recorder recorder_;
  MachineDirectory directory_;
  TableReplica replica_{0, &directory_, &recorder_};
};

TEST_F(TableReplicaTest, ChunkReplacesItsMachines) {
  EXPECT_EQ(Put(Table({"m1", "m2"}), 0, 1), RecordOutcome::kApplied);
  EXPECT_THAT(recorder_.Take(), ElementsAre("m1 in shard 0", "m2 in shard 0"));
  EXPECT_TRUE(replica_.TakeChanged());
  EXPECT_FALSE(replica_.TakeChanged());
  EXPECT_EQ(Put(Table({"m2", "m3"}), 0, 2), RecordOutcome::kApplied);
  EXPECT_THAT(recorder_.Take(), ElementsAre("m1 in no shard", "m2 in shard 0", "m3 in shard 0"));
  EXPECT_THAT(table().machines, ElementsAre(Key("m2"), Key("m3")));
  EXPECT_EQ(replica_.records().changed_at, 7 * kSecond);
  EXPECT_EQ(Put(Table({}), 0, 2), RecordOutcome::kIgnored);
  EXPECT_THAT(table().machines, SizeIs(2));
}

TEST_F(TableReplicaTest, UnreadableChunkLeavesTheTableUnchanged) {
  Put(Table({"m1"}), 0, 1);
  replica_.TakeChanged();
  troutlink::Key key;
  key.kind = troutlink::Key::Kind::kAssignments;
  EXPECT_EQ(replica_.ApplyChunk(0, key, "junk", 2), RecordOutcome::kUnreadable);
  EXPECT_THAT(table().machines, ElementsAre(Key("m1")));
  EXPECT_FALSE(replica_.TakeChanged());
}

TEST_F(TableReplicaTest, TransferredMachineBelongsToTheTableReadLast) {
  TableReplica other(1, &directory_, &recorder_);
  Put(Table({"m1"}), 0, 1);
  troutlink::Key key;
  key.kind = troutlink::Key::Kind::kAssignments;
  key.shard_id = 1;
  other.ApplyChunk(0, key, EncodeChunk(Table({"m1"}), 0), 2);
  EXPECT_EQ(directory_.ShardOf("m1"), 1);
  recorder_.Take();
  Put(Table({}), 0, 2);
  // It did not leave the cluster.
  EXPECT_THAT(recorder_.Take(), IsEmpty());
  EXPECT_EQ(directory_.ShardOf("m1"), 1);
  EXPECT_EQ(directory_.ShardOf("m2"), MachineDirectory::kNoShard);
}

TEST_F(TableReplicaTest, UnmigratedMachinesStayUntilTheCompactFormHasThem) {
  Put(Table({"m1", "m2", "m3", "m4"}), 0, 1);
  AssignmentTable compact = Table({}, TableForm::kCompact);
  compact.chunks = 2;
  compact.unmigrated_from = 1;
  Put(compact, 0, 2);
  EXPECT_THAT(table().machines, SizeIs(4));
  EXPECT_THAT(replica_.records().original_chunks, ElementsAre(Key(0)));
  compact.unmigrated_from = 0;
  compact.machines = Table({"m2"}).machines;
  Put(compact, 1, 3);
  Put(compact, 0, 3);
  EXPECT_THAT(table().machines, ElementsAre(Key("m2")));
  // A page of a list from before the migration has no effect.
  Put(Table({"m1"}), 0, 4);
  EXPECT_THAT(table().machines, ElementsAre(Key("m2")));
  replica_.EraseOriginalChunk(0);
  EXPECT_THAT(replica_.records().original_chunks, IsEmpty());
}

TEST_F(TableReplicaTest, ProgressPagesAreMergedForOpenJobs) {
  EXPECT_EQ(
      replica_.ApplyProgress(0, EncodeProgress({{"job-1", {1}}, {"over", {1}}}), 2, {"job-1"}),
      RecordOutcome::kApplied);
  EXPECT_EQ(replica_.ApplyProgress(0, EncodeProgress({{"job-1", {9}}}), 2, {"job-1"}),
            RecordOutcome::kIgnored);
  const std::string second = EncodeProgress({{"job-1", {2}}});
  replica_.ApplyProgress(1, second, 1, {"job-1"});
  EXPECT_THAT(replica_.records().progress, ElementsAre(Pair("job-1", ElementsAre(1, 2))));
  EXPECT_TRUE(replica_.records().HoldsProgress(1, second));
  EXPECT_FALSE(replica_.records().HoldsProgress(2, second));
  EXPECT_EQ(replica_.records().ProgressVersion(0), 2U);
  EXPECT_EQ(replica_.records().ProgressVersion(2), 0U);
  replica_.ForgetProgress("job-1");
  EXPECT_THAT(replica_.records().progress, IsEmpty());
}

TEST_F(TableReplicaTest, NewerLeadershipSurvivesTheDeletionOfAnOlderOne) {
  const std::string value = EncodeLeadership({"n1", 4});
  EXPECT_EQ(replica_.ApplyLeadership(value, 5), RecordOutcome::kApplied);
  EXPECT_EQ(replica_.ApplyLeadership(value, 5), RecordOutcome::kIgnored);
  EXPECT_FALSE(replica_.EraseLeadership(4));
  EXPECT_EQ(replica_.records().leadership_version, 5U);
  EXPECT_TRUE(replica_.EraseLeadership(6));
  EXPECT_EQ(replica_.records().leadership_version, 0U);
}

// --- cluster version ---------------------------------------------------------------------

Settings TwoNodes() {
  Settings settings;
  settings.label = "n1";
  settings.labels = {"n1", "n2"};
  settings.state_limits.txn_ops = 100;
  settings.next_state_limits.txn_ops = 10;
  return settings;
}

TEST(ClusterVersion, AnnouncedLimitsApplyOnceAllNodesAreCurrent) {
  const Settings settings = TwoNodes();
  ClusterVersion version(settings);
  EXPECT_FALSE(version.Apply("n1", EncodeNodeVersion(kStoredFormVersion), 3));
  EXPECT_EQ(version.limits().txn_ops, 100);
  EXPECT_EQ(version.number(), kStoredFormVersion - 1);
  EXPECT_FALSE(version.Apply("n2", EncodeNodeVersion(kStoredFormVersion - 1), 4));
  EXPECT_TRUE(version.Apply("n2", EncodeNodeVersion(kStoredFormVersion), 5));
  EXPECT_TRUE(version.all_current());
  EXPECT_EQ(version.limits().txn_ops, 10);
  EXPECT_EQ(version.number(), kStoredFormVersion);
  // Permanently, and reported once.
  EXPECT_FALSE(version.Apply("n2", EncodeNodeVersion(1), 6));
  EXPECT_TRUE(version.all_current());
}

TEST(ClusterVersion, OwnVersionIsPublishedUntilItIsStored) {
  const Settings settings = TwoNodes();
  ClusterVersion version(settings);
  ASSERT_TRUE(version.PublishDue(kSecond));
  const StateTxn txn = version.BeginPublish();
  EXPECT_THAT(txn.conditions, ElementsAre(Field(&StateCondition::version, 0U)));
  EXPECT_FALSE(version.PublishDue(kSecond));
  version.PublishAnswered(kSecond);
  EXPECT_FALSE(version.PublishDue(kSecond + 299 * kMillisecond));
  EXPECT_TRUE(version.PublishDue(kSecond + 300 * kMillisecond));
  version.Apply("n1", txn.writes[0].value, 8);
  EXPECT_FALSE(version.PublishDue(9 * kSecond));
}

// --- the replica and its calls -----------------------------------------------------------

class ReplicaSyncTest : public ::testing::Test {
 protected:
  ReplicaSyncTest() { effects_.set_last_tick(kSecond); }

  // The only call sent since the last call.
  Call TakeCall() {
    Outbox out = effects_.TakeOutbox();
    for (const LogLine& line : out.log) log_.push_back(line.text);
    if (out.calls.size() == 1) return std::move(out.calls[0]);
    ADD_FAILURE() << out.calls.size() << " calls";
    return {};
  }
  void Answer(Micros now, const Call& call, int status, const Json& body) {
    effects_.HandleAnswer(now, call.id, status, wire::Pack(body));
  }
  static Json Item(const std::string& key, const std::string& value, uint64_t version) {
    return {{"key", key}, {"v", *wire::Unpack(value)}, {"stamp", version}};
  }
  static Json Page(const Json& items, bool more, uint64_t revision) {
    return {{"items", items}, {"truncated", more}, {"ledger", revision}};
  }
  static Json Changes(const Json& events, uint64_t revision) {
    return {{"events", events}, {"ledger", revision}};
  }
  // Reads an empty store at `revision`; returns the watch that follows.
  Call ListNothing(Micros now, uint64_t revision) {
    sync_.Run(now);
    Answer(now, TakeCall(), 200, Page(Json::array(), false, revision));
    recorder_.Take();
    return TakeCall();
  }

  const Settings settings_ = TwoNodes();
  Recorder recorder_;
  TokenBucket requests_{100, 100};
  TokenBucket writes_{100, 100};
  Effects effects_{&requests_};
  CancellationLog cancellations_{20 * kSecond, 10 * kSecond};
  JobTable jobs_{&cancellations_, &recorder_};
  ClusterVersion version_{settings_};
  NodeHealth health_{0};
  Replica replica_{2, &jobs_, &version_, &effects_, &recorder_};
  ReplicaSync sync_{
      settings_,
      77,
      {&replica_, &jobs_, &version_, &effects_, &health_, &requests_, &writes_, &recorder_}};
  Texts log_;
};

TEST_F(ReplicaSyncTest, ListIsReadPageByPageAndThenWatchedFromItsFirstRevision) {
  sync_.Run(kSecond);
  const Call first = TakeCall();
  EXPECT_EQ(first.dest, Dest::kState);
  const Json job = Item(JobKey("job-1"), EncodeJob(Record("job-1")), 3);
  Answer(2 * kSecond, first, 200, Page(Json::array({job}), true, 10));
  EXPECT_THAT(jobs_.jobs(), IsEmpty()) << "nothing is applied before the whole list is read";
  const Call second = TakeCall();
  EXPECT_THAT(second.target, HasSubstr(JobKey("job-1")));
  const Json leader = Item(LeadershipKey(1), EncodeLeadership({"n2", 5}), 11);
  Answer(3 * kSecond, second, 200, Page(Json::array({leader}), false, 12));
  // In key order.
  EXPECT_THAT(recorder_.Take(),
              ElementsAre("n2 leads 1 since 11", "open job-1", HasSubstr("list complete up to")));
  EXPECT_TRUE(sync_.feed().synced());
  EXPECT_EQ(health_.StateAge(5 * kSecond), 2 * kSecond);
  const Call watch = TakeCall();
  EXPECT_EQ(watch.dest, Dest::kWatch);
  EXPECT_THAT(watch.target, HasSubstr("from=10&"));
  EXPECT_THAT(log_, Contains(HasSubstr("event=replica_listed revision=10")));
}

TEST_F(ReplicaSyncTest, FailedListIsRetried) {
  sync_.Run(kSecond);
  Answer(5 * kSecond, TakeCall(), 503, Json::object());
  EXPECT_FALSE(sync_.feed().synced());
  EXPECT_FALSE(health_.StateFresh(5 * kSecond));
  sync_.Run(6 * kSecond);
  EXPECT_EQ(TakeCall().dest, Dest::kState);
}

TEST_F(ReplicaSyncTest, WatchAppliesChangesInOrderAndIsFollowedByTheNext) {
  const Call watch = ListNothing(kSecond, 10);
  const Json put = {
      {"put", LeadershipKey(0)}, {"v", *wire::Unpack(EncodeLeadership({"n2", 5}))}, {"stamp", 11}};
  const Json erase = {{"delete", LeadershipKey(0)}, {"stamp", 12}};
  Answer(2 * kSecond, watch, 200, Changes(Json::array({put, erase}), 12));
  EXPECT_THAT(recorder_.Take(), ElementsAre("n2 leads 0 since 11", "nobody leads 0 since 12",
                                            HasSubstr("watch complete up to")));
  EXPECT_EQ(sync_.feed().revision(), 12U);
  EXPECT_THAT(TakeCall().target, HasSubstr("from=12&"));
  EXPECT_TRUE(health_.StateFresh(2 * kSecond + 1499 * kMillisecond));
  EXPECT_FALSE(health_.StateFresh(2 * kSecond + 1500 * kMillisecond));
}

TEST_F(ReplicaSyncTest, CompactedWatchIsFollowedByAListThatErasesDeletedRecords) {
  const Call watch = ListNothing(kSecond, 10);
  replica_.ApplyPut(kSecond, LeadershipKey(0), EncodeLeadership({"n2", 5}), 11);
  recorder_.Take();
  Answer(2 * kSecond, watch, 410, Json::object());
  effects_.TakeOutbox();
  sync_.Run(3 * kSecond);
  Answer(3 * kSecond, TakeCall(), 200, Page(Json::array(), false, 20));
  EXPECT_THAT(recorder_.Take(),
              ElementsAre("nobody leads 0 since 20", HasSubstr("list complete up to")));
}

TEST_F(ReplicaSyncTest, RequestedListFollowsTheCurrentWatch) {
  const Call watch = ListNothing(kSecond, 10);
  sync_.RequestList();
  Answer(2 * kSecond, watch, 200, Changes(Json::array(), 10));
  EXPECT_EQ(TakeCall().dest, Dest::kState);
}

TEST_F(ReplicaSyncTest, NextWatchIsDelayedIfTheRequestBudgetIsLow) {
  const Call watch = ListNothing(kSecond, 10);
  requests_.Force(kSecond, 95);
  Answer(kSecond, watch, 200, Changes(Json::array(), 10));
  EXPECT_THAT(effects_.TakeOutbox().calls, IsEmpty());
  sync_.Run(2 * kSecond);
  EXPECT_EQ(TakeCall().dest, Dest::kWatch);
}

TEST_F(ReplicaSyncTest, OwnVersionIsStoredOnceTheReplicaIsRead) {
  sync_.PublishVersion(kSecond);
  EXPECT_THAT(effects_.TakeOutbox().calls, IsEmpty());
  ListNothing(kSecond, 10);
  sync_.PublishVersion(kSecond);
  const Call commit = TakeCall();
  EXPECT_EQ(commit.target, wire::CommitTarget());
  EXPECT_THAT(recorder_.Take(), ElementsAre("write"));
  Answer(2 * kSecond, commit, 200, {{"ledger", 11}});
  sync_.PublishVersion(3 * kSecond);
  EXPECT_THAT(effects_.TakeOutbox().calls, IsEmpty());
}

TEST_F(ReplicaSyncTest, VersionIsNotStoredUnderAnEarlierIncarnationsLeadership) {
  ListNothing(kSecond, 10);
  replica_.ApplyPut(kSecond, LeadershipKey(0), EncodeLeadership({"n1", 76}), 11);
  sync_.PublishVersion(kSecond);
  EXPECT_THAT(effects_.TakeOutbox().calls, IsEmpty());
  replica_.ApplyPut(kSecond, LeadershipKey(0), EncodeLeadership({"n1", 77}), 12);
  sync_.PublishVersion(kSecond);
  EXPECT_THAT(effects_.TakeOutbox().calls, SizeIs(1));
}

TEST_F(ReplicaSyncTest, TableChangesAreReportedOncePerBatch) {
  AssignmentTable table = Table({"m1"});
  table.chunks = 2;
  replica_.ApplyPut(kSecond, AssignmentKey(1, 0), EncodeChunk(table, 0), 1);
  replica_.ApplyPut(kSecond, AssignmentKey(1, 1), EncodeChunk(table, 1), 1);
  EXPECT_THAT(recorder_.Take(), ElementsAre("m1 in shard 1"));
  EXPECT_EQ(replica_.ShardOfMachine("m1"), 1);
  replica_.FinishBatch(kSecond);
  replica_.FinishBatch(kSecond);
  EXPECT_THAT(recorder_.Take(), ElementsAre("table 1"));
}

TEST_F(ReplicaSyncTest, RecordsOfUnknownShardsAndKeysAreIgnored) {
  replica_.ApplyPut(kSecond, LeadershipKey(2), EncodeLeadership({"n3", 5}), 11);
  replica_.ApplyErase(kSecond, LeadershipKey(2), 12);
  replica_.ApplyPut(kSecond, "troutlink/something", "x", 13);
  EXPECT_THAT(recorder_.Take(), IsEmpty());
  replica_.ApplyPut(kSecond, "troutlink/types", "x", 14);
  EXPECT_THAT(recorder_.Take(), ElementsAre("types x"));
}

TEST_F(ReplicaSyncTest, ProgressOfAFinishedJobIsDropped) {
  replica_.ApplyPut(kSecond, JobKey("job-1"), EncodeJob(Record("job-1")), 1);
  replica_.ApplyPut(kSecond, ProgressKey(0), EncodeProgress({{"job-1", {1}}}), 2);
  EXPECT_THAT(replica_.records(0).progress, ElementsAre(Key("job-1")));
  replica_.ApplyPut(kSecond, JobKey("job-1"), EncodeJob(Record("job-1", {}, JobState::kDone)), 3);
  EXPECT_THAT(replica_.records(0).progress, IsEmpty());
}

TEST(StateAnswers, WatchAnswerIsChangesTooOldOrFailed) {
  const std::string changes = wire::Pack({{"events", Json::array()}, {"ledger", 7}});
  EXPECT_EQ(DecodeWatchAnswer(200, changes).outcome, WatchOutcome::kChanges);
  EXPECT_EQ(DecodeWatchAnswer(200, changes).changes.revision, 7U);
  EXPECT_EQ(DecodeWatchAnswer(410, "").outcome, WatchOutcome::kTooOld);
  EXPECT_EQ(DecodeWatchAnswer(200, "junk").outcome, WatchOutcome::kFailed);
  EXPECT_EQ(DecodeWatchAnswer(503, changes).outcome, WatchOutcome::kFailed);
  EXPECT_EQ(DecodeWatchAnswer(kNoAnswer, "").outcome, WatchOutcome::kFailed);
  EXPECT_EQ(NameOf(WatchOutcome::kTooOld), "too_old");
}

}  // namespace
}  // namespace troutlink
