// Handles agent heartbeats: which node answers, and whether the reply may renew the agent's lease.
#include <algorithm>

#include "base/ids.h"
#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kPeerAliveWindow = 1500 * kMillisecond;
constexpr Micros kPeerReachableWindow = 2 * kSecond;
constexpr Micros kFreshStateAge = kSecond;
constexpr Micros kMinRedirectTime = kSecond;
constexpr int kMaxLeaseLosses = 2;
constexpr Micros kRedirectRetryWindow = 15 * kSecond;
constexpr Micros kRelayDuration = 20 * kSecond;
constexpr Micros kRelayTimeout = 3 * kSecond;
constexpr Micros kLeaseLossMargin = 2 * kSecond;
// Bounded, as any client can send heartbeats.
constexpr size_t kMaxUnassignedAgents = 10000;
}  // namespace

void Core::ReplyToHeartbeat(const HeartbeatSource& source, int status, std::string body) {
  if (source.peer.empty()) {
    effects_.SendReply({source.request, status, std::move(body), 0});
  } else {
    effects_.SendToPeer(
        {source.peer, mesh::RelayedAgentHeartbeatReply{source.relay, static_cast<uint64_t>(status),
                                                       std::move(body)}});
  }
}

void Core::HandleAgentHeartbeat(Micros now, const HeartbeatSource& source,
                                const std::string& body) {
  ++counters_.heartbeats;
  std::optional<AgentHeartbeat> heartbeat = wire::DecodeAgentHeartbeat(body);
  if (!heartbeat) {
    ReplyToHeartbeat(source, 400, wire::EncodeError("malformed report"));
    return;
  }
  if (!sync_.feed().synced() && !cancellations_.ReplicaWasComplete()) {
    ReplyToHeartbeat(source, 503, wire::EncodeError("not ready"));
    return;
  }
  const int shard_id = replica_.ShardOfMachine(heartbeat->machine);
  if (shard_id < 0) {
    HandleUnassignedAgent(now, source, *heartbeat, body);
    return;
  }
  const Shard& shard = ShardAt(shard_id);
  if (shard.leadership.epoch != 0 && !shard.leadership.Superseded()) {
    ReplyAsLeader(now, source, shard_id, *heartbeat);
    return;
  }
  // The leader may have a start in flight under the same token, sent before this node learned of a
  // cancellation. After kCommandTimeout the leader gives up on the command and fences the machine.
  std::optional<RenewalPermit> permit;
  if (MayRenewOnBehalf(now, shard_id, *heartbeat)) permit = CheckRenewal(now, kCommandTimeout);
  if (permit) {
    RenewOnBehalf(*permit, source, *heartbeat);
  } else {
    RedirectOrRelay(now, source, shard_id, *heartbeat, body);
  }
}

void Core::HandleUnassignedAgent(Micros now, const HeartbeatSource& source,
                                 const AgentHeartbeat& heartbeat, const std::string& body) {
  const int shard_id = static_cast<int>(StableHash(heartbeat.machine) % shards_.size());
  // Every node keeps these: the one that rented the instance may learn its name at any time.
  if (unassigned_agents_.size() < kMaxUnassignedAgents ||
      unassigned_agents_.count(heartbeat.machine) != 0) {
    unassigned_agents_[heartbeat.machine] = heartbeat;
  }
  unknown_instance_since_.try_emplace(heartbeat.machine, now);
  if (ShardAt(shard_id).leadership.is_leader) {
    MarkDirty(shard_id);
    ReplyToHeartbeat(source, 503, wire::EncodeError("not adopted yet"));
  } else {
    RedirectOrRelay(now, source, shard_id, heartbeat, body);
  }
}

void Core::RedirectOrRelay(Micros now, const HeartbeatSource& source, int shard_id,
                           const AgentHeartbeat& heartbeat, const std::string& body) {
  std::string leader = election_.LeaderOf(shard_id);
  if (leader == settings_.label) leader.clear();
  if (!source.peer.empty() || leader.empty()) {
    ++counters_.redirects;
    ReplyToHeartbeat(source, leader.empty() ? 503 : 421, wire::EncodeRedirect(leader));
    return;
  }
  AgentState& agent = machines_[heartbeat.machine];
  if (NeedsRelay(now, leader, &agent)) {
    ++counters_.relays;
    const uint64_t relay = next_relay_++;
    relays_[relay] = {source.request, now};
    effects_.SendToPeer({leader, mesh::RelayedAgentHeartbeat{relay, body}});
    return;
  }
  agent.redirected_at = now;
  agent.redirected_to = leader;
  ++counters_.redirects;
  ReplyToHeartbeat(source, 421, wire::EncodeRedirect(leader));
}

// An agent that returns soon after a redirect cannot reach its leader: relay its heartbeats.
bool Core::NeedsRelay(Micros now, const std::string& leader, AgentState* agent) const {
  const bool came_back = agent->redirected_to == leader &&
                         now - agent->redirected_at < kRedirectRetryWindow &&
                         now - agent->redirected_at > kMinRedirectTime;
  const Peer* peer = peers_.Find(leader);
  const bool reachable = peer != nullptr && now - peer->last_heard < kPeerReachableWindow;
  // Relay at once if the leader reports the machine as silent: the lease could expire while the
  // agent tries all nodes.
  const bool reported_silent = agent->reported_silent_since != 0;
  if ((came_back || reported_silent) && reachable) agent->relay_until = now + kRelayDuration;
  return now < agent->relay_until && reachable;
}

void Core::HandleRelayReply(const mesh::RelayedAgentHeartbeatReply& reply) {
  auto relay = relays_.find(reply.id);
  if (relay == relays_.end()) return;
  effects_.SendReply({relay->second.first, static_cast<int>(reply.status), reply.body, 0});
  relays_.erase(relay);
}

void Core::EndStaleRelays(Micros now) {
  for (auto relay = relays_.begin(); relay != relays_.end();) {
    if (now - relay->second.second > kRelayTimeout) {
      effects_.SendReply(
          {relay->second.first, 503, wire::EncodeError("leader does not answer"), 0});
      relay = relays_.erase(relay);
    } else {
      ++relay;
    }
  }
}

bool Core::MayRenewOnBehalf(Micros now, int shard_id, const AgentHeartbeat& heartbeat) const {
  const Shard& shard = ShardAt(shard_id);
  if (node_health_.StateFresh(now)) return false;
  const uint64_t epoch = std::max(shard.replica.leadership_version, shard.leadership.rival_epoch);
  if (epoch == 0 || heartbeat.token < TokenForEpoch(epoch)) return false;
  const std::string leader = election_.LeaderOf(shard_id);
  if (leader.empty() || leader == settings_.label) return false;
  const Peer* peer = peers_.Find(leader);
  if (peer == nullptr) return false;
  // A live peer that considers itself the leader answers its own agents.
  const bool ended = now - peer->last_heard > kPeerAliveWindow ||
                     peer->led_shards.count(static_cast<uint64_t>(shard_id)) == 0;
  if (!ended) return false;
  // A peer that reaches the store may be about to take over.
  for (const auto& [label, other] : peers_.peers()) {
    if (now - other.last_heard < kPeerAliveWindow && other.state_age < kFreshStateAge) return false;
  }
  return true;
}

// Renews under the agent's own token, which any node may use; a later leader has a higher one.
// Nothing is started, and cancelled tasks are stopped. Tasks that this node's replica lacks
// continue: the leader may have committed them after the last update of the replica.
void Core::RenewOnBehalf(const RenewalPermit& permit, const HeartbeatSource& source,
                         const AgentHeartbeat& heartbeat) {
  ++counters_.renewed_on_behalf;
  ReplyWithRenewal(permit, source, heartbeat, heartbeat.token, StopsForFinishedJobs(heartbeat));
}

void Core::ReplyAsLeader(Micros now, const HeartbeatSource& source, int shard_id,
                         const AgentHeartbeat& heartbeat) {
  const Shard& shard = ShardAt(shard_id);
  auto machine = shard.replica.assignments.machines.find(heartbeat.machine);
  if (machine == shard.replica.assignments.machines.end()) {
    ReplyToHeartbeat(source, 503, wire::EncodeError("not adopted yet"));
    return;
  }
  AgentState& agent = machines_[heartbeat.machine];
  const uint64_t token = TokenOf(shard_id, agent);
  if (heartbeat.token > token) {
    // The token is of a later leader.
    ++counters_.redirects;
    ReplyToHeartbeat(source, 421, wire::EncodeRedirect(""));
    return;
  }
  const std::optional<RenewalPermit> permit = CheckRenewal(now);
  if (!permit) {
    ReplyToHeartbeat(source, 503, wire::EncodeError("cut off from the state service"));
    return;
  }
  std::vector<Command> commands;
  if (ReconcileAgent(now, shard_id, machine->second, heartbeat, false)) {
    commands = MakeCommands(now, shard_id, machine->second, heartbeat);
    // Starts wait until the agent has seen this leader's token: show it now instead of waiting for
    // the next heartbeat.
    if (heartbeat.token < agent.required_token)
      SendDirectCommands(now, shard_id, heartbeat.machine);
  } else if (heartbeat.incarnation != agent.incarnation) {
    // A late heartbeat of an earlier incarnation.
    ReplyToHeartbeat(source, 503, wire::EncodeError("old session"));
    return;
  } else {
    // A direct answer overtook this heartbeat. The reply renews the lease and therefore must stop
    // cancelled tasks as well.
    commands = StopsForFinishedJobs(heartbeat);
  }
  RecordReply(now, &agent, commands);
  ++(shard.leadership.is_leader ? counters_.renewed : counters_.renewed_as_former_leader);
  ReplyWithRenewal(*permit, source, heartbeat, token, std::move(commands));
}

std::vector<Command> Core::StopsForFinishedJobs(const AgentHeartbeat& heartbeat) const {
  std::vector<Command> stops;
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.state != TaskState::kExited && jobs_.IsFinished(task.job)) {
      stops.push_back({Command::Op::kStop, task.job, task.task, task.attempt, 0});
    }
  }
  return stops;
}

void Core::RecordReply(Micros now, AgentState* agent, const std::vector<Command>& commands) {
  agent->last_reply_at = now;
  agent->last_reply_commands.clear();
  for (const Command& command : commands) {
    if (command.op != Command::Op::kStop) {
      agent->last_reply_commands.push_back({command.job, command.task, command.attempt});
    }
  }
}

// Detects machines whose heartbeats arrive while replies and commands do not reach them. Such a
// machine gets no more work once the commands of two replies had no effect, or once its lease
// expired although a reply had just renewed it. It is then probed directly: an answer clears it;
// without one it is declared lost.
void Core::CheckCommandsTookEffect(Micros now, int shard_id, AgentState* agent,
                                   const AgentHeartbeat& heartbeat, bool new_incarnation) {
  if (new_incarnation) {
    CheckReplyKeptLease(now, shard_id, agent, heartbeat);
    return;
  }
  if (agent->last_reply_commands.empty()) return;
  const bool any_effect =
      std::any_of(agent->last_reply_commands.begin(), agent->last_reply_commands.end(),
                  [&](const Attempt& attempt) { return CommandTookEffect(attempt, heartbeat); });
  agent->ignored_replies = any_effect ? 0 : agent->ignored_replies + 1;
  if (any_effect) agent->lease_losses = 0;
  if (agent->ignored_replies >= kMaxIgnoredReplies) agent->probe_pending = true;
  agent->last_reply_commands.clear();
}

void Core::CheckReplyKeptLease(Micros now, int shard_id, AgentState* agent,
                               const AgentHeartbeat& heartbeat) {
  const bool reply_kept_lease =
      agent->last_reply_at != 0 &&
      now - agent->last_reply_at < ShortestOnOtherClock(settings_.agent_lease) - kLeaseLossMargin;
  agent->last_reply_at = 0;
  agent->last_reply_commands.clear();
  if (!reply_kept_lease) return;
  ++counters_.unresponsive;
  ++agent->lease_losses;
  agent->ignored_replies = std::max(agent->ignored_replies, kMaxIgnoredReplies);
  agent->probe_pending = true;
  agent->next_direct_call_at = std::min(agent->next_direct_call_at, now);
  if (agent->lease_losses < kMaxLeaseLosses && agent->direct_failures == 0) return;
  agent->declared_lost = true;
  effects_.Log(LogLine::Level::kInfo,
               "declaring machine " + heartbeat.machine + " lost: replies do not reach its agent");
  MarkDirty(shard_id);
}

bool Core::CommandTookEffect(const Attempt& attempt, const AgentHeartbeat& heartbeat) const {
  bool reported = false, ended = false;
  for (const TaskStatus& task : heartbeat.tasks) {
    if (task.job != attempt.job || task.task != attempt.task || task.attempt != attempt.number) {
      continue;
    }
    reported = true;
    ended = task.state == TaskState::kExited;
  }
  // A start shows as a reported task, a forget command as its absence.
  auto known = attempts_.find(attempt);
  const bool was_start = known != attempts_.end() && !known->second.terminated;
  return was_start ? reported : !reported || !ended;
}

}  // namespace troutlink
