// Users' API: submissions. A job is accepted once its record is committed.
#include <algorithm>

#include "base/ids.h"
#include "core/core.h"

namespace troutlink {

std::string Core::NeverRuns(const JobSpec& spec) const {
  const Team* team = FindTeam(spec.team);
  if (team == nullptr) return "unknown team";
  const std::vector<MachineType>& types = machine_types_.types();
  const bool fits = std::any_of(types.begin(), types.end(), [&](const MachineType& type) {
    if (!TypeAllowed(spec, type.name, false) || !spec.each.Fits(type.size)) return false;
    if (spec.zone.empty()) return !type.zones.empty() || settings_.zones.empty();
    return std::find(type.zones.begin(), type.zones.end(), spec.zone) != type.zones.end();
  });
  if (!fits) return "no allowed machine type has room for a task";
  const int64_t at_once = spec.kind == JobKind::kArray ? 1 : spec.tasks;
  if ((team->cpus_max > 0 && at_once * spec.each.cpus > team->cpus_max) ||
      (team->gpus_max > 0 && at_once * spec.each.gpus > team->gpus_max)) {
    return "more than the team's limit";
  }
  return "";
}

void Core::Submit(Micros now, const Request& request) {
  ++counters_.submissions;
  wire::SpecResult spec = wire::DecodeSubmission(request.body);
  if (!spec) {
    Answer(request.id, 400, wire::EncodeError(spec.error().text));
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
  std::string why;
  if (!machine_types_.empty()) why = NeverRuns(*spec);
  if (!why.empty()) {
    Answer(request.id, 422, wire::EncodeError(why));
    return;
  }
  if (!feed_.synced() || machine_types_.empty() || !StateFresh(now)) {
    ++counters_.refused;
    Answer(request.id, 503, wire::EncodeError("not ready"), kRetryAfter);
    return;
  }
  // Acceptance comes before all other writes: it only stops when the node is
  // deep in debt, and otherwise lets the service itself say that it is too much.
  if (write_budget_.have() < -Limits().write_rps / 2) {
    ++counters_.refused;
    Answer(request.id, 429, wire::EncodeError("too many submissions"), SpreadRetry(spec->id));
    return;
  }
  if (!spec->dependencies.empty()) {
    // A node of version 1 would start the job's tasks at once.
    if (!all_nodes_current_) {
      ++counters_.refused;
      Answer(request.id, 503, wire::EncodeError("not all nodes know dependencies yet"),
             kRetryAfter);
      return;
    }
    ResolveDependencies(now, query, std::move(*spec));
    return;
  }
  StoreJob(now, query, std::move(*spec));
}

std::string Core::BadDependency(const JobSpec& spec) const {
  for (const std::string& id : spec.dependencies) {
    const JobEntry* job = FindJob(id);
    if (job != nullptr && job->record.spec.kind == JobKind::kService) {
      return "services are never done: " + id;
    }
  }
  return "";
}

// A job that the replica lacks may have been accepted a moment ago, by another node: what the
// state service says of it counts.
void Core::ResolveDependencies(Micros now, const Query& query, JobSpec spec) {
  auto unknown = std::find_if(spec.dependencies.begin(), spec.dependencies.end(),
                              [this](const std::string& id) { return FindJob(id) == nullptr; });
  if (unknown == spec.dependencies.end()) {
    const std::string why = BadDependency(spec);
    if (!why.empty()) {
      Answer(query.request, 422, wire::EncodeError(why));
    } else if (!KnowsCancellations(now)) {
      ++counters_.refused;
      Answer(query.request, 503, wire::EncodeError("not ready"), kRetryAfter);
    } else {
      StoreJob(now, query, std::move(spec));
    }
    return;
  }
  const std::string id = *unknown;
  if (!IsJobId(id) || id == spec.id) {
    Answer(query.request, 422, wire::EncodeError("never accepted: " + id));
    return;
  }
  ReadJob(now, id, [this, query, spec = std::move(spec), id](Micros answered, bool read) {
    if (!read) {
      ++counters_.refused;
      Answer(query.request, 503, wire::EncodeError("state service does not answer"), kRetryAfter);
    } else if (FindJob(id) == nullptr) {
      Answer(query.request, 422, wire::EncodeError("never accepted: " + id));
    } else {
      ResolveDependencies(answered, query, spec);
    }
  });
}

// Not all of them back at the same moment.
int Core::SpreadRetry(const std::string& id) {
  return kRetryAfter + static_cast<int>(StableHash(id) % kRetrySpread);
}

// For the log: empty for a job that waits for no other.
std::string Core::ListOf(const std::vector<std::string>& dependencies) {
  std::string list;
  for (const std::string& id : dependencies) list += (list.empty() ? ", waits for " : " ") + id;
  return list;
}

void Core::StoreJob(Micros now, const Query& query, JobSpec spec) {
  JobRecord record;
  record.shard_id = ShardForJob(spec);
  record.submitted = WallNow(now);
  record.spec = std::move(spec);
  // One that needs a cancelled job is accepted, and cancelled from the start.
  JobPhase phase = JobPhase::kQueued;
  if (HasCancelledDependency(record.spec)) {
    record.state = JobState::kCancelled;
    phase = JobPhase::kCancelled;
  }
  std::string value = EncodeJob(record);
  if (StoredSize(value) > settings_.next_state_limits.value_bytes) {
    Answer(query.request, 422, wire::EncodeError("larger than the state service can hold"));
    return;
  }
  write_budget_.Force(now, 1);
  // The next one of a burst sees this one wait there.
  if (record.spec.dependencies.empty()) {
    AddWaiting(record.shard_id, record.spec, record.spec.tasks);
  }
  StateTxn txn;
  txn.conditions.push_back({JobKey(query.id), 0});
  txn.writes.push_back({JobKey(query.id), std::move(value), 0, false});
  ++counters_.puts;
  effects_.Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn),
                kUserCallTimeout,
                [this, query, write = txn.writes[0], job_class = record.spec.job_class, phase,
                 waits_for = ListOf(record.spec.dependencies)](Micros answered, int status,
                                                               const std::string& body) {
                  std::optional<wire::TxnReply> reply;
                  if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
                  if (reply) state_ok_ = answered;
                  if (status == 200 && reply) {
                    ApplyPut(answered, write.key, write.value, reply->revision);
                    ++counters_.accepted;
                    effects_.Log(LogLine::Level::kDebug,
                                 "accepted " + query.id + " " + job_class + waits_for);
                    Answer(query.request, 201, wire::EncodeJobState(query.id, phase));
                  } else if (status == 409) {
                    // Known already: by a repeat, a late copy or another node.
                    FetchJob(answered, query.id);
                    Poll(answered, query);
                  } else {
                    if (status == 429) write_budget_.Drain(answered);
                    ++counters_.refused;
                    Answer(query.request, 503, wire::EncodeError("not stored"), kRetryAfter);
                  }
                });
}

}  // namespace troutlink
