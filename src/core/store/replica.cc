// The replica: a copy of the state service's content, fed by one list and then
// one watch, and by our own commits.
#include <algorithm>

#include "core/core.h"
#include "core/io/event.h"

namespace troutlink {

namespace {
constexpr Micros kWatchHold = 2 * kSecond;
constexpr Micros kListTimeout = 2 * kSecond;
constexpr double kWatchReserve = 20;  // requests
constexpr int kListLimit = 500;
const std::string kTypesKey = std::string(kRoot) + "types";
}  // namespace

void Core::StartList(Micros now) {
  feed_.ListStarted(now);
  list_items_.clear();
  ReadListPage("");
}

void Core::ReadListPage(const std::string& after) {
  effects_.Send(Dest::kState, "", "GET", wire::ListTarget(kRoot, after, kListLimit), "",
                kListTimeout, [this](Micros answered, int status, const std::string& body) {
                  OnListPage(answered, status, body);
                });
}

void Core::OnListPage(Micros now, int status, const std::string& body) {
  std::optional<wire::StatePage> page;
  if (status == 200) page = wire::DecodeList(body);
  if (!page) {
    feed_.ListFailed(now);
    return;
  }
  state_ok_ = now;
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

void Core::FinishList(Micros now) {
  EraseUnlisted(now);
  for (const auto& [key, item] : list_items_) ApplyPut(now, key, item.value, item.version);
  list_items_.clear();
  ReindexShards(now);
  feed_.ListFinished(now);
  ++counters_.lists;
  effects_.Log(LogLine::Level::kInfo, Event("replica_listed")
                                          .With("revision", feed_.revision())
                                          .WithSpan("age_ms", now - feed_.complete_up_to())
                                          .With("open_jobs", open_jobs_.size())
                                          .With("jobs", jobs_.size())
                                          .text());
  cancellations_.ReplicaCompleteUpTo(feed_.complete_up_to());
  StartWatch(now);
}

void Core::EraseUnlisted(Micros now) {
  std::vector<std::string> gone;
  auto check = [&](const std::string& key, uint64_t version) {
    if (version <= feed_.list_revision() && list_items_.count(key) == 0) gone.push_back(key);
  };
  for (const auto& [id, entry] : jobs_) check(JobKey(id), entry.version);
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    const uint64_t version = ShardAt(shard_id).replica.leadership_version;
    if (version != 0) check(LeadershipKey(shard_id), version);
  }
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    for (const auto& [index, chunk] : ShardAt(shard_id).replica.original_chunks) {
      check(AssignmentKey(shard_id, index), chunk.version);
    }
  }
  for (const std::string& key : gone) ApplyErase(now, key, feed_.list_revision());
}

void Core::StartWatch(Micros now) {
  feed_.WatchStarted();
  effects_.Send(Dest::kWatch, "", "GET", wire::WatchTarget(kRoot, feed_.revision(), kWatchHold), "",
                kWatchHold + 1500 * kMilli,
                [this, sent = now](Micros answered, int status, const std::string& body) {
                  OnWatchAnswered(answered, sent, status, body);
                });
}

void Core::OnWatchAnswered(Micros now, Micros sent, int status, const std::string& body) {
  if (status == 410) {
    effects_.Log(LogLine::Level::kInfo,
                 Event("watch_too_old").With("revision", feed_.revision()).text());
    feed_.WatchTooOld(now);
    return;
  }
  std::optional<wire::WatchReply> reply;
  if (status == 200) reply = wire::DecodeWatch(body);
  if (!reply) {
    feed_.WatchFailed(now);
    return;
  }
  state_ok_ = now;
  for (const StateEvent& event : reply->events) {
    if (event.erase) {
      ApplyErase(now, event.key, event.version);
    } else {
      ApplyPut(now, event.key, event.value, event.version);
    }
  }
  ReindexShards(now);
  feed_.WatchAnswered(now, sent, reply->revision);
  ++counters_.watches;
  cancellations_.ReplicaCompleteUpTo(feed_.complete_up_to());
  // Each change ends a watch, and each node has one: when requests are short, a
  // watch waits a little and its answer takes more changes.
  if (feed_.list_requested()) {
    StartList(now);
  } else if (state_budget_.Has(now, kWatchReserve)) {
    StartWatch(now);
  } else {
    feed_.PauseWatch(now);
  }
}

void Core::DropFinishedSpec(JobEntry* entry) {
  // Final states are kept for ever; what the job was is of no more use.
  JobSpec small;
  small.id = entry->record.spec.id;
  small.tasks = entry->record.spec.tasks;
  small.kind = entry->record.spec.kind;
  // Its tasks may still be on machines: they count for room and limits.
  small.team = entry->record.spec.team;
  small.each = entry->record.spec.each;
  small.save = entry->record.spec.save;
  small.checkpoint = entry->record.spec.checkpoint;
  entry->record.spec = std::move(small);
}

void Core::ApplyPut(Micros now, const std::string& name, const std::string& value,
                    uint64_t version) {
  const Key key = ParseKey(name);
  const bool known_shard = key.shard_id < settings_.shard_count();
  switch (key.kind) {
    case Key::Kind::kJob: ApplyJob(now, key.id, value, version); return;
    case Key::Kind::kLeadership:
      if (known_shard) ApplyLeadership(now, key.shard_id, value, version);
      return;
    case Key::Kind::kAssignments:
      if (known_shard) ApplyChunk(now, key, value, version);
      return;
    case Key::Kind::kProgress:
      if (known_shard) ApplyProgress(key.shard_id, key.chunk, value, version);
      return;
    case Key::Kind::kNodeVersion: ApplyNodeVersion(key.id, value, version); return;
    case Key::Kind::kOther:
      if (name == kTypesKey) machine_types_.LoadStored(value);
      return;
  }
}

void Core::ApplyJob(Micros now, const std::string& id, const std::string& value, uint64_t version) {
  auto known = jobs_.find(id);
  if (known != jobs_.end() && known->second.version >= version) return;
  std::optional<JobRecord> record = DecodeJob(value);
  if (!record) {
    effects_.Log(LogLine::Level::kError, "unreadable job record " + JobKey(id));
    return;
  }
  JobEntry& entry = jobs_[id];
  entry.record = std::move(*record);
  entry.version = version;
  entry.own_priority = entry.record.spec.priority;
  const JobSpec& spec = entry.record.spec;
  if (spec.kind == JobKind::kService) {
    service_teams_.insert(spec.team);
    if (service_images_.size() < 1000) service_images_.insert(spec.image);
    spread_seen_ = spread_seen_ || spec.spread;
  }
  if (entry.record.state == JobState::kOpen) {
    NoteOpenJob(id);
    ApplyOpenJob(id, entry);
  } else {
    NoteFinishedJob(id);
    ApplyFinishedJob(now, id, &entry);
  }
}

bool Core::LeadsShard(int shard_id) const {
  return shard_id >= 0 && shard_id < settings_.shard_count() &&
         ShardAt(shard_id).leadership.is_leader;
}

void Core::ApplyOpenJob(const std::string& id, const JobEntry& entry) {
  open_jobs_.insert(id);
  const int shard_id = entry.record.shard_id;
  auto run = runs_.find(id);
  if (run != runs_.end() && run->second.shard_id != shard_id) runs_.erase(run);  // it moved
  if (!LeadsShard(shard_id)) return;
  LoadRun(shard_id, id, entry);
  MarkDirty(shard_id);
}

void Core::ApplyFinishedJob(Micros now, const std::string& id, JobEntry* entry) {
  open_jobs_.erase(id);
  if (entry->record.state == JobState::kCancelled) {
    cancellations_.AddCommitted(entry->version, id);
    ++counters_.cancellations;
    LogCancellation(now, id, "replica");
  }
  cancellations_.ForgetReported(id);
  auto run = runs_.find(id);
  if (run != runs_.end()) {
    ShardAt(run->second.shard_id).cycle.progress_dirty = true;
    runs_.erase(run);
  }
  health_.ForgetJob(id);
  const int shard_id = entry->record.shard_id;
  if (shard_id >= 0 && shard_id < settings_.shard_count())
    ShardAt(shard_id).replica.progress.erase(id);
  if (LeadsShard(shard_id)) {
    StopJob(now, id);
    MarkDirty(shard_id);
  }
  DropFinishedSpec(entry);
}

void Core::ApplyLeadership(Micros now, int shard_id, const std::string& value, uint64_t version) {
  Shard& shard = ShardAt(shard_id);
  if (shard.replica.leadership_version >= version) return;
  std::optional<Leadership> leadership = DecodeLeadership(value);
  if (!leadership) return;
  shard.replica.leadership_version = version;
  shard.replica.leadership_record = *leadership;
  shard.leadership.leaderless_since = 0;
  shard.leadership.election_conflicts = 0;
  if (leadership->leader == settings_.label && leadership->boot == boot_) return;
  shard.leadership.previous_leader = leadership->leader;
  if (version > shard.leadership.rival_epoch) {
    shard.leadership.rival_epoch = version;
    shard.leadership.rival_leader = leadership->leader;
  }
  if (shard.leadership.is_leader && version > shard.leadership.epoch) {
    LoseLeadership(now, shard_id, "another leader was elected");
  }
}

// What was done once stays done: pages of any age add up, however they divide the jobs.
void Core::ApplyProgress(int shard_id, int page, const std::string& value, uint64_t version) {
  Shard& shard = ShardAt(shard_id);
  uint64_t& known = shard.replica.progress_versions[page];
  if (known >= version) return;
  std::optional<Progress> progress = DecodeProgress(value);
  if (!progress) return;
  known = version;
  shard.replica.progress_values[page] = value;
  for (auto& [id, tasks] : *progress) {
    if (open_jobs_.count(id) != 0) shard.replica.progress[id].merge(tasks);
  }
}

void Core::ApplyErase(Micros now, const std::string& name, uint64_t version) {
  const Key key = ParseKey(name);
  if (key.kind == Key::Kind::kLeadership && key.shard_id < settings_.shard_count()) {
    Shard& shard = ShardAt(key.shard_id);
    if (shard.replica.leadership_version > version) return;
    shard.replica.leadership_version = 0;
    shard.leadership.leaderless_since = now;
    // An ended leadership names nobody.
    if (shard.leadership.rival_epoch <= version) shard.leadership.rival_leader.clear();
    if (shard.leadership.is_leader) LoseLeadership(now, key.shard_id, "leadership expired");
  } else if (key.kind == Key::Kind::kAssignments && key.form == TableForm::kOriginal &&
             key.shard_id < settings_.shard_count()) {
    // Chunks are erased only once the compact form has all of their machines.
    ShardAt(key.shard_id).replica.original_chunks.erase(key.chunk);
  } else if (key.kind == Key::Kind::kJob) {
    // Job records are never deleted by the service.
    effects_.Log(LogLine::Level::kError, "job record deleted: " + name);
  }
}

}  // namespace troutlink
