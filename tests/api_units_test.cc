// Unit tests of requests, polls and cancellations (src/core/api).
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "api_fakes.h"
#include "core/api/commit_outcome.h"
#include "core/api/job_queries.h"
#include "core/api/job_record_store.h"
#include "core/api/request_forwarder.h"
#include "wire/pack.h"

namespace troutlink {
namespace {

using ::testing::AllOf;
using ::testing::ElementsAre;
using ::testing::Field;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::SizeIs;
using wire::Json;

using test::Committed;
using test::Conflict;
using test::Controller;
using test::Job;
using test::kNow;
using test::Queries;
using test::Response;

constexpr uint64_t kFirstForward = 1000000;

// --- outcomes of commits -----------------------------------------------------

TEST(CommitOutcomes, OnlyAReadableAnswerIsCommitted) {
  const CommitOutcome outcome = DecodeCommitOutcome(200, Committed(7));
  EXPECT_EQ(outcome.kind, CommitOutcome::Kind::kCommitted);
  EXPECT_EQ(outcome.revision, 7u);
  EXPECT_EQ(DecodeCommitOutcome(200, "?").kind, CommitOutcome::Kind::kUnknown);
  EXPECT_EQ(DecodeCommitOutcome(500, "").kind, CommitOutcome::Kind::kUnknown);
  EXPECT_EQ(DecodeCommitOutcome(kNoAnswer, "").kind, CommitOutcome::Kind::kUnknown);
  EXPECT_EQ(DecodeCommitOutcome(429, "").kind, CommitOutcome::Kind::kRateLimited);
}

TEST(CommitOutcomes, ConflictIsDefiniteWithoutItsKeys) {
  const CommitOutcome named = DecodeCommitOutcome(409, Conflict("job-1"));
  EXPECT_EQ(named.kind, CommitOutcome::Kind::kConflict);
  EXPECT_TRUE(named.readable);
  EXPECT_THAT(named.failed_keys, ElementsAre(JobKey("job-1")));
  const CommitOutcome unread = DecodeCommitOutcome(409, "?");
  EXPECT_EQ(unread.kind, CommitOutcome::Kind::kConflict);
  EXPECT_FALSE(unread.readable);
}

// --- records -------------------------------------------------------------------

struct Records : Controller {
  JobRecordStore store{&effects, &write_budget, &state_budget, &jobs, &status, &counters};
};

TEST(JobRecordStore, AppliesACommitBeforeCallingBack) {
  Records r;
  JobRecord record;
  record.spec = Job("job-1");
  bool known_when_told = false;
  r.store.Write(kNow, "job-1", 0, EncodeJob(record), [&](Micros, const CommitOutcome& outcome) {
    EXPECT_EQ(outcome.kind, CommitOutcome::Kind::kCommitted);
    known_when_told = r.jobs.FindJob("job-1") != nullptr;
  });
  r.StateAnswers(kNow + 1, 200, Committed(5));
  EXPECT_TRUE(known_when_told);
  EXPECT_EQ(r.jobs.FindJob("job-1")->version, 5u);
  EXPECT_EQ(r.status.state_answered, kNow + 1);
  EXPECT_EQ(r.counters.record_writes, 1u);
}

TEST(JobRecordStore, RateLimitedWriteDrainsTheBudget) {
  Records r;
  r.store.Write(kNow, "job-1", 0, EncodeJob({}), [](Micros, const CommitOutcome&) {});
  r.StateAnswers(kNow, 429, "");
  EXPECT_LE(r.write_budget.tokens(), 0);
  EXPECT_EQ(r.status.state_answered, 0);
}

TEST(JobRecordStore, RefreshRequiresSpareRequests) {
  Records r;
  r.state_budget.Drain(kNow);
  r.store.Refresh(kNow, "job-1");
  EXPECT_THAT(r.effects.TakeOutbox().calls, IsEmpty());
  bool answered_at = false;
  r.store.Read("job-1", [&](Micros, bool read) { answered_at = !read; });
  r.StateAnswers(kNow, kNoAnswer, "");
  EXPECT_TRUE(answered_at);
}

// --- forwarding ----------------------------------------------------------------

struct Forwarding : Controller {
  RequestForwarder forwarder{kFirstForward, &effects, &status, &cancellations, &counters};
  const Request poll{1, "GET", "/api/jobs/job-1", ""};
  const Request cancel{2, "POST", "/api/jobs/job-1/abort", ""};

  // The only forward since the last call.
  mesh::ForwardedRequest Sent() {
    const Outbox outbox = effects.TakeOutbox();
    EXPECT_THAT(outbox.peers, SizeIs(1));
    return outbox.peers.empty() ? mesh::ForwardedRequest()
                                : std::get<mesh::ForwardedRequest>(outbox.peers[0].message);
  }
  std::vector<Reply> Replies() { return effects.TakeOutbox().replies; }
};

TEST(RequestForwarder, WaitingRequestIsForwardedOnce) {
  Forwarding f;
  f.forwarder.Register(kNow, f.poll, false);
  f.forwarder.Tick(kNow + 100 * kMillisecond);
  EXPECT_THAT(f.effects.TakeOutbox().peers, IsEmpty());
  EXPECT_FALSE(f.forwarder.MayHaveCopy(1));
  f.forwarder.Tick(kNow + 101 * kMillisecond);
  const mesh::ForwardedRequest sent = f.Sent();
  EXPECT_EQ(sent.id, kFirstForward);
  EXPECT_EQ(sent.target, f.poll.target);
  EXPECT_TRUE(f.forwarder.MayHaveCopy(1));
  f.forwarder.Tick(kNow + 200 * kMillisecond);
  EXPECT_THAT(f.effects.TakeOutbox().peers, IsEmpty());
  EXPECT_EQ(f.counters.forwards, 1u);
}

TEST(RequestForwarder, FirstDefiniteAnswerCounts) {
  Forwarding f;
  f.forwarder.Register(kNow, f.poll, true);
  const uint64_t id = f.Sent().id;
  f.forwarder.Answer(1, 503, "own", 1);
  EXPECT_THAT(f.Replies(), IsEmpty());  // in progress at the peer
  f.forwarder.HandleReply(kNow, {id, 200, 0, "peer's"});
  EXPECT_THAT(f.Replies(), ElementsAre(AllOf(Response(1, 200), Field(&Reply::body, "peer's"))));
  f.forwarder.HandleReply(kNow, {id, 200, 0, "again"});
  EXPECT_THAT(f.Replies(), IsEmpty());
}

TEST(RequestForwarder, OwnRefusalIsSentIfThePeerRefusesToo) {
  Forwarding f;
  f.forwarder.Register(kNow, f.poll, true);
  const uint64_t id = f.Sent().id;
  f.forwarder.Answer(1, 429, "own", 3);
  f.forwarder.HandleReply(kNow, {id, 503, 1, "peer's"});
  EXPECT_THAT(f.Replies(), ElementsAre(AllOf(Response(1, 429), Field(&Reply::body, "own"),
                                             Field(&Reply::retry_after_s, 3))));
}

TEST(RequestForwarder, CancellationIsNotAnsweredNotFoundWhileAPeerHasACopy) {
  Forwarding f;
  f.forwarder.Register(kNow, f.cancel, true);
  f.Sent();
  f.forwarder.Answer(2, 404, "no such job");
  EXPECT_THAT(f.Replies(), IsEmpty());
  f.forwarder.Tick(kNow + 2 * kSecond + 1);
  EXPECT_THAT(f.Replies(), ElementsAre(Response(2, 503)));
}

TEST(RequestForwarder, CancellationInAPeersAnswerIsRecorded) {
  Forwarding f;
  f.forwarder.Register(kNow, f.cancel, true);
  const uint64_t id = f.Sent().id;
  f.forwarder.HandleReply(kNow, {id, 200, 0, wire::EncodeJobState("job-1", JobPhase::kCancelled)});
  EXPECT_THAT(f.cancellations.learnt, ElementsAre("job-1"));
}

TEST(RequestForwarder, UnansweredRequestTimesOut) {
  Forwarding f;
  f.status.fresh_peer.clear();
  f.forwarder.Register(kNow, f.poll, true);
  f.forwarder.Tick(kNow + 10 * kSecond);
  EXPECT_THAT(f.Replies(), IsEmpty());
  f.forwarder.Tick(kNow + 10 * kSecond + 1);
  EXPECT_THAT(f.Replies(), ElementsAre(Response(1, 503)));
}

TEST(RequestForwarder, JobWithDependenciesIsNotForwardedToOlderVersions) {
  Forwarding f;
  f.status.all_current = false;
  JobSpec spec = Job("job-2");
  spec.dependencies = {"job-1"};
  f.forwarder.Register(kNow, {3, "POST", "/api/jobs", wire::EncodeSubmission(spec)}, true);
  EXPECT_THAT(f.effects.TakeOutbox().peers, IsEmpty());
  EXPECT_EQ(f.counters.not_forwarded, 1u);
  f.forwarder.Register(kNow, {4, "POST", "/api/jobs", wire::EncodeSubmission(Job("job-3"))}, true);
  EXPECT_THAT(f.effects.TakeOutbox().peers, SizeIs(1));
}

TEST(RequestForwarder, AnswerToAForwardedRequestGoesToThePeer) {
  Forwarding f;
  const std::optional<Request> request =
      f.forwarder.Accept("north", {77, "GET", "/api/jobs/job-1", ""});
  ASSERT_TRUE(request.has_value());
  EXPECT_TRUE(f.forwarder.MayHaveCopy(request->id));
  f.forwarder.Answer(request->id, 200, "body");
  const Outbox outbox = f.effects.TakeOutbox();
  EXPECT_THAT(outbox.replies, IsEmpty());
  ASSERT_THAT(outbox.peers, SizeIs(1));
  EXPECT_EQ(outbox.peers[0].to, "north");
  EXPECT_EQ(std::get<mesh::ForwardedResponse>(outbox.peers[0].message),
            (mesh::ForwardedResponse{77, 200, 0, "body"}));
}

TEST(RequestForwarder, AcceptsAtMostAThousandForwardedRequests) {
  Forwarding f;
  for (int i = 0; i < 1000; ++i) {
    ASSERT_TRUE(f.forwarder.Accept("north", {77, "GET", "/api/jobs/job-1", ""}));
  }
  EXPECT_FALSE(f.forwarder.Accept("north", {78, "GET", "/api/jobs/job-1", ""}));
}

// --- polls and cancellations -----------------------------------------------------

TEST(JobQueries, FinishedJobIsAnsweredAtOnce) {
  Queries q;
  q.jobs.Put(Job("job-1"), JobState::kDone, 3);
  q.Poll("job-1");
  ASSERT_THAT(q.responder.replies, ElementsAre(Response(1, 200)));
  const auto status = wire::DecodeJobStatus(q.responder.replies[0].body);
  ASSERT_TRUE(status.has_value());
  EXPECT_EQ(status->state, JobPhase::kDone);
  EXPECT_EQ(status->done, 2);
}

TEST(JobQueries, OpenJobIsAnsweredOnceTheStoreConfirmsItsRecord) {
  Queries q;
  q.jobs.Put(Job("job-1"), JobState::kOpen, 3);
  q.jobs.counts = {1, 1};
  q.Poll("job-1");
  q.Poll("job-9", 2);  // unknown
  EXPECT_THAT(q.responder.replies, IsEmpty());
  q.queries.CheckQueued(kNow);
  q.StateAnswers(kNow, 200, Committed(9));
  EXPECT_THAT(q.responder.replies, ElementsAre(Response(1, 200), Response(2, 404)));
  EXPECT_EQ(wire::DecodeJobStatus(q.responder.replies[0].body)->state, JobPhase::kRunning);
}

TEST(JobQueries, StaleRecordIsReadAgainAndChecked) {
  Queries q;
  q.jobs.Put(Job("job-1"), JobState::kOpen, 3);
  q.Poll("job-1");
  q.queries.CheckQueued(kNow);
  q.StateAnswers(kNow, 409, Conflict("job-1"));
  EXPECT_THAT(q.responder.replies, IsEmpty());
  const Outbox outbox = q.effects.TakeOutbox();
  ASSERT_THAT(outbox.calls, SizeIs(1));
  EXPECT_THAT(outbox.calls[0].target, HasSubstr(JobKey("job-1")));
  q.queries.CheckQueued(kNow);
  EXPECT_THAT(q.effects.TakeOutbox().calls, SizeIs(1));
}

TEST(JobQueries, ChecksLeaveRequestsToOtherCalls) {
  Queries q;
  q.jobs.Put(Job("job-1"), JobState::kOpen, 3);
  q.Poll("job-1");
  q.state_budget.Drain(kNow);
  q.queries.CheckQueued(kNow);
  EXPECT_THAT(q.effects.TakeOutbox().calls, IsEmpty());
  q.queries.CheckQueued(kNow + 1500 * kMillisecond + 1);
  EXPECT_THAT(q.responder.replies, ElementsAre(Response(1, 503)));
}

TEST(JobQueries, AnswersThatDependOnDependenciesRequireACurrentReplica) {
  Queries q;
  JobSpec spec = Job("job-2");
  spec.dependencies = {"job-1"};
  q.jobs.Put(spec, JobState::kOpen, 3);
  q.status.replica_age = 15 * kSecond;
  q.Poll("job-2");
  q.queries.CheckQueued(kNow);
  q.StateAnswers(kNow, 200, Committed(9));
  EXPECT_THAT(q.responder.replies, ElementsAre(Response(1, 503)));
  EXPECT_EQ(q.queries.refusals().Of(Refusal::kReplicaStale), 1u);
}

TEST(JobQueries, CancellationIsAnsweredOnceItIsStoredAndSentToPeers) {
  Queries q;
  q.jobs.Put(Job("job-1"), JobState::kOpen, 3);
  q.Cancel("job-1");
  EXPECT_THAT(q.responder.replies, IsEmpty());
  q.StateAnswers(kNow, 200, Committed(9));
  EXPECT_EQ(q.jobs.FindJob("job-1")->record.state, JobState::kCancelled);
  EXPECT_EQ(q.cancellations.hastened, 1);
  EXPECT_THAT(q.responder.replies, ElementsAre(Response(1, 200)));
}

TEST(JobQueries, CancellationOfAnUnknownJobDoesNotCancelALaterOne) {
  Queries q;
  q.Cancel("job-1");
  q.queries.CheckQueued(kNow);
  q.jobs.Put(Job("job-1"), JobState::kOpen, 3);  // submitted meanwhile
  q.responder.has_copy = true;
  q.StateAnswers(kNow, 200, Committed(9));
  EXPECT_THAT(q.responder.replies, ElementsAre(Response(1, 503)));
  EXPECT_EQ(q.jobs.FindJob("job-1")->record.state, JobState::kOpen);
}

TEST(JobQueries, CancellationFailsAfterFourConflicts) {
  Queries q;
  q.jobs.Put(Job("job-1"), JobState::kOpen, 3);
  q.Cancel("job-1");
  for (int attempt = 1; attempt <= 4; ++attempt) {
    ASSERT_THAT(q.responder.replies, IsEmpty()) << attempt;
    q.StateAnswers(kNow, 409, Conflict("job-1"));
    q.effects.TakeOutbox();  // reads the record, which is unchanged
    q.queries.CheckQueued(kNow);
    q.StateAnswers(kNow, 200, Committed(9));
  }
  EXPECT_THAT(q.responder.replies, ElementsAre(Response(1, 503)));
}

}  // namespace
}  // namespace troutlink
