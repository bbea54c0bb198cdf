// The replica: a copy of the state service's content, fed by one list and then
// one watch, and by our own commits.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kWatchHold = 2 * kSecond;
constexpr Micros kListTimeout = 2 * kSecond;
constexpr double kWatchReserve = 20;  // requests
constexpr Micros kWatchPause = 40 * kMilli;
constexpr int kListLimit = 500;
const std::string kTypesKey = std::string(kRoot) + "types";
}  // namespace

void Core::StartList(Micros now) {
  listing_ = true;
  list_items_.clear();
  list_revision_ = 0;
  ListPage(now, "");
}

void Core::ListPage(Micros now, const std::string& after) {
  if (after.empty()) list_sent_ = now;
  Send(Dest::kState, "", "GET", wire::ListTarget(kRoot, after, kListLimit), "", kListTimeout,
       [this](Micros t, int status, const std::string& body) {
         std::optional<wire::StatePage> page;
         if (status == 200) page = wire::DecodeList(body);
         if (!page) {
           listing_ = false;
           watch_retry_ = t + 300 * kMilli;
           return;
         }
         state_ok_ = t;
         // What changes while the pages are read arrives by the watch, which
         // begins at the revision of the first page.
         if (list_revision_ == 0) list_revision_ = std::max<uint64_t>(1, page->revision);
         for (StateItem& i : page->items) list_items_[i.key] = {std::move(i.value), i.version};
         if (page->more && !page->items.empty()) {
           ListPage(t, page->items.back().key);
         } else {
           FinishList(t);
         }
       });
}

void Core::FinishList(Micros now) {
  // What was deleted while the watch could not tell us.
  std::vector<std::string> gone;
  for (const auto& [id, entry] : jobs_) {
    std::string key = JobKey(id);
    if (entry.version <= list_revision_ && list_items_.count(key) == 0) gone.push_back(key);
  }
  for (size_t shard_id = 0; shard_id < shards_.size(); ++shard_id) {
    std::string key = LeadershipKey(static_cast<int>(shard_id));
    if (shards_[shard_id].leadership_version != 0 &&
        shards_[shard_id].leadership_version <= list_revision_ && list_items_.count(key) == 0) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) ApplyErase(now, key, list_revision_);
  for (const auto& [key, item] : list_items_) ApplyPut(now, key, item.value, item.version);
  list_items_.clear();
  ReindexShards(now);
  listing_ = false;
  synced_ = true;
  watched_at_ = now;
  replica_revision_ = list_revision_;
  cancellations_.ReplicaCompleteUpTo(list_sent_);
  StartWatch(now);
}

void Core::StartWatch(Micros now) {
  watching_ = true;
  Send(Dest::kWatch, "", "GET", wire::WatchTarget(kRoot, replica_revision_, kWatchHold), "",
       kWatchHold + 1500 * kMilli,
       [this, sent = now](Micros t, int status, const std::string& body) {
         watching_ = false;
         if (status == 410) {
           // Too far behind: read everything again.
           synced_ = false;
           watch_retry_ = t;
           return;
         }
         std::optional<wire::WatchReply> reply;
         if (status == 200) reply = wire::DecodeWatch(body);
         if (!reply) {
           watch_retry_ = t + 200 * kMilli;
           return;
         }
         state_ok_ = watched_at_ = t;
         for (const StateEvent& e : reply->events) {
           if (e.erase) {
             ApplyErase(t, e.key, e.version);
           } else {
             ApplyPut(t, e.key, e.value, e.version);
           }
         }
         ReindexShards(t);
         replica_revision_ = std::max(replica_revision_, reply->revision);
         cancellations_.ReplicaCompleteUpTo(sent);
         // Each change ends a watch, and each node has one: when requests are short, a
         // watch waits a little and its answer takes more changes.
         if (state_budget_.Has(t, kWatchReserve)) {
           StartWatch(t);
         } else {
           watch_retry_ = t + kWatchPause;
         }
       });
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

void Core::ApplyPut(Micros now, const std::string& key, const std::string& value,
                    uint64_t version) {
  Key k = ParseKey(key);
  switch (k.kind) {
    case Key::Kind::kJob: {
      auto it = jobs_.find(k.id);
      if (it != jobs_.end() && it->second.version >= version) return;
      std::optional<JobRecord> record = DecodeJob(value);
      if (!record) {
        Log(LogLine::Level::kError, "unreadable job record " + key);
        return;
      }
      JobEntry& entry = jobs_[k.id];
      entry.record = std::move(*record);
      entry.version = version;
      if (entry.record.spec.kind == JobKind::kService) {
        service_teams_.insert(entry.record.spec.team);
        if (service_images_.size() < 1000) service_images_.insert(entry.record.spec.image);
        spread_seen_ = spread_seen_ || entry.record.spec.spread;
      }
      if (entry.record.state == JobState::kOpen) {
        open_jobs_.insert(k.id);
      } else {
        open_jobs_.erase(k.id);
      }
      int shard_id = entry.record.shard_id;
      bool known_shard = shard_id >= 0 && shard_id < settings_.shard_count();
      if (entry.record.state == JobState::kCancelled) {
        cancellations_.AddCommitted(version, k.id);
      }
      if (entry.record.state != JobState::kOpen) {
        cancellations_.ForgetReported(k.id);
        auto run = runs_.find(k.id);
        if (run != runs_.end()) {
          shards_[static_cast<size_t>(run->second.shard_id)].progress_dirty = true;
          runs_.erase(run);
        }
        health_.ForgetJob(k.id);
        if (known_shard && shards_[static_cast<size_t>(shard_id)].is_leader) {
          StopJob(now, k.id);
          MarkDirty(shard_id);
        }
        DropFinishedSpec(&entry);
      } else {
        auto run = runs_.find(k.id);
        if (run != runs_.end() && run->second.shard_id != shard_id) runs_.erase(run);  // it moved
      }
      if (entry.record.state == JobState::kOpen && known_shard &&
          shards_[static_cast<size_t>(shard_id)].is_leader) {
        LoadRun(shard_id, k.id, entry);
        MarkDirty(shard_id);
      }
      return;
    }
    case Key::Kind::kLeadership: {
      if (k.shard_id >= settings_.shard_count()) return;
      Shard& shard = shards_[static_cast<size_t>(k.shard_id)];
      if (shard.leadership_version >= version) return;
      std::optional<Leadership> leadership = DecodeLeadership(value);
      if (!leadership) return;
      shard.leadership_version = version;
      shard.leadership = *leadership;
      shard.leaderless_since = 0;
      if (leadership->leader != settings_.label || leadership->boot != boot_) {
        shard.previous_leader = leadership->leader;
        if (version > shard.rival_epoch) {
          shard.rival_epoch = version;
          shard.rival_leader = leadership->leader;
        }
        if (shard.is_leader && version > shard.epoch)
          LoseLeadership(now, k.shard_id, "another leader was elected");
      }
      return;
    }
    case Key::Kind::kAssignments: {
      if (k.shard_id >= settings_.shard_count()) return;
      ApplyChunk(now, k.shard_id, k.chunk, value, version);
      return;
    }
    case Key::Kind::kProgress: {
      if (k.shard_id >= settings_.shard_count()) return;
      Shard& shard = shards_[static_cast<size_t>(k.shard_id)];
      if (shard.progress_version >= version) return;
      std::optional<Progress> progress = DecodeProgress(value);
      if (!progress) return;
      shard.progress_version = version;
      shard.progress = std::move(*progress);
      return;
    }
    case Key::Kind::kOther:
      if (key == kTypesKey) {
        std::optional<std::vector<MachineType>> types = wire::DecodeMachineTypes(value);
        types_stored_ = value;
        if (types && types_.empty()) types_ = std::move(*types);
      }
      return;
  }
}

void Core::ApplyErase(Micros now, const std::string& key, uint64_t version) {
  Key k = ParseKey(key);
  if (k.kind == Key::Kind::kLeadership && k.shard_id < settings_.shard_count()) {
    Shard& shard = shards_[static_cast<size_t>(k.shard_id)];
    if (shard.leadership_version > version) return;
    shard.leadership_version = 0;
    shard.leaderless_since = now;
    if (shard.rival_epoch <= version)
      shard.rival_leader.clear();  // an ended leadership names nobody
    if (shard.is_leader) LoseLeadership(now, k.shard_id, "leadership expired");
  } else if (k.kind == Key::Kind::kJob) {
    // Job records are never deleted by the service.
    Log(LogLine::Level::kError, "job record deleted: " + key);
  }
}

// Only the machines of this chunk are replaced. When the number of chunks
// grows, the divided one and the new one arrive together, in either order.
void Core::ApplyChunk(Micros now, int shard_id, int index, const std::string& value,
                      uint64_t version) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  Chunk& chunk = shard.chunks[index];
  if (chunk.version >= version) return;
  chunk.version = version;
  AssignmentTable next;
  if (!DecodeChunk(value, index, &next)) {
    Log(LogLine::Level::kError, "unreadable assignment table of shard " + std::to_string(shard_id));
    return;
  }
  for (const std::string& name : chunk.names) {
    auto of = shard.chunk_of.find(name);
    if (of == shard.chunk_of.end() || of->second != index || next.machines.count(name) != 0)
      continue;
    shard.chunk_of.erase(of);
    shard.assignments.machines.erase(name);
    auto leader = machine_shard_.find(name);
    if (leader != machine_shard_.end() && leader->second == shard_id) {
      machine_shard_.erase(leader);
      departed_[name] = now;
    }
  }
  chunk.names.clear();
  for (auto& [name, m] : next.machines) {
    chunk.names.push_back(name);
    shard.chunk_of[name] = index;
    machine_shard_[name] = shard_id;
    // A machine that was here, went to another shard and came back has seen a higher token
    // than the one that we knew it by: it was refused until it counted as silent.
    MachineInfo& info = machines_[name];
    if (info.last_shard != shard_id) {
      info.last_shard = shard_id;
      info.assigned_epoch = 0;
    }
    departed_.erase(name);
    unknown_.erase(name);
    stray_since_.erase(name);
    if (!shard.is_leader) {
      bool free = m.attempts.empty() && !m.leaving && m.helps.empty();
      if (!free) {
        free_since_.erase(name);
      } else {
        free_since_.try_emplace(name, now);
      }
    }
    shard.assignments.machines[name] = std::move(m);
  }
  if (index == 0) {
    shard.assignments.chunks = next.chunks;
    shard.assignments.next_number = next.next_number;
    shard.assignments.rentals = std::move(next.rentals);
    shard.assignments.shares = std::move(next.shares);
    shard.assignments.helps = std::move(next.helps);
  }
  shard.changed_at = now;
  shard.sync_due = true;
}

void Core::ReindexShards(Micros now) {
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    Shard& shard = shards_[static_cast<size_t>(shard_id)];
    if (!shard.sync_due) continue;
    shard.sync_due = false;
    shard.use = UseOf(shard.assignments);
    shard.machine_use.clear();
    shard.attempts = 0;
    shard.any_leaving = false;
    for (const auto& [name, m] : shard.assignments.machines) {
      MachineUse& use = shard.machine_use.emplace_back();
      use.machine = &m;
      shard.attempts += m.attempts.size();
      shard.any_leaving = shard.any_leaving || m.leaving;
      for (const Attempt& a : m.attempts) {
        const JobEntry* job = FindJob(a.job);
        if (job == nullptr) continue;
        const JobSpec& spec = job->record.spec;
        use.all += spec.each;
        use.by_priority[static_cast<size_t>(spec.priority)] += spec.each;
        use.images.insert(spec.image);
      }
    }
    if (shard.is_leader) SyncShard(now, shard_id);
  }
}

int Core::ShardOfMachine(const std::string& name) const {
  auto it = machine_shard_.find(name);
  return it == machine_shard_.end() ? -1 : it->second;
}

}  // namespace troutlink
