// The view: a copy of the state service's content, fed by one list and then
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
constexpr size_t kMostCancelled = 4000;  // kept to be told to siblings
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
  for (size_t p = 0; p < parts_.size(); ++p) {
    std::string claim = ClaimKey(static_cast<int>(p));
    if (parts_[p].claim_version != 0 && parts_[p].claim_version <= list_revision_ &&
        list_items_.count(claim) == 0) {
      gone.push_back(claim);
    }
  }
  for (const std::string& key : gone) ApplyErase(now, key, list_revision_);
  for (const auto& [key, item] : list_items_) ApplyPut(now, key, item.value, item.version);
  list_items_.clear();
  SettleRosters(now);
  listing_ = false;
  synced_ = true;
  watched_at_ = now;
  watch_revision_ = list_revision_;
  view_at_ = std::max(view_at_, list_sent_);
  StartWatch(now);
}

void Core::StartWatch(Micros now) {
  watching_ = true;
  Send(Dest::kWatch, "", "GET", wire::WatchTarget(kRoot, watch_revision_, kWatchHold), "",
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
         SettleRosters(t);
         watch_revision_ = std::max(watch_revision_, reply->revision);
         view_at_ = std::max(view_at_, sent);
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
      int part = entry.record.part;
      bool known_part = part >= 0 && part < s_.parts();
      if (entry.record.state == JobState::kCancelled) {
        cancelled_[version] = k.id;  // each is a transaction of its own
        while (cancelled_.size() > kMostCancelled) {
          cancelled_from_ = std::max(cancelled_from_, cancelled_.begin()->first);
          cancelled_.erase(cancelled_.begin());
        }
      }
      if (entry.record.state != JobState::kOpen) {
        heard_cancels_.erase(k.id);
        auto run = runs_.find(k.id);
        if (run != runs_.end()) {
          parts_[static_cast<size_t>(run->second.part)].progress_dirty = true;
          runs_.erase(run);
        }
        health_.ForgetJob(k.id);
        if (known_part && parts_[static_cast<size_t>(part)].mine) {
          StopJob(now, k.id);
          Touch(part);
        }
        DropFinishedSpec(&entry);
      } else {
        auto run = runs_.find(k.id);
        if (run != runs_.end() && run->second.part != part) runs_.erase(run);  // it moved
      }
      if (entry.record.state == JobState::kOpen && known_part &&
          parts_[static_cast<size_t>(part)].mine) {
        LoadRun(part, k.id, entry);
        Touch(part);
      }
      return;
    }
    case Key::Kind::kClaim: {
      if (k.part >= s_.parts()) return;
      Part& p = parts_[static_cast<size_t>(k.part)];
      if (p.claim_version >= version) return;
      std::optional<Claim> claim = DecodeClaim(value);
      if (!claim) return;
      p.claim_version = version;
      p.claim = *claim;
      p.absent_since = 0;
      if (claim->owner != s_.label || claim->boot != boot_) {
        p.last_owner = claim->owner;
        if (version > p.rival_claim) {
          p.rival_claim = version;
          p.rival = claim->owner;
        }
        if (p.mine && version > p.my_claim) LoseClaim(now, k.part, "claimed by another");
      }
      return;
    }
    case Key::Kind::kRoster: {
      if (k.part >= s_.parts()) return;
      ApplyChunk(now, k.part, k.chunk, value, version);
      return;
    }
    case Key::Kind::kProgress: {
      if (k.part >= s_.parts()) return;
      Part& p = parts_[static_cast<size_t>(k.part)];
      if (p.progress_version >= version) return;
      std::optional<Progress> progress = DecodeProgress(value);
      if (!progress) return;
      p.progress_version = version;
      p.progress = std::move(*progress);
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
  if (k.kind == Key::Kind::kClaim && k.part < s_.parts()) {
    Part& p = parts_[static_cast<size_t>(k.part)];
    if (p.claim_version > version) return;
    p.claim_version = 0;
    p.absent_since = now;
    if (p.rival_claim <= version) p.rival.clear();  // an ended claim names nobody
    if (p.mine) LoseClaim(now, k.part, "claim expired");
  } else if (k.kind == Key::Kind::kJob) {
    // Job records are never deleted by the service.
    Log(LogLine::Level::kError, "job record deleted: " + key);
  }
}

// Only the machines of this chunk are replaced. When the number of chunks
// grows, the divided one and the new one arrive together, in either order.
void Core::ApplyChunk(Micros now, int part, int index, const std::string& value, uint64_t version) {
  Part& p = parts_[static_cast<size_t>(part)];
  Chunk& chunk = p.chunks[index];
  if (chunk.version >= version) return;
  chunk.version = version;
  Roster next;
  if (!DecodeChunk(value, index, &next)) {
    Log(LogLine::Level::kError, "unreadable roster of part " + std::to_string(part));
    return;
  }
  for (const std::string& name : chunk.names) {
    auto of = p.chunk_of.find(name);
    if (of == p.chunk_of.end() || of->second != index || next.machines.count(name) != 0) continue;
    p.chunk_of.erase(of);
    p.roster.machines.erase(name);
    auto owner = machine_part_.find(name);
    if (owner != machine_part_.end() && owner->second == part) {
      machine_part_.erase(owner);
      departed_[name] = now;
    }
  }
  chunk.names.clear();
  for (auto& [name, m] : next.machines) {
    chunk.names.push_back(name);
    p.chunk_of[name] = index;
    machine_part_[name] = part;
    // A machine that was here, went to another part and came back has seen a higher token
    // than the one that we knew it by: it was refused until it counted as silent.
    MachineInfo& info = machines_[name];
    if (info.last_part != part) {
      info.last_part = part;
      info.owned_claim = 0;
    }
    departed_.erase(name);
    unknown_.erase(name);
    stray_since_.erase(name);
    if (!p.mine) {
      bool free = m.attempts.empty() && !m.leaving && m.helps.empty();
      if (!free) {
        free_since_.erase(name);
      } else {
        free_since_.try_emplace(name, now);
      }
    }
    p.roster.machines[name] = std::move(m);
  }
  if (index == 0) {
    p.roster.chunks = next.chunks;
    p.roster.next_number = next.next_number;
    p.roster.hires = std::move(next.hires);
    p.roster.shares = std::move(next.shares);
    p.roster.helps = std::move(next.helps);
  }
  p.changed_at = now;
  p.sync_due = true;
}

void Core::SettleRosters(Micros now) {
  for (int part = 0; part < s_.parts(); ++part) {
    Part& p = parts_[static_cast<size_t>(part)];
    if (!p.sync_due) continue;
    p.sync_due = false;
    p.use = UseOf(p.roster);
    p.machine_use.clear();
    p.attempts = 0;
    p.any_leaving = false;
    for (const auto& [name, m] : p.roster.machines) {
      MachineUse& use = p.machine_use.emplace_back();
      use.machine = &m;
      p.attempts += m.attempts.size();
      p.any_leaving = p.any_leaving || m.leaving;
      for (const Attempt& a : m.attempts) {
        const JobEntry* job = FindJob(a.job);
        if (job == nullptr) continue;
        const JobSpec& spec = job->record.spec;
        use.all += spec.each;
        if (spec.priority == Priority::kProduction) use.critical += spec.each;
        use.images.insert(spec.image);
      }
    }
    if (p.mine) SyncPart(now, part);
  }
}

int Core::PartOfMachine(const std::string& name) const {
  auto it = machine_part_.find(name);
  return it == machine_part_.end() ? -1 : it->second;
}

}  // namespace troutlink
