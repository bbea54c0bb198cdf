// Fleet: what to rent, what to give back, and which machines to clear.
#include <algorithm>
#include <cmath>

#include "core/core.h"
#include "core/plan.h"

namespace troutlink {

namespace {
constexpr double kSlowBoot = 1.8;  // of the usual boot time
// Room in a zone, in thousandths of cpus, that counts as having a place there.
constexpr int64_t kZoneRoom = 4000;
constexpr int kMaxPerRental = 50;
constexpr size_t kMaxRentals = 6;  // of a shard, unanswered
int TasksPer(const JobSpec& spec, const MachineType& type) {
  int64_t n = 1 << 20;
  auto dim = [&n](int64_t each, int64_t size) {
    if (each > 0) n = std::min(n, size / each);
  };
  dim(spec.each.cpus, type.size.cpus);
  dim(spec.each.gpus, type.size.gpus);
  dim(spec.each.memory, type.size.memory);
  return static_cast<int>(n);
}
}  // namespace

std::string Core::OfferKey(const std::string& type, const std::string& zone, bool spot) {
  return type + "/" + zone + (spot ? "/spot" : "/steady");
}

const MachineType* Core::TypeOf(const std::string& name) const {
  for (const MachineType& t : types_) {
    if (t.name == name) return &t;
  }
  return nullptr;
}

bool Core::PickOffer(Micros now, const JobSpec& spec, const JobSpread& spread, bool spot,
                     const std::map<std::string, int>& in_zone, Offer* offer) const {
  double best = 0;
  bool found = false;
  for (const MachineType& t : types_) {
    if (!TypeAllowed(spec, t.name, spot)) continue;
    int per = TasksPer(spec, t);
    if (per <= 0) continue;
    for (const std::string& zone : t.zones) {
      auto pause = offer_pause_.find(OfferKey(t.name, zone, spot));
      if (pause != offer_pause_.end() && now < pause->second.until) continue;
      PlaceMachine probe;
      probe.type = t.name;
      probe.zone = zone;
      probe.spot = spot;
      if (!Allowed(spec, spread, probe)) continue;
      double cost = (spot ? t.spot_price : t.price) / std::min(per, 64);
      cost *= offers_.PriceFactor(now, OfferKey(t.name, zone, spot));
      // Evenly over the zones, where it costs nothing.
      auto have = in_zone.find(zone);
      if (have != in_zone.end()) cost *= 1.0 + 0.001 * have->second;
      if (!found || cost < best) {
        found = true;
        best = cost;
        offer->type = &t;
        offer->zone = zone;
      }
    }
  }
  return found;
}

std::map<std::string, int> Core::InZones(const AssignmentTable& assignments) {
  std::map<std::string, int> out;
  for (const auto& [name, m] : assignments.machines) ++out[m.zone];
  return out;
}

void Core::AddRental(int shard_id, Plan* plan, const Offer& offer, bool spot, int count,
                     const std::string& helps, const std::string& reason) {
  Rental rental;
  // Unique for ever: the number comes from the assignment table, in whose commit it is
  // used up before the request is sent.
  rental.ask.request =
      "troutlink-" + std::to_string(shard_id) + "-" + std::to_string(NextNumber(shard_id, plan));
  rental.ask.type = offer.type->name;
  rental.ask.zone = offer.zone;
  rental.ask.spot = spot;
  rental.ask.count = std::min(count, kMaxPerRental);
  rental.helps = helps;
  plan->rentals.push_back(rental.ask.request);
  Log(LogLine::Level::kDebug, "rent " + std::to_string(rental.ask.count) + " " + rental.ask.type +
                                  (spot ? " spot" : " steady") + " for " + reason);
  plan->assignments.rentals[rental.ask.request] = rental;
  plan->urgent = true;
}

// Just after an election the machines that are up have not reported here yet: what seems
// to lack then is not rented before most of them did, or had the time to.
bool Core::KnowsItsMachines(Micros now, int shard_id) const {
  const Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (now - shard.elected_at > 2 * settings_.report + 2 * kSecond) return true;
  size_t up = 0, unknown = 0;
  for (const MachineUse& use : shard.machine_use) {
    if (use.machine->addr.empty()) continue;
    ++up;
    if (use.info == nullptr || use.info->session == 0) ++unknown;
  }
  return unknown * 10 <= up;
}

// Work that nobody waits for by a certain time: it has what is left, and is worth no machine
// at the full price.
bool Core::IdleTimeWork(const JobSpec& spec) const {
  if (spec.priority != Priority::kLow || spec.deadline > 0) return false;
  return std::none_of(
      settings_.objectives.begin(), settings_.objectives.end(),
      [&spec](const Objective& objective) { return objective.job_class == spec.job_class; });
}

void Core::PlanRentals(Micros now, int shard_id, Plan* plan) {
  if (plan->assignments.rentals.size() >= kMaxRentals || !KnowsItsMachines(now, shard_id)) return;
  // Room that is on its way: machines that boot, and rentals under way.
  struct Coming {
    std::string type, zone, helps;
    bool spot;
    Amount free;
  };
  std::vector<Coming> coming;
  int64_t steady_free = 0, spot_free = 0;
  for (const auto& [name, m] : plan->assignments.machines) {
    const MachineType* type = TypeOf(m.type);
    auto info = machines_.find(name);
    if (type == nullptr || m.leaving) continue;
    bool up = info != machines_.end() && info->second.first_heard != 0;
    bool lost = info != machines_.end() && (info->second.give_up || info->second.failed);
    // One that should have been up long ago is no room to count on.
    bool stuck =
        info != machines_.end() && info->second.since != 0 &&
        now - info->second.since > static_cast<Micros>(kSlowBoot * static_cast<double>(type->boot));
    if (!up && !lost && !stuck) coming.push_back({m.type, m.zone, m.helps, m.spot, type->size});
  }
  for (const auto& [id, h] : plan->assignments.rentals) {
    const MachineType* type = TypeOf(h.ask.type);
    if (type == nullptr) continue;
    for (int i = 0; i < h.ask.count; ++i) {
      coming.push_back({h.ask.type, h.ask.zone, h.helps, h.ask.spot, type->size});
    }
  }
  for (const PlaceMachine& m : plan->machines) {
    if (!m.usable || !m.helps.empty()) continue;
    (m.spot ? spot_free : steady_free) += std::max<int64_t>(0, m.free.cpus);
  }
  const int64_t headroom = plan->headroom;
  // What is rented is added up over the jobs: few calls, of many machines each.
  std::map<std::string, int> in_zone = InZones(plan->assignments);
  struct Want {
    Offer offer;
    bool spot = false;
    int count = 0;
    std::string reason;
  };
  std::map<std::string, Want> wants;
  auto want = [&](const Offer& offer, bool spot, int count, const std::string& reason) {
    Want& w = wants[OfferKey(offer.type->name, offer.zone, spot)];
    w.offer = offer;
    w.spot = spot;
    w.count += count;
    if (w.reason.empty()) w.reason = reason;
    in_zone[offer.zone] += count;
  };
  double array_cpus = 0, ahead = 0;
  for (const PlaceMachine& m : plan->machines) {
    if (m.usable && m.spot) array_cpus += static_cast<double>(m.size.cpus) / 1000;
  }
  for (const Coming& c : coming) {
    if (c.spot) array_cpus += static_cast<double>(c.free.cpus) / 1000;
  }
  for (const Plan::Unplaced& u : plan->unplaced) {
    const JobSpec& spec = *u.spec;
    ahead += static_cast<double>(u.tasks * spec.each.cpus) / 1000 * ToSeconds(spec.estimate);
    JobSpread spread = plan->SpreadOf(spec);
    double share = spec.kind == JobKind::kService ? 1.0 : settings_.op.rent_share();
    int left = static_cast<int>(std::ceil(u.tasks * share));
    // Beyond its team's limit a job has no use for machines.
    if (const Team* team = FindTeam(spec.team);
        team != nullptr && team->cpus_max > 0 && spec.each.cpus > 0) {
      left = std::min<int>(left, static_cast<int>(team->cpus_max / spec.each.cpus));
    }
    for (Coming& c : coming) {
      if (left <= 0) break;
      if (!c.helps.empty() && c.helps != spec.id) continue;
      PlaceMachine probe;
      probe.type = c.type;
      probe.zone = c.zone;
      probe.spot = c.spot;
      while (left > 0 && spec.each.Fits(c.free) && Allowed(spec, spread, probe)) {
        c.free -= spec.each;
        ++spread.by_zone[c.zone];
        --left;
        if (spec.each.cpus <= 0) break;
      }
    }
    if (left <= 0) continue;
    Offer offer;
    bool spot = spec.spot && !u.tail && PickOffer(now, spec, spread, true, in_zone, &offer);
    if (!spot && spec.spot && IdleTimeWork(spec)) continue;
    if (!spot && !PickOffer(now, spec, spread, false, in_zone, &offer)) continue;
    if (!spot && spec.spot && spec.kind == JobKind::kArray && !u.tail) {
      // Steady machines cost several times as much: only for what would be late
      // if it waited for its turn on those that are there.
      const JobEntry* job = FindJob(spec.id);
      Micros wait = array_cpus <= 0 ? 3600 * kSecond : FromSeconds(ahead / array_cpus);
      Micros latest = job == nullptr ? 0 : LatestStart(job->record);
      if (WallNow(now) + wait < latest) continue;
      // And only as many as it takes to be in time, in as many waves as there
      // is time for. What is late already waits for its turn.
      const JobRun* run = RunOf(spec.id);
      Micros time = latest - WallNow(now) - offer.type->boot;
      Micros each = std::max<Micros>(kSecond, spec.estimate * 5 / 4);
      int waves = time < 0 ? 3 : static_cast<int>(1 + time / each);
      int placed = run == nullptr ? 0 : run->placed;
      left = std::min(left, (u.tasks + placed + waves - 1) / waves - placed);
      if (left <= 0) continue;
    }
    int per = TasksPer(spec, *offer.type);
    int machines = (left + per - 1) / per;
    if (spec.spread) machines = std::min(machines, SpreadLimit(spec));
    want(offer, spot, machines, spec.id);
    for (int i = 0; i < machines; ++i) {
      Amount free = offer.type->size;
      for (int k = 0; k < per && left > 0; ++k, --left) free -= spec.each;
      coming.push_back({offer.type->name, offer.zone, "", spot, free});
      if (spot) array_cpus += static_cast<double>(offer.type->size.cpus) / 1000;
    }
  }
  for (const Coming& c : coming) {
    if (c.helps.empty()) (c.spot ? spot_free : steady_free) += c.free.cpus;
  }
  // Services that spread over zones need a steady machine in two of them.
  if (spread_seen_ && headroom > 0 && settings_.zones.size() > 1) {
    std::map<std::string, int64_t> room;
    for (const PlaceMachine& m : plan->machines) {
      if (!m.spot && m.usable && m.helps.empty()) {
        room[m.zone] += std::max<int64_t>(0, m.free.cpus);
      }
    }
    for (const Coming& c : coming) {
      if (!c.spot && c.helps.empty()) room[c.zone] += c.free.cpus;
    }
    std::set<std::string> zones;
    for (const auto& [zone, cpus] : room) {
      if (cpus >= kZoneRoom) zones.insert(zone);
    }
    if (zones.size() < 2) {
      JobSpec service;
      service.id = "headroom";
      service.tasks = 1;
      service.spread = true;
      service.each.cpus = kMilli;
      JobSpread taken;
      for (const std::string& zone : zones) taken.by_zone[zone] = 1;
      Offer offer;
      if (PickOffer(now, service, taken, false, in_zone, &offer)) {
        want(offer, false, 1, "a second zone");
        steady_free += offer.type->size.cpus;
      }
    }
  }
  if (headroom > steady_free) {
    JobSpec service;
    service.each.cpus = kMilli;
    Offer offer;
    if (PickOffer(now, service, JobSpread(), false, in_zone, &offer)) {
      int64_t n = (headroom - steady_free + offer.type->size.cpus - 1) / offer.type->size.cpus;
      want(offer, false, static_cast<int>(n), "headroom");
    }
  }
  for (const auto& [key, w] : wants) {
    for (int left = w.count; left > 0 && plan->assignments.rentals.size() < kMaxRentals;
         left -= kMaxPerRental) {
      AddRental(shard_id, plan, w.offer, w.spot, left, "", w.reason);
    }
  }
}

// Whether services that spread would miss this machine's zone.
bool Core::LastOfZone(const Plan& plan, const PlaceMachine& m) const {
  if (!spread_seen_ || settings_.zones.size() < 2) return false;
  std::map<std::string, int64_t> others = plan.index.RoomByZone(&m);
  int zones = 0;
  for (const auto& [z, cpus] : others) zones += cpus >= kZoneRoom ? 1 : 0;
  return zones < 2 && others[m.zone] < kZoneRoom;
}

// Whether without this machine too little room is left where some service's
// image is.
bool Core::LastWithImage(const Plan& plan, const PlaceMachine& m) const {
  const auto keep = static_cast<int64_t>(1000 * settings_.op.image_headroom_cpus());
  const int64_t own = m.usable ? std::max<int64_t>(0, m.free.cpus) : 0;
  for (int image : m.service_images) {
    const PlaceIndex::ImageRoom& image_room = plan.index.with_image(image);
    if (image_room.free - own < keep) return true;
    if (!spread_seen_ || settings_.zones.size() < 2) continue;
    // Services that spread start at once only where two zones have it.
    int zones = 0;
    bool here = false;
    for (const auto& [zone, cpus] : image_room.by_zone) {
      bool room = cpus - (zone == m.zone ? own : 0) >= kZoneRoom;
      zones += room ? 1 : 0;
      here = here || (room && zone == m.zone);
    }
    if (zones < 2 && !here) return true;
  }
  return false;
}

void Core::PlanReturns(Micros now, int shard_id, Plan* plan) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  int64_t steady_free = 0, spot_free = 0;
  for (const PlaceMachine& m : plan->machines) {
    if (!m.usable || !m.helps.empty()) continue;
    (m.spot ? spot_free : steady_free) += std::max<int64_t>(0, m.free.cpus);
  }
  const int64_t headroom = plan->headroom;
  std::map<std::string, const PlaceMachine*> placed;
  for (const PlaceMachine& m : plan->machines) placed[m.name] = &m;
  const auto spare = static_cast<int64_t>(settings_.op.array_headroom_share() * shard.array_peak);
  for (auto& [name, m] : plan->assignments.machines) {
    if (m.leaving || !plan->MayChange(name)) continue;
    auto it = machines_.find(name);
    auto on = placed.find(name);
    const MachineType* type = TypeOf(m.type);
    if (it == machines_.end() || type == nullptr) continue;
    MachineInfo& info = it->second;
    if (info.give_up) {
      m.leaving = true;
      plan->Change(name);
      plan->urgent = true;
      continue;
    }
    if (!m.attempts.empty() || info.idle_since == 0) continue;
    if (info.drain) {
      m.leaving = true;
      plan->Change(name);
      plan->urgent = true;
      continue;
    }
    if (!m.helps.empty()) {
      // A helper without a task goes back at once, as soon as none waits for it.
      JobRun* run = RunOf(m.helps);
      auto help = plan->assignments.helps.find(m.helps);
      bool wanted = run != nullptr && help != plan->assignments.helps.end() &&
                    help->second.credit > 0 &&
                    run->done + run->placed < static_cast<int>(run->tasks.size());
      if (!wanted) m.leaving = true;
    } else if (health_.Unhealthy(name) && now - info.idle_since > 2 * kSecond) {
      m.leaving = true;
    } else if (now - info.idle_since > static_cast<Micros>(settings_.op.idle_return_boots() *
                                                           static_cast<double>(type->boot))) {
      if (m.spot) {
        if (spot_free + std::max<int64_t>(0, steady_free - headroom) - type->size.cpus >= spare) {
          spot_free -= type->size.cpus;
          m.leaving = true;
        }
      } else if (on != placed.end() && !LastOfZone(*plan, *on->second) &&
                 !LastWithImage(*plan, *on->second) &&
                 steady_free - type->size.cpus >=
                     headroom + std::max<int64_t>(0, spare - spot_free)) {
        steady_free -= type->size.cpus;
        m.leaving = true;
        // The next one is judged without it.
        for (PlaceMachine& gone : plan->machines) {
          if (gone.name != name) continue;
          plan->index.Remove(gone);
          gone.usable = false;
        }
      }
    }
    if (m.leaving) {
      plan->Change(name);
      plan->urgent = true;
    }
  }
}

// Replicas come and go, and leave machines with one or two on each. When the
// others have room for them and still keep the headroom, the emptiest machine
// is cleared, replica by replica, and given back. A replica only moves to a
// machine that has its image: it is away for some ten milliseconds.
void Core::Consolidate(Micros now, int shard_id, Plan* plan) {
  Shard& shard = shards_[static_cast<size_t>(shard_id)];
  if (!plan->unplaced.empty() || !plan->assignments.rentals.empty()) {
    shard.calm_since = now;
    for (const auto& [name, m] : plan->assignments.machines) machines_[name].drain = false;
    return;
  }
  if (shard.calm_since == 0) shard.calm_since = now;
  if (now < shard.consolidate_at ||
      now - shard.calm_since < FromSeconds(settings_.op.consolidate_after_s()))
    return;
  shard.consolidate_at = now + 500 * kMilli;
  int64_t steady_free = 0;
  for (const PlaceMachine& m : plan->machines) {
    if (m.usable && !m.spot && m.helps.empty()) {
      steady_free += std::max<int64_t>(0, m.free.cpus);
    }
  }
  const int64_t headroom = plan->headroom;
  // The one being cleared goes first, else the one with least on it.
  const PlaceMachine* best = nullptr;
  int64_t best_used = 0;
  for (const PlaceMachine& m : plan->machines) {
    const MachineInfo& info = machines_[m.name];
    if (m.spot || !m.helps.empty() || (!m.usable && !info.drain)) continue;
    int64_t used = m.size.cpus - m.free.cpus;
    const MachineType* type = TypeOf(m.type);
    if (type == nullptr) continue;
    if (used <= 0 || (!info.drain && 2 * used > m.size.cpus)) continue;
    if (!info.drain && (LastOfZone(*plan, m) || LastWithImage(*plan, m))) continue;
    if (!info.drain && steady_free - m.free.cpus - used < headroom) continue;
    // What it saves for each cpu that moves.
    used =
        info.drain
            ? -1
            : static_cast<int64_t>(static_cast<double>(used) * 100 / std::max(0.01, type->price));
    if (best == nullptr || used < best_used) {
      best = &m;
      best_used = used;
    }
  }
  if (best == nullptr) return;
  // All of it must have a place elsewhere.
  std::vector<PlaceMachine> others;
  for (const PlaceMachine& m : plan->machines) {
    if (m.name != best->name && m.usable && !m.spot) others.push_back(m);
  }
  std::set<std::string> images;
  for (const PlaceMachine& m : others) {
    if (m.cached == nullptr) continue;
    for (const auto& [image, used] : *m.cached) images.insert(image);
  }
  PlaceIndex index(images, &others);
  std::vector<std::pair<Attempt, AttemptInfo*>> moves;
  bool settled = true;
  for (const Attempt& a : plan->assignments.machines[best->name].attempts) {
    auto at = attempts_.find(a);
    const JobEntry* job = FindJob(a.job);
    if (at == attempts_.end() || job == nullptr) return;
    if (at->second.stopping) settled = false;
    const JobSpec& spec = job->record.spec;
    if (at->second.gone || job->record.state != JobState::kOpen || at->second.stopping) continue;
    if (spec.kind != JobKind::kService) return;  // will be over by itself
    // A start that is stopped soon was no start.
    if (at->second.running_at == 0 || now - at->second.running_at < 40 * kSecond) return;
    JobSpread spread = plan->SpreadOf(spec);
    --spread.by_zone[best->zone];
    PlaceRequest request;
    request.spec = &spec;
    request.spread = &spread;
    int to = ChooseMachine(request, others, index);
    if (to < 0) return;
    PlaceMachine& target = others[static_cast<size_t>(to)];
    if (!spec.image.empty() && !target.Cached(spec.image)) return;
    target.free -= spec.each;
    target.AddTasks(spec.id, 1);
    moves.emplace_back(a, &at->second);
  }
  machines_[best->name].drain = true;
  if (!settled || moves.empty()) return;
  ++counters_.consolidated;
  StopAttempt(now, moves.front().first, moves.front().second, 0);
  Push(now, shard_id, best->name);
}

}  // namespace troutlink
