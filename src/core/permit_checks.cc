// Evaluates permits on this node's state, and sends the replies that require one.
#include <algorithm>

#include "core/core.h"
#include "core/io/event.h"

namespace troutlink {

void Core::NoteViolation(Violation violation, const std::string& known) {
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

std::optional<StartPermit> Core::JudgeStart(Micros now, int shard_id, const std::string& machine,
                                            const Attempt& attempt) {
  StartFacts facts;
  facts.is_leader = ShardAt(shard_id).leadership.is_leader;
  facts.assigned = IsAssigned(shard_id, machine, attempt);
  facts.process_paused = node_health_.ProcessPaused(now);
  facts.job_state = jobs_.StateOf(attempt.job);
  facts.now = now;
  facts.cancellations_bound = cancellations_.RenewalBound(now);
  const Result<StartPermit, Refusal> judged = facts.Judge();
  const std::optional<Violation> violation =
      judged ? std::nullopt : ViolationOf(judged.error().code);
  if (!violation && !effects_.logs_debug()) {
    if (judged) return *judged;
    refusals_.Add(judged.error().code);
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
                                .With("refused", judged ? "no" : judged.error().text)
                                .text();
  if (violation) NoteViolation(*violation, known);
  effects_.Log(LogLine::Level::kDebug, known);
  if (judged) return *judged;
  refusals_.Add(judged.error().code);
  return std::nullopt;
}

Command Core::StartCommand(const StartPermit& /*permit*/, const Attempt& attempt) {
  return {Command::Op::kStart, attempt.job, attempt.task, attempt.number, 0};
}

std::optional<RenewalPermit> Core::JudgeRenewal(Micros now, Micros allowance) {
  const RenewalFacts facts{now, cancellations_.RenewalBound(now), allowance};
  const Result<RenewalPermit, Refusal> judged = facts.Judge();
  if (judged) return *judged;
  refusals_.Add(judged.error().code);
  return std::nullopt;
}

// The only place that renews an agent's lease. The same reply must stop all reported tasks of
// finished jobs.
void Core::ReplyWithRenewal(const RenewalPermit& /*permit*/, const HeartbeatSource& source,
                            const AgentHeartbeat& report, uint64_t token,
                            std::vector<Command> orders) {
  for (const TaskStatus& task : report.tasks) {
    if (task.state == TaskState::kExited || !jobs_.IsOver(task.job)) continue;
    const bool stopped = std::any_of(orders.begin(), orders.end(), [&task](const Command& order) {
      return order.op == Command::Op::kStop && order.job == task.job && order.task == task.task &&
             order.attempt == task.attempt;
    });
    if (stopped) continue;
    NoteViolation(Violation::kRenewalWithoutStop, Event("renewal")
                                                      .With("machine", report.machine)
                                                      .With("job", task.job)
                                                      .With("task", task.task)
                                                      .With("attempt", task.attempt)
                                                      .With("token", token)
                                                      .text());
    orders.push_back({Command::Op::kStop, task.job, task.task, task.attempt, 0});
  }
  if (effects_.logs_debug()) {
    effects_.Log(LogLine::Level::kDebug, Event("renewal")
                                             .With("machine", report.machine)
                                             .With("session", report.session)
                                             .With("token", token)
                                             .With("tasks", report.tasks.size())
                                             .With("orders", orders.size())
                                             .text());
  }
  ReplyToHeartbeat(source, 200, wire::EncodeHeartbeatReply(token, orders));
}

}  // namespace troutlink
