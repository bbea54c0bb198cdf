// Unit tests of permits (src/core/leadership/permits.h).
#include <gtest/gtest.h>

#include "core/leadership/permits.h"

namespace troutlink {
namespace {

constexpr Micros kNow = 100 * kSecond;

StartFacts Startable() {
  StartFacts facts;
  facts.is_leader = true;
  facts.assigned = true;
  facts.job_state = KnownJobState::kOpen;
  facts.now = kNow;
  facts.cancellations_bound = kNow + 1;
  return facts;
}

// The refusal of a start after `change` to otherwise sufficient facts.
template <typename Change>
Refusal RefusalOf(const Change& change) {
  StartFacts facts = Startable();
  change(&facts);
  const auto judged = facts.Evaluate();
  EXPECT_FALSE(judged);
  return judged.error().code;
}

TEST(Permits, StartRequiresEveryFact) {
  EXPECT_TRUE(Startable().Evaluate());
  EXPECT_EQ(RefusalOf([](StartFacts* f) { f->is_leader = false; }), Refusal::kNotLeader);
  EXPECT_EQ(RefusalOf([](StartFacts* f) { f->assigned = false; }), Refusal::kNotAssigned);
  EXPECT_EQ(RefusalOf([](StartFacts* f) { f->job_state = KnownJobState::kUnknown; }),
            Refusal::kJobUnknown);
  EXPECT_EQ(RefusalOf([](StartFacts* f) { f->job_state = KnownJobState::kBlocked; }),
            Refusal::kJobBlocked);
  EXPECT_EQ(RefusalOf([](StartFacts* f) { f->job_state = KnownJobState::kCancelled; }),
            Refusal::kJobFinished);
  EXPECT_EQ(RefusalOf([](StartFacts* f) { f->job_state = KnownJobState::kDone; }),
            Refusal::kJobFinished);
  EXPECT_EQ(RefusalOf([](StartFacts* f) { f->process_paused = true; }), Refusal::kProcessPaused);
  EXPECT_EQ(RefusalOf([](StartFacts* f) { f->cancellations_bound = kNow; }),
            Refusal::kCancellationsStale);
}

TEST(Permits, OnlyFactsDecidedByTheCommitCountAsViolations) {
  EXPECT_EQ(ViolationOf(Refusal::kNotLeader), Violation::kStartWithoutLeadership);
  EXPECT_EQ(ViolationOf(Refusal::kNotAssigned), Violation::kStartUnassigned);
  EXPECT_EQ(ViolationOf(Refusal::kJobBlocked), Violation::kStartBlocked);
  for (const Refusal ordinary :
       {Refusal::kJobUnknown, Refusal::kJobFinished, Refusal::kProcessPaused,
        Refusal::kCancellationsStale, Refusal::kReplicaStale}) {
    EXPECT_EQ(ViolationOf(ordinary), std::nullopt) << NameOf(ordinary);
  }
}

TEST(Permits, LeaseIsRenewedOnlyBeforeTheBound) {
  EXPECT_TRUE((RenewalFacts{kNow, kNow + 1, 0}.Evaluate()));
  EXPECT_FALSE((RenewalFacts{kNow, kNow, 0}.Evaluate()));
  // On behalf of another node, allow for commands in flight.
  EXPECT_TRUE((RenewalFacts{kNow, kNow + 2 * kSecond + 1, 2 * kSecond}.Evaluate()));
  EXPECT_FALSE((RenewalFacts{kNow, kNow + 2 * kSecond, 2 * kSecond}.Evaluate()));
  EXPECT_EQ((RenewalFacts{kNow, 0, 0}.Evaluate().error().code), Refusal::kCancellationsStale);
}

TEST(Permits, OpenAnswerRequiresCurrentDependencies) {
  constexpr Micros kMost = 20 * kSecond;
  EXPECT_TRUE((OpenAnswerFacts{KnownJobState::kOpen, false, 90 * kSecond, kMost}.Evaluate()));
  EXPECT_TRUE((OpenAnswerFacts{KnownJobState::kBlocked, true, kMost - 1, kMost}.Evaluate()));
  EXPECT_EQ((OpenAnswerFacts{KnownJobState::kBlocked, true, kMost, kMost}.Evaluate().error().code),
            Refusal::kReplicaStale);
  EXPECT_EQ((OpenAnswerFacts{KnownJobState::kCancelled, true, 0, kMost}.Evaluate().error().code),
            Refusal::kJobFinished);
  EXPECT_EQ((OpenAnswerFacts{KnownJobState::kUnknown, false, 0, kMost}.Evaluate().error().code),
            Refusal::kJobUnknown);
}

TEST(Permits, CountsEachReasonSeparately) {
  EnumCounter<Refusal, kRefusals> refusals;
  refusals.Add(Refusal::kJobFinished);
  refusals.Add(Refusal::kJobFinished);
  refusals.Add(Refusal::kProcessPaused);
  EXPECT_EQ(refusals.Of(Refusal::kJobFinished), 2U);
  EXPECT_EQ(refusals.Of(Refusal::kProcessPaused), 1U);
  EXPECT_EQ(refusals.Of(Refusal::kNotLeader), 0U);
  EXPECT_EQ(refusals.Total(), 3U);
}

}  // namespace
}  // namespace troutlink
