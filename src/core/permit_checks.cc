// Evaluates permits on this node's state, and sends the replies that require one.
#include <algorithm>

#include "core/core.h"
#include "core/io/event.h"

namespace troutlink {

void Core::RecordViolation(Violation violation, const std::string& known) {
  violations_.Add(violation);
  effects_.Log(LogLine::Level::kError,
               Event("invariant_violated").With("kind", NameOf(violation)).text() + " " + known);
}

bool Core::IsAssigned(int shard_id, const std::string& machine, const Attempt& attempt) const {
  const auto& machines = ShardAt(shard_id).replica.assignments.machines;
  auto found = machines.find(machine);
  if (found == machines.end()) return false;
  const std::vector<Attempt>& attempts = found->second.attempts;
  return std::find(attempts.begin(), attempts.end(), attempt) != attempts.end();
}

std::optional<StartPermit> Core::CheckStart(Micros now, int shard_id, const std::string& machine,
                                            const Attempt& attempt) {
  StartFacts facts;
  facts.is_leader = ShardAt(shard_id).leadership.is_leader;
  facts.assigned = IsAssigned(shard_id, machine, attempt);
  facts.process_paused = node_health_.ProcessPaused(now);
  facts.job_state = jobs_.StateOf(attempt.job);
  facts.now = now;
  facts.cancellations_bound = cancellations_.RenewalBound(now);
  const Result<StartPermit, Refusal> result = facts.Evaluate();
  const std::optional<Violation> violation =
      result ? std::nullopt : ViolationOf(result.error().code);
  if (!violation && !effects_.logs_debug()) {
    if (result) return *result;
    refusals_.Add(result.error().code);
    return std::nullopt;
  }
  const std::string known = Event("start")
                                .With("job", attempt.job)
                                .With("task", attempt.task)
                                .With("attempt", attempt.number)
                                .With("machine", machine)
                                .With("shard", shard_id)
                                .With("epoch", ShardAt(shard_id).leadership.epoch)
                                .With("revision", sync_.feed().revision())
                                .WithSpan("replica_age_ms", now - sync_.feed().complete_up_to())
                                .WithSpan("bound_ms", facts.cancellations_bound - now)
                                .With("refused", result ? "no" : result.error().text)
                                .text();
  if (violation) RecordViolation(*violation, known);
  effects_.Log(LogLine::Level::kDebug, known);
  if (result) return *result;
  refusals_.Add(result.error().code);
  return std::nullopt;
}

Command Core::StartCommand(const StartPermit& /*permit*/, const Attempt& attempt) {
  return {Command::Op::kStart, attempt.job, attempt.task, attempt.number, 0};
}

std::optional<RenewalPermit> Core::CheckRenewal(Micros now, Micros allowance) {
  const RenewalFacts facts{now, cancellations_.RenewalBound(now), allowance};
  const Result<RenewalPermit, Refusal> result = facts.Evaluate();
  if (result) return *result;
  refusals_.Add(result.error().code);
  return std::nullopt;
}

// The only place that renews an agent's lease. The same reply must stop all reported tasks of
// finished jobs.
void Core::ReplyWithRenewal(const RenewalPermit& /*permit*/, const HeartbeatSource& source,
                            const AgentHeartbeat& heartbeat, uint64_t token,
                            std::vector<Command> commands) {
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state == TaskState::kExited || !jobs_.IsFinished(task.job)) continue;
    const bool stopped =
        std::any_of(commands.begin(), commands.end(), [&task](const Command& command) {
          return command.op == Command::Op::kStop && command.job == task.job &&
                 command.task == task.task && command.attempt == task.attempt;
        });
    if (stopped) continue;
    RecordViolation(Violation::kRenewalWithoutStop, Event("renewal")
                                                        .With("machine", heartbeat.machine)
                                                        .With("job", task.job)
                                                        .With("task", task.task)
                                                        .With("attempt", task.attempt)
                                                        .With("token", token)
                                                        .text());
    commands.push_back({Command::Op::kStop, task.job, task.task, task.attempt, 0});
  }
  if (effects_.logs_debug()) {
    effects_.Log(LogLine::Level::kDebug, Event("renewal")
                                             .With("machine", heartbeat.machine)
                                             .With("session", heartbeat.incarnation)
                                             .With("token", token)
                                             .With("tasks", heartbeat.tasks.size())
                                             .With("orders", commands.size())
                                             .text());
  }
  ReplyToHeartbeat(source, 200, wire::EncodeHeartbeatReply(token, commands));
}

}  // namespace troutlink
