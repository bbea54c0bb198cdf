// Reconciles agent heartbeats with the assignment table: which tasks run, have exited or are proven
// to have terminated.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

bool Core::ReconcileAgent(Micros now, int shard_id, const AssignedMachine& machine,
                          const AgentHeartbeat& report, bool direct) {
  AgentState& info = machines_[machine.name];
  const bool first = info.session == 0;
  if (!first && (report.session < info.session ||
                 (report.session == info.session && report.seq <= info.seq))) {
    // A late copy is no sign of life either.
    return false;
  }
  const bool new_session = !first && report.session > info.session;
  // Most heartbeats change nothing that matters to a scheduling cycle.
  bool changed = first || new_session || now - info.heard > 2 * settings_.heartbeat_period ||
                 info.token_seen < info.required_token;
  if (!direct) {
    CheckCommandsTookEffect(now, shard_id, &info, report, new_session);
  } else {
    info.ignored_replies = info.lease_losses = 0;  // the agent answered
    info.ordered.clear();
  }
  RecordHeartbeat(now, shard_id, report, direct, &info);
  // An absence proves termination only once the agent has seen a token above those of earlier
  // leaders' commands and of commands without an answer: these can no longer run.
  const Evidence evidence{report, new_session, direct, report.token >= info.required_token};
  std::map<Attempt, const TaskStatus*> reported;
  for (const TaskStatus& task : report.tasks) reported[{task.job, task.task, task.attempt}] = &task;
  for (const Attempt& attempt : machine.attempts) {
    AttemptState* known = FindAttempt(attempt);
    if (known == nullptr || known->gone) continue;
    auto task = reported.find(attempt);
    if (task != reported.end()) {
      changed = changed || known->state != task->second->state;
      UpdateTask(now, shard_id, machine, attempt, known, report.session, *task->second);
    } else if (ProvesAbsence(evidence, attempt, *known)) {
      RecordTaskGone(shard_id, attempt, known);
    }
  }
  if (changed) MarkDirty(shard_id);
  return true;
}

void Core::RecordHeartbeat(Micros now, int shard_id, const AgentHeartbeat& report, bool direct,
                           AgentState* info) {
  info->session = report.session;
  info->seq = report.seq;
  info->token_seen = std::max(info->token_seen, report.token);
  info->heard = now;
  info->reported_silent_since = 0;
  if (direct || info->ignored_replies == 0) info->probe = false;
  if (info->first_heard == 0) {
    // Failures of direct commands before the boot do not count.
    info->first_heard = now;
    info->no_direct_before = 0;
    info->direct_failures = 0;
    offer_health_.CameUp(now, {report.type, report.zone, report.spot});
  }
  if (!report.addr.empty()) info->addr = report.addr;
  if (report.notice) {
    if (info->notice_end == 0) MarkDirty(shard_id);
    info->notice_end = now + *report.notice;
  }
  info->tasks = report.tasks;
}

void Core::UpdateTask(Micros now, int shard_id, const AssignedMachine& machine,
                      const Attempt& attempt, AttemptState* known, uint64_t session,
                      const TaskStatus& task) {
  if (!known->seen) {
    known->seen = true;
    if (known->session == 0) known->session = session;
  }
  if (task.state == TaskState::kRunning && known->running_at == 0) {
    known->running_at = now;
    effects_.Log(LogLine::Level::kDebug,
                 "task " + attempt.job + "/" + std::to_string(attempt.task) + " is running on " +
                     machine.name + " after " +
                     std::to_string((now - known->placed_at) / kMillisecond) + " ms");
  }
  known->state = task.state;
  const JobEntry* job = jobs_.Find(attempt.job);
  if (task.state != TaskState::kFetching && job != nullptr && !job->record.spec.image.empty()) {
    RecordImageUse(&machines_[machine.name], machine.type, job->record.spec.image,
                   job->record.spec.image_gb, now);
  }
  if (task.state == TaskState::kExited)
    HandleTaskExit(now, shard_id, machine, attempt, known, task);
}

bool Core::ProvesAbsence(const Evidence& evidence, const Attempt& attempt,
                         const AttemptState& known) const {
  // A new incarnation begins without tasks.
  const AgentHeartbeat& report = evidence.report;
  if (evidence.new_session && known.session != 0 && known.session < report.session) return true;
  if (evidence.direct || known.direct || !evidence.clean) return false;
  // The task was reported before, or was inherited from an earlier leader.
  if (known.seen || !known.fresh) return true;
  // Decided here but never reported, and no longer wanted. A start in the reply to an earlier
  // heartbeat was applied or dropped before this one was sent.
  return (jobs_.IsOver(attempt.job) || known.stopping) &&
         (known.reply_seq == 0 || known.reply_seq < report.seq);
}

void Core::RecordTaskGone(int shard_id, const Attempt& attempt, AttemptState* known) {
  if (known->gone) return;
  known->gone = true;
  ++counters_.gone;
  ShardAt(shard_id).cycle.cleanup = true;
  MarkDirty(shard_id);
  auto found = executions_.find(attempt.job);
  if (found == executions_.end()) return;
  JobExecution& run = found->second;
  const auto task = static_cast<size_t>(attempt.task);
  if (task >= run.tasks.size() || run.tasks[task] != kPlaced) return;
  // A table that changes a few chunks at a time may hold a terminated attempt beside the next
  // attempt of the same task, and a new leader inherits both: the task becomes pending only when
  // all of them have terminated.
  for (auto it = attempts_.lower_bound({attempt.job, attempt.task, 0});
       it != attempts_.end() && it->first.job == attempt.job && it->first.task == attempt.task;
       ++it) {
    if (!it->second.gone) return;
  }
  run.tasks[task] = kWaiting;
  --run.placed;
  run.hint = std::min(run.hint, attempt.task);
}

void Core::HandleTaskExit(Micros now, int shard_id, const AssignedMachine& machine,
                          const Attempt& attempt, AttemptState* known, const TaskStatus& task) {
  RecordTaskGone(shard_id, attempt, known);
  AgentState& info = machines_[machine.name];
  // A duplicate of the direct start command may arrive after the forget command and start the task
  // again: the agent must see a higher token first. A finished task would only exit as done again.
  if (task.why != ExitReason::kDone && known->start_token != 0 &&
      info.token_seen <= known->start_token) {
    RaiseFencingToken(shard_id, &info, known->start_token);
  }
  switch (task.why) {
    case ExitReason::kDone:
      health_.Succeeded(machine.name, attempt.job);
      CompleteTask(now, shard_id, attempt, known->running_at);
      break;
    case ExitReason::kError:
    case ExitReason::kUnknown:
      if (!jobs_.IsOver(attempt.job)) health_.Failed(now, machine.name, attempt.job);
      effects_.Log(
          LogLine::Level::kDebug,
          "task " + attempt.job + "/" + std::to_string(attempt.task) + " failed on " + machine.name);
      break;
    case ExitReason::kNoRoom: info.avoid_until = now + 3 * kSecond; break;
    case ExitReason::kPeers:
    case ExitReason::kStopped:
    case ExitReason::kBusy:
    case ExitReason::kNone: break;
  }
}

void Core::CompleteTask(Micros now, int shard_id, const Attempt& attempt, Micros running_at) {
  auto found = executions_.find(attempt.job);
  const JobEntry* job = jobs_.Find(attempt.job);
  if (found == executions_.end() || job == nullptr) return;
  JobExecution& run = found->second;
  const auto task = static_cast<size_t>(attempt.task);
  if (job->record.spec.kind == JobKind::kService || task >= run.tasks.size() ||
      run.tasks[task] == kDone) {
    return;
  }
  if (run.tasks[task] == kPlaced) --run.placed;  // another attempt is still assigned
  run.tasks[task] = kDone;
  ++run.done;
  if (running_at != 0) run.durations.push_back(now - running_at);
  ShardAt(shard_id).cycle.progress_dirty = true;
}

void Core::RecordImageUse(AgentState* info, const std::string& type_name, const std::string& image,
                          double gb, Micros now) {
  info->images[image] = now;
  info->image_gb[image] = gb;
  const MachineType* type = machine_types_.Find(type_name);
  if (type == nullptr) return;
  // The machine caches the most recently used images up to its capacity.
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

}  // namespace troutlink
