// Commands to agents, in heartbeat replies and sent directly, and their fencing tokens.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kSaveMargin = 3 * kSecond;
}  // namespace

uint64_t Core::TokenOf(int shard_id, const AgentState& agent) const {
  return std::max(TokenForEpoch(ShardAt(shard_id).leadership.epoch), agent.fencing_token);
}

// Raising the token needs no commit, so that a command without an answer can be fenced during an
// outage of the store too. Otherwise it could run long after its job was cancelled.
void Core::RaiseFencingToken(int shard_id, AgentState* agent, uint64_t token) {
  agent->required_token = std::max(agent->required_token, token + 1);
  if (agent->required_token <= TokenOf(shard_id, *agent)) return;
  ++counters_.fencing_raises;
  agent->fencing_token = agent->required_token;
}

Core::AttemptState* Core::FindAttempt(const Attempt& attempt) {
  auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : &it->second;
}

void Core::StopAttempt(Micros now, const Attempt& attempt, AttemptState* state, Micros grace) {
  (void)attempt;
  if (state->stopping && state->stop_grace <= grace) return;
  if (!state->stopping) state->stop_decided_at = now;
  state->stopping = true;
  state->stop_grace = grace;
  state->stop_sent = false;
  ++counters_.stops;
}

void Core::StopJob(Micros now, const std::string& job) {
  for (auto it = attempts_.lower_bound({job, 0, 0}); it != attempts_.end() && it->first.job == job;
       ++it) {
    AttemptState& known = it->second;
    if (known.terminated) continue;
    StopAttempt(now, it->first, &known, 0);
    // A task that is still fetching its image could begin before the next heartbeat.
    if (known.state == TaskState::kFetching && known.start_incarnation != 0) {
      SendDirectCommands(now, known.shard_id, known.machine);
    }
  }
}

std::vector<Command> Core::MakeCommands(Micros now, int shard_id, const AssignedMachine& machine,
                                        const AgentHeartbeat& heartbeat) {
  std::vector<Command> commands;
  const bool fenced = heartbeat.token >= machines_[machine.name].required_token;
  std::set<Attempt> reported;
  for (const TaskStatus& task : heartbeat.tasks) {
    reported.insert({task.job, task.task, task.attempt});
    CommandForTask(now, machine, fenced, task, &commands);
  }
  if (ShardAt(shard_id).leadership.is_leader && fenced) {
    RetryStarts(now, shard_id, machine, heartbeat, reported, &commands);
  }
  return commands;
}

void Core::CommandForTask(Micros now, const AssignedMachine& machine, bool fenced,
                          const TaskStatus& task, std::vector<Command>* commands) {
  const Attempt attempt{task.job, task.task, task.attempt};
  AttemptState* known = FindAttempt(attempt);
  if (task.state == TaskState::kExited) {
    // After the forget command a repeated start would run the task again: wait until no start can
    // be in flight.
    if (fenced && (known == nullptr || !known->start_in_flight)) {
      commands->push_back({Command::Op::kForget, task.job, task.task, task.attempt, 0});
    }
    return;
  }
  if (known == nullptr || known->terminated || known->machine != machine.name) {
    // The task is in no current assignment: its record was removed when it terminated, or the
    // machine was inherited with it. A former leader may stop it too: only its own or an earlier
    // table can have started it under a token up to its own, and a later leader shows a higher
    // token. Otherwise the lease of such a task, even of a cancelled job, would be renewed during
    // an outage of the store.
    commands->push_back({Command::Op::kStop, task.job, task.task, task.attempt, 0});
    return;
  }
  if (jobs_.IsFinished(task.job)) StopAttempt(now, attempt, known, 0);
  if (!known->stopping) return;
  const bool saving = task.state == TaskState::kSaving;
  const bool overdue = saving && now - known->stop_decided_at > 2 * known->stop_grace + kSaveMargin;
  if (saving && !overdue && known->stop_grace != 0) return;  // it is writing its checkpoint
  commands->push_back(
      {Command::Op::kStop, task.job, task.task, task.attempt, overdue ? 0 : known->stop_grace});
  known->stop_sent = true;
}

// Repeats starts whose command was lost.
void Core::RetryStarts(Micros now, int shard_id, const AssignedMachine& machine,
                       const AgentHeartbeat& heartbeat, const std::set<Attempt>& reported,
                       std::vector<Command>* commands) {
  for (const Attempt& attempt : machine.attempts) {
    if (reported.count(attempt) != 0) continue;
    AttemptState* known = FindAttempt(attempt);
    if (known == nullptr || !known->owns_start || known->terminated || known->reported ||
        known->start_in_flight || known->stopping || jobs_.IsFinished(attempt.job)) {
      continue;
    }
    if (known->start_incarnation != 0 && known->start_incarnation != heartbeat.incarnation)
      continue;
    const std::optional<StartPermit> permit = CheckStart(now, shard_id, machine.name, attempt);
    if (!permit) continue;
    known->start_incarnation = heartbeat.incarnation;
    known->start_reply_seq = heartbeat.seq;
    ++counters_.starts;
    commands->push_back(StartCommand(*permit, attempt));
  }
}

void Core::SendDirectCommands(Micros now, int shard_id, const std::string& name) {
  const Shard& shard = ShardAt(shard_id);
  auto machine = shard.replica.assignments.machines.find(name);
  if (machine == shard.replica.assignments.machines.end() || !shard.leadership.is_leader) return;
  AgentState& agent = machines_[name];
  if (agent.direct_call_in_flight || agent.addr.empty() || now < agent.next_direct_call_at) return;
  if (agent.incarnation == 0 ||
      (agent.probe_pending && agent.ignored_replies >= kMaxIgnoredReplies)) {
    Probe(now, shard_id, name);
    return;
  }
  if (!cancellations_.MayRenewLeases(now)) return;
  DirectCommands commands = MakeDirectCommands(now, shard_id, machine->second, agent);
  // After a failover the agent may still report to the previous leader: the higher token makes it
  // look for the new one.
  const bool token_unseen = agent.token_seen < commands.token;
  if (commands.commands.empty() && !token_unseen) return;
  agent.direct_call_in_flight = true;
  std::string body = wire::EncodeCommands(commands.token, agent.incarnation, commands.commands);
  effects_.Send(Dest::kAgent, agent.addr, "POST", std::string(wire::kCommandsPath), std::move(body),
                kCommandTimeout,
                [this, shard_id, name, commands = std::move(commands)](Micros answered, int status,
                                                                       const std::string& reply) {
                  OnCommandsAnswered(answered, shard_id, name, commands, status, reply);
                });
}

Core::DirectCommands Core::MakeDirectCommands(Micros now, int shard_id,
                                              const AssignedMachine& machine,
                                              const AgentState& agent) {
  DirectCommands commands;
  commands.epoch = ShardAt(shard_id).leadership.epoch;
  commands.token = TokenOf(shard_id, agent);
  const bool fenced = agent.token_seen >= agent.required_token;
  for (const Attempt& attempt : machine.attempts) {
    AttemptState* known = FindAttempt(attempt);
    if (known == nullptr || known->terminated) continue;
    const bool finished = jobs_.IsFinished(attempt.job);
    if ((known->reported || known->start_incarnation != 0) && (known->stopping || finished) &&
        !known->stop_sent) {
      if (finished) StopAttempt(now, attempt, known, 0);
      commands.commands.push_back(
          {Command::Op::kStop, attempt.job, attempt.task, attempt.number, known->stop_grace});
      known->stop_sent = true;
      commands.stopped.push_back(attempt);
    } else if (known->owns_start && !known->reported && !known->stopping && !finished &&
               known->start_incarnation == 0 && fenced) {
      const std::optional<StartPermit> permit = CheckStart(now, shard_id, machine.name, attempt);
      if (!permit) continue;
      known->start_in_flight = true;
      known->start_token = commands.token;
      known->start_incarnation = agent.incarnation;
      commands.started.push_back(attempt);
      ++counters_.starts;
      commands.commands.push_back(StartCommand(*permit, attempt));
    }
  }
  return commands;
}

void Core::OnCommandsAnswered(Micros now, int shard_id, const std::string& name,
                              const DirectCommands& commands, int status, const std::string& body) {
  AgentState& agent = machines_[name];
  agent.direct_call_in_flight = false;
  for (const Attempt& attempt : commands.started) {
    if (AttemptState* known = FindAttempt(attempt)) known->start_in_flight = false;
  }
  std::optional<AgentHeartbeat> heartbeat;
  if (status == 200 || status == 409) heartbeat = wire::DecodeAgentHeartbeat(body);
  if (status != kNotSent && !heartbeat) {
    // The command may run at any later time under this token: absences on the machine prove nothing
    // until the agent has seen a higher one.
    ++counters_.unanswered_commands;
    RaiseFencingToken(shard_id, &agent, commands.token);
  }
  if (!heartbeat) {
    // A machine that reaches no controller learns of stops only by direct commands: send them
    // again.
    for (const Attempt& attempt : commands.stopped) {
      if (AttemptState* known = FindAttempt(attempt)) known->stop_sent = false;
    }
    RecordDirectFailure(now, &agent);
    return;
  }
  agent.direct_failures = 0;
  const Shard& shard = ShardAt(shard_id);
  if (!shard.leadership.is_leader || shard.leadership.epoch != commands.epoch) return;
  auto machine = shard.replica.assignments.machines.find(name);
  if (machine == shard.replica.assignments.machines.end() || heartbeat->machine != name) return;
  ReconcileAgent(now, shard_id, machine->second, *heartbeat, true);
  if (status == 200) SendDirectCommands(now, shard_id, name);
}

void Core::RecordDirectFailure(Micros now, AgentState* agent) {
  agent->next_direct_call_at = now + (kSecond << std::min(agent->direct_failures, 2));
  ++agent->direct_failures;
}

void Core::Probe(Micros now, int shard_id, const std::string& name) {
  AgentState& agent = machines_[name];
  if (agent.direct_call_in_flight || agent.addr.empty() || now < agent.next_direct_call_at) return;
  agent.direct_call_in_flight = true;
  effects_.Send(Dest::kAgent, agent.addr, "GET", std::string(wire::kShowPath), "", kCommandTimeout,
                [this, shard_id, name](Micros answered, int status, const std::string& body) {
                  OnProbeAnswered(answered, shard_id, name, status, body);
                });
}

void Core::OnProbeAnswered(Micros now, int shard_id, const std::string& name, int status,
                           const std::string& body) {
  AgentState& agent = machines_[name];
  agent.direct_call_in_flight = false;
  std::optional<AgentHeartbeat> heartbeat;
  if (status == 200) heartbeat = wire::DecodeAgentHeartbeat(body);
  if (!heartbeat || heartbeat->machine != name) {
    RecordDirectFailure(now, &agent);
    return;
  }
  agent.direct_failures = 0;
  const Shard& shard = ShardAt(shard_id);
  auto machine = shard.replica.assignments.machines.find(name);
  if (!shard.leadership.is_leader || machine == shard.replica.assignments.machines.end()) return;
  ReconcileAgent(now, shard_id, machine->second, *heartbeat, true);
  SendDirectCommands(now, shard_id, name);
}

}  // namespace troutlink
