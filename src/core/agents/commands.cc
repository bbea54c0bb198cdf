// Commands to agents, in heartbeat replies and sent directly, and their fencing tokens.
#include <algorithm>

#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kGraceSlack = 3 * kSecond;
}  // namespace

uint64_t Core::TokenOf(int shard_id, const AgentState& info) const {
  return std::max(TokenForEpoch(ShardAt(shard_id).leadership.epoch), info.fencing_token);
}

// Raising the token needs no commit, so that a command without an answer can be fenced during an
// outage of the store too. Otherwise it could run long after its job was cancelled.
void Core::RaiseFencingToken(int shard_id, AgentState* info, uint64_t token) {
  info->required_token = std::max(info->required_token, token + 1);
  if (info->required_token <= TokenOf(shard_id, *info)) return;
  ++counters_.fencing_raises;
  info->fencing_token = info->required_token;
}

Core::AttemptState* Core::FindAttempt(const Attempt& attempt) {
  auto it = attempts_.find(attempt);
  return it == attempts_.end() ? nullptr : &it->second;
}

void Core::StopAttempt(Micros now, const Attempt& attempt, AttemptState* info, Micros grace) {
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
    AttemptState& known = it->second;
    if (known.gone) continue;
    StopAttempt(now, it->first, &known, 0);
    // A task that is still fetching its image could begin before the next heartbeat.
    if (known.state == TaskState::kFetching && known.session != 0) {
      SendDirectCommands(now, known.shard_id, known.machine);
    }
  }
}

std::vector<Command> Core::MakeCommands(Micros now, int shard_id, const AssignedMachine& machine,
                                        const AgentHeartbeat& report) {
  std::vector<Command> orders;
  const bool clean = report.token >= machines_[machine.name].required_token;
  std::set<Attempt> reported;
  for (const TaskStatus& task : report.tasks) {
    reported.insert({task.job, task.task, task.attempt});
    CommandForTask(now, machine, clean, task, &orders);
  }
  if (ShardAt(shard_id).leadership.is_leader && clean) {
    RetryStarts(now, shard_id, machine, report, reported, &orders);
  }
  return orders;
}

void Core::CommandForTask(Micros now, const AssignedMachine& machine, bool clean,
                          const TaskStatus& task, std::vector<Command>* orders) {
  const Attempt attempt{task.job, task.task, task.attempt};
  AttemptState* known = FindAttempt(attempt);
  if (task.state == TaskState::kExited) {
    // After the forget command a repeated start would run the task again: wait until no start can
    // be in flight.
    if (clean && (known == nullptr || !known->direct)) {
      orders->push_back({Command::Op::kForget, task.job, task.task, task.attempt, 0});
    }
    return;
  }
  if (known == nullptr || known->gone || known->machine != machine.name) {
    // The task is in no current assignment: its record was removed when it terminated, or the
    // machine was inherited with it. A former leader may stop it too: only its own or an earlier
    // table can have started it under a token up to its own, and a later leader shows a higher
    // token. Otherwise the lease of such a task, even of a cancelled job, would be renewed during
    // an outage of the store.
    orders->push_back({Command::Op::kStop, task.job, task.task, task.attempt, 0});
    return;
  }
  if (jobs_.IsOver(task.job)) StopAttempt(now, attempt, known, 0);
  if (!known->stopping) return;
  const bool saving = task.state == TaskState::kSaving;
  const bool overdue = saving && now - known->stop_at > 2 * known->grace + kGraceSlack;
  if (saving && !overdue && known->grace != 0) return;  // it is writing its checkpoint
  orders->push_back(
      {Command::Op::kStop, task.job, task.task, task.attempt, overdue ? 0 : known->grace});
  known->stop_sent = true;
}

// Repeats starts whose command was lost.
void Core::RetryStarts(Micros now, int shard_id, const AssignedMachine& machine,
                       const AgentHeartbeat& report, const std::set<Attempt>& reported,
                       std::vector<Command>* orders) {
  for (const Attempt& attempt : machine.attempts) {
    if (reported.count(attempt) != 0) continue;
    AttemptState* known = FindAttempt(attempt);
    if (known == nullptr || !known->fresh || known->gone || known->seen || known->direct ||
        known->stopping || jobs_.IsOver(attempt.job)) {
      continue;
    }
    if (known->session != 0 && known->session != report.session) continue;
    const std::optional<StartPermit> permit = JudgeStart(now, shard_id, machine.name, attempt);
    if (!permit) continue;
    known->session = report.session;
    known->reply_seq = report.seq;
    ++counters_.starts;
    orders->push_back(StartCommand(*permit, attempt));
  }
}

void Core::SendDirectCommands(Micros now, int shard_id, const std::string& name) {
  const Shard& shard = ShardAt(shard_id);
  auto machine = shard.replica.assignments.machines.find(name);
  if (machine == shard.replica.assignments.machines.end() || !shard.leadership.is_leader) return;
  AgentState& info = machines_[name];
  if (info.direct_busy || info.addr.empty() || now < info.no_direct_before) return;
  if (info.session == 0 || (info.probe && info.ignored_replies >= kMaxIgnoredReplies)) {
    Probe(now, shard_id, name);
    return;
  }
  if (!cancellations_.MayRenewLeases(now)) return;
  DirectCommands commands = MakeDirectCommands(now, shard_id, machine->second, info);
  // After a failover the agent may still report to the previous leader: the higher token makes it
  // look for the new one.
  const bool show_token = info.token_seen < commands.token;
  if (commands.orders.empty() && !show_token) return;
  info.direct_busy = true;
  std::string body = wire::EncodeCommands(commands.token, info.session, commands.orders);
  effects_.Send(Dest::kWorker, info.addr, "POST", std::string(wire::kCommandsPath), std::move(body),
                kCommandTimeout,
                [this, shard_id, name, commands = std::move(commands)](Micros answered, int status,
                                                                       const std::string& reply) {
                  OnCommandsAnswered(answered, shard_id, name, commands, status, reply);
                });
}

Core::DirectCommands Core::MakeDirectCommands(Micros now, int shard_id,
                                              const AssignedMachine& machine,
                                              const AgentState& info) {
  DirectCommands commands;
  commands.epoch = ShardAt(shard_id).leadership.epoch;
  commands.token = TokenOf(shard_id, info);
  const bool clean = info.token_seen >= info.required_token;
  for (const Attempt& attempt : machine.attempts) {
    AttemptState* known = FindAttempt(attempt);
    if (known == nullptr || known->gone) continue;
    const bool over = jobs_.IsOver(attempt.job);
    if ((known->seen || known->session != 0) && (known->stopping || over) && !known->stop_sent) {
      if (over) StopAttempt(now, attempt, known, 0);
      commands.orders.push_back(
          {Command::Op::kStop, attempt.job, attempt.task, attempt.number, known->grace});
      known->stop_sent = true;
      commands.stopped.push_back(attempt);
    } else if (known->fresh && !known->seen && !known->stopping && !over && known->session == 0 &&
               clean) {
      const std::optional<StartPermit> permit = JudgeStart(now, shard_id, machine.name, attempt);
      if (!permit) continue;
      known->direct = true;
      known->start_token = commands.token;
      known->session = info.session;
      commands.started.push_back(attempt);
      ++counters_.starts;
      commands.orders.push_back(StartCommand(*permit, attempt));
    }
  }
  return commands;
}

void Core::OnCommandsAnswered(Micros now, int shard_id, const std::string& name,
                              const DirectCommands& commands, int status, const std::string& body) {
  AgentState& info = machines_[name];
  info.direct_busy = false;
  for (const Attempt& attempt : commands.started) {
    if (AttemptState* known = FindAttempt(attempt)) known->direct = false;
  }
  std::optional<AgentHeartbeat> report;
  if (status == 200 || status == 409) report = wire::DecodeAgentHeartbeat(body);
  if (status != kNotSent && !report) {
    // The command may run at any later time under this token: absences on the machine prove nothing
    // until the agent has seen a higher one.
    ++counters_.worker_unknown;
    RaiseFencingToken(shard_id, &info, commands.token);
  }
  if (!report) {
    // A machine that reaches no controller learns of stops only by direct commands: send them
    // again.
    for (const Attempt& attempt : commands.stopped) {
      if (AttemptState* known = FindAttempt(attempt)) known->stop_sent = false;
    }
    RecordDirectFailure(now, &info);
    return;
  }
  info.direct_failures = 0;
  const Shard& shard = ShardAt(shard_id);
  if (!shard.leadership.is_leader || shard.leadership.epoch != commands.epoch) return;
  auto machine = shard.replica.assignments.machines.find(name);
  if (machine == shard.replica.assignments.machines.end() || report->machine != name) return;
  ReconcileAgent(now, shard_id, machine->second, *report, true);
  if (status == 200) SendDirectCommands(now, shard_id, name);
}

void Core::RecordDirectFailure(Micros now, AgentState* info) {
  info->no_direct_before = now + (kSecond << std::min(info->direct_failures, 2));
  ++info->direct_failures;
}

void Core::Probe(Micros now, int shard_id, const std::string& name) {
  AgentState& info = machines_[name];
  if (info.direct_busy || info.addr.empty() || now < info.no_direct_before) return;
  info.direct_busy = true;
  effects_.Send(Dest::kWorker, info.addr, "GET", std::string(wire::kShowPath), "", kCommandTimeout,
                [this, shard_id, name](Micros answered, int status, const std::string& body) {
                  OnProbeAnswered(answered, shard_id, name, status, body);
                });
}

void Core::OnProbeAnswered(Micros now, int shard_id, const std::string& name, int status,
                           const std::string& body) {
  AgentState& info = machines_[name];
  info.direct_busy = false;
  std::optional<AgentHeartbeat> report;
  if (status == 200) report = wire::DecodeAgentHeartbeat(body);
  if (!report || report->machine != name) {
    RecordDirectFailure(now, &info);
    return;
  }
  info.direct_failures = 0;
  const Shard& shard = ShardAt(shard_id);
  auto machine = shard.replica.assignments.machines.find(name);
  if (!shard.leadership.is_leader || machine == shard.replica.assignments.machines.end()) return;
  ReconcileAgent(now, shard_id, machine->second, *report, true);
  SendDirectCommands(now, shard_id, name);
}

}  // namespace troutlink
