// Lists and watches of the key-value store, and publication of this node's version.
#include "core/store/replica_sync.h"

#include <optional>
#include <utility>
#include <vector>

#include "core/io/event.h"
#include "core/store/commit_answer.h"
#include "core/store/records.h"

namespace troutlink {

namespace {
constexpr Micros kWatchWait = 2 * kSecond;
constexpr Micros kWatchLatency = 1500 * kMillisecond;  // network latency of a watch
constexpr Micros kListTimeout = 2 * kSecond;
constexpr Micros kPublishTimeout = 1500 * kMillisecond;
constexpr double kMinRequestsForWatch = 20;  // requests
constexpr int kListPageSize = 500;           // records per page
}  // namespace

void ReplicaSync::Run(Micros now) {
  switch (feed_.NextStep(now)) {
    case ReplicaFeed::Step::kList: StartList(now); break;
    case ReplicaFeed::Step::kWatch: StartWatch(now); break;
    case ReplicaFeed::Step::kWait: break;
  }
}

void ReplicaSync::StartList(Micros now) {
  feed_.ListStarted(now);
  list_items_.clear();
  ReadListPage("");
}

void ReplicaSync::ReadListPage(const std::string& after) {
  collaborators_.effects->Send(Dest::kState, "", "GET",
                               wire::ListTarget(kKeyPrefix, after, kListPageSize), "", kListTimeout,
                               [this](Micros answered, int status, const std::string& body) {
                                 OnListPage(answered, DecodeStateListAnswer(status, body));
                               });
}

void ReplicaSync::OnListPage(Micros now, std::optional<wire::StatePage> page) {
  if (!page) {
    feed_.ListFailed(now);
    return;
  }
  collaborators_.node_health->NoteStateAnswer(now);
  feed_.ListPageRead(page->revision);
  for (StateItem& item : page->items) {
    list_items_[item.key] = {std::move(item.value), item.version};
  }
  if (page->more && !page->items.empty()) {
    ReadListPage(page->items.back().key);
  } else {
    FinishList(now);
  }
}

void ReplicaSync::FinishList(Micros now) {
  EraseUnlisted(now);
  for (const auto& [key, item] : list_items_) {
    collaborators_.replica->ApplyPut(now, key, item.value, item.version);
  }
  list_items_.clear();
  collaborators_.replica->FinishBatch(now);
  feed_.ListFinished(now);
  collaborators_.effects->Log(LogLine::Level::kInfo,
                              Event("replica_listed")
                                  .With("revision", feed_.revision())
                                  .WithSpan("age_ms", now - feed_.complete_up_to())
                                  .With("open_jobs", collaborators_.jobs->open().size())
                                  .With("jobs", collaborators_.jobs->jobs().size())
                                  .text());
  collaborators_.observer->OnCaughtUp(ReplicaObserver::Source::kList, feed_.complete_up_to());
  StartWatch(now);
}

void ReplicaSync::EraseUnlisted(Micros now) {
  std::vector<std::string> deleted;
  collaborators_.replica->VisitListed([&](const std::string& key, uint64_t version) {
    if (version <= feed_.list_revision() && list_items_.count(key) == 0) deleted.push_back(key);
  });
  for (const std::string& key : deleted)
    collaborators_.replica->ApplyErase(now, key, feed_.list_revision());
}

void ReplicaSync::StartWatch(Micros now) {
  feed_.WatchStarted();
  collaborators_.effects->Send(
      Dest::kWatch, "", "GET", wire::WatchTarget(kKeyPrefix, feed_.revision(), kWatchWait), "",
      kWatchWait + kWatchLatency,
      [this, sent = now](Micros answered, int status, const std::string& body) {
        OnWatchAnswered(answered, sent, DecodeWatchAnswer(status, body));
      });
}

void ReplicaSync::OnWatchAnswered(Micros now, Micros sent, const WatchAnswer& answer) {
  switch (answer.outcome) {
    case WatchOutcome::kTooOld:
      collaborators_.effects->Log(LogLine::Level::kInfo,
                                  Event("watch_too_old").With("revision", feed_.revision()).text());
      feed_.WatchTooOld(now);
      return;
    case WatchOutcome::kFailed: feed_.WatchFailed(now); return;
    case WatchOutcome::kChanges: break;
  }
  collaborators_.node_health->NoteStateAnswer(now);
  ApplyEvents(now, answer.changes.events);
  feed_.WatchAnswered(now, sent, answer.changes.revision);
  collaborators_.observer->OnCaughtUp(ReplicaObserver::Source::kWatch, feed_.complete_up_to());
  // Each change ends a watch. If the request budget is low, delay the next watch, so that its
  // answer batches more changes.
  if (feed_.list_requested()) {
    StartList(now);
  } else if (collaborators_.state_requests->Has(now, kMinRequestsForWatch)) {
    StartWatch(now);
  } else {
    feed_.DelayWatch(now);
  }
}

void ReplicaSync::ApplyEvents(Micros now, const std::vector<StateEvent>& events) {
  for (const StateEvent& event : events) {
    if (event.erase) {
      collaborators_.replica->ApplyErase(now, event.key, event.version);
    } else {
      collaborators_.replica->ApplyPut(now, event.key, event.value, event.version);
    }
  }
  collaborators_.replica->FinishBatch(now);
}

void ReplicaSync::PublishVersion(Micros now) {
  if (!feed_.synced() || !collaborators_.node_health->StateFresh(now) ||
      !collaborators_.cluster_version->PublishDue(now))
    return;
  // An earlier process of this node may have had version 1, whose commits may still be applied late
  // under its leadership record, without the table header that commits of version 2 rely on.
  if (collaborators_.replica->HasLeadershipOfOtherProcess(settings_.label, boot_)) return;
  const StateTxn txn = collaborators_.cluster_version->BeginPublish();
  collaborators_.state_writes->Force(now, 1);
  collaborators_.observer->OnStateWriteSent();
  collaborators_.effects->Send(
      Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kPublishTimeout,
      [this, write = txn.writes[0]](Micros answered, int status, const std::string& body) {
        OnVersionPublished(answered, write, status, body);
      });
}

void ReplicaSync::OnVersionPublished(Micros now, const StateWrite& write, int status,
                                     const std::string& body) {
  collaborators_.cluster_version->PublishAnswered(now);
  const CommitAnswer answer = DecodeCommitAnswer(status, body);
  if (answer.outcome != TransactionOutcome::kCommitted || !answer.revision) return;
  collaborators_.node_health->NoteStateAnswer(now);
  collaborators_.replica->ApplyPut(now, write.key, write.value, *answer.revision);
}

}  // namespace troutlink
