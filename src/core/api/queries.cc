// Users' API: polls and cancellations.
//
// Nothing is told to a user that is not committed, and nothing is told that
// may be older than what another node told: answers about unfinished jobs are
// checked with the state service, many in one transaction that only compares.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kQueryPatience = 1500 * kMilli;
constexpr size_t kMaxQueries = 2000;
constexpr double kQueryReserve = 8;  // requests that a question leaves to the rest
constexpr int kMaxCancelTries = 4;

JobPhase PhaseOf(JobState state) {
  return state == JobState::kDone ? JobPhase::kDone : JobPhase::kCancelled;
}
}  // namespace

void Core::Poll(Micros now, Query query) {
  const JobEntry* entry = jobs_.Find(query.id);
  // Final states never change, so a copy of one is as good as the original.
  if (entry != nullptr && entry->record.state != JobState::kOpen) {
    AnswerQuery(now, query);
    return;
  }
  if (!sync_.feed().synced() || queries_.size() >= kMaxQueries) {
    Answer(query.request, 503, wire::EncodeError("not ready"),
           sync_.feed().synced() ? SpreadRetry(query.id) : kRetryAfter);
    return;
  }
  queries_.push_back(std::move(query));
}

void Core::RunQueries(Micros now) {
  // Those that waited too long get their final answer.
  while (!queries_.empty() && now - queries_.front().since > kQueryPatience) {
    Answer(queries_.front().request, 503, wire::EncodeError("state service does not answer"),
           kRetryAfter);
    queries_.pop_front();
  }
  if (query_busy_ || queries_.empty() || now < query_not_before_) return;
  // Questions have what all other requests leave of the limit: in a storm of polls the
  // state service once refused commits, watches and renewals of leases.
  if (!state_budget_.Has(now, kQueryReserve)) return;
  std::map<std::string, uint64_t> versions;
  std::vector<Query> batch;
  const auto most = static_cast<size_t>(cluster_version_.limits().conditions());
  while (!queries_.empty() && versions.size() < most) {
    Query query = std::move(queries_.front());
    queries_.pop_front();
    const JobEntry* entry = jobs_.Find(query.id);
    versions[query.id] = entry == nullptr ? 0 : entry->version;
    batch.push_back(std::move(query));
  }
  StateTxn txn;
  for (const auto& [id, version] : versions) txn.conditions.push_back({JobKey(id), version});
  query_busy_ = true;
  effects_.Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn),
                kUserCallTimeout,
                [this, batch](Micros answered, int status, const std::string& body) {
                  OnQueriesChecked(answered, batch, status, body);
                });
}

void Core::OnQueriesChecked(Micros now, const std::vector<Query>& batch, int status,
                            const std::string& body) {
  query_busy_ = false;
  std::optional<wire::TxnReply> reply;
  if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
  if (!reply) {
    query_not_before_ = now + 50 * kMilli;
    for (const Query& query : batch) {
      Answer(query.request, 503, wire::EncodeError("state service does not answer"), kRetryAfter);
    }
    return;
  }
  node_health_.NoteStateAnswer(now);
  std::set<std::string> stale;
  for (const std::string& key : reply->failed) stale.insert(ParseKey(key).id);
  for (const std::string& id : stale) FetchJob(now, id);
  for (const Query& query : batch) {
    // A failed transaction proves nothing of the keys it does not name.
    if (status == 409 && (stale.empty() || stale.count(query.id) != 0)) {
      queries_.push_back(query);
    } else {
      AnswerQuery(now, query);
    }
  }
}

void Core::FetchJob(Micros now, const std::string& id) {
  if (!state_budget_.Has(now, 1)) return;
  ReadJob(now, id, [](Micros, bool) {});
}

void Core::ReadJob(Micros /*now*/, const std::string& id,
                   std::function<void(Micros now, bool read)> then) {
  // One key is a list that begins just before it; ids differ in their digits,
  // so the prefix may hold longer ones too.
  effects_.Send(
      Dest::kState, "", "GET", wire::ListTarget(JobKey(id), "", 1), "", kUserCallTimeout,
      [this, then = std::move(then)](Micros answered, int status, const std::string& body) {
        std::optional<wire::StatePage> page;
        if (status == 200) page = wire::DecodeList(body);
        if (page) {
          node_health_.NoteStateAnswer(answered);
          for (const StateItem& item : page->items) {
            replica_.ApplyPut(answered, item.key, item.value, item.version);
          }
        }
        then(answered, page.has_value());
      });
}

JobStatus Core::StatusOfOpen(const std::string& id, const JobEntry& entry) const {
  JobStatus out;
  out.id = id;
  const JobRecord& record = entry.record;
  auto run = runs_.find(id);
  if (run != runs_.end()) {
    out.done = run->second.done;
    out.running = run->second.placed;
  } else if (record.shard_id >= 0 && record.shard_id < settings_.shard_count()) {
    const Shard& shard = ShardAt(record.shard_id);
    auto progress = shard.replica.progress.find(id);
    if (progress != shard.replica.progress.end())
      out.done = static_cast<int64_t>(progress->second.size());
    auto placed = shard.usage.total.jobs.find(id);
    if (placed != shard.usage.total.jobs.end()) out.running = placed->second;
  }
  out.state = out.running > 0 ? JobPhase::kRunning : JobPhase::kQueued;
  return out;
}

bool Core::KnowsCancellations(Micros now) const {
  return now - sync_.feed().complete_up_to() < settings_.cancel / 2;
}

// The state service has confirmed the job's own record, or it is final.
void Core::AnswerQuery(Micros now, const Query& query) {
  const JobEntry* entry = jobs_.Find(query.id);
  if (entry == nullptr) {
    Answer(query.request, 404, wire::EncodeError("no such job"));
    return;
  }
  if (entry->record.state != JobState::kOpen) {
    AnswerFinished(query, *entry);
    return;
  }
  const OpenAnswerFacts facts{jobs_.StateOf(query.id), !entry->record.spec.dependencies.empty(),
                              now - sync_.feed().complete_up_to(), settings_.cancel / 2};
  const Result<OpenAnswerPermit, Refusal> judged = facts.Judge();
  if (judged && query.kind != Query::Kind::kAbort) {
    AnswerOpen(*judged, query, *entry);
    return;
  }
  if (!judged) refusals_.Add(judged.error().code);
  if (!judged && judged.error().code == Refusal::kReplicaStale) {
    // Its own record does not show that a job before it was cancelled.
    Answer(query.request, 503, wire::EncodeError("not ready"), kRetryAfter);
    return;
  }
  // Its user cancels it, or it is cancelled with another job: told once it is stored.
  Abort(now, query);
}

void Core::AnswerFinished(const Query& query, const JobEntry& entry) {
  JobStatus status;
  status.id = query.id;
  status.state = PhaseOf(entry.record.state);
  status.done = entry.record.state == JobState::kDone ? entry.record.spec.tasks : 0;
  Answer(query.request, 200,
         query.kind == Query::Kind::kPoll ? wire::EncodeJobStatus(status)
                                          : wire::EncodeJobState(status.id, status.state));
}

void Core::AnswerOpen(const OpenAnswerPermit& /*permit*/, const Query& query,
                      const JobEntry& entry) {
  const JobStatus status = StatusOfOpen(query.id, entry);
  Answer(query.request, 200,
         query.kind == Query::Kind::kPoll ? wire::EncodeJobStatus(status)
                                          : wire::EncodeJobState(status.id, status.state));
}

void Core::Abort(Micros now, Query query) {
  const JobEntry* entry = jobs_.Find(query.id);
  if (entry == nullptr) {
    query.unknown_job = true;
    Poll(now, std::move(query));  // 404 only once the state service confirms it
    return;
  }
  // Another copy of it may have been answered 404 before the job was submitted: this one
  // would cancel a job that nobody wants cancelled any more.
  if (query.unknown_job && HasCopy(query.request)) {
    Answer(query.request, 503, wire::EncodeError("submitted meanwhile"), kRetryAfter);
    return;
  }
  if (entry->record.state != JobState::kOpen) {
    Answer(query.request, 200, wire::EncodeJobState(query.id, PhaseOf(entry->record.state)));
    return;
  }
  if (++query.tries > kMaxCancelTries || !node_health_.StateFresh(now)) {
    Answer(query.request, 503, wire::EncodeError("not stored"), kRetryAfter);
    return;
  }
  write_budget_.Force(now, 1);
  JobRecord record = entry->record;
  record.state = JobState::kCancelled;
  StateTxn txn;
  txn.conditions.push_back({JobKey(query.id), entry->version});
  txn.writes.push_back({JobKey(query.id), EncodeJob(record), 0, false});
  ++counters_.puts;
  effects_.Send(
      Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kUserCallTimeout,
      [this, query, write = txn.writes[0]](Micros answered, int status, const std::string& body) {
        OnCancelCommitted(answered, query, write, status, body);
      });
}

void Core::OnCancelCommitted(Micros now, const Query& query, const StateWrite& write, int status,
                             const std::string& body) {
  std::optional<wire::TxnReply> reply;
  if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
  if (reply) node_health_.NoteStateAnswer(now);
  if (status == 200 && reply) {
    // Peers must be able to hear of it before the user does.
    heartbeats_.SendSoon(now);
    replica_.ApplyPut(now, write.key, write.value, reply->revision);
    Answer(query.request, 200, wire::EncodeJobState(query.id, JobPhase::kCancelled));
  } else if (status == 409) {
    FetchJob(now, query.id);
    Poll(now, query);
  } else {
    if (status == 429) write_budget_.Drain(now);
    Answer(query.request, 503, wire::EncodeError("not stored"), kRetryAfter);
  }
}

}  // namespace troutlink
