// Entry points of the core: requests, answers to calls, peer messages and ticks.
#include "core/core.h"

#include <algorithm>
#include <utility>

#include "base/ids.h"
#include "core/api/http_status.h"
#include "core/api/retry_after.h"
#include "core/io/labelled_metric.h"
#include "core/leadership/readiness.h"
#include "core/user_api_view.h"

namespace troutlink {

namespace {
constexpr double kUsableLimitShare = 0.9;
// Seconds of each rate that may be used at once.
constexpr double kWriteBurstSeconds = 0.5;
constexpr double kRequestBurstSeconds = 0.3;
constexpr double kCloudBurstSeconds = 2;
// Ids of forwarded requests are above all ids of requests that arrive here.
constexpr uint64_t kForwardIds = uint64_t{1} << 62;

// Ids differ between incarnations of the process, so that a late answer to an earlier one is not
// taken for an answer to this one.
uint64_t FirstMessageId(uint64_t boot) { return (boot & 0xffffffffu) << 24; }

}  // namespace

Core::Core(const Settings& settings, uint64_t boot, Micros now, Micros wall)
    : settings_(settings),
      write_budget_(settings.state_limits.write_rps * kUsableLimitShare / settings.shard_count(),
                    settings.next_state_limits.write_rps * kWriteBurstSeconds),
      state_budget_(settings.state_rps * kUsableLimitShare / settings.shard_count(),
                    settings.state_rps * kRequestBurstSeconds),
      cloud_budget_(
          settings.cloud_rps * kUsableLimitShare / settings.shard_count(),
          std::max(1.0, settings.cloud_rps * kCloudBurstSeconds / settings.shard_count())),
      effects_(&state_budget_),
      boot_(boot),
      started_(now),
      wall_offset_(wall - now),
      jobs_(&cancellations_, this),
      cluster_version_(settings_),
      replica_(settings.shard_count(), &jobs_, &cluster_version_, &effects_, this),
      sync_(settings_, boot,
            {&replica_, &jobs_, &cluster_version_, &effects_, &node_health_, &state_budget_,
             &write_budget_, this}),
      node_health_(now),
      cancellations_(settings.cancellation_deadline, settings.agent_lease),
      election_({settings.label, settings.labels, settings.home_shard, boot, now,
                 settings.cancellation_deadline,
                 FromSeconds(settings.operator_settings.hand_back_after_s())},
                {&effects_, &write_budget_, &session_lease_, &node_health_, this, this}),
      session_lease_(FromSeconds(settings.operator_settings.claim_life_s()), &effects_,
                     &node_health_, &election_),
      heartbeats_(FirstMessageId(boot),
                  {&effects_, &peers_, &election_, &cancellations_, &node_health_, this, this}),
      user_api_view_(std::make_unique<UserApiView>(*this)),
      user_api_(&settings_, kForwardIds | FirstMessageId(boot),
                {&effects_, &write_budget_, &state_budget_}, user_api_view_.get(),
                user_api_view_.get(), user_api_view_.get(), user_api_view_.get()),
      health_(static_cast<int>(settings.operator_settings.machine_failures()),
              static_cast<int>(settings.operator_settings.job_failures())),
      machine_types_(&effects_, &cloud_budget_,
                     [this](Micros t) {
                       if (!sync_.feed().synced() || !write_budget_.Take(t, 1, 2)) return false;
                       ++counters_.puts;
                       return true;
                     }),
      instance_lister_(
          {settings.shard_count(), settings.cloud_rps, settings.list_lag}, &effects_,
          &cloud_budget_, [this] { return any_machine_silent_; },
          [this](Micros now, Micros asked, const std::vector<ListedMachine>& instances) {
            ReconcileInstances(now, asked, instances);
          }),
      offer_backoff_(FromSeconds(settings.operator_settings.refusal_pause_s())),
      offer_selector_(&machine_types_, &offer_health_, &offer_backoff_),
      rental_requests_(
          &effects_, &cloud_budget_, &offer_backoff_,
          [this](int shard_id, const RentalAnswer& answer) { OnRentalAnswered(shard_id, answer); }),
      instance_returns_(
          &effects_, &cloud_budget_,
          [this](int shard_id, const std::string& name) {
            return OnInstanceReturned(shard_id, name);
          },
          [this](int shard_id) { MarkDirty(shard_id); }) {
  next_relay_ = FirstMessageId(boot_);
  shards_.reserve(static_cast<size_t>(settings_.shard_count()));
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    shards_.emplace_back(replica_.records(shard_id), election_.Of(shard_id));
  }
  for (const PeerController& peer : settings_.peers) {
    peers_.Add(peer.label);
    cancellations_.AddPeer(peer.label);
  }
}

Core::~Core() = default;

// Runs after every input, which may have enabled further steps.
void Core::RunFollowUps(Micros now) {
  user_api_.CheckQueued(now);
  if (sync_.feed().synced()) RunSchedulingCycles(now);
}

Outbox Core::HandleRequest(Micros now, const Request& request) {
  std::string_view target = request.target;
  target = target.substr(0, target.find('?'));
  auto reply = [&](int status, std::string body, int retry_after_s = 0) {
    effects_.SendReply({request.id, status, std::move(body), retry_after_s});
  };
  auto require_method = [&](std::string_view method) {
    if (request.method == method) return true;
    reply(http_status::kMethodNotAllowed, wire::EncodeError("method not allowed"));
    return false;
  };
  if (target == wire::kHeartbeatPath) {
    if (require_method("POST")) HandleAgentHeartbeat(now, {request.id, "", 0}, request.body);
  } else if (target == wire::kUpPath) {
    if (require_method("GET")) {
      if (IsReady(now, sync_.feed().synced(), node_health_, peers_)) {
        reply(http_status::kOk, "");
      } else {
        reply(http_status::kServiceUnavailable, wire::EncodeError("not ready"), kRetryAfter);
      }
    }
  } else if (target == wire::kJobsPath) {
    if (require_method("POST")) user_api_.HandleRequest(now, request);
  } else if (target == "/metrics") {
    if (require_method("GET")) reply(http_status::kOk, MetricsText(now));
  } else if (std::optional<wire::JobPath> path = wire::ParseJobPath(target)) {
    if (require_method(path->abort ? "POST" : "GET")) {
      if (!IsJobId(path->id)) {
        reply(http_status::kNotFound, wire::EncodeError("no such job"));
      } else {
        user_api_.HandleRequest(now, request);
      }
    }
  } else {
    reply(http_status::kNotFound, wire::EncodeError("no such path"));
  }
  RunFollowUps(now);
  return effects_.TakeOutbox();
}

Outbox Core::HandleAnswer(Micros now, uint64_t call, int status, const std::string& body) {
  effects_.HandleAnswer(now, call, status, body);
  RunFollowUps(now);
  return effects_.TakeOutbox();
}

Outbox Core::HandlePeer(Micros now, const std::string& from, const mesh::Message& message) {
  if (peers_.Find(from) == nullptr) return effects_.TakeOutbox();
  if (const auto* ping = std::get_if<mesh::HeartbeatRequest>(&message)) {
    heartbeats_.OnPing(now, from, *ping);
  } else if (const auto* pong = std::get_if<mesh::HeartbeatReply>(&message)) {
    heartbeats_.OnPong(now, from, *pong);
  } else if (const auto* relay = std::get_if<mesh::RelayedAgentHeartbeat>(&message)) {
    HandleAgentHeartbeat(now, {0, from, relay->id}, relay->body);
  } else if (const auto* relay_reply = std::get_if<mesh::RelayedAgentHeartbeatReply>(&message)) {
    HandleRelayReply(*relay_reply);
  } else if (const auto* forward = std::get_if<mesh::ForwardedRequest>(&message)) {
    user_api_.HandleForward(now, from, *forward);
  } else if (const auto* forward_reply = std::get_if<mesh::ForwardedResponse>(&message)) {
    user_api_.HandleForwardReply(now, *forward_reply);
  }
  RunFollowUps(now);
  return effects_.TakeOutbox();
}

// The limits of the store and the cloud are divided between shards: a node that leads several has
// the share of each.
void Core::UpdateRateLimits(Micros now) {
  const int led_shards = std::max(1, election_.LedShards());
  const double share =
      kUsableLimitShare * static_cast<double>(led_shards) / settings_.shard_count();
  write_budget_.SetRate(now, cluster_version_.limits().write_rps * share);
  state_budget_.SetRate(now, settings_.state_rps * share);
  cloud_budget_.SetRate(now, settings_.cloud_rps * share);
}

Outbox Core::Tick(Micros now, Micros wall) {
  wall_offset_ = wall - now;
  if (node_health_.ProcessPaused(now)) {
    // Silence during the pause is no evidence about machines.
    effects_.Log(LogLine::Level::kInfo,
                 "process was paused for " +
                     std::to_string((now - node_health_.last_tick()) / kMillisecond) + " ms");
    for (auto& [name, agent] : machines_) {
      if (agent.observed_since != 0) agent.observed_since = now;
    }
  }
  node_health_.BeginTick(now);
  sync_.Run(now);
  heartbeats_.Tick(now);
  sync_.PublishVersion(now);
  session_lease_.Tick(now);
  if (sync_.feed().synced()) election_.Tick(now);
  UpdateRateLimits(now);
  TickFleet(now);
  EndStaleRelays(now);
  node_health_.EndTick(now);
  effects_.set_last_tick(now);
  user_api_.Tick(now);
  RunFollowUps(now);
  return effects_.TakeOutbox();
}

std::string Core::MetricsText(Micros now) const {
  std::string out;
  auto put = [&out](const char* name, uint64_t value) {
    out.append("troutlink_").append(name).append(" ").append(std::to_string(value)).append("\n");
  };
  const ApiCounters& api = user_api_.counters();
  put("uptime_seconds", static_cast<uint64_t>((now - started_) / kSecond));
  put("submissions_total", api.submissions);
  put("accepted_total", api.accepted);
  put("refused_total", api.refused);
  put("polls_total", api.polls);
  put("aborts_total", api.cancels);
  put("reports_total", counters_.heartbeats);
  put("redirects_total", counters_.redirects);
  put("relays_total", counters_.relays);
  put("forwards_total", api.forwards);
  put("renewed_on_behalf_total", counters_.renewed_on_behalf);
  put("rounds_total", counters_.cycles);
  put("oversized_total", counters_.oversized_plans);
  put("commits_total", counters_.commits);
  put("commit_conflicts_total", counters_.commit_conflicts);
  put("commit_unknown_total", counters_.commit_unknown);
  put("state_puts_total", counters_.puts + api.record_writes);
  put("state_calls_total", effects_.call_counts().state);
  put("busy_answers_total", effects_.call_counts().rate_limited);
  put("cloud_calls_total", effects_.call_counts().cloud);
  put("worker_calls_total", effects_.call_counts().agent);
  put("worker_unknown_total", counters_.unanswered_commands);
  put("starts_total", counters_.starts);
  put("stops_total", counters_.stops);
  put("gone_total", counters_.terminated_attempts);
  put("acquired_machines_total", counters_.acquired_machines);
  put("share_moves_total", counters_.quota_transfers);
  put("job_moves_total", counters_.job_moves);
  put("consolidated_total", counters_.consolidated);
  put("rented_machines_total", counters_.rented_machines);
  put("refused_rentals_total", counters_.refused_rentals);
  put("returned_total", counters_.returned);
  put("adopted_total", counters_.adopted);
  put("elections_total", counters_.elections);
  put("lost_leaderships_total", counters_.lost_leaderships);
  put("handed_back_total", counters_.failbacks);
  put("unresponsive_total", counters_.unresponsive);
  put("tails_total", counters_.tails);
  put("helpers_total", counters_.tail_machines);
  put("overdue_total", counters_.overdue_tasks);
  put("preempted_total", counters_.preempted);
  put("fencing_raises_total", counters_.fencing_raises);
  put("renewed_total", counters_.renewed);
  put("renewed_as_former_leader_total", counters_.renewed_as_former_leader);
  put("replica_lists_total", counters_.lists);
  put("replica_watches_total", counters_.watches);
  put("replica_revision", sync_.feed().revision());
  put("replica_age_ms",
      static_cast<uint64_t>((now - sync_.feed().complete_up_to()) / kMillisecond));
  const Micros bound = cancellations_.RenewalBound(now);
  put("renewal_bound_ms", static_cast<uint64_t>(std::max<Micros>(0, bound - now) / kMillisecond));
  put("cancellations_total", counters_.cancellations);
  put("told_cancellations_total", counters_.reported_cancellations);
  put("kept_from_forwarding_total", api.not_forwarded);
  put("orphans_total", counters_.cascade_cancelled);
  put("refused_by_limits_total", counters_.refused_by_limits);
  put("cluster_version", cluster_version_.number());
  put("state_value_bytes", static_cast<uint64_t>(cluster_version_.limits().value_bytes));
  put("state_transaction_changes", static_cast<uint64_t>(cluster_version_.limits().txn_ops));
  put("blocked_jobs", jobs_.CountBlocked());
  put("jobs", jobs_.jobs().size());
  put("attempts", attempts_.size());
  put("machines", machines_.size());
  return out + PermitMetrics() + WaitMetrics(now);
}

std::string Core::PermitMetrics() const {
  std::string out;
  for (size_t i = 0; i < kRefusals; ++i) {
    const auto refusal = static_cast<Refusal>(i);
    AppendMetric("permits_refused_total", {"reason", NameOf(refusal)},
                 refusals_.Of(refusal) + user_api_.refusals().Of(refusal), &out);
  }
  for (size_t i = 0; i < kViolations; ++i) {
    const auto violation = static_cast<Violation>(i);
    AppendMetric("invariant_violations_total", {"kind", NameOf(violation)},
                 violations_.Of(violation), &out);
  }
  return out;
}

}  // namespace troutlink
