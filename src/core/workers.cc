// Workers: reports, what they prove, and the orders that answer them.
#include <algorithm>

#include "base/ids.h"
#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kCommandTimeout = 2 * kSecond;
constexpr Micros kRedirectMemory = 15 * kSecond;
constexpr Micros kRelayFor = 20 * kSecond;
constexpr Micros kGraceSlack = 3 * kSecond;
constexpr Micros kLapseSlack = 2 * kSecond;
constexpr size_t kMaxUnknown = 10000;  // machines; bounded, as anyone may report
}  // namespace

uint64_t Core::TokenOf(int shard_id, const MachineInfo& info) const {
  return std::max(TokenForEpoch(shards_[static_cast<size_t>(shard_id)].epoch), info.fencing_token);
}

// A fencing token used to be a commit's revision: in an outage there was none, the machine's lease
// was renewed under the token of a command that was still under way, and the command was
// carried out long after its job had been cancelled.
void Core::RaiseFencingToken(int shard_id, MachineInfo* info, uint64_t token) {
  info->required_token = std::max(info->required_token, token + 1);
  if (info->required_token <= TokenOf(shard_id, *info)) return;
  ++counters_.fencing_raises;
  info->fencing_token = info->required_token;
}

bool Core::JobOver(const std::string& job) const {
  const JobEntry* entry = FindJob(job);
  return entry == nullptr || entry->record.state != JobState::kOpen ||
         reported_cancels_.count(job) != 0;
}

void Core::AnswerReport(uint64_t request, const std::string& relay_from, uint64_t relay_id,
                        int status, std::string body) {
  if (relay_from.empty()) {
    Answer(request, status, std::move(body));
  } else {
    out_.peers.push_back(
        {relay_from, mesh::RelayReply{relay_id, static_cast<uint64_t>(status), std::move(body)}});
  }
}

void Core::OnReport(Micros now, uint64_t request, const std::string& relay_from, uint64_t relay_id,
                    const std::string& body) {
  ++counters_.reports;
  std::optional<Report> report = wire::DecodeReport(body);
  if (!report) {
    AnswerReport(request, relay_from, relay_id, 400, wire::EncodeError("malformed report"));
    return;
  }
  if (!synced_ && replica_time_ == 0) {
    AnswerReport(request, relay_from, relay_id, 503, wire::EncodeError("not ready"));
    return;
  }
  int shard_id = ShardOfMachine(report->machine);
  bool assigned = shard_id >= 0;
  if (!assigned) {
    shard_id = static_cast<int>(StableHash(report->machine) % shards_.size());
    // Kept by every node: the one that rented it may learn its name any moment.
    if (unknown_.size() < kMaxUnknown || unknown_.count(report->machine) != 0) {
      unknown_[report->machine] = *report;
    }
    stray_since_.try_emplace(report->machine, now);
    if (shards_[static_cast<size_t>(shard_id)].is_leader) {
      MarkDirty(shard_id);
      AnswerReport(request, relay_from, relay_id, 503, wire::EncodeError("not adopted yet"));
      return;
    }
  }
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  bool superseded = shard.rival_epoch > shard.epoch;
  if (assigned && (superseded || shard.epoch == 0) && MayRenewOnBehalf(now, shard_id, *report)) {
    // The token is the worker's own: an equal one is accepted from any node, and
    // whoever leads the shard later has a higher one. Nothing is started; what
    // was cancelled ends.
    ++counters_.renewed_on_behalf;
    AnswerReport(request, relay_from, relay_id, 200,
                 wire::EncodeReportReply(report->token, StopsOfOver(*report)));
    return;
  }
  if (!assigned || superseded || shard.epoch == 0) {
    std::string leader = LeaderLabel(shard_id);
    if (leader == settings_.label) leader.clear();
    if (!relay_from.empty() || leader.empty()) {
      ++counters_.redirects;
      AnswerReport(request, relay_from, relay_id, leader.empty() ? 503 : 421,
                   wire::EncodeReportTo(leader));
      return;
    }
    MachineInfo& info = machines_[report->machine];
    bool came_back = info.redirected_to == leader && now - info.redirected_at < kRedirectMemory &&
                     now - info.redirected_at > kSecond;
    auto peer = peers_.find(leader);
    bool reachable = peer != peers_.end() && now - peer->second.heard < 2 * kSecond;
    if (came_back && reachable) info.relay_until = now + kRelayFor;
    if (now < info.relay_until && reachable) {
      // The worker cannot reach its leader, but we can.
      ++counters_.relays;
      uint64_t id = next_relay_++;
      relays_[id] = {request, now};
      out_.peers.push_back({leader, mesh::Relay{id, body}});
      return;
    }
    info.redirected_at = now;
    info.redirected_to = leader;
    ++counters_.redirects;
    AnswerReport(request, relay_from, relay_id, 421, wire::EncodeReportTo(leader));
    return;
  }
  auto machine = shard.assignments.machines.find(report->machine);
  if (machine == shard.assignments.machines.end()) {
    AnswerReport(request, relay_from, relay_id, 503, wire::EncodeError("not adopted yet"));
    return;
  }
  MachineInfo& info = machines_[report->machine];
  uint64_t token = TokenOf(shard_id, info);
  if (report->token > token) {
    // Somebody is entitled who knows more than we do.
    ++counters_.redirects;
    AnswerReport(request, relay_from, relay_id, 421, wire::EncodeReportTo(""));
    return;
  }
  if (!MayRenew(now)) {
    AnswerReport(request, relay_from, relay_id, 503,
                 wire::EncodeError("cut off from the state service"));
    return;
  }
  std::vector<Command> orders;
  if (ProcessReport(now, shard_id, machine->second, *report, false)) {
    orders = MakeOrders(now, shard_id, machine->second, *report);
    // Nothing is started before the worker saw our token; do not wait for its
    // next report to learn that it did.
    if (report->token < info.required_token) Push(now, shard_id, report->machine);
  } else if (report->session != info.session) {
    // Late, from a session that is over.
    AnswerReport(request, relay_from, relay_id, 503, wire::EncodeError("old session"));
    return;
  } else {
    // A report that a direct answer overtook. Without its stops the answer would renew the
    // lease of a task that is cancelled, and the machine may hang right after it.
    orders = StopsOfOver(*report);
  }
  NoteAnswer(now, &info, orders);
  AnswerReport(request, relay_from, relay_id, 200, wire::EncodeReportReply(token, orders));
}

std::vector<Command> Core::StopsOfOver(const Report& report) const {
  std::vector<Command> stops;
  for (const TaskReport& t : report.tasks) {
    if (t.state != TaskState::kExited && JobOver(t.job)) {
      stops.push_back({Command::Op::kStop, t.job, t.task, t.attempt, 0});
    }
  }
  return stops;
}

void Core::NoteAnswer(Micros now, MachineInfo* info, const std::vector<Command>& orders) {
  info->answered_at = now;
  info->ordered.clear();
  for (const Command& c : orders) {
    if (c.op != Command::Op::kStop) info->ordered.push_back({c.job, c.task, c.attempt});
  }
}

// A machine whose reports arrive while answers and commands do not reach it looks
// alive and does nothing. It gets no more work once the orders of two answers had
// no effect, or once its lease ended although we had just answered it. Then it is
// asked directly: an answer clears it, and without one it goes back.
void Core::CheckAnswersTakeEffect(Micros now, int shard_id, MachineInfo* info, const Report& report,
                                  bool new_session) {
  if (new_session) {
    const bool answered =
        info->answered_at != 0 && now - info->answered_at < Shortest(settings_.lease) - kLapseSlack;
    info->answered_at = 0;
    info->ordered.clear();
    if (!answered) return;
    ++counters_.unresponsive;
    ++info->lease_losses;
    info->ignored_answers = std::max(info->ignored_answers, kMaxIgnoredAnswers);
    info->probe = true;
    info->no_direct_before = std::min(info->no_direct_before, now);
    if (info->lease_losses < 2 && info->direct_failures == 0) return;
    info->give_up = true;
    Log(LogLine::Level::kInfo, "giving up " + report.machine + ": it does not hear us");
    MarkDirty(shard_id);
    return;
  }
  if (info->ordered.empty()) return;
  size_t done = 0;
  for (const Attempt& a : info->ordered) {
    bool there = false, ended = false;
    for (const TaskReport& t : report.tasks) {
      if (t.job != a.job || t.task != a.task || t.attempt != a.number) continue;
      there = true;
      ended = t.state == TaskState::kExited;
    }
    auto at = attempts_.find(a);
    // A start shows by the task, a reap by its absence.
    bool start = at != attempts_.end() && !at->second.gone;
    if (start ? there : !there || !ended) ++done;
  }
  info->ignored_answers = done > 0 ? 0 : info->ignored_answers + 1;
  if (done > 0) info->lease_losses = 0;
  if (info->ignored_answers >= kMaxIgnoredAnswers) info->probe = true;
  info->ordered.clear();
}

bool Core::MayRenewOnBehalf(Micros now, int shard_id, const Report& report) const {
  const Shard& shard = shards_[static_cast<size_t>(shard_id)];
  // A start of the leader may be under way under the same token, sent without knowing what
  // we learn soon after: until its leader would have given up on it and fenced it.
  if (StateFresh(now) || !MayRenew(now + kCommandTimeout)) return false;
  uint64_t epoch = std::max(shard.leadership_version, shard.rival_epoch);
  if (epoch == 0 || report.token < TokenForEpoch(epoch)) return false;
  std::string leader = LeaderLabel(shard_id);
  if (leader.empty() || leader == settings_.label) return false;
  auto peer = peers_.find(leader);
  if (peer == peers_.end()) return false;
  // A leader that lives and knows that it is one answers for itself.
  bool gone = now - peer->second.heard > 1500 * kMilli ||
              peer->second.holds.count(static_cast<uint64_t>(shard_id)) == 0;
  if (!gone) return false;
  // Nor may a peer that reaches the state service be about to take over.
  for (const auto& [label, other] : peers_) {
    if (now - other.heard < 1500 * kMilli && other.state_age < kSecond) return false;
  }
  return true;
}

void Core::NoteImageUse(MachineInfo* info, const std::string& type_name, const std::string& image,
                        double gb, Micros now) {
  info->images[image] = now;
  info->image_gb[image] = gb;
  const MachineType* type = TypeOf(type_name);
  if (type == nullptr) return;
  // The machine keeps the most recently used ones: forget what no longer fits.
  while (info->images.size() > 1) {
    double sum = 0;
    for (const auto& [name, size] : info->image_gb) sum += size;
    if (sum <= type->cache_gb) break;
    auto oldest =
        std::min_element(info->images.begin(), info->images.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    info->image_gb.erase(oldest->first);
    info->images.erase(oldest);
  }
}

// Learns from a report or from the answer to a direct command. False when it
// is not newer than what is known.
bool Core::ProcessReport(Micros now, int shard_id, const AssignedMachine& machine,
                         const Report& report, bool direct) {
  MachineInfo& info = machines_[machine.name];
  bool first = info.session == 0;
  if (!first && (report.session < info.session ||
                 (report.session == info.session && report.seq <= info.seq))) {
    // Nor does it show that the machine lives: copies of reports come late.
    return false;
  }
  bool new_session = !first && report.session > info.session;
  // Most reports change nothing that a round would look at.
  bool changed = first || new_session || now - info.heard > 2 * settings_.report ||
                 info.token_seen < info.required_token;
  if (!direct) {
    CheckAnswersTakeEffect(now, shard_id, &info, report, new_session);
  } else {
    info.ignored_answers = info.lease_losses = 0;  // it answered
    info.ordered.clear();
  }
  info.session = report.session;
  info.seq = report.seq;
  info.token_seen = std::max(info.token_seen, report.token);
  info.heard = now;
  info.reported_silent_since = 0;
  info.probe = info.probe && !direct;
  if (info.ignored_answers == 0) info.probe = false;
  if (info.first_heard == 0) {
    // It has just booted: what failed before then says nothing.
    info.first_heard = now;
    info.no_direct_before = 0;
    info.direct_failures = 0;
  }
  if (!report.addr.empty()) info.addr = report.addr;
  if (report.notice) {
    if (info.notice_end == 0) MarkDirty(shard_id);
    info.notice_end = now + *report.notice;
  }
  info.tasks = report.tasks;
  // An absence is a proof only once commands of earlier leaders, and commands
  // of ours without an answer, can no longer run: the worker saw a token above
  // theirs.
  const bool clean = report.token >= info.required_token;
  std::map<Attempt, const TaskReport*> have;
  for (const TaskReport& t : report.tasks) have[{t.job, t.task, t.attempt}] = &t;
  for (const Attempt& a : machine.attempts) {
    auto it = attempts_.find(a);
    if (it == attempts_.end() || it->second.gone) continue;
    AttemptInfo& at = it->second;
    auto found = have.find(a);
    if (found != have.end()) {
      const TaskReport& t = *found->second;
      if (!at.seen) {
        at.seen = true;
        if (at.session == 0) at.session = report.session;
      }
      if (t.state == TaskState::kRunning && at.running_at == 0) {
        at.running_at = now;
        Log(LogLine::Level::kDebug, "running " + a.job + "/" + std::to_string(a.task) + " on " +
                                        machine.name + " after " +
                                        std::to_string((now - at.placed_at) / kMilli) + " ms");
      }
      changed = changed || at.state != t.state;
      at.state = t.state;
      if (t.state != TaskState::kFetching) {
        if (const JobEntry* job = FindJob(a.job)) {
          if (!job->record.spec.image.empty()) {
            NoteImageUse(&info, machine.type, job->record.spec.image, job->record.spec.image_gb,
                         now);
          }
        }
      }
      if (t.state == TaskState::kExited) TaskExited(now, shard_id, machine, a, &at, t);
      continue;
    }
    // Not in the report.
    if (new_session && at.session != 0 && at.session < report.session) {
      MarkGone(shard_id, a, &at);  // a new session begins without tasks
      continue;
    }
    if (direct || at.direct || !clean) continue;
    // Seen before; or inherited, and never started; or decided but never started, and no
    // longer wanted: a start in a reply to an earlier report was taken or dropped before
    // this report was made.
    if (at.seen || !at.fresh ||
        ((JobOver(a.job) || at.stopping) && (at.reply_seq == 0 || at.reply_seq < report.seq))) {
      MarkGone(shard_id, a, &at);
    }
  }
  if (changed) MarkDirty(shard_id);
  return true;
}

void Core::MarkGone(int shard_id, const Attempt& attempt, AttemptInfo* info) {
  if (info->gone) return;
  info->gone = true;
  ++counters_.gone;
  shards_[static_cast<size_t>(shard_id)].cleanup = true;
  MarkDirty(shard_id);
  auto run = runs_.find(attempt.job);
  if (run == runs_.end()) return;
  JobRun& r = run->second;
  auto i = static_cast<size_t>(attempt.task);
  if (i >= r.tasks.size() || r.tasks[i] != kPlaced) return;
  // An assignment table that is changed a few chunks at a time may still name an attempt that
  // is gone when the next one of its task is on record already. Whoever takes the
  // part over inherits both: the end of one frees the task only without the other.
  for (auto it = attempts_.lower_bound({attempt.job, attempt.task, 0});
       it != attempts_.end() && it->first.job == attempt.job && it->first.task == attempt.task;
       ++it) {
    if (!it->second.gone) return;
  }
  r.tasks[i] = kWaiting;
  --r.placed;
  r.hint = std::min(r.hint, attempt.task);
}

void Core::TaskExited(Micros now, int shard_id, const AssignedMachine& machine,
                      const Attempt& attempt, AttemptInfo* info, const TaskReport& task) {
  auto run = runs_.find(attempt.job);
  MarkGone(shard_id, attempt, info);
  MachineInfo& mi = machines_[machine.name];
  // A copy of the direct command that started it may arrive at any later time, and after
  // the reap it would start the task once more: where that matters the worker sees a
  // higher token first. What is done only exits as done again.
  if (task.why != ExitReason::kDone && info->start_token != 0 &&
      mi.token_seen <= info->start_token) {
    RaiseFencingToken(shard_id, &mi, info->start_token);
  }
  switch (task.why) {
    case ExitReason::kDone:
      health_.Succeeded(machine.name, attempt.job);
      if (run != runs_.end()) {
        JobRun& r = run->second;
        const JobEntry* job = FindJob(attempt.job);
        auto i = static_cast<size_t>(attempt.task);
        if (job != nullptr && job->record.spec.kind != JobKind::kService && i < r.tasks.size() &&
            r.tasks[i] != kDone) {
          if (r.tasks[i] == kPlaced) --r.placed;  // another attempt of it is on record
          r.tasks[i] = kDone;
          ++r.done;
          if (info->running_at != 0) r.durations.push_back(now - info->running_at);
          shards_[static_cast<size_t>(shard_id)].progress_dirty = true;
        }
      }
      break;
    case ExitReason::kError:
    case ExitReason::kUnknown:
      if (!JobOver(attempt.job)) health_.Failed(now, machine.name, attempt.job);
      Log(LogLine::Level::kDebug,
          "failed: " + attempt.job + "/" + std::to_string(attempt.task) + " on " + machine.name);
      break;
    case ExitReason::kNoRoom: mi.avoid_until = now + 3 * kSecond; break;
    case ExitReason::kPeers:
    case ExitReason::kStopped:
    case ExitReason::kBusy:
    case ExitReason::kNone: break;
  }
}

void Core::StopAttempt(Micros now, const Attempt& attempt, AttemptInfo* info, Micros grace) {
  (void)attempt;
  if (info->stopping && info->grace <= grace) return;
  if (!info->stopping) info->stop_at = now;
  info->stopping = true;
  info->grace = grace;
  info->stop_sent = false;
  ++counters_.stops;
}

void Core::StopJob(Micros now, const std::string& job) {
  for (auto it = attempts_.lower_bound({job, 0, 0}); it != attempts_.end() && it->first.job == job;
       ++it) {
    AttemptInfo& at = it->second;
    if (at.gone) continue;
    StopAttempt(now, it->first, &at, 0);
    // What still waits for its image would begin before its machine reports again.
    if (at.state == TaskState::kFetching && at.session != 0) Push(now, at.shard_id, at.machine);
  }
}

std::vector<Command> Core::MakeOrders(Micros now, int shard_id, const AssignedMachine& machine,
                                      const Report& report) {
  std::vector<Command> orders;
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  MachineInfo& info = machines_[machine.name];
  const bool clean = report.token >= info.required_token;
  std::set<Attempt> reported;
  for (const TaskReport& t : report.tasks) {
    Attempt a{t.job, t.task, t.attempt};
    reported.insert(a);
    auto it = attempts_.find(a);
    bool ours = it != attempts_.end() && !it->second.gone && it->second.machine == machine.name;
    if (t.state == TaskState::kExited) {
      // After the reap a repeated start would run it once more, so it waits
      // until no start of ours can still be under way.
      if (clean && (it == attempts_.end() || !it->second.direct)) {
        orders.push_back({Command::Op::kForget, t.job, t.task, t.attempt, 0});
      }
      continue;
    }
    if (!ours) {
      // Intended by nobody: its record was removed when it was proven gone, or
      // the machine was taken over from a past that nobody remembers.
      if (shard.is_leader) orders.push_back({Command::Op::kStop, t.job, t.task, t.attempt, 0});
      continue;
    }
    AttemptInfo& at = it->second;
    if (JobOver(t.job)) StopAttempt(now, a, &at, 0);
    if (at.stopping) {
      bool overdue = t.state == TaskState::kSaving && now - at.stop_at > 2 * at.grace + kGraceSlack;
      if (t.state != TaskState::kSaving || overdue || at.grace == 0) {
        orders.push_back({Command::Op::kStop, t.job, t.task, t.attempt, overdue ? 0 : at.grace});
        at.stop_sent = true;
      }
    }
  }
  // Starts whose command got lost.
  if (!shard.is_leader) return orders;
  for (const Attempt& a : machine.attempts) {
    if (reported.count(a) != 0) continue;
    auto it = attempts_.find(a);
    if (it == attempts_.end()) continue;
    AttemptInfo& at = it->second;
    if (!at.fresh || at.gone || at.seen || at.direct || at.stopping || JobOver(a.job)) continue;
    if (!clean) continue;
    if (at.session != 0 && at.session != report.session) continue;
    at.session = report.session;
    at.reply_seq = report.seq;
    ++counters_.starts;
    orders.push_back({Command::Op::kStart, a.job, a.task, a.number, 0});
  }
  return orders;
}

// Sends what a machine has to hear now instead of waiting for its next report.
void Core::Push(Micros now, int shard_id, const std::string& name) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  auto machine = shard.assignments.machines.find(name);
  if (machine == shard.assignments.machines.end() || !shard.is_leader) return;
  MachineInfo& info = machines_[name];
  if (info.direct_busy || info.addr.empty() || now < info.no_direct_before) return;
  if (info.session == 0 || (info.probe && info.ignored_answers >= kMaxIgnoredAnswers)) {
    Probe(now, shard_id, name);
    return;
  }
  if (!MayRenew(now)) return;
  const bool clean = info.token_seen >= info.required_token;
  std::vector<Command> orders;
  std::vector<Attempt> started, stopped;
  for (const Attempt& a : machine->second.attempts) {
    auto it = attempts_.find(a);
    if (it == attempts_.end() || it->second.gone) continue;
    AttemptInfo& at = it->second;
    bool over = JobOver(a.job);
    if ((at.seen || at.session != 0) && (at.stopping || over) && !at.stop_sent) {
      if (over) StopAttempt(now, a, &at, 0);
      orders.push_back({Command::Op::kStop, a.job, a.task, a.number, at.grace});
      at.stop_sent = true;
      stopped.push_back(a);
    } else if (at.fresh && !at.seen && !at.stopping && !over && at.session == 0 && clean) {
      at.direct = true;
      at.start_token = TokenOf(shard_id, info);
      at.session = info.session;
      started.push_back(a);
      ++counters_.starts;
      orders.push_back({Command::Op::kStart, a.job, a.task, a.number, 0});
    }
  }
  // After a takeover the worker may still report to the previous leader: our
  // token makes it look for the right one.
  bool show_token = info.token_seen < TokenOf(shard_id, info);
  if (orders.empty() && !show_token) return;
  info.direct_busy = true;
  uint64_t token = TokenOf(shard_id, info);
  Send(Dest::kWorker, info.addr, "POST", std::string(wire::kCommandsPath),
       wire::EncodeCommands(token, info.session, orders), kCommandTimeout,
       [this, shard_id, name, token, started, stopped, epoch = shard.epoch](
           Micros t, int status, const std::string& body) {
         MachineInfo& mi = machines_[name];
         mi.direct_busy = false;
         for (const Attempt& a : started) {
           auto it = attempts_.find(a);
           if (it != attempts_.end()) it->second.direct = false;
         }
         std::optional<Report> report;
         if (status == 200 || status == 409) report = wire::DecodeReport(body);
         if (status != kNotSent && !report) {
           // It may run at any later time with this token: nothing on the
           // machine proves anything until the worker has seen a higher one.
           ++counters_.worker_unknown;
           RaiseFencingToken(shard_id, &mi, token);
         }
         if (!report) {
           // A machine that reaches no controller hears of stops in no other way.
           for (const Attempt& a : stopped) {
             auto it = attempts_.find(a);
             if (it != attempts_.end()) it->second.stop_sent = false;
           }
           mi.no_direct_before = t + (kSecond << std::min(mi.direct_failures, 2));
           ++mi.direct_failures;
           return;
         }
         mi.direct_failures = 0;
         Shard& shard = shards_[static_cast<size_t>(shard_id)];
         if (!shard.is_leader || shard.epoch != epoch) return;
         auto m = shard.assignments.machines.find(name);
         if (m == shard.assignments.machines.end() || report->machine != name) return;
         ProcessReport(t, shard_id, m->second, *report, true);
         if (status == 200) Push(t, shard_id, name);
       });
}

void Core::Probe(Micros now, int shard_id, const std::string& name) {
  MachineInfo& info = machines_[name];
  if (info.direct_busy || info.addr.empty() || now < info.no_direct_before) return;
  info.direct_busy = true;
  Send(Dest::kWorker, info.addr, "GET", std::string(wire::kShowPath), "", kCommandTimeout,
       [this, shard_id, name](Micros t, int status, const std::string& body) {
         MachineInfo& mi = machines_[name];
         mi.direct_busy = false;
         std::optional<Report> report;
         if (status == 200) report = wire::DecodeReport(body);
         if (!report || report->machine != name) {
           mi.no_direct_before = t + (kSecond << std::min(mi.direct_failures, 2));
           ++mi.direct_failures;
           return;
         }
         mi.direct_failures = 0;
         Shard& shard = shards_[static_cast<size_t>(shard_id)];
         auto m = shard.assignments.machines.find(name);
         if (!shard.is_leader || m == shard.assignments.machines.end()) return;
         ProcessReport(t, shard_id, m->second, *report, true);
         Push(t, shard_id, name);
       });
}

}  // namespace troutlink
