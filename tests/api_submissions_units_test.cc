// Unit tests of admission, submission and the choice of a shard (src/core/api).
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "api_fakes.h"
#include "core/api/job_admission.h"
#include "core/api/job_submissions.h"
#include "core/api/shard_backlog.h"
#include "core/api/shard_selector.h"
#include "wire/pack.h"

namespace troutlink {
namespace {

using test::Committed;
using test::Conflict;
using test::Controller;
using test::Job;
using test::kNow;
using test::LargeType;
using test::Queries;
using test::Response;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using wire::Json;

// --- submissions -----------------------------------------------------------------

struct Submissions : Queries {
  test::FakeLoads loads{1};
  ShardBacklog backlog{&loads};
  ShardSelector selector{&loads, &backlog};
  JobAdmission admission{&settings, &write_budget, &jobs, &status};
  JobSubmissions submissions{100000,    &effects, &jobs,    &status,    &admission, &backlog,
                             &selector, &records, &queries, &responder, &counters};

  void Submit(const JobSpec& spec) {
    submissions.Submit(kNow, {1, "POST", "/api/jobs", wire::EncodeSubmission(spec)});
  }
  // The only reply has this status and contains this text.
  void ExpectRefused(int http_status, const std::string& why) {
    ASSERT_THAT(responder.replies, ElementsAre(Response(1, http_status)));
    EXPECT_THAT(responder.replies[0].body, HasSubstr(why));
  }
};

TEST(JobSubmissions, JobIsAcceptedOnceItsRecordIsCommitted) {
  Submissions s;
  s.Submit(Job("job-1"));
  EXPECT_THAT(s.responder.replies, IsEmpty());
  s.StateAnswers(kNow, 200, Committed(5));
  EXPECT_THAT(s.responder.replies, ElementsAre(Response(1, 201)));
  EXPECT_NE(s.jobs.FindJob("job-1"), nullptr);
  EXPECT_EQ(s.counters.accepted, 1u);
  EXPECT_EQ(s.backlog.Cpus()[0][0], 8000);  // the next job of a burst sees it
}

TEST(JobSubmissions, ConflictIsAnsweredLikeAPoll) {
  Submissions s;
  s.Submit(Job("job-1"));
  s.StateAnswers(kNow, 409, Conflict("job-1"));
  EXPECT_THAT(s.responder.replies, IsEmpty());
  s.effects.TakeOutbox();  // reads the record
  s.jobs.Put(Job("job-1"), JobState::kOpen, 4);
  s.queries.CheckQueued(kNow);
  s.StateAnswers(kNow, 200, Committed(9));
  EXPECT_THAT(s.responder.replies, ElementsAre(Response(1, 200)));
}

TEST(JobSubmissions, JobIsNotAcceptedIfItsRecordMayNotBeStored) {
  Submissions s;
  s.Submit(Job("job-1"));
  s.StateAnswers(kNow, kNoAnswer, "");
  s.ExpectRefused(503, "not stored");
  EXPECT_EQ(s.counters.refused, 1u);
}

TEST(JobSubmissions, UnknownDependencyIsReadFromTheStore) {
  Submissions s;
  JobSpec spec = Job("job-2");
  spec.dependencies = {"job-1"};
  s.Submit(spec);
  JobRecord before;
  before.spec = Job("job-1");
  s.StateAnswers(
      kNow, 200,
      wire::Pack(Json{{"ledger", 4},
                      {"items", Json::array({{{"key", JobKey("job-1")},
                                              {"stamp", 4},
                                              {"v", *wire::Unpack(EncodeJob(before))}}})}}));
  s.StateAnswers(kNow, 200, Committed(5));
  EXPECT_THAT(s.responder.replies, ElementsAre(Response(1, 201)));
}

TEST(JobSubmissions, DependencyMissingFromTheStoreIsRefused) {
  Submissions s;
  JobSpec spec = Job("job-2");
  spec.dependencies = {"job-1"};
  s.Submit(spec);
  s.StateAnswers(kNow, 200, wire::Pack(Json{{"ledger", 4}, {"items", Json::array()}}));
  s.ExpectRefused(422, "never accepted: job-1");
  EXPECT_EQ(s.counters.refused, 0u);
}

TEST(JobSubmissions, JobWithACancelledDependencyIsAcceptedAsCancelled) {
  Submissions s;
  s.jobs.Put(Job("job-1"), JobState::kCancelled, 3);
  JobSpec spec = Job("job-2");
  spec.dependencies = {"job-1"};
  s.Submit(spec);
  s.StateAnswers(kNow, 200, Committed(5));
  EXPECT_THAT(s.responder.replies, ElementsAre(Response(1, 201)));
  EXPECT_EQ(s.jobs.FindJob("job-2")->record.state, JobState::kCancelled);
}

TEST(JobSubmissions, MalformedBodyIsRefused) {
  Submissions s;
  s.submissions.Submit(kNow, {1, "POST", "/api/jobs", "?"});
  EXPECT_THAT(s.responder.replies, ElementsAre(Response(1, 400)));
}

// --- admission ---------------------------------------------------------------------

struct Admission : Controller {
  JobAdmission admission{&settings, &write_budget, &jobs, &status};

  std::optional<AdmissionFault> FaultOf(const JobSpec& spec) {
    const std::optional<AdmissionError> error = admission.Check(kNow, spec);
    if (!error) return std::nullopt;
    return error->code;
  }
};

TEST(JobAdmission, InfeasibleJobIsRefusedPermanently) {
  Admission a;
  EXPECT_EQ(a.FaultOf(Job("job-1")), std::nullopt);
  JobSpec alien = Job("job-1");
  alien.team = "red";
  EXPECT_EQ(a.FaultOf(alien), AdmissionFault::kUnknownTeam);
  JobSpec huge = Job("job-1");
  huge.task_resources.cpus = 16001;
  EXPECT_EQ(a.FaultOf(huge), AdmissionFault::kFitsNoMachine);
  JobSpec elsewhere = Job("job-1");
  elsewhere.zone = "z2";
  EXPECT_EQ(a.FaultOf(elsewhere), AdmissionFault::kFitsNoMachine);
  a.settings.teams[0].cpus_max = 7000;
  EXPECT_EQ(a.FaultOf(Job("job-1")), std::nullopt);  // an array needs room for one task
  EXPECT_EQ(a.FaultOf(Job("job-1", JobKind::kService)), AdmissionFault::kAboveTeamLimit);
  EXPECT_FALSE(IsTemporary(AdmissionFault::kAboveTeamLimit));
}

TEST(JobAdmission, JobIsRefusedTemporarilyWhileTheControllerIsNotReady) {
  Admission a;
  a.status.state_fresh = false;
  EXPECT_EQ(a.FaultOf(Job("job-1")), AdmissionFault::kNotReady);
  JobSpec alien = Job("job-1");
  alien.team = "red";
  EXPECT_EQ(a.FaultOf(alien), AdmissionFault::kUnknownTeam);  // also while not ready
  a.status.state_fresh = true;
  a.write_budget.Force(kNow, 151);
  EXPECT_EQ(a.FaultOf(Job("job-1")), AdmissionFault::kTooManySubmissions);
  EXPECT_TRUE(IsTemporary(AdmissionFault::kTooManySubmissions));
}

TEST(JobAdmission, DependenciesRequireAllControllersToSupportThem) {
  Admission a;
  a.status.all_current = false;
  JobSpec spec = Job("job-2");
  EXPECT_EQ(a.FaultOf(spec), std::nullopt);
  spec.dependencies = {"job-1"};
  EXPECT_EQ(a.FaultOf(spec), AdmissionFault::kMixedVersions);
}

TEST(JobAdmission, DependencyOnAServiceIsRefused) {
  Admission a;
  a.jobs.Put(Job("job-1", JobKind::kService), JobState::kOpen, 3);
  JobSpec spec = Job("job-2");
  spec.dependencies = {"job-1"};
  ASSERT_TRUE(a.admission.CheckDependencies(spec).has_value());
  EXPECT_EQ(a.admission.CheckDependencies(spec)->code, AdmissionFault::kDependsOnService);
}

// --- choice of a shard -----------------------------------------------------------

struct Shards {
  explicit Shards(int count) : loads(count) { loads.type = LargeType(); }

  test::FakeLoads::Machine* AddMachine(int shard_id, const std::string& name) {
    test::FakeLoads::Machine machine;
    machine.assigned.name = name;
    machine.assigned.addr = "10.0.0.1:1";
    machine.assigned.type = "large";
    machine.assigned.zone = "z1";
    auto& machines = loads.shards[static_cast<size_t>(shard_id)];
    machines.push_back(machine);
    return &machines.back();
  }

  test::FakeLoads loads;
  ShardBacklog backlog{&loads};
  ShardSelector selector{&loads, &backlog};
};

TEST(ShardBacklog, CountsPendingWorkOfAtLeastEachPriority) {
  Shards s(2);
  JobSpec normal = Job("job-1");
  s.loads.waiting = {{1, normal, 3}};
  const auto at = [&](int shard_id, Priority least) {
    return s.backlog.Cpus()[static_cast<size_t>(shard_id)][static_cast<size_t>(least)];
  };
  EXPECT_EQ(at(1, Priority::kLow), 12000);
  EXPECT_EQ(at(1, Priority::kNormal), 12000);
  EXPECT_EQ(at(1, Priority::kHigh), 0);
  EXPECT_EQ(at(0, Priority::kLow), 0);
}

TEST(ShardBacklog, IsRecomputedAfterFortyMilliseconds) {
  Shards s(1);
  EXPECT_EQ(s.backlog.Cpus()[0][0], 0);
  s.loads.waiting = {{0, Job("job-1"), 1}};
  s.loads.last_tick += 39 * kMillisecond;
  EXPECT_EQ(s.backlog.Cpus()[0][0], 0);
  s.loads.last_tick += kMillisecond;
  EXPECT_EQ(s.backlog.Cpus()[0][0], 4000);
}

TEST(ShardSelector, SelectsTheShardWithMostFreeCpus) {
  Shards s(2);
  s.AddMachine(0, "a")->used_by_priority[static_cast<size_t>(Priority::kNormal)] = {16000, 0, 0};
  s.AddMachine(1, "b");
  const std::vector<ShardCapacity> capacities = s.selector.CapacitiesFor(Job("job-1"));
  EXPECT_EQ(capacities[0].placeable_tasks, 0);
  EXPECT_EQ(capacities[0].suitable_machines, 1);
  EXPECT_EQ(capacities[1].placeable_tasks, 2);
  EXPECT_DOUBLE_EQ(capacities[1].available_cpus, 16000);
  EXPECT_EQ(s.selector.SelectFor(Job("job-1")), 1);
}

TEST(ShardSelector, SubtractsTheBacklog) {
  Shards s(2);
  s.AddMachine(0, "a");
  s.AddMachine(1, "b");
  s.loads.waiting = {{0, Job("job-8"), 4}};
  EXPECT_DOUBLE_EQ(s.selector.CapacitiesFor(Job("job-1"))[0].available_cpus, 0);
  EXPECT_EQ(s.selector.SelectFor(Job("job-1")), 1);
}

TEST(ShardSelector, CountsPreemptibleCapacityForProductionWork) {
  Shards s(1);
  s.AddMachine(0, "a")->used_by_priority[static_cast<size_t>(Priority::kLow)] = {16000, 0, 0};
  JobSpec critical = Job("job-1", JobKind::kService);
  EXPECT_EQ(s.selector.CapacitiesFor(critical)[0].placeable_tasks, 0);
  critical.priority = Priority::kProduction;
  EXPECT_EQ(s.selector.CapacitiesFor(critical)[0].placeable_tasks, 2);
}

TEST(ShardSelector, PrefersTheShardThatCachesTheServicesImage) {
  Shards s(2);
  s.AddMachine(0, "a");
  s.AddMachine(1, "b");
  const JobSpec service = Job("job-1", JobKind::kService);
  s.loads.caches = {{"b", "img"}};
  EXPECT_EQ(s.selector.CapacitiesFor(service)[1].ready_tasks, 2);
  EXPECT_EQ(s.selector.SelectFor(service), 1);
  s.loads.caches = {{"a", "img"}};
  EXPECT_EQ(s.selector.SelectFor(service), 0);
}

TEST(ShardSelector, AvoidsShardsWithoutALeader) {
  Shards s(2);
  s.AddMachine(0, "a");
  s.loads.leaderless = {0};
  EXPECT_EQ(s.selector.SelectFor(Job("job-1")), 1);
}

}  // namespace
}  // namespace troutlink
