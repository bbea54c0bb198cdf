// Acceptance: submissions, polls and cancellations.
//
// Nothing is told to a user that is not committed, and nothing is told that
// may be older than what another node told: answers about unfinished jobs are
// checked with the state service, many in one transaction that only compares.
#include <algorithm>

#include "base/ids.h"
#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kCommitTimeout = 1500 * kMilli;
constexpr Micros kQueryPatience = 1500 * kMilli;
constexpr size_t kMaxQueries = 2000;
constexpr double kQueryReserve = 8;  // requests that a question leaves to the rest
constexpr Micros kWaitsAge = 40 * kMilli;
constexpr int kRetryAfter = 1;
constexpr uint64_t kRetrySpread = 4;
// The state service usually answers within some ten milliseconds.
constexpr Micros kForwardAfter = 100 * kMilli;
constexpr Micros kForwardPatience = 2 * kSecond;

std::string_view StateName(JobState state) {
  return state == JobState::kDone ? "done" : "cancelled";
}
}  // namespace

std::string Core::NeverRuns(const JobSpec& spec) const {
  const Team* team = FindTeam(spec.team);
  if (team == nullptr) return "unknown team";
  bool fits = false;
  std::set<std::string> zones;
  for (const MachineType& t : types_) {
    if (!TypeAllowed(spec, t.name, false) || !spec.each.Fits(t.size)) continue;
    if (spec.zone.empty()) {
      fits = fits || !t.zones.empty() || settings_.zones.empty();
    } else {
      fits = fits || std::find(t.zones.begin(), t.zones.end(), spec.zone) != t.zones.end();
    }
  }
  if (!fits) return "no allowed machine type has room for a task";
  int64_t n = spec.kind == JobKind::kArray ? 1 : spec.tasks;
  if ((team->cpus_max > 0 && n * spec.each.cpus > team->cpus_max) ||
      (team->gpus_max > 0 && n * spec.each.gpus > team->gpus_max)) {
    return "more than the team's limit";
  }
  return "";
}

const Core::Waits& Core::WaitingCpus() {
  if (now_ - waits_at_ < kWaitsAge && !waits_.empty()) return waits_;
  waits_at_ = now_;
  waits_.assign(shards_.size(), {});
  for (const std::string& id : open_jobs_) {
    const JobRecord& r = jobs_.at(id).record;
    if (r.shard_id < 0 || r.shard_id >= settings_.shard_count()) continue;
    const Shard& shard = shards_[static_cast<size_t>(r.shard_id)];
    int64_t waiting = r.spec.tasks;
    auto run = runs_.find(id);
    if (run != runs_.end()) {
      waiting -= run->second.done + run->second.placed;
    } else {
      auto progress = shard.progress.find(id);
      if (progress != shard.progress.end())
        waiting -= static_cast<int64_t>(progress->second.size());
      auto placed = shard.use.jobs.find(id);
      if (placed != shard.use.jobs.end()) waiting -= placed->second;
    }
    if (waiting <= 0) continue;
    for (int i = 0; i <= static_cast<int>(r.spec.priority); ++i) {
      waits_[static_cast<size_t>(r.shard_id)][static_cast<size_t>(i)] += waiting * r.spec.each.cpus;
    }
  }
  return waits_;
}

// What each shard has for a job: where its tasks could start now, given their
// zones, and free cpus less what already waits there and comes first.
std::vector<Core::Room> Core::RoomsFor(const JobSpec& spec) {
  std::vector<Room> rooms(shards_.size());
  const Waits& waits = WaitingCpus();
  const bool critical = spec.priority == Priority::kProduction;
  for (size_t shard_id = 0; shard_id < shards_.size(); ++shard_id) {
    Room& room = rooms[shard_id];
    room.waiting = static_cast<double>(waits[shard_id][static_cast<size_t>(spec.priority)]);
    JobSpread spread, ready_spread;
    PlaceMachine probe;
    for (const MachineUse& use : shards_[shard_id].machine_use) {
      const AssignedMachine& m = *use.machine;
      const MachineType* type = TypeOf(m.type);
      if (type == nullptr || m.leaving || !m.helps.empty()) continue;
      if (!TypeAllowed(spec, m.type, m.spot)) continue;
      if (spec.each.Fits(type->size)) ++room.machines;
      room.size += static_cast<double>(type->size.cpus - use.critical.cpus);
      // What it may push aside is room for a critical job.
      Amount left = type->size - (critical ? use.critical : use.all);
      if (left.cpus > 0) room.free += static_cast<double>(left.cpus);
      if (m.addr.empty()) continue;  // still booting
      if (!spec.each.Fits(left)) continue;
      probe.type = m.type;
      probe.zone = m.zone;
      probe.spot = m.spot;
      if (spec.kind == JobKind::kService && room.ready < spec.tasks) {
        bool has_image = use.images.count(spec.image) != 0;
        if (!has_image) {
          auto info = machines_.find(m.name);
          has_image = info != machines_.end() && info->second.images.count(spec.image) != 0;
        }
        if (has_image) {
          room.ready_soon += static_cast<int>(
              std::min<int64_t>(spec.tasks, spec.each.cpus > 0 ? left.cpus / spec.each.cpus : 1));
        }
        for (Amount rest = type->size - use.all; has_image && room.ready < spec.tasks &&
                                                 spec.each.Fits(rest) && spec.each.cpus > 0 &&
                                                 Allowed(spec, ready_spread, probe);) {
          rest -= spec.each;
          ++ready_spread.by_zone[m.zone];
          ++room.ready;
        }
      }
      while (room.placeable < spec.tasks && spec.each.Fits(left) && Allowed(spec, spread, probe)) {
        left -= spec.each;
        ++spread.by_zone[m.zone];
        ++room.placeable;
        if (spec.each.cpus <= 0) break;
      }
    }
    room.now_free = room.free - room.waiting;
    if (spec.each.cpus > 0) {
      room.placeable =
          static_cast<int>(std::clamp(room.now_free / static_cast<double>(spec.each.cpus), 0.0,
                                      static_cast<double>(room.placeable)));
    }
    auto peer = peers_.find(shards_[shard_id].leadership.leader);
    room.owned = shards_[shard_id].leadership_version != 0 &&
                 (peer == peers_.end() || now_ - peer->second.heard < 1500 * kMilli);
  }
  return rooms;
}

int Core::ShardForJob(const JobSpec& spec) {
  std::vector<Room> rooms = RoomsFor(spec);
  size_t best = StableHash(spec.id) % shards_.size();
  std::vector<double> score(shards_.size(), 0);
  double mean = 0;
  for (const Room& room : rooms) mean += room.size / static_cast<double>(rooms.size());
  for (size_t shard_id = 0; shard_id < shards_.size(); ++shard_id) {
    const Room& room = rooms[shard_id];
    score[shard_id] = room.now_free;
    // Where all are full, by how long it takes: a small shard works a queue off slowly.
    if (room.now_free < 0 && room.size > 0) score[shard_id] *= mean / room.size;
    if (spec.kind != JobKind::kArray) score[shard_id] += 1e8 * room.placeable / spec.tasks;
    // A replica starts at once only where its image is.
    if (spec.kind == JobKind::kService) {
      score[shard_id] +=
          1e7 * (room.ready + 0.2 * std::min(room.ready_soon, spec.tasks)) / spec.tasks;
    }
    // Nobody leads it at the moment: it would wait for a takeover.
    if (!room.owned) score[shard_id] -= 1e12;
  }
  for (size_t shard_id = 0; shard_id < shards_.size(); ++shard_id) {
    if (score[shard_id] > score[best] + 1) best = shard_id;
  }
  return static_cast<int>(best);
}

std::string Core::FreshSibling(Micros now) const {
  const Peer* best = nullptr;
  for (const auto& [label, peer] : peers_) {
    if (peer.heard == 0 || now - peer.heard > kSecond || peer.state_age > kSecond) continue;
    if (best == nullptr || peer.state_age < best->state_age) best = &peer;
  }
  return best == nullptr ? "" : best->label;
}

bool Core::ForwardRequest(Micros now, OpenRequest* open) {
  open->tried = true;
  std::string to = FreshSibling(now);
  if (to.empty()) return false;
  ++counters_.forwards;
  open->forward = next_foreign_++;
  open->forwarded_at = now;
  forwards_[open->forward] = open->request.id;
  out_.peers.push_back({to, mesh::Forward{open->forward, open->request.method, open->request.target,
                                          open->request.body}});
  return true;
}

void Core::UserRequest(Micros now, const Request& request) {
  OpenRequest& open = open_[request.id];
  open.request = request;
  open.since = now;
  if (!StateFresh(now) || !synced_ || types_.empty()) ForwardRequest(now, &open);
  Route(now, request);
}

void Core::RunForwards(Micros now) {
  std::vector<uint64_t> ended;
  for (auto& [id, open] : open_) {
    if (!open.tried && now - open.since > kForwardAfter) ForwardRequest(now, &open);
    if (open.forward != 0 && now - open.forwarded_at > kForwardPatience) {
      forwards_.erase(open.forward);
      open.forward = 0;
      if (open.refused) ended.push_back(id);
    } else if (now - open.since > 10 * kSecond) {
      ended.push_back(id);  // its connection is long gone
    }
  }
  for (uint64_t id : ended) {
    Reply refusal = open_[id].refusal;
    bool refused = open_[id].refused;
    open_[id].forward = 0;
    if (refused) {
      Answer(id, refusal.status, refusal.body, refusal.retry_after_s);
    } else {
      Answer(id, 503, wire::EncodeError("no answer"), kRetryAfter);
    }
  }
}

void Core::Submit(Micros now, const Request& request) {
  ++counters_.submissions;
  std::string why;
  std::optional<JobSpec> spec = wire::DecodeSubmission(request.body, &why);
  if (!spec) {
    Answer(request.id, 400, wire::EncodeError(why));
    return;
  }
  Query query;
  query.kind = Query::Kind::kSubmit;
  query.request = request.id;
  query.id = spec->id;
  query.since = now;
  if (FindJob(spec->id) != nullptr) {
    Poll(now, std::move(query));
    return;
  }
  // What can never run is told so at once, also in trouble: it needs the types alone.
  if (!types_.empty()) why = NeverRuns(*spec);
  if (!why.empty()) {
    Answer(request.id, 422, wire::EncodeError(why));
    return;
  }
  if (!synced_ || types_.empty() || !StateFresh(now)) {
    ++counters_.refused;
    Answer(request.id, 503, wire::EncodeError("not ready"), kRetryAfter);
    return;
  }
  // Acceptance comes before all other writes: it only stops when the node is
  // deep in debt, and otherwise lets the service itself say that it is too much.
  if (write_budget_.have() < -settings_.write_rps / 2) {
    ++counters_.refused;
    // Not all of them back at the same moment.
    Answer(request.id, 429, wire::EncodeError("too many submissions"),
           kRetryAfter + static_cast<int>(StableHash(spec->id) % kRetrySpread));
    return;
  }
  write_budget_.Force(now, 1);
  JobRecord record;
  record.shard_id = ShardForJob(*spec);
  // The next one of a burst sees this one wait there.
  for (int i = 0; i <= static_cast<int>(spec->priority); ++i) {
    waits_[static_cast<size_t>(record.shard_id)][static_cast<size_t>(i)] +=
        spec->tasks * spec->each.cpus;
  }
  record.submitted = WallNow(now);
  record.spec = std::move(*spec);
  StateTxn txn;
  txn.conditions.emplace_back(JobKey(query.id), 0);
  txn.writes.push_back({JobKey(query.id), EncodeJob(record), 0, false});
  ++counters_.puts;
  Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kCommitTimeout,
       [this, query, write = txn.writes[0], job_class = record.spec.job_class](
           Micros t, int status, const std::string& body) {
         std::optional<wire::TxnReply> reply;
         if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
         if (reply) state_ok_ = t;
         if (status == 200 && reply) {
           ApplyPut(t, write.key, write.value, reply->revision);
           ++counters_.accepted;
           Log(LogLine::Level::kDebug, "accepted " + query.id + " " + job_class);
           Answer(query.request, 201, wire::EncodeJobState(query.id, "queued"));
         } else if (status == 409) {
           // Known already: by a repeat, a late copy or another node.
           FetchJob(t, query.id);
           Poll(t, query);
         } else {
           if (status == 429) write_budget_.Drain(t);
           ++counters_.refused;
           Answer(query.request, 503, wire::EncodeError("not stored"), kRetryAfter);
         }
       });
}

void Core::Poll(Micros now, Query query) {
  const JobEntry* entry = FindJob(query.id);
  // Final states never change, so a copy of one is as good as the original.
  if (entry != nullptr && entry->record.state != JobState::kOpen) {
    AnswerQuery(now, query);
    return;
  }
  if (!synced_ || queries_.size() >= kMaxQueries) {
    const int spread = synced_ ? static_cast<int>(StableHash(query.id) % kRetrySpread) : 0;
    Answer(query.request, 503, wire::EncodeError("not ready"), kRetryAfter + spread);
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
  StateTxn txn;
  std::map<std::string, uint64_t> versions;
  std::vector<Query> batch;
  size_t most = 4 * static_cast<size_t>(settings_.txn_ops);
  while (!queries_.empty() && versions.size() < most) {
    Query q = std::move(queries_.front());
    queries_.pop_front();
    const JobEntry* entry = FindJob(q.id);
    versions[q.id] = entry == nullptr ? 0 : entry->version;
    batch.push_back(std::move(q));
  }
  for (const auto& [id, version] : versions) txn.conditions.emplace_back(JobKey(id), version);
  query_busy_ = true;
  Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kCommitTimeout,
       [this, batch](Micros t, int status, const std::string& body) {
         query_busy_ = false;
         std::optional<wire::TxnReply> reply;
         if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
         if (!reply) {
           query_not_before_ = t + 50 * kMilli;
           for (const Query& q : batch) {
             Answer(q.request, 503, wire::EncodeError("state service does not answer"),
                    kRetryAfter);
           }
           return;
         }
         state_ok_ = t;
         std::set<std::string> stale;
         for (const std::string& key : reply->failed) stale.insert(ParseKey(key).id);
         for (const std::string& id : stale) FetchJob(t, id);
         for (Query q : batch) {
           // A failed transaction proves nothing of the keys it does not name.
           if (status == 409 && (stale.empty() || stale.count(q.id) != 0)) {
             queries_.push_back(std::move(q));
           } else {
             AnswerQuery(t, q);
           }
         }
       });
}

void Core::FetchJob(Micros now, const std::string& id) {
  if (!state_budget_.Has(now, 1)) return;
  // One key is a list that begins just before it; ids differ in their digits,
  // so the prefix may hold longer ones too.
  Send(Dest::kState, "", "GET", wire::ListTarget(JobKey(id), "", 1), "", kCommitTimeout,
       [this](Micros t, int status, const std::string& body) {
         std::optional<wire::StatePage> page;
         if (status == 200) page = wire::DecodeList(body);
         if (!page) return;
         state_ok_ = t;
         for (const StateItem& i : page->items) ApplyPut(t, i.key, i.value, i.version);
       });
}

JobStatus Core::StatusOf(const std::string& id, const JobEntry& entry) const {
  JobStatus out;
  out.id = id;
  const JobRecord& r = entry.record;
  if (r.state != JobState::kOpen) {
    out.state = StateName(r.state);
    out.done = r.state == JobState::kDone ? r.spec.tasks : 0;
    return out;
  }
  auto run = runs_.find(id);
  if (run != runs_.end()) {
    out.done = run->second.done;
    out.running = run->second.placed;
  } else if (r.shard_id >= 0 && r.shard_id < settings_.shard_count()) {
    const Shard& shard = shards_[static_cast<size_t>(r.shard_id)];
    auto progress = shard.progress.find(id);
    if (progress != shard.progress.end()) out.done = static_cast<int64_t>(progress->second.size());
    auto placed = shard.use.jobs.find(id);
    if (placed != shard.use.jobs.end()) out.running = placed->second;
  }
  out.state = out.running > 0 ? "running" : "queued";
  return out;
}

void Core::AnswerQuery(Micros now, const Query& query) {
  const JobEntry* entry = FindJob(query.id);
  if (entry == nullptr) {
    Answer(query.request, 404, wire::EncodeError("no such job"));
    return;
  }
  switch (query.kind) {
    case Query::Kind::kPoll:
      Answer(query.request, 200, wire::EncodeJobStatus(StatusOf(query.id, *entry)));
      return;
    case Query::Kind::kSubmit:
      Answer(query.request, 200, wire::EncodeJobState(query.id, StatusOf(query.id, *entry).state));
      return;
    case Query::Kind::kAbort: Abort(now, query); return;
  }
}

void Core::Abort(Micros now, Query query) {
  const JobEntry* entry = FindJob(query.id);
  if (entry == nullptr) {
    Poll(now, std::move(query));  // 404 only once the state service confirms it
    return;
  }
  if (entry->record.state != JobState::kOpen) {
    Answer(query.request, 200, wire::EncodeJobState(query.id, StateName(entry->record.state)));
    return;
  }
  if (++query.tries > 4 || !StateFresh(now)) {
    Answer(query.request, 503, wire::EncodeError("not stored"), kRetryAfter);
    return;
  }
  write_budget_.Force(now, 1);
  JobRecord record = entry->record;
  record.state = JobState::kCancelled;
  StateTxn txn;
  txn.conditions.emplace_back(JobKey(query.id), entry->version);
  txn.writes.push_back({JobKey(query.id), EncodeJob(record), 0, false});
  ++counters_.puts;
  Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kCommitTimeout,
       [this, query, write = txn.writes[0]](Micros t, int status, const std::string& body) {
         std::optional<wire::TxnReply> reply;
         if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
         if (reply) state_ok_ = t;
         if (status == 200 && reply) {
           // Peers must be able to hear of it before the user does.
           next_heartbeat_ = t;
           ApplyPut(t, write.key, write.value, reply->revision);
           Answer(query.request, 200, wire::EncodeJobState(query.id, "cancelled"));
         } else if (status == 409) {
           FetchJob(t, query.id);
           Poll(t, query);
         } else {
           if (status == 429) write_budget_.Drain(t);
           Answer(query.request, 503, wire::EncodeError("not stored"), kRetryAfter);
         }
       });
}

}  // namespace troutlink
