// Handles agent heartbeats: which node answers, and whether the reply may renew the agent's lease.
#include <algorithm>

#include "base/ids.h"
#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kRedirectMemory = 15 * kSecond;
constexpr Micros kRelayFor = 20 * kSecond;
constexpr Micros kRelayTimeout = 3 * kSecond;
constexpr Micros kLapseSlack = 2 * kSecond;
constexpr size_t kMaxUnknown = 10000;  // machines; bounded, as any client can send heartbeats
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
  ++counters_.reports;
  std::optional<AgentHeartbeat> report = wire::DecodeAgentHeartbeat(body);
  if (!report) {
    ReplyToHeartbeat(source, 400, wire::EncodeError("malformed report"));
    return;
  }
  if (!sync_.feed().synced() && !cancellations_.ReplicaWasComplete()) {
    ReplyToHeartbeat(source, 503, wire::EncodeError("not ready"));
    return;
  }
  const int shard_id = replica_.ShardOfMachine(report->machine);
  if (shard_id < 0) {
    HandleUnassignedAgent(now, source, *report, body);
    return;
  }
  const Shard& shard = ShardAt(shard_id);
  if (shard.leadership.epoch != 0 && !shard.leadership.Superseded()) {
    ReplyAsLeader(now, source, shard_id, *report);
    return;
  }
  // The leader may have a start in flight under the same token, sent before this node learned of a
  // cancellation. After kCommandTimeout the leader gives up on the command and fences the machine.
  std::optional<RenewalPermit> permit;
  if (MayRenewOnBehalf(now, shard_id, *report)) permit = JudgeRenewal(now, kCommandTimeout);
  if (permit) {
    RenewOnBehalf(*permit, source, *report);
  } else {
    RedirectOrRelay(now, source, shard_id, *report, body);
  }
}

void Core::HandleUnassignedAgent(Micros now, const HeartbeatSource& source,
                                 const AgentHeartbeat& report, const std::string& body) {
  const int shard_id = static_cast<int>(StableHash(report.machine) % shards_.size());
  // Every node keeps these: the one that rented the instance may learn its name at any time.
  if (unassigned_agents_.size() < kMaxUnknown || unassigned_agents_.count(report.machine) != 0) {
    unassigned_agents_[report.machine] = report;
  }
  unknown_instance_since_.try_emplace(report.machine, now);
  if (ShardAt(shard_id).leadership.is_leader) {
    MarkDirty(shard_id);
    ReplyToHeartbeat(source, 503, wire::EncodeError("not adopted yet"));
  } else {
    RedirectOrRelay(now, source, shard_id, report, body);
  }
}

void Core::RedirectOrRelay(Micros now, const HeartbeatSource& source, int shard_id,
                           const AgentHeartbeat& report, const std::string& body) {
  std::string leader = election_.LeaderOf(shard_id);
  if (leader == settings_.label) leader.clear();
  if (!source.peer.empty() || leader.empty()) {
    ++counters_.redirects;
    ReplyToHeartbeat(source, leader.empty() ? 503 : 421, wire::EncodeRedirect(leader));
    return;
  }
  AgentState& info = machines_[report.machine];
  if (NeedsRelay(now, leader, &info)) {
    ++counters_.relays;
    const uint64_t relay = next_relay_++;
    relays_[relay] = {source.request, now};
    effects_.SendToPeer({leader, mesh::RelayedAgentHeartbeat{relay, body}});
    return;
  }
  info.redirected_at = now;
  info.redirected_to = leader;
  ++counters_.redirects;
  ReplyToHeartbeat(source, 421, wire::EncodeRedirect(leader));
}

// An agent that returns soon after a redirect cannot reach its leader: relay its heartbeats.
bool Core::NeedsRelay(Micros now, const std::string& leader, AgentState* info) const {
  const bool came_back = info->redirected_to == leader &&
                         now - info->redirected_at < kRedirectMemory &&
                         now - info->redirected_at > kSecond;
  const Peer* peer = peers_.Find(leader);
  const bool reachable = peer != nullptr && now - peer->last_heard < 2 * kSecond;
  // Relay at once if the leader reports the machine as silent: the lease could expire while the
  // agent tries all nodes.
  const bool missed = info->reported_silent_since != 0;
  if ((came_back || missed) && reachable) info->relay_until = now + kRelayFor;
  return now < info->relay_until && reachable;
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

bool Core::MayRenewOnBehalf(Micros now, int shard_id, const AgentHeartbeat& report) const {
  const Shard& shard = ShardAt(shard_id);
  if (node_health_.StateFresh(now)) return false;
  const uint64_t epoch = std::max(shard.replica.leadership_version, shard.leadership.rival_epoch);
  if (epoch == 0 || report.token < TokenForEpoch(epoch)) return false;
  const std::string leader = election_.LeaderOf(shard_id);
  if (leader.empty() || leader == settings_.label) return false;
  const Peer* peer = peers_.Find(leader);
  if (peer == nullptr) return false;
  // A live peer that considers itself the leader answers its own agents.
  const bool gone = now - peer->last_heard > 1500 * kMillisecond ||
                    peer->led_shards.count(static_cast<uint64_t>(shard_id)) == 0;
  if (!gone) return false;
  // A peer that reaches the store may be about to take over.
  for (const auto& [label, other] : peers_.peers()) {
    if (now - other.last_heard < 1500 * kMillisecond && other.state_age < kSecond) return false;
  }
  return true;
}

// Renews under the agent's own token, which any node may use; a later leader has a higher one.
// Nothing is started, and cancelled tasks are stopped. Tasks that this node's replica lacks
// continue: the leader may have committed them after the last update of the replica.
void Core::RenewOnBehalf(const RenewalPermit& permit, const HeartbeatSource& source,
                         const AgentHeartbeat& report) {
  ++counters_.renewed_on_behalf;
  ReplyWithRenewal(permit, source, report, report.token, StopsForFinishedJobs(report));
}

void Core::ReplyAsLeader(Micros now, const HeartbeatSource& source, int shard_id,
                         const AgentHeartbeat& report) {
  const Shard& shard = ShardAt(shard_id);
  auto machine = shard.replica.assignments.machines.find(report.machine);
  if (machine == shard.replica.assignments.machines.end()) {
    ReplyToHeartbeat(source, 503, wire::EncodeError("not adopted yet"));
    return;
  }
  AgentState& info = machines_[report.machine];
  const uint64_t token = TokenOf(shard_id, info);
  if (report.token > token) {
    // The token is of a later leader.
    ++counters_.redirects;
    ReplyToHeartbeat(source, 421, wire::EncodeRedirect(""));
    return;
  }
  const std::optional<RenewalPermit> permit = JudgeRenewal(now);
  if (!permit) {
    ReplyToHeartbeat(source, 503, wire::EncodeError("cut off from the state service"));
    return;
  }
  std::vector<Command> orders;
  if (ReconcileAgent(now, shard_id, machine->second, report, false)) {
    orders = MakeCommands(now, shard_id, machine->second, report);
    // Starts wait until the agent has seen this leader's token: show it now instead of waiting for
    // the next heartbeat.
    if (report.token < info.required_token) SendDirectCommands(now, shard_id, report.machine);
  } else if (report.session != info.session) {
    // A late heartbeat of an earlier incarnation.
    ReplyToHeartbeat(source, 503, wire::EncodeError("old session"));
    return;
  } else {
    // A direct answer overtook this heartbeat. The reply renews the lease and therefore must stop
    // cancelled tasks as well.
    orders = StopsForFinishedJobs(report);
  }
  RecordReply(now, &info, orders);
  ++(shard.leadership.is_leader ? counters_.renewed : counters_.renewed_as_former_leader);
  ReplyWithRenewal(*permit, source, report, token, std::move(orders));
}

std::vector<Command> Core::StopsForFinishedJobs(const AgentHeartbeat& report) const {
  std::vector<Command> stops;
  for (const TaskStatus& task : report.tasks) {
    if (task.state != TaskState::kExited && jobs_.IsOver(task.job)) {
      stops.push_back({Command::Op::kStop, task.job, task.task, task.attempt, 0});
    }
  }
  return stops;
}

void Core::RecordReply(Micros now, AgentState* info, const std::vector<Command>& orders) {
  info->answered_at = now;
  info->ordered.clear();
  for (const Command& order : orders) {
    if (order.op != Command::Op::kStop) {
      info->ordered.push_back({order.job, order.task, order.attempt});
    }
  }
}

// Detects machines whose heartbeats arrive while replies and commands do not reach them. Such a
// machine gets no more work once the commands of two replies had no effect, or once its lease
// expired although a reply had just renewed it. It is then probed directly: an answer clears it;
// without one it is declared lost.
void Core::CheckCommandsTookEffect(Micros now, int shard_id, AgentState* info,
                                   const AgentHeartbeat& report, bool new_session) {
  if (new_session) {
    CheckReplyKeptLease(now, shard_id, info, report);
    return;
  }
  if (info->ordered.empty()) return;
  const bool any_done =
      std::any_of(info->ordered.begin(), info->ordered.end(),
                  [&](const Attempt& attempt) { return CommandTookEffect(attempt, report); });
  info->ignored_replies = any_done ? 0 : info->ignored_replies + 1;
  if (any_done) info->lease_losses = 0;
  if (info->ignored_replies >= kMaxIgnoredReplies) info->probe = true;
  info->ordered.clear();
}

void Core::CheckReplyKeptLease(Micros now, int shard_id, AgentState* info,
                               const AgentHeartbeat& report) {
  const bool answered =
      info->answered_at != 0 &&
      now - info->answered_at < ShortestOnOtherClock(settings_.agent_lease) - kLapseSlack;
  info->answered_at = 0;
  info->ordered.clear();
  if (!answered) return;
  ++counters_.unresponsive;
  ++info->lease_losses;
  info->ignored_replies = std::max(info->ignored_replies, kMaxIgnoredReplies);
  info->probe = true;
  info->no_direct_before = std::min(info->no_direct_before, now);
  if (info->lease_losses < 2 && info->direct_failures == 0) return;
  info->declared_lost = true;
  effects_.Log(LogLine::Level::kInfo, "declaring machine " + report.machine + " lost: replies do not reach its agent");
  MarkDirty(shard_id);
}

bool Core::CommandTookEffect(const Attempt& attempt, const AgentHeartbeat& report) const {
  bool there = false, ended = false;
  for (const TaskStatus& task : report.tasks) {
    if (task.job != attempt.job || task.task != attempt.task || task.attempt != attempt.number) {
      continue;
    }
    there = true;
    ended = task.state == TaskState::kExited;
  }
  // A start shows as a reported task, a forget command as its absence.
  auto known = attempts_.find(attempt);
  const bool was_start = known != attempts_.end() && !known->second.gone;
  return was_start ? there : !there || !ended;
}

}  // namespace troutlink
