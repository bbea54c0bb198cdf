// Reconciles agent heartbeats with the assignment table: which tasks run, have exited or are proven
// to have terminated.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kNoRoomBackoff = 3 * kSecond;
}  // namespace

bool Core::ReconcileAgent(Micros now, int shard_id, const AssignedMachine& machine,
                          const AgentHeartbeat& heartbeat, bool direct) {
  AgentState& agent = machines_[machine.name];
  const bool first = agent.incarnation == 0;
  if (!first && (heartbeat.incarnation < agent.incarnation ||
                 (heartbeat.incarnation == agent.incarnation && heartbeat.seq <= agent.seq))) {
    // A late copy is no sign of life either.
    return false;
  }
  const bool new_incarnation = !first && heartbeat.incarnation > agent.incarnation;
  // Most heartbeats change nothing that matters to a scheduling cycle.
  bool changed = first || new_incarnation ||
                 now - agent.last_heard > 2 * settings_.heartbeat_period ||
                 agent.token_seen < agent.required_token;
  if (!direct) {
    CheckCommandsTookEffect(now, shard_id, &agent, heartbeat, new_incarnation);
  } else {
    agent.ignored_replies = agent.lease_losses = 0;  // the agent answered
    agent.last_reply_commands.clear();
  }
  RecordHeartbeat(now, shard_id, heartbeat, direct, &agent);
  // An absence proves termination only once the agent has seen a token above those of earlier
  // leaders' commands and of commands without an answer: these can no longer run.
  const Evidence evidence{heartbeat, new_incarnation, direct,
                          heartbeat.token >= agent.required_token};
  std::map<Attempt, const TaskStatus*> reported;
  for (const TaskStatus& task : heartbeat.tasks)
    reported[{task.job, task.task, task.attempt}] = &task;
  for (const Attempt& attempt : machine.attempts) {
    AttemptState* known = FindAttempt(attempt);
    if (known == nullptr || known->terminated) continue;
    auto task = reported.find(attempt);
    if (task != reported.end()) {
      changed = changed || known->state != task->second->state;
      UpdateTask(now, shard_id, machine, attempt, known, heartbeat.incarnation, *task->second);
    } else if (ProvesAbsence(evidence, attempt, *known)) {
      RecordTermination(shard_id, attempt, known);
    }
  }
  if (changed) MarkDirty(shard_id);
  return true;
}

void Core::RecordHeartbeat(Micros now, int shard_id, const AgentHeartbeat& heartbeat, bool direct,
                           AgentState* agent) {
  agent->incarnation = heartbeat.incarnation;
  agent->seq = heartbeat.seq;
  agent->token_seen = std::max(agent->token_seen, heartbeat.token);
  agent->last_heard = now;
  agent->reported_silent_since = 0;
  if (direct || agent->ignored_replies == 0) agent->probe_pending = false;
  if (agent->first_heartbeat_at == 0) {
    // Failures of direct commands before the boot do not count.
    agent->first_heartbeat_at = now;
    agent->next_direct_call_at = 0;
    agent->direct_failures = 0;
    offer_health_.CameUp(now, {heartbeat.type, heartbeat.zone, heartbeat.spot});
  }
  if (!heartbeat.addr.empty()) agent->addr = heartbeat.addr;
  if (heartbeat.notice) {
    if (agent->eviction_at == 0) MarkDirty(shard_id);
    agent->eviction_at = now + *heartbeat.notice;
  }
  agent->tasks = heartbeat.tasks;
}

void Core::UpdateTask(Micros now, int shard_id, const AssignedMachine& machine,
                      const Attempt& attempt, AttemptState* known, uint64_t incarnation,
                      const TaskStatus& task) {
  if (!known->reported) {
    known->reported = true;
    if (known->start_incarnation == 0) known->start_incarnation = incarnation;
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
  const AgentHeartbeat& heartbeat = evidence.heartbeat;
  if (evidence.new_incarnation && known.start_incarnation != 0 &&
      known.start_incarnation < heartbeat.incarnation)
    return true;
  if (evidence.direct || known.start_in_flight || !evidence.fenced) return false;
  // The task was reported before, or was inherited from an earlier leader.
  if (known.reported || !known.owns_start) return true;
  // Decided here but never reported, and no longer wanted. A start in the reply to an earlier
  // heartbeat was applied or dropped before this one was sent.
  return (jobs_.IsFinished(attempt.job) || known.stopping) &&
         (known.start_reply_seq == 0 || known.start_reply_seq < heartbeat.seq);
}

void Core::RecordTermination(int shard_id, const Attempt& attempt, AttemptState* known) {
  if (known->terminated) return;
  known->terminated = true;
  ++counters_.terminated_attempts;
  ShardAt(shard_id).cycle.cleanup_only = true;
  MarkDirty(shard_id);
  auto found = executions_.find(attempt.job);
  if (found == executions_.end()) return;
  JobExecution& execution = found->second;
  const auto task = static_cast<size_t>(attempt.task);
  if (task >= execution.tasks.size() || execution.tasks[task] != kPlaced) return;
  // A table that changes a few chunks at a time may hold a terminated attempt beside the next
  // attempt of the same task, and a new leader inherits both: the task becomes pending only when
  // all of them have terminated.
  for (auto it = attempts_.lower_bound({attempt.job, attempt.task, 0});
       it != attempts_.end() && it->first.job == attempt.job && it->first.task == attempt.task;
       ++it) {
    if (!it->second.terminated) return;
  }
  execution.tasks[task] = kWaiting;
  --execution.placed;
  execution.first_waiting_task = std::min(execution.first_waiting_task, attempt.task);
}

void Core::HandleTaskExit(Micros now, int shard_id, const AssignedMachine& machine,
                          const Attempt& attempt, AttemptState* known, const TaskStatus& task) {
  RecordTermination(shard_id, attempt, known);
  AgentState& agent = machines_[machine.name];
  // A duplicate of the direct start command may arrive after the forget command and start the task
  // again: the agent must see a higher token first. A finished task would only exit as done again.
  if (task.why != ExitReason::kDone && known->start_token != 0 &&
      agent.token_seen <= known->start_token) {
    RaiseFencingToken(shard_id, &agent, known->start_token);
  }
  switch (task.why) {
    case ExitReason::kDone:
      health_.NoteSuccess(machine.name, attempt.job);
      CompleteTask(now, shard_id, attempt, known->running_at);
      break;
    case ExitReason::kError:
    case ExitReason::kUnknown:
      if (!jobs_.IsFinished(attempt.job)) health_.NoteFailure(now, machine.name, attempt.job);
      effects_.Log(LogLine::Level::kDebug, "task " + attempt.job + "/" +
                                               std::to_string(attempt.task) + " failed on " +
                                               machine.name);
      break;
    case ExitReason::kNoRoom: agent.unschedulable_until = now + kNoRoomBackoff; break;
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
  JobExecution& execution = found->second;
  const auto task = static_cast<size_t>(attempt.task);
  if (job->record.spec.kind == JobKind::kService || task >= execution.tasks.size() ||
      execution.tasks[task] == kDone) {
    return;
  }
  if (execution.tasks[task] == kPlaced) --execution.placed;  // another attempt is still assigned
  execution.tasks[task] = kDone;
  ++execution.done;
  if (running_at != 0) execution.durations.push_back(now - running_at);
  ShardAt(shard_id).cycle.progress_dirty = true;
}

void Core::RecordImageUse(AgentState* agent, const std::string& type_name, const std::string& image,
                          double gb, Micros now) {
  agent->images[image] = now;
  agent->image_sizes_gb[image] = gb;
  const MachineType* type = machine_types_.Find(type_name);
  if (type == nullptr) return;
  // The machine caches the most recently used images up to its capacity.
  while (agent->images.size() > 1) {
    double sum = 0;
    for (const auto& [name, size] : agent->image_sizes_gb) sum += size;
    if (sum <= type->cache_gb) break;
    auto oldest =
        std::min_element(agent->images.begin(), agent->images.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    agent->image_sizes_gb.erase(oldest->first);
    agent->images.erase(oldest);
  }
}

}  // namespace troutlink
