// Inputs and outputs of the core: every request, answer, message of a peer and tick comes in
// here, and what it led to goes out.
#include "core/core.h"

#include <algorithm>
#include <utility>

#include "base/ids.h"

namespace troutlink {

namespace {
constexpr double kShareOfLimits = 0.9;
constexpr double kWriteBurst = 0.5;  // seconds

bool IsAbort(const Request& request) {
  std::optional<wire::JobPath> path = wire::ParseJobPath(request.target);
  return path && path->abort;
}
}  // namespace

Core::Core(const Settings& settings, uint64_t boot, Micros now, Micros wall)
    : settings_(settings),
      write_budget_(settings.state_limits.write_rps * kShareOfLimits / settings.shard_count(),
                    settings.next_state_limits.write_rps * kWriteBurst),
      state_budget_(settings.state_rps * kShareOfLimits / settings.shard_count(),
                    settings.state_rps * 0.3),
      cloud_budget_(settings.cloud_rps * kShareOfLimits / settings.shard_count(),
                    std::max(1.0, settings.cloud_rps * 2 / settings.shard_count())),
      effects_(&state_budget_),
      boot_(boot),
      started_(now),
      wall_offset_(wall - now),
      shards_(static_cast<size_t>(settings.shard_count())),
      session_lease_(FromSeconds(settings.op.claim_life_s())),
      cancellations_(settings.cancel, settings.lease),
      health_(static_cast<int>(settings.op.machine_failures()),
              static_cast<int>(settings.op.job_failures())),
      machine_types_(&effects_, &cloud_budget_,
                     [this](Micros t) {
                       if (!feed_.synced() || !write_budget_.Take(t, 1, 2)) return false;
                       ++counters_.puts;
                       return true;
                     }),
      instance_lister_(
          {settings.shard_count(), settings.cloud_rps, settings.list_lag}, &effects_,
          &cloud_budget_, [this] { return some_silent_; },
          [this](Micros t, Micros asked, const std::vector<ListedMachine>& instances) {
            ReconcileInstances(t, asked, instances);
          }),
      offer_backoff_(FromSeconds(settings.op.refusal_pause_s())),
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
  // A late answer to the process before this one must not be taken for an
  // answer to us: numbers begin where no earlier process is likely to have been.
  const uint64_t base = (boot_ & 0xffffffffu) << 24;
  next_foreign_ = (uint64_t{1} << 62) | base;
  next_relay_ = base;
  ping_seq_ = base;
  for (const Sibling& sibling : settings_.siblings) {
    peers_[sibling.label].label = sibling.label;
    cancellations_.AddPeer(sibling.label);
  }
}

void Core::Answer(uint64_t request, int status, std::string body, int retry_after_s) {
  auto foreign = foreign_.find(request);
  if (foreign != foreign_.end()) {
    effects_.SendToPeer(
        {foreign->second.first,
         mesh::ForwardReply{foreign->second.second, static_cast<uint64_t>(status),
                            static_cast<uint64_t>(retry_after_s), std::move(body)}});
    foreign_.erase(foreign);
    return;
  }
  auto open = open_.find(request);
  if (open != open_.end()) {
    const bool unsettled = status == 404 && IsAbort(open->second.request);
    if (open->second.forward != 0 && unsettled) {
      // The copy at a peer may still find the job that its user submits after a 404.
      status = 503;
      body = wire::EncodeError("no such job so far");
      retry_after_s = 1;
    }
    if (status >= 429 && open->second.forward != 0) {
      // A peer is still at work on it.
      open->second.refused = true;
      open->second.refusal = {request, status, std::move(body), retry_after_s};
      return;
    }
    open_.erase(open);
  }
  effects_.SendReply({request, status, std::move(body), retry_after_s});
}

const Core::JobEntry* Core::FindJob(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const Team* Core::FindTeam(const std::string& name) const {
  for (const Team& team : settings_.teams) {
    if (team.name == name) return &team;
  }
  return nullptr;
}

// What every input may have made possible.
void Core::After(Micros now) {
  RunQueries(now);
  if (feed_.synced()) RunRounds(now);
}

Outbox Core::HandleRequest(Micros now, const Request& request) {
  std::string_view target = request.target;
  target = target.substr(0, target.find('?'));
  auto only = [&](std::string_view method) {
    if (request.method == method) return true;
    Answer(request.id, 405, wire::EncodeError("method not allowed"));
    return false;
  };
  if (target == wire::kReportPath) {
    if (only("POST")) OnReport(now, {request.id, "", 0}, request.body);
  } else if (target == wire::kUpPath) {
    if (only("GET")) {
      if (Up(now)) {
        Answer(request.id, 200, "");
      } else {
        Answer(request.id, 503, wire::EncodeError("not ready"), 1);
      }
    }
  } else if (target == wire::kJobsPath) {
    if (only("POST")) UserRequest(now, request);
  } else if (target == "/metrics") {
    if (only("GET")) Answer(request.id, 200, MetricsText(now));
  } else if (std::optional<wire::JobPath> path = wire::ParseJobPath(target)) {
    if (only(path->abort ? "POST" : "GET")) {
      if (!IsJobId(path->id)) {
        Answer(request.id, 404, wire::EncodeError("no such job"));
      } else {
        UserRequest(now, request);
      }
    }
  } else {
    Answer(request.id, 404, wire::EncodeError("no such path"));
  }
  After(now);
  return effects_.TakeOutbox();
}

Outbox Core::HandleAnswer(Micros now, uint64_t call, int status, const std::string& body) {
  effects_.HandleAnswer(now, call, status, body);
  After(now);
  return effects_.TakeOutbox();
}

Outbox Core::HandlePeer(Micros now, const std::string& from, const mesh::Message& message) {
  if (peers_.count(from) == 0) return effects_.TakeOutbox();
  if (const auto* ping = std::get_if<mesh::Ping>(&message)) {
    HandlePing(now, from, *ping);
  } else if (const auto* pong = std::get_if<mesh::Pong>(&message)) {
    HandleHeartbeat(now, from, *pong);
    cancellations_.PongReceived(from, *pong);
  } else if (const auto* relay = std::get_if<mesh::Relay>(&message)) {
    OnReport(now, {0, from, relay->id}, relay->body);
  } else if (const auto* relay_reply = std::get_if<mesh::RelayReply>(&message)) {
    HandleRelayReply(*relay_reply);
  } else if (const auto* forward = std::get_if<mesh::Forward>(&message)) {
    HandleForward(now, from, *forward);
  } else if (const auto* forward_reply = std::get_if<mesh::ForwardReply>(&message)) {
    HandleForwardReply(now, *forward_reply);
  }
  After(now);
  return effects_.TakeOutbox();
}

// The limits of the state service and the cloud are shared by shards: who works for a
// node that is away also has its share.
void Core::ShareLimits(Micros now) {
  const auto owned = std::count_if(shards_.begin(), shards_.end(),
                                   [](const Shard& shard) { return shard.leadership.is_leader; });
  const double share = kShareOfLimits * static_cast<double>(std::max<std::ptrdiff_t>(1, owned)) /
                       settings_.shard_count();
  write_budget_.SetRate(now, Limits().write_rps * share);
  state_budget_.SetRate(now, settings_.state_rps * share);
  cloud_budget_.SetRate(now, settings_.cloud_rps * share);
}

Outbox Core::Tick(Micros now, Micros wall) {
  wall_offset_ = wall - now;
  if (StoodStill(now)) {
    // We stood still: that nothing was heard meanwhile says nothing of the machines.
    effects_.Log(LogLine::Level::kInfo,
                 "stood still for " + std::to_string((now - now_) / kMilli) + " ms");
    for (auto& [name, info] : machines_) {
      if (info.since != 0) info.since = now;
    }
    unwell_at_ = now;
  }
  if (!StateFresh(now)) unwell_at_ = now;
  switch (feed_.Due(now)) {
    case ReplicaFeed::Step::kList: StartList(now); break;
    case ReplicaFeed::Step::kWatch: StartWatch(now); break;
    case ReplicaFeed::Step::kWait: break;
  }
  if (now >= next_heartbeat_) Heartbeat(now);
  PublishVersion(now);
  RunLease(now);
  if (feed_.synced()) RunElections(now);
  ShareLimits(now);
  RunCloud(now);
  EndStaleRelays(now);
  now_ = now;
  effects_.set_last_tick(now);
  RunForwards(now);
  After(now);
  return effects_.TakeOutbox();
}

std::string Core::MetricsText(Micros now) const {
  std::string out;
  auto put = [&out](const char* name, uint64_t v) {
    out.append("troutlink_").append(name).append(" ").append(std::to_string(v)).append("\n");
  };
  const Counters& c = counters_;
  put("uptime_seconds", static_cast<uint64_t>((now - started_) / kSecond));
  put("submissions_total", c.submissions);
  put("accepted_total", c.accepted);
  put("refused_total", c.refused);
  put("polls_total", c.polls);
  put("aborts_total", c.aborts);
  put("reports_total", c.reports);
  put("redirects_total", c.redirects);
  put("relays_total", c.relays);
  put("forwards_total", c.forwards);
  put("renewed_on_behalf_total", c.renewed_on_behalf);
  put("rounds_total", c.rounds);
  put("oversized_total", c.oversized);
  put("commits_total", c.commits);
  put("commit_conflicts_total", c.commit_conflicts);
  put("commit_unknown_total", c.commit_unknown);
  put("state_puts_total", c.puts);
  put("state_calls_total", effects_.call_counts().state);
  put("busy_answers_total", effects_.call_counts().rate_limited);
  put("cloud_calls_total", effects_.call_counts().cloud);
  put("worker_calls_total", effects_.call_counts().agent);
  put("worker_unknown_total", c.worker_unknown);
  put("starts_total", c.starts);
  put("stops_total", c.stops);
  put("gone_total", c.gone);
  put("acquired_machines_total", c.acquired_machines);
  put("share_moves_total", c.share_moves);
  put("job_moves_total", c.job_moves);
  put("consolidated_total", c.consolidated);
  put("rented_machines_total", c.rented_machines);
  put("refused_rentals_total", c.refused_rentals);
  put("returned_total", c.returned);
  put("adopted_total", c.adopted);
  put("elections_total", c.elections);
  put("lost_leaderships_total", c.lost_leaderships);
  put("handed_back_total", c.handed_back);
  put("unresponsive_total", c.unresponsive);
  put("tails_total", c.tails);
  put("helpers_total", c.helpers);
  put("overdue_total", c.overdue);
  put("preempted_total", c.preempted);
  put("fencing_raises_total", c.fencing_raises);
  put("renewed_total", c.renewed);
  put("renewed_as_former_leader_total", c.renewed_as_former_leader);
  put("replica_lists_total", c.lists);
  put("replica_watches_total", c.watches);
  put("replica_revision", feed_.revision());
  put("replica_age_ms", static_cast<uint64_t>((now - feed_.complete_up_to()) / kMilli));
  const Micros bound = cancellations_.RenewalBound(now);
  put("renewal_bound_ms", static_cast<uint64_t>(std::max<Micros>(0, bound - now) / kMilli));
  put("cancellations_total", c.cancellations);
  put("told_cancellations_total", c.told_cancellations);
  put("kept_from_forwarding_total", c.kept_from_forwarding);
  put("orphans_total", c.orphans);
  put("refused_by_limits_total", c.refused_by_limits);
  put("cluster_version", all_nodes_current_ ? kStoredFormVersion : kStoredFormVersion - 1);
  put("state_value_bytes", static_cast<uint64_t>(Limits().value_bytes));
  put("state_transaction_changes", static_cast<uint64_t>(Limits().txn_ops));
  put("blocked_jobs", static_cast<uint64_t>(std::count_if(
                          open_jobs_.begin(), open_jobs_.end(),
                          [this](const std::string& id) { return jobs_.at(id).blocked; })));
  put("jobs", jobs_.size());
  put("attempts", attempts_.size());
  put("machines", machines_.size());
  return out + PermitMetrics();
}

std::string Core::PermitMetrics() const {
  std::string out;
  auto put = [&out](std::string_view name, std::string_view label, std::string_view kind,
                    uint64_t count) {
    out.append("troutlink_").append(name).append("{").append(label).append("=\"").append(kind);
    out.append("\"} ").append(std::to_string(count)).append("\n");
  };
  for (size_t i = 0; i < kRefusals; ++i) {
    const auto refusal = static_cast<Refusal>(i);
    put("permits_refused_total", "reason", NameOf(refusal), refusals_.Of(refusal));
  }
  for (size_t i = 0; i < kViolations; ++i) {
    const auto violation = static_cast<Violation>(i);
    put("invariant_violations_total", "kind", NameOf(violation), violations_.Of(violation));
  }
  return out;
}

}  // namespace troutlink
