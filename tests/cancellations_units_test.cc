// Unit tests of the cancellation log, the session lease and the replica feed.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "core/leadership/session_lease.h"
#include "core/store/cancellations.h"
#include "core/store/replica_feed.h"

namespace troutlink {
namespace {

constexpr Micros kCancel = 30 * kSecond;
constexpr Micros kLease = 10 * kSecond;

mesh::Heartbeat Filled(const CancellationLog& log, uint64_t replica_revision) {
  mesh::Heartbeat heartbeat;
  log.FillHeartbeat(replica_revision, &heartbeat);
  return heartbeat;
}

mesh::Heartbeat PongTo(uint64_t ping, uint64_t replica_revision,
                       uint64_t cancellations_complete_above = 0) {
  mesh::Heartbeat pong;
  pong.seq = ping;
  pong.replica_revision = replica_revision;
  pong.cancellations_complete_above = cancellations_complete_above;
  return pong;
}

TEST(CancellationLog, ReportsCancellationsAboveThePeersRevision) {
  CancellationLog log(kCancel, kLease);
  log.AddCommitted(5, "a");
  log.AddCommitted(9, "c");
  log.AddCommitted(7, "b");
  EXPECT_EQ(Filled(log, 0).cancelled_jobs, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(Filled(log, 5).cancelled_jobs, (std::vector<std::string>{"b", "c"}));
  EXPECT_EQ(Filled(log, 8).cancelled_jobs, (std::vector<std::string>{"c"}));
  EXPECT_TRUE(Filled(log, 9).cancelled_jobs.empty());
  EXPECT_EQ(Filled(log, 0).cancellations_complete_above, 0u);
}

TEST(CancellationLog, IsBoundedAndReportsWhereItIsComplete) {
  CancellationLog log(kCancel, kLease);
  const uint64_t most = CancellationLog::kMaxCommitted;
  for (uint64_t revision = 1; revision <= most; ++revision) {
    log.AddCommitted(revision, "job" + std::to_string(revision));
  }
  EXPECT_EQ(Filled(log, 0).cancelled_jobs.size(), most);
  EXPECT_EQ(Filled(log, 0).cancellations_complete_above, 0u);
  log.AddCommitted(most + 1, "x");
  log.AddCommitted(most + 2, "y");
  const mesh::Heartbeat heartbeat = Filled(log, 0);
  EXPECT_EQ(heartbeat.cancelled_jobs.size(), most);
  EXPECT_EQ(heartbeat.cancelled_jobs.front(), "job3");
  EXPECT_EQ(heartbeat.cancelled_jobs.back(), "y");
  EXPECT_EQ(heartbeat.cancellations_complete_above, 2u);  // 1 and 2 were dropped
  // A late one below the bound is dropped at once, and the bound stays.
  log.AddCommitted(1, "job1");
  EXPECT_EQ(Filled(log, 0).cancelled_jobs.front(), "job3");
  EXPECT_EQ(Filled(log, 0).cancellations_complete_above, 2u);
}

TEST(CancellationLog, KeepsReportedCancellationsUntilTheReplicaHasThem) {
  CancellationLog log(kCancel, kLease);
  EXPECT_FALSE(log.IsReported("a"));
  EXPECT_TRUE(log.AddReported("a"));
  EXPECT_FALSE(log.AddReported("a"));
  EXPECT_TRUE(log.IsReported("a"));
  // Reported cancellations have no revision and are sent to all peers.
  EXPECT_EQ(Filled(log, 1000).cancelled_jobs, (std::vector<std::string>{"a"}));
  log.ForgetReported("a");
  EXPECT_FALSE(log.IsReported("a"));
  EXPECT_TRUE(Filled(log, 0).cancelled_jobs.empty());
}

TEST(CancellationLog, OmitsReportedCancellationsOnlyFromAFullMessage) {
  CancellationLog log(kCancel, kLease);
  for (uint64_t revision = 1; revision <= CancellationLog::kMaxInMessage - 1; ++revision) {
    log.AddCommitted(revision, "job");
  }
  log.AddReported("a");
  log.AddReported("b");
  EXPECT_EQ(Filled(log, 0).cancelled_jobs.size(), CancellationLog::kMaxInMessage);
  EXPECT_EQ(Filled(log, 0).cancelled_jobs.back(), "a");
  EXPECT_EQ(Filled(log, 1).cancelled_jobs.size(), CancellationLog::kMaxInMessage);
  EXPECT_EQ(Filled(log, 1).cancelled_jobs.back(), "b");
}

TEST(CancellationLog, RenewsNoLeaseBeforeTheReplicaWasComplete) {
  CancellationLog log(kCancel, kLease);
  EXPECT_FALSE(log.ReplicaWasComplete());
  EXPECT_FALSE(log.MayRenewLeases(1));  // a clock near 0 must not look like a recent read
  log.ReplicaCompleteUpTo(kSecond);
  EXPECT_TRUE(log.ReplicaWasComplete());
  EXPECT_TRUE(log.MayRenewLeases(2 * kSecond));
}

TEST(CancellationLog, WithoutPeersTheBoundFollowsTheClock) {
  CancellationLog log(kCancel, kLease);
  log.ReplicaCompleteUpTo(kSecond);
  EXPECT_EQ(log.KnownUpTo(3600 * kSecond), 3600 * kSecond);
  EXPECT_TRUE(log.MayRenewLeases(3600 * kSecond));
}

TEST(CancellationLog, BoundIsTheEarliestOverThePeers) {
  CancellationLog log(kCancel, kLease);
  log.AddPeer("b");
  log.AddPeer("c");
  log.ReplicaCompleteUpTo(10 * kSecond);
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), 10 * kSecond);
  log.PingSent("b", 1, 20 * kSecond, 7);
  log.PingSent("c", 2, 30 * kSecond, 7);
  log.PongReceived("c", PongTo(2, 7));
  EXPECT_EQ(log.KnownUpTo(100 * kSecond),
            10 * kSecond);  // nothing known of b since the replica's time
  log.PongReceived("b", PongTo(1, 7));
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), 20 * kSecond);  // time of the ping
  log.ReplicaCompleteUpTo(25 * kSecond);                  // applies to all peers
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), 25 * kSecond);
  log.ReplicaCompleteUpTo(24 * kSecond);  // late answers do not move it back
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), 25 * kSecond);
  EXPECT_EQ(log.KnownUpTo(22 * kSecond), 22 * kSecond);
}

TEST(CancellationLog, RenewsUpToTheBoundAndNotAtIt) {
  CancellationLog log(kCancel, kLease);
  log.AddPeer("b");
  log.ReplicaCompleteUpTo(100 * kSecond);
  const Micros end = 100 * kSecond + ShortestOnOtherClock(kCancel) - LongestOnOtherClock(kLease) -
                     CancellationLog::kRenewMargin;
  EXPECT_TRUE(log.MayRenewLeases(end - 1));
  EXPECT_FALSE(log.MayRenewLeases(end));
}

TEST(CancellationLog, CountsOnlyCompletePongs) {
  CancellationLog log(kCancel, kLease);
  log.AddPeer("b");
  log.ReplicaCompleteUpTo(kSecond);
  log.PingSent("b", 1, 10 * kSecond, 7);
  log.PongReceived("b", PongTo(1, 0));  // the peer has read nothing yet
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), kSecond);
  log.PongReceived("b", PongTo(1, 7));  // a second pong to the same ping
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), kSecond);
  log.PingSent("b", 2, 11 * kSecond, 7);
  log.PongReceived("b", PongTo(2, 20, 8));  // dropped some above this replica's revision
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), kSecond);
  log.PingSent("b", 3, 12 * kSecond, 8);
  log.PongReceived("b", PongTo(3, 20, 8));
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), 12 * kSecond);
}

TEST(CancellationLog, IgnoresPongsOutOfOrderAndToForgottenPings) {
  CancellationLog log(kCancel, kLease);
  log.AddPeer("b");
  log.ReplicaCompleteUpTo(kSecond);
  log.PingSent("b", 1, 10 * kSecond, 7);
  log.PingSent("b", 2, 11 * kSecond, 7);
  log.PongReceived("b", PongTo(2, 7));
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), 11 * kSecond);
  log.PongReceived("b", PongTo(1, 7));
  EXPECT_EQ(log.KnownUpTo(100 * kSecond), 11 * kSecond);
  // More pings in flight than are kept: the oldest is dropped.
  for (uint64_t ping = 10; ping <= 10 + CancellationLog::kMaxPings; ++ping) {
    log.PingSent("b", ping, (10 + static_cast<Micros>(ping)) * kSecond, 7);
  }
  log.PongReceived("b", PongTo(10, 7));
  EXPECT_EQ(log.KnownUpTo(200 * kSecond), 11 * kSecond);
  log.PongReceived("b", PongTo(11, 7));
  EXPECT_EQ(log.KnownUpTo(200 * kSecond), 21 * kSecond);
}

constexpr Micros kLife = 4 * kSecond;

using Answer = SessionLease::RenewalAnswer;

TEST(SessionLease, IsRequestedUntilItIsGranted) {
  SessionLease lease(kLife);
  EXPECT_FALSE(lease.held());
  EXPECT_TRUE(lease.CallDue(kSecond));
  lease.OnCallSent();
  EXPECT_FALSE(lease.CallDue(kSecond));  // one call at a time
  EXPECT_FALSE(lease.CallDue(60 * kSecond));
  lease.GrantAnswered(2 * kSecond, std::nullopt);
  EXPECT_FALSE(lease.held());
  EXPECT_FALSE(lease.CallDue(2 * kSecond + 200 * kMillisecond - 1));
  EXPECT_TRUE(lease.CallDue(2 * kSecond + 200 * kMillisecond));
  lease.OnCallSent();
  lease.GrantAnswered(3 * kSecond, 77);
  EXPECT_TRUE(lease.held());
  EXPECT_EQ(lease.id(), 77u);
  EXPECT_FALSE(lease.CallDue(4 * kSecond - 1));
  EXPECT_TRUE(lease.CallDue(4 * kSecond));  // after a quarter of the TTL
}

TEST(SessionLease, IsRenewedAndRetriedAfterAFailure) {
  SessionLease lease(kLife);
  lease.OnCallSent();
  lease.GrantAnswered(kSecond, 77);
  lease.OnCallSent();
  EXPECT_EQ(lease.RenewalAnswered(3 * kSecond, 77, Answer::kRenewed),
            SessionLease::Renewal::kRenewed);
  EXPECT_FALSE(lease.CallDue(4 * kSecond - 1));
  EXPECT_TRUE(lease.CallDue(4 * kSecond));
  for (int i = 0; i < 5; ++i) {
    lease.OnCallSent();
    EXPECT_EQ(lease.RenewalAnswered(5 * kSecond, 77, Answer::kUnknown),
              SessionLease::Renewal::kFailed);
    EXPECT_TRUE(lease.held());  // no answer is no expiry
    EXPECT_FALSE(lease.CallDue(5 * kSecond + 250 * kMillisecond - 1));
    EXPECT_TRUE(lease.CallDue(5 * kSecond + 250 * kMillisecond));
  }
}

TEST(SessionLease, EndsWhenTheStoreDoesNotKnowIt) {
  SessionLease lease(kLife);
  lease.OnCallSent();
  lease.GrantAnswered(kSecond, 77);
  lease.OnCallSent();
  EXPECT_EQ(lease.RenewalAnswered(6 * kSecond, 77, Answer::kNoSuchLease),
            SessionLease::Renewal::kEnded);
  EXPECT_FALSE(lease.held());
  EXPECT_TRUE(lease.CallDue(6 * kSecond));  // requests a new one at once
}

TEST(SessionLease, IgnoresAnswersForADroppedLease) {
  SessionLease lease(kLife);
  lease.OnCallSent();
  lease.GrantAnswered(kSecond, 77);
  lease.OnCallSent();
  lease.Drop();
  EXPECT_FALSE(lease.held());
  EXPECT_EQ(lease.RenewalAnswered(3 * kSecond, 77, Answer::kNoSuchLease),
            SessionLease::Renewal::kOutdated);
  EXPECT_EQ(lease.id(), 0u);
  EXPECT_TRUE(lease.CallDue(3 * kSecond));
}

using Step = ReplicaFeed::Step;

// A feed that has read a list at revision 5, sent at 1 s, and watches.
ReplicaFeed Watching() {
  ReplicaFeed feed;
  feed.ListStarted(kSecond);
  feed.ListPageRead(5);
  feed.ListFinished(2 * kSecond);
  feed.WatchStarted();
  return feed;
}

TEST(ReplicaFeed, ListsFirstAndThenWatches) {
  ReplicaFeed feed;
  EXPECT_FALSE(feed.synced());
  EXPECT_EQ(feed.NextStep(kSecond), Step::kList);
  feed.ListStarted(kSecond);
  EXPECT_EQ(feed.NextStep(60 * kSecond), Step::kWait);  // one call at a time
  feed.ListPageRead(5);
  feed.ListPageRead(9);  // later changes arrive by the watch
  EXPECT_EQ(feed.list_revision(), 5u);
  EXPECT_FALSE(feed.synced());
  EXPECT_EQ(feed.complete_up_to(), 0);
  feed.ListFinished(2 * kSecond);
  EXPECT_TRUE(feed.synced());
  EXPECT_EQ(feed.revision(), 5u);
  EXPECT_EQ(feed.complete_up_to(), kSecond);  // time at which it was sent
  EXPECT_EQ(feed.NextStep(2 * kSecond), Step::kWatch);
  feed.WatchStarted();
  EXPECT_EQ(feed.NextStep(60 * kSecond), Step::kWait);
}

TEST(ReplicaFeed, WatchOfAnEmptyStoreStartsBeforeItsFirstChange) {
  ReplicaFeed feed;
  feed.ListStarted(kSecond);
  feed.ListPageRead(0);
  feed.ListPageRead(3);  // later pages do not change the start
  EXPECT_EQ(feed.list_revision(), 0u);
  feed.ListFinished(2 * kSecond);
  EXPECT_TRUE(feed.synced());
  EXPECT_EQ(feed.revision(), 0u);
}

TEST(ReplicaFeed, RelistsOnRequestAndStaysSyncedMeanwhile) {
  ReplicaFeed feed = Watching();
  feed.RequestList();
  EXPECT_TRUE(feed.synced());
  EXPECT_EQ(feed.NextStep(3 * kSecond), Step::kWait);  // one call at a time
  feed.WatchAnswered(3 * kSecond, 2 * kSecond, 8);
  EXPECT_EQ(feed.NextStep(3 * kSecond), Step::kList);
  feed.ListStarted(3 * kSecond);
  EXPECT_TRUE(feed.synced());
  EXPECT_FALSE(feed.list_requested());
}

TEST(ReplicaFeed, RetriesAFailedListAfterADelay) {
  ReplicaFeed feed;
  feed.ListStarted(kSecond);
  feed.ListPageRead(5);
  feed.ListFailed(2 * kSecond);
  EXPECT_FALSE(feed.synced());
  EXPECT_EQ(feed.complete_up_to(), 0);
  EXPECT_EQ(feed.NextStep(2 * kSecond + 300 * kMillisecond - 1), Step::kWait);
  EXPECT_EQ(feed.NextStep(2 * kSecond + 300 * kMillisecond), Step::kList);
  feed.ListStarted(3 * kSecond);
  EXPECT_EQ(feed.list_revision(), 0u);  // starts over
}

TEST(ReplicaFeed, WatchAdvancesTheRevision) {
  ReplicaFeed feed = Watching();
  feed.WatchAnswered(5 * kSecond, 3 * kSecond, 8);
  EXPECT_EQ(feed.revision(), 8u);
  EXPECT_EQ(feed.complete_up_to(), 3 * kSecond);
  EXPECT_EQ(feed.NextStep(5 * kSecond), Step::kWatch);
  feed.DelayWatch(5 * kSecond);
  EXPECT_EQ(feed.NextStep(5 * kSecond + 40 * kMillisecond - 1), Step::kWait);
  EXPECT_EQ(feed.NextStep(5 * kSecond + 40 * kMillisecond), Step::kWatch);
  feed.WatchStarted();
  feed.WatchAnswered(6 * kSecond, 2 * kSecond, 7);  // does not move it back
  EXPECT_EQ(feed.revision(), 8u);
  EXPECT_EQ(feed.complete_up_to(), 3 * kSecond);
}

TEST(ReplicaFeed, RetriesAWatchAndListsAfterALongGap) {
  ReplicaFeed feed = Watching();
  feed.WatchFailed(3 * kSecond);
  EXPECT_TRUE(feed.synced());
  EXPECT_EQ(feed.complete_up_to(), kSecond);
  EXPECT_EQ(feed.NextStep(3 * kSecond + 200 * kMillisecond - 1), Step::kWait);
  EXPECT_EQ(feed.NextStep(3 * kSecond + 200 * kMillisecond), Step::kWatch);
  EXPECT_EQ(feed.NextStep(8 * kSecond), Step::kWatch);     // 6 s after the list ended
  EXPECT_EQ(feed.NextStep(8 * kSecond + 1), Step::kList);  // after a longer gap
  EXPECT_TRUE(feed.synced());                              // the replica stays usable
}

TEST(ReplicaFeed, ListsAtOnceWhenTheChangesWereCompacted) {
  ReplicaFeed feed = Watching();
  feed.WatchTooOld(3 * kSecond);
  EXPECT_FALSE(feed.synced());
  EXPECT_EQ(feed.complete_up_to(), kSecond);  // unchanged
  EXPECT_EQ(feed.NextStep(3 * kSecond), Step::kList);
}

}  // namespace
}  // namespace troutlink
