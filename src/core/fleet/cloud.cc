// Calls to the cloud: rentals, returns, types, the list of machines, and whom to adopt.
#include <algorithm>

#include "base/ids.h"
#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr Micros kCloudTimeout = 5 * kSecond;
constexpr Micros kTypesPeriod = 60 * kSecond;
constexpr Micros kJudgePeriod = 250 * kMilli;
constexpr Micros kListPatience = 30 * kSecond;
constexpr Micros kStrayAfter = 20 * kSecond;
constexpr int kPageLimit = 500;
constexpr int kMaxAdopted = 50;  // strays, by one round
}  // namespace

// Brings machines that nobody has into the shard's assignment table.
void Core::PlanAdoption(Micros now, int shard_id, Plan* plan) {
  AdoptRented(plan);
  AdoptStrays(now, shard_id, plan);
}

// The machines of rentals that were answered.
void Core::AdoptRented(Plan* plan) {
  std::map<std::string, Rental>& rentals = plan->assignments.rentals;
  for (auto rental = rentals.begin(); rental != rentals.end();) {
    auto state = rental_states_.find(rental->first);
    if (state == rental_states_.end() || !state->second.done) {
      ++rental;
      continue;
    }
    bool all = true;
    for (const std::string& name : state->second.machines) {
      if (replica_.ShardOfMachine(name) >= 0) continue;
      if (!plan->MayChange(name)) {
        all = false;  // in a later round; until then the rental stays on record
        continue;
      }
      AssignedMachine machine;
      machine.name = name;
      machine.type = rental->second.ask.type;
      machine.zone = rental->second.ask.zone;
      machine.spot = rental->second.ask.spot;
      machine.helps = rental->second.helps;
      auto known = unknown_.find(name);  // it may be up already
      if (known != unknown_.end()) machine.addr = known->second.addr;
      plan->assignments.machines[name] = std::move(machine);
      plan->Change(name);
    }
    rental = all ? rentals.erase(rental) : std::next(rental);
    plan->urgent = true;
  }
}

// Machines that are in no assignment table: those that report, and those that the cloud's list
// has shown for a while.
void Core::AdoptStrays(Micros now, int shard_id, Plan* plan) {
  int adopted = 0;
  for (const auto& [name, report] : unknown_) {
    if (adopted >= kMaxAdopted) return;
    if (returned_.count(name) != 0) continue;
    AssignedMachine machine;
    machine.name = name;
    machine.addr = report.addr;
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
    if (AdoptStray(shard_id, std::move(machine), plan)) ++adopted;
  }
  // A list may show what was given back long ago. At the very first start, when
  // no shard has rented anything yet, it can be trusted at once.
  const bool first_start = std::all_of(shards_.begin(), shards_.end(), [](const Shard& shard) {
    return shard.replica.assignments.next_number == 1;
  });
  for (const ListedMachine& listed : listed_) {
    if (adopted >= kMaxAdopted) return;
    if (listed.state == ListedMachine::State::kFailed) continue;
    if (listed.state != ListedMachine::State::kRunning && listed.age < kStrayAfter) continue;
    auto since = stray_since_.find(listed.name);
    const bool long_known = since != stray_since_.end() && now - since->second >= kStrayAfter;
    if (!first_start && !long_known) continue;
    AssignedMachine machine;
    machine.name = listed.name;
    machine.addr = listed.addr;
    machine.type = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
    if (AdoptStray(shard_id, std::move(machine), plan)) ++adopted;
  }
}

// Each shard adopts its part of the strays, by hash of their names. The commit is conditional
// on all assignment tables, so that no two shards take the same machine.
bool Core::AdoptStray(int shard_id, AssignedMachine machine, Plan* plan) {
  const std::string name = machine.name;
  if (static_cast<int>(StableHash(name) % shards_.size()) != shard_id) return false;
  if (replica_.ShardOfMachine(name) >= 0 || plan->assignments.machines.count(name) != 0)
    return false;
  if (departed_.count(name) != 0 || !plan->MayChange(name)) return false;
  if (MayBeRented(shard_id, machine, *plan)) return false;
  plan->assignments.machines[name] = std::move(machine);
  plan->Change(name);
  plan->all_tables = true;
  plan->urgent = true;
  ++counters_.adopted;
  return true;
}

// Whether the machine may be of a rental whose answer is still to come.
bool Core::MayBeRented(int shard_id, const AssignedMachine& machine, const Plan& plan) const {
  for (int id = 0; id < settings_.shard_count(); ++id) {
    const AssignmentTable& table =
        id == shard_id ? plan.assignments : ShardAt(id).replica.assignments;
    for (const auto& [request, rental] : table.rentals) {
      const RentRequest& ask = rental.ask;
      if (ask.type == machine.type && ask.zone == machine.zone && ask.spot == machine.spot) {
        return true;
      }
    }
  }
  return false;
}

void Core::SendRental(Micros now, int shard_id, const std::string& request) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  auto rental = shard.replica.assignments.rentals.find(request);
  if (!shard.leadership.is_leader || rental == shard.replica.assignments.rentals.end()) return;
  RentalState& state = rental_states_[request];
  if (state.sent || state.done || now < state.retry_at) return;
  if (!cloud_budget_.Take(now, 1)) return;
  state.sent = true;
  const RentRequest ask = rental->second.ask;
  effects_.Send(Dest::kCloud, "", "POST", wire::RentTarget(), wire::EncodeRent(ask), kCloudTimeout,
                [this, shard_id, request, ask](Micros t, int status, const std::string& body) {
                  RentalState& h = rental_states_[request];
                  h.sent = false;
                  std::optional<std::vector<std::string>> rented;
                  if (status == 200) rented = wire::DecodeRented(body);
                  std::string key = OfferKey(ask.type, ask.zone, ask.spot);
                  if (rented) {
                    h.done = true;
                    h.machines = *rented;
                    counters_.rented_machines += rented->size();
                    // Filled in part: there are no more at the moment.
                    if (static_cast<int>(rented->size()) < ask.count) {
                      Pause& pause = offer_pause_[key];
                      pause = {t + FromSeconds(settings_.op.refusal_pause_s()), 1};
                    } else {
                      offer_pause_.erase(key);
                    }
                  } else if (status == 400 ||
                             (status == 503 && body.find("no capacity") != std::string::npos)) {
                    h.done = true;
                    ++counters_.refused_rentals;
                    // Every request costs writes and calls: ask less and less often.
                    Pause& pause = offer_pause_[key];
                    pause.until = t + (FromSeconds(settings_.op.refusal_pause_s())
                                       << std::min(pause.refusals, 2));
                    ++pause.refusals;
                  } else {
                    // May have been carried out: only a repeat of the same request tells.
                    h.retry_at = t + 1500 * kMilli;
                  }
                  MarkDirty(shard_id);
                });
}

void Core::SendReturns(Micros now, int shard_id) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (!shard.leadership.is_leader || !shard.usage.any_leaving) return;
  std::vector<std::string> names;
  for (const auto& [name, m] : shard.replica.assignments.machines) {
    MachineInfo& info = machines_[name];
    if (!m.leaving || info.returning || returned_.count(name) != 0 || now < info.return_at)
      continue;
    names.push_back(name);
    if (names.size() >= 100) break;
  }
  if (names.empty() || !cloud_budget_.Take(now, 1)) return;
  for (const std::string& name : names) machines_[name].returning = true;
  effects_.Send(Dest::kCloud, "", "POST", wire::ReturnTarget(), wire::EncodeReturn(names),
                kCloudTimeout, [this, shard_id, names](Micros t, int status, const std::string&) {
                  Shard& shard = shards_[static_cast<size_t>(shard_id)];
                  for (const std::string& name : names) {
                    MachineInfo& info = machines_[name];
                    info.returning = false;
                    info.return_at = t + kSecond;
                    auto m = shard.replica.assignments.machines.find(name);
                    if (status != 200 || m == shard.replica.assignments.machines.end() ||
                        !shard.leadership.is_leader)
                      continue;
                    // Confirmed: the machine and everything on it is gone.
                    ++counters_.returned;
                    returned_.insert(name);
                    health_.ForgetMachine(name);
                    for (const Attempt& a : m->second.attempts) {
                      auto at = attempts_.find(a);
                      if (at != attempts_.end()) MarkGone(shard_id, a, &at->second);
                    }
                  }
                  MarkDirty(shard_id);
                });
}

void Core::AskTypes(Micros now) {
  if (types_busy_ || now < next_types_ || !cloud_budget_.Take(now, 1)) return;
  types_busy_ = true;
  effects_.Send(Dest::kCloud, "", "GET", wire::MachineTypesTarget(), "", kCloudTimeout,
                [this](Micros t, int status, const std::string& body) {
                  types_busy_ = false;
                  next_types_ = t + (status == 200 ? kTypesPeriod : 2 * kSecond);
                  if (status == 200) StoreTypes(t, body);
                });
}

void Core::StoreTypes(Micros now, const std::string& body) {
  std::optional<std::vector<MachineType>> types = wire::DecodeMachineTypes(body);
  if (!types || types->empty()) return;
  types_ = std::move(*types);
  // Kept for the day on which we start while the cloud is away.
  if (!types_stored_.empty() || !sync_.feed().synced() || !write_budget_.Take(now, 1, 2)) return;
  types_stored_ = body;
  StateTxn txn;
  txn.writes.push_back({std::string(kRoot) + "types", body, 0, false});
  ++counters_.puts;
  effects_.Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kCloudTimeout,
                [this](Micros, int status, const std::string&) {
                  if (status != 200) types_stored_.clear();
                });
}

void Core::AskMachines(Micros now, const std::string& after) {
  if (after.empty()) {
    machines_asked_ = now;
    listed_.clear();
    list_pages_ = 0;
  }
  list_after_.clear();
  effects_.Send(
      Dest::kCloud, "", "GET", wire::MachinesTarget(after, kPageLimit), "", kCloudTimeout,
      [this](Micros t, int status, const std::string& body) {
        std::optional<wire::MachinePage> page;
        if (status == 200) page = wire::DecodeMachines(body);
        if (!page) {
          list_busy_ = false;
          listed_.clear();
          next_machines_ = t + 3 * kSecond;
          return;  // the next list begins anew
        }
        listed_.insert(listed_.end(), page->machines.begin(), page->machines.end());
        ++list_pages_;
        if (page->more && !page->machines.empty()) {
          // Goes on as soon as there is a call for it: a list that was dropped for
          // want of one never showed more than the first pages of a large fleet.
          list_after_ = page->machines.back().name;
          return;
        }
        list_busy_ = false;
        list_after_.clear();
        // Half of our calls are left to rentals and returns.
        const auto paced = static_cast<Micros>(2.0 * list_pages_ * settings_.shard_count() /
                                               settings_.cloud_rps * static_cast<double>(kSecond));
        next_machines_ =
            machines_asked_ +
            std::max(paced, some_silent_
                                ? 1500 * kMilli
                                : std::max<Micros>(2 * kSecond, settings_.list_lag / 2 + kSecond));
        ProcessMachineList(t);
      });
}

void Core::ProcessMachineList(Micros now) {
  std::set<std::string> names;
  for (const ListedMachine& m : listed_) {
    names.insert(m.name);
    int shard_id = replica_.ShardOfMachine(m.name);
    if (shard_id < 0) {
      stray_since_.try_emplace(m.name, now);
      continue;
    }
    MachineInfo& info = machines_[m.name];
    info.listed = true;
    info.missing = false;
    info.listed_running = m.state == ListedMachine::State::kRunning;
    info.failed = m.state == ListedMachine::State::kFailed;
    // Of a booting machine the address is of no use yet: a call would hang, and
    // keep the first real one waiting.
    if (info.addr.empty() && info.listed_running) info.addr = m.addr;
  }
  for (const Shard& shard : shards_) {
    for (const auto& [name, m] : shard.replica.assignments.machines) {
      MachineInfo& info = machines_[name];
      // A list may be older than the one before it: only a machine that has
      // been up for longer than any list lags is missed.
      bool old =
          info.first_heard != 0 && machines_asked_ - info.first_heard > 3 * settings_.list_lag;
      if (old && info.listed && names.count(name) == 0) info.missing = true;
    }
  }
  std::erase_if(departed_, [&](const auto& d) {
    return now - d.second > 60 * kSecond && names.count(d.first) == 0;
  });
  std::erase_if(stray_since_, [&](const auto& s) {
    return names.count(s.first) == 0 && unknown_.count(s.first) == 0;
  });
  std::erase_if(machines_, [&](const auto& m) {
    return replica_.ShardOfMachine(m.first) < 0 && names.count(m.first) == 0 &&
           now - std::max(m.second.heard, m.second.redirected_at) > 120 * kSecond;
  });
}

void Core::RunCloud(Micros now) {
  AskTypes(now);
  bool any = false;
  if (now >= next_judge_) some_silent_ = false;
  for (int shard_id = 0; shard_id < settings_.shard_count(); ++shard_id) {
    Shard& shard = shards_[static_cast<size_t>(shard_id)];
    if (!shard.leadership.is_leader) continue;
    any = true;
    for (const auto& [id, h] : shard.replica.assignments.rentals) SendRental(now, shard_id, id);
    SendReturns(now, shard_id);
    if (now >= next_judge_) JudgeMachines(now, shard_id);
  }
  if (now >= next_judge_) next_judge_ = now + kJudgePeriod;
  // Rentals and returns come first.
  if (any && sync_.feed().synced() && list_busy_ && !list_after_.empty()) {
    if (now - machines_asked_ > kListPatience) {
      list_busy_ = false;  // its first pages are too old
    } else if (cloud_budget_.Take(now, 1, 1))
      AskMachines(now, std::string(list_after_));
  } else if (any && sync_.feed().synced() && !list_busy_ && now >= next_machines_ &&
             cloud_budget_.Take(now, 1, 1)) {
    list_busy_ = true;
    AskMachines(now, "");
  }
}

}  // namespace troutlink
