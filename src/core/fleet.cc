// Fleet: what to rent, what to give back, and which machines are lost.
#include <algorithm>
#include <cmath>

#include "base/ids.h"
#include "core/core.h"
#include "core/draft.h"

namespace troutlink {

namespace {
constexpr Micros kCloudTimeout = 5 * kSecond;
constexpr Micros kTypesPeriod = 60 * kSecond;
constexpr Micros kJudgePeriod = 250 * kMilli;
constexpr Micros kListPatience = 30 * kSecond;
constexpr Micros kReturnTakes = kSecond;  // from the decision to the cloud's answer
constexpr double kSlowBoot = 1.8;         // of the usual boot time
constexpr Micros kStrayAfter = 20 * kSecond;
// Room in a zone, in thousandths of cpus, that counts as having a place there.
constexpr int64_t kZoneRoom = 4000;
constexpr int kMostPerRental = 50;
constexpr size_t kMostHires = 6;  // of a part, unanswered
constexpr int kPageLimit = 500;

std::string OfferKey(const std::string& type, const std::string& zone, bool spot) {
  return type + "/" + zone + (spot ? "/spot" : "/steady");
}

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

std::map<std::string, int> Core::InZones(const Roster& roster) {
  std::map<std::string, int> out;
  for (const auto& [name, m] : roster.machines) ++out[m.zone];
  return out;
}

void Core::AddHire(int part, Draft* draft, const Offer& offer, bool spot, int count,
                   const std::string& helps, const std::string& reason) {
  Hire hire;
  // Unique for ever: the number comes from the roster, in whose commit it is
  // used up before the request is sent.
  hire.ask.request =
      "troutlink-" + std::to_string(part) + "-" + std::to_string(NextNumber(part, draft));
  hire.ask.type = offer.type->name;
  hire.ask.zone = offer.zone;
  hire.ask.spot = spot;
  hire.ask.count = std::min(count, kMostPerRental);
  hire.helps = helps;
  draft->hires.push_back(hire.ask.request);
  Log(LogLine::Level::kDebug, "hire " + std::to_string(hire.ask.count) + " " + hire.ask.type +
                                  (spot ? " spot" : " steady") + " for " + reason);
  draft->roster.hires[hire.ask.request] = hire;
  draft->urgent = true;
}

void Core::DraftAdoption(Micros now, int part, Draft* draft) {
  // Rentals that were answered.
  for (auto it = draft->roster.hires.begin(); it != draft->roster.hires.end();) {
    auto state = hires_.find(it->first);
    if (state == hires_.end() || !state->second.done) {
      ++it;
      continue;
    }
    bool all = true;
    for (const std::string& name : state->second.machines) {
      if (PartOfMachine(name) >= 0) continue;
      if (!draft->MayChange(name)) {
        all = false;  // in a later round; until then the rental stays on record
        continue;
      }
      RosterMachine m;
      m.name = name;
      m.type = it->second.ask.type;
      m.zone = it->second.ask.zone;
      m.spot = it->second.ask.spot;
      m.helps = it->second.helps;
      auto known = unknown_.find(name);  // it may be up already
      if (known != unknown_.end()) m.addr = known->second.addr;
      draft->roster.machines[name] = std::move(m);
      draft->Change(name);
    }
    it = all ? draft->roster.hires.erase(it) : std::next(it);
    draft->urgent = true;
  }
  // Machines that nobody has in a roster, by hash of their names. The commit is
  // conditional on all rosters, so that no two parts take the same machine.
  auto wanted = [&](const std::string& type, const std::string& zone, bool spot) {
    for (int q = 0; q < s_.parts(); ++q) {
      const Roster& r = q == part ? draft->roster : parts_[static_cast<size_t>(q)].roster;
      for (const auto& [id, h] : r.hires) {
        if (h.ask.type == type && h.ask.zone == zone && h.ask.spot == spot) return true;
      }
    }
    return false;
  };
  int adopted = 0;
  auto adopt = [&](const std::string& name, const std::string& addr, const std::string& type,
                   const std::string& zone, bool spot) {
    if (static_cast<int>(StableHash(name) % parts_.size()) != part) return;
    if (PartOfMachine(name) >= 0 || draft->roster.machines.count(name) != 0) return;
    if (departed_.count(name) != 0 || !draft->MayChange(name)) return;
    if (wanted(type, zone, spot)) return;  // may be the answer to come
    RosterMachine m;
    m.name = name;
    m.addr = addr;
    m.type = type;
    m.zone = zone;
    m.spot = spot;
    draft->roster.machines[name] = std::move(m);
    draft->Change(name);
    draft->all_rosters = true;
    draft->urgent = true;
    ++adopted;
    ++counters_.adopted;
  };
  for (const auto& [name, report] : unknown_) {
    if (adopted >= 50) break;
    if (returned_.count(name) != 0) continue;
    adopt(name, report.addr, report.type, report.zone, report.spot);
  }
  // A list may show what was given back long ago. At the very first start, when
  // no part has rented anything yet, it can be trusted at once.
  bool first_start = true;
  for (const Part& p : parts_) first_start = first_start && p.roster.next_number == 1;
  for (const ListedMachine& m : listed_) {
    if (adopted >= 50) break;
    if (m.state != ListedMachine::State::kRunning && m.age < kStrayAfter) continue;
    if (m.state == ListedMachine::State::kFailed) continue;
    auto since = stray_since_.find(m.name);
    bool long_known = since != stray_since_.end() && now - since->second >= kStrayAfter;
    if (!first_start && !long_known) continue;
    adopt(m.name, m.addr, m.type, m.zone, m.spot);
  }
}

// Just after a claim the machines that are up have not reported here yet: what seems
// to lack then is not rented before most of them did, or had the time to.
bool Core::KnowsItsMachines(Micros now, int part) const {
  const Part& p = parts_[static_cast<size_t>(part)];
  if (now - p.claimed_at > 2 * s_.report + 2 * kSecond) return true;
  size_t up = 0, unknown = 0;
  for (const MachineUse& use : p.machine_use) {
    if (use.machine->addr.empty()) continue;
    ++up;
    if (use.info == nullptr || use.info->session == 0) ++unknown;
  }
  return unknown * 10 <= up;
}

void Core::DraftFleet(Micros now, int part, Draft* draft) {
  if (draft->roster.hires.size() >= kMostHires || !KnowsItsMachines(now, part)) return;
  // Room that is on its way: machines that boot, and rentals under way.
  struct Coming {
    std::string type, zone, helps;
    bool spot;
    Amount free;
  };
  std::vector<Coming> coming;
  int64_t steady_free = 0, spot_free = 0;
  for (const auto& [name, m] : draft->roster.machines) {
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
  for (const auto& [id, h] : draft->roster.hires) {
    const MachineType* type = TypeOf(h.ask.type);
    if (type == nullptr) continue;
    for (int i = 0; i < h.ask.count; ++i) {
      coming.push_back({h.ask.type, h.ask.zone, h.helps, h.ask.spot, type->size});
    }
  }
  for (const PlaceMachine& m : draft->machines) {
    if (!m.usable || !m.helps.empty()) continue;
    (m.spot ? spot_free : steady_free) += std::max<int64_t>(0, m.free.cpus) + (m.spot ? 0 : m.soft);
  }
  const int64_t headroom = draft->headroom;
  // What is rented is added up over the jobs: few calls, of many machines each.
  std::map<std::string, int> in_zone = InZones(draft->roster);
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
  for (const PlaceMachine& m : draft->machines) {
    if (m.usable && m.spot) array_cpus += static_cast<double>(m.size.cpus) / 1000;
  }
  for (const Coming& c : coming) {
    if (c.spot) array_cpus += static_cast<double>(c.free.cpus) / 1000;
  }
  for (const Draft::Unmet& u : draft->unmet) {
    const JobSpec& spec = *u.spec;
    ahead += static_cast<double>(u.tasks * spec.each.cpus) / 1000 * ToSeconds(spec.estimate);
    JobSpread spread = draft->SpreadOf(spec);
    double share = spec.kind == JobKind::kService ? 1.0 : s_.op.rent_share();
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
  if (spread_seen_ && headroom > 0 && s_.zones.size() > 1) {
    std::map<std::string, int64_t> room;
    for (const PlaceMachine& m : draft->machines) {
      if (!m.spot && m.usable && m.helps.empty()) {
        room[m.zone] += std::max<int64_t>(0, m.free.cpus) + m.soft;
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
    for (int left = w.count; left > 0 && draft->roster.hires.size() < kMostHires;
         left -= kMostPerRental) {
      AddHire(part, draft, w.offer, w.spot, left, "", w.reason);
    }
  }
}

// Whether services that spread would miss this machine's zone.
bool Core::LastOfZone(const Draft& draft, const PlaceMachine& m) const {
  if (!spread_seen_ || s_.zones.size() < 2) return false;
  std::map<std::string, int64_t> others = draft.index.RoomByZone(&m);
  int zones = 0;
  for (const auto& [z, cpus] : others) zones += cpus >= kZoneRoom ? 1 : 0;
  return zones < 2 && others[m.zone] < kZoneRoom;
}

// Whether without this machine too little room is left where some service's
// image is.
bool Core::LastWarm(const Draft& draft, const PlaceMachine& m) const {
  const auto keep = static_cast<int64_t>(1000 * s_.op.image_headroom_cpus());
  const int64_t own = m.usable ? std::max<int64_t>(0, m.free.cpus) + m.soft : 0;
  for (int image : m.warm) {
    const PlaceIndex::Warm& warm = draft.index.warm(image);
    if (warm.free - own < keep) return true;
    if (!spread_seen_ || s_.zones.size() < 2) continue;
    // Services that spread start at once only where two zones have it.
    int zones = 0;
    bool here = false;
    for (const auto& [zone, cpus] : warm.by_zone) {
      bool room = cpus - (zone == m.zone ? own : 0) >= kZoneRoom;
      zones += room ? 1 : 0;
      here = here || (room && zone == m.zone);
    }
    if (zones < 2 && !here) return true;
  }
  return false;
}

void Core::DraftReturns(Micros now, int part, Draft* draft) {
  Part& p = parts_[static_cast<size_t>(part)];
  int64_t steady_free = 0, spot_free = 0;
  for (const PlaceMachine& m : draft->machines) {
    if (!m.usable || !m.helps.empty()) continue;
    (m.spot ? spot_free : steady_free) += std::max<int64_t>(0, m.free.cpus) + (m.spot ? 0 : m.soft);
  }
  const int64_t headroom = draft->headroom;
  std::map<std::string, const PlaceMachine*> placed;
  for (const PlaceMachine& m : draft->machines) placed[m.name] = &m;
  const auto spare = static_cast<int64_t>(s_.op.array_headroom_share() * p.array_peak);
  for (auto& [name, m] : draft->roster.machines) {
    if (m.leaving || !draft->MayChange(name)) continue;
    auto it = machines_.find(name);
    auto on = placed.find(name);
    const MachineType* type = TypeOf(m.type);
    if (it == machines_.end() || type == nullptr) continue;
    MachineInfo& info = it->second;
    if (info.give_up) {
      m.leaving = true;
      draft->Change(name);
      draft->urgent = true;
      continue;
    }
    if (!m.attempts.empty() || info.idle_since == 0) continue;
    if (info.drain) {
      m.leaving = true;
      draft->Change(name);
      draft->urgent = true;
      continue;
    }
    if (!m.helps.empty()) {
      // A helper without a task goes back at once, as soon as none waits for it.
      JobRun* run = RunOf(m.helps);
      auto help = draft->roster.helps.find(m.helps);
      bool wanted = run != nullptr && help != draft->roster.helps.end() &&
                    help->second.credit > 0 &&
                    run->done + run->placed < static_cast<int>(run->tasks.size());
      if (!wanted) m.leaving = true;
    } else if (health_.Sick(name) && now - info.idle_since > 2 * kSecond) {
      m.leaving = true;
    } else if (now - info.idle_since >
               static_cast<Micros>(s_.op.idle_return_boots() * static_cast<double>(type->boot))) {
      if (m.spot) {
        if (spot_free + std::max<int64_t>(0, steady_free - headroom) - type->size.cpus >= spare) {
          spot_free -= type->size.cpus;
          m.leaving = true;
        }
      } else if (on != placed.end() && !LastOfZone(*draft, *on->second) &&
                 !LastWarm(*draft, *on->second) &&
                 steady_free - type->size.cpus >=
                     headroom + std::max<int64_t>(0, spare - spot_free)) {
        steady_free -= type->size.cpus;
        m.leaving = true;
        // The next one is judged without it.
        for (PlaceMachine& gone : draft->machines) {
          if (gone.name != name) continue;
          draft->index.Remove(gone);
          gone.usable = false;
        }
      }
    }
    if (m.leaving) {
      draft->Change(name);
      draft->urgent = true;
    }
  }
}

// Replicas come and go, and leave machines with one or two on each. When the
// others have room for them and still keep the headroom, the emptiest machine
// is cleared, replica by replica, and given back. A replica only moves to a
// machine that has its image: it is away for some ten milliseconds.
void Core::Consolidate(Micros now, int part, Draft* draft) {
  Part& p = parts_[static_cast<size_t>(part)];
  if (!draft->unmet.empty() || !draft->roster.hires.empty()) {
    p.calm_since = now;
    for (const auto& [name, m] : draft->roster.machines) machines_[name].drain = false;
    return;
  }
  if (p.calm_since == 0) p.calm_since = now;
  if (now < p.consolidate_at || now - p.calm_since < FromSeconds(s_.op.consolidate_after_s()))
    return;
  p.consolidate_at = now + 500 * kMilli;
  int64_t steady_free = 0;
  for (const PlaceMachine& m : draft->machines) {
    if (m.usable && !m.spot && m.helps.empty()) {
      steady_free += std::max<int64_t>(0, m.free.cpus) + m.soft;
    }
  }
  const int64_t headroom = draft->headroom;
  // The one being cleared goes first, else the one with least on it.
  const PlaceMachine* best = nullptr;
  int64_t best_used = 0;
  for (const PlaceMachine& m : draft->machines) {
    const MachineInfo& info = machines_[m.name];
    if (m.spot || !m.helps.empty() || (!m.usable && !info.drain)) continue;
    int64_t used = m.size.cpus - m.free.cpus;
    const MachineType* type = TypeOf(m.type);
    if (type == nullptr) continue;
    if (used <= 0 || (!info.drain && 2 * used > m.size.cpus)) continue;
    if (!info.drain && (LastOfZone(*draft, m) || LastWarm(*draft, m))) continue;
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
  for (const PlaceMachine& m : draft->machines) {
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
  for (const Attempt& a : draft->roster.machines[best->name].attempts) {
    auto at = attempts_.find(a);
    const JobEntry* job = FindJob(a.job);
    if (at == attempts_.end() || job == nullptr) return;
    if (at->second.stopping) settled = false;
    const JobSpec& spec = job->record.spec;
    if (at->second.gone || job->record.state != JobState::kOpen || at->second.stopping) continue;
    if (spec.kind != JobKind::kService) return;  // will be over by itself
    // A start that is stopped soon was no start.
    if (at->second.running_at == 0 || now - at->second.running_at < 40 * kSecond) return;
    JobSpread spread = draft->SpreadOf(spec);
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
  Push(now, part, best->name);
}

void Core::SendHire(Micros now, int part, const std::string& request) {
  Part& p = parts_[static_cast<size_t>(part)];
  auto hire = p.roster.hires.find(request);
  if (!p.mine || hire == p.roster.hires.end()) return;
  HireState& state = hires_[request];
  if (state.sent || state.done || now < state.retry_at) return;
  if (!cloud_budget_.Take(now, 1)) return;
  state.sent = true;
  const RentRequest ask = hire->second.ask;
  Send(Dest::kCloud, "", "POST", wire::RentTarget(), wire::EncodeRent(ask), kCloudTimeout,
       [this, part, request, ask](Micros t, int status, const std::string& body) {
         HireState& h = hires_[request];
         h.sent = false;
         std::optional<std::vector<std::string>> rented;
         if (status == 200) rented = wire::DecodeRented(body);
         std::string key = OfferKey(ask.type, ask.zone, ask.spot);
         if (rented) {
           h.done = true;
           h.machines = *rented;
           counters_.hired += rented->size();
           // Filled in part: there are no more at the moment.
           if (static_cast<int>(rented->size()) < ask.count) {
             Pause& pause = offer_pause_[key];
             pause = {t + FromSeconds(s_.op.refusal_pause_s()), 1};
           } else {
             offer_pause_.erase(key);
           }
         } else if (status == 400 ||
                    (status == 503 && body.find("no capacity") != std::string::npos)) {
           h.done = true;
           ++counters_.refused_hires;
           // Every request costs writes and calls: ask less and less often.
           Pause& pause = offer_pause_[key];
           pause.until = t + (FromSeconds(s_.op.refusal_pause_s()) << std::min(pause.refusals, 2));
           ++pause.refusals;
         } else {
           // May have been carried out: only a repeat of the same request tells.
           h.retry_at = t + 1500 * kMilli;
         }
         Touch(part);
       });
}

void Core::SendReturns(Micros now, int part) {
  Part& p = parts_[static_cast<size_t>(part)];
  if (!p.mine || !p.any_leaving) return;
  std::vector<std::string> names;
  for (const auto& [name, m] : p.roster.machines) {
    MachineInfo& info = machines_[name];
    if (!m.leaving || info.returning || returned_.count(name) != 0 || now < info.return_at)
      continue;
    names.push_back(name);
    if (names.size() >= 100) break;
  }
  if (names.empty() || !cloud_budget_.Take(now, 1)) return;
  for (const std::string& name : names) machines_[name].returning = true;
  Send(Dest::kCloud, "", "POST", wire::ReturnTarget(), wire::EncodeReturn(names), kCloudTimeout,
       [this, part, names](Micros t, int status, const std::string&) {
         Part& q = parts_[static_cast<size_t>(part)];
         for (const std::string& name : names) {
           MachineInfo& info = machines_[name];
           info.returning = false;
           info.return_at = t + kSecond;
           auto m = q.roster.machines.find(name);
           if (status != 200 || m == q.roster.machines.end() || !q.mine) continue;
           // Confirmed: the machine and everything on it is gone.
           ++counters_.returned;
           returned_.insert(name);
           health_.ForgetMachine(name);
           for (const Attempt& a : m->second.attempts) {
             auto at = attempts_.find(a);
             if (at != attempts_.end()) MarkGone(part, a, &at->second);
           }
         }
         Touch(part);
       });
}

void Core::AskTypes(Micros now) {
  if (types_busy_ || now < next_types_ || !cloud_budget_.Take(now, 1)) return;
  types_busy_ = true;
  Send(Dest::kCloud, "", "GET", wire::MachineTypesTarget(), "", kCloudTimeout,
       [this](Micros t, int status, const std::string& body) {
         types_busy_ = false;
         next_types_ = t + (status == 200 ? kTypesPeriod : 2 * kSecond);
         if (status == 200) TakeTypes(t, body);
       });
}

void Core::TakeTypes(Micros now, const std::string& body) {
  std::optional<std::vector<MachineType>> types = wire::DecodeMachineTypes(body);
  if (!types || types->empty()) return;
  types_ = std::move(*types);
  // Kept for the day on which we start while the cloud is away.
  if (!types_stored_.empty() || !synced_ || !write_budget_.Take(now, 1, 2)) return;
  types_stored_ = body;
  StateTxn txn;
  txn.writes.push_back({std::string(kRoot) + "types", body, 0, false});
  ++counters_.puts;
  Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kCloudTimeout,
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
  Send(Dest::kCloud, "", "GET", wire::MachinesTarget(after, kPageLimit), "", kCloudTimeout,
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
         const auto paced = static_cast<Micros>(2.0 * list_pages_ * s_.parts() / s_.cloud_rps *
                                                static_cast<double>(kSecond));
         next_machines_ =
             machines_asked_ +
             std::max(paced, some_silent_
                                 ? 1500 * kMilli
                                 : std::max<Micros>(2 * kSecond, s_.list_lag / 2 + kSecond));
         TakeMachines(t);
       });
}

void Core::TakeMachines(Micros now) {
  std::set<std::string> names;
  for (const ListedMachine& m : listed_) {
    names.insert(m.name);
    int part = PartOfMachine(m.name);
    if (part < 0) {
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
  for (const Part& p : parts_) {
    for (const auto& [name, m] : p.roster.machines) {
      MachineInfo& info = machines_[name];
      // A list may be older than the one before it: only a machine that has
      // been up for longer than any list lags is missed.
      bool old = info.first_heard != 0 && machines_asked_ - info.first_heard > 3 * s_.list_lag;
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
    return machine_part_.count(m.first) == 0 && names.count(m.first) == 0 &&
           now - std::max(m.second.heard, m.second.redirected_at) > 120 * kSecond;
  });
}

// Zones that are cut off from us as a whole: neither the siblings in them nor
// nearly any of their machines are heard, while others are.
std::set<std::string> Core::ZonesCutOff(Micros now) const {
  std::map<std::string, std::pair<int, int>> machines;  // by zone: all, silent
  std::set<std::string> out;
  for (const Sibling& sibling : s_.siblings) {
    const Peer& peer = peers_.at(sibling.label);
    if (sibling.zone == s_.zone || now - peer.heard < 3 * s_.report) continue;
    out.insert(sibling.zone);
  }
  for (const Sibling& sibling : s_.siblings) {
    if (now - peers_.at(sibling.label).heard < 3 * s_.report) out.erase(sibling.zone);
  }
  if (out.empty()) return out;
  for (const Part& p : parts_) {
    if (!p.mine) continue;
    for (const auto& [name, m] : p.roster.machines) {
      auto info = machines_.find(name);
      if (info == machines_.end() || info->second.first_heard == 0) continue;
      auto& [all, silent] = machines[m.zone];
      ++all;
      if (now - std::max(info->second.heard, info->second.since) > 3 * s_.report) ++silent;
    }
  }
  std::erase_if(out, [&](const std::string& zone) {
    auto [all, silent] = machines[zone];
    return all == 0 || silent * 10 < all * 8;
  });
  return out;
}

// Finds machines that are lost, idle or about to be taken.
void Core::JudgeMachines(Micros now, int part) {
  Part& p = parts_[static_cast<size_t>(part)];
  int total = 0, silent_ones = 0;
  for (const auto& [name, m] : p.roster.machines) {
    const MachineInfo& info = machines_[name];
    if (info.first_heard == 0 || info.missing || info.failed) continue;
    ++total;
    if (now - std::max(info.heard, info.since) > 3 * s_.report) ++silent_ones;
  }
  some_silent_ = some_silent_ || silent_ones > 0;
  p.silent = silent_ones;
  // Without the state service no machine is given up: it may be we who are cut off.
  const bool blind = !StateFresh(now);
  // When most fall silent at once, it is rather we who cannot hear, all the more when
  // none is heard.
  const bool deaf = total >= 3 && silent_ones * 10 > total * 6;
  const bool stone_deaf = deaf && silent_ones * 20 > total * 19;
  const std::set<std::string> cut = ZonesCutOff(now);
  for (const auto& [name, m] : p.roster.machines) {
    MachineInfo& info = machines_[name];
    const MachineType* type = TypeOf(m.type);
    if (info.since == 0) info.since = now;
    Micros silent = now - std::max(info.heard, info.since);
    bool lost = info.failed;
    if (info.missing && silent > 3 * s_.report / 2) lost = true;
    // By the time that the cloud has it back it has ended its tasks itself.
    // In a zone that is cut off, a sibling may be keeping leases alive, for as long
    // as no cancel can be overrun. When we seem to be deaf we wait as long, but not
    // for ever. Not longer either: a zone that was away for 60 s had its replicas
    // missed for a third of that time (see docs/rounds.md).
    const bool kept = deaf || cut.count(m.zone) != 0;
    Micros patience = stone_deaf ? 4 * s_.cancel
                      : kept     ? Longest(s_.cancel) + 300 * kMilli
                                 : s_.lease - std::min(s_.lease / 20, kReturnTakes);
    if (info.first_heard != 0 && silent > patience) lost = true;
    if (info.first_heard == 0 && type != nullptr) {
      Micros boot = static_cast<Micros>(s_.op.boot_patience() * static_cast<double>(type->boot));
      if (silent > boot + 10 * kSecond) lost = true;
      if (info.listed_running && !m.attempts.empty() && silent > patience + 5 * kSecond) {
        lost = true;
      }
    }
    if (lost && !blind && !info.give_up && !m.leaving) {
      info.give_up = true;
      Log(LogLine::Level::kInfo, "giving up " + name +
                                     (info.failed    ? ": failed"
                                      : info.missing ? ": no longer listed"
                                                     : ": silent"));
      Touch(part);
    }
    bool busy = false;
    for (const Attempt& a : m.attempts) {
      auto at = attempts_.find(a);
      if (at == attempts_.end() || !at->second.gone) busy = true;
      if (at == attempts_.end() || at->second.gone || at->second.stopping) continue;
      if (info.notice_end == 0) continue;
      // The machine is about to be taken: what can be saved is saved and goes
      // on elsewhere; what would not finish in time starts elsewhere at once.
      const JobEntry* job = FindJob(a.job);
      if (job == nullptr) continue;
      const JobSpec& spec = job->record.spec;
      Micros ran = at->second.running_at == 0 ? 0 : now - at->second.running_at;
      if (spec.checkpoint > 0) {
        StopAttempt(now, a, &at->second, spec.save + kSecond);
      } else if (spec.kind == JobKind::kService || ran + (info.notice_end - now) < spec.estimate) {
        StopAttempt(now, a, &at->second, 0);
      }
      Push(now, part, name);
    }
    if (busy || info.first_heard == 0) {
      info.idle_since = 0;
    } else if (info.idle_since == 0) {
      info.idle_since = now;
    }
    // Whatever waits for a direct command that could not be sent before.
    if (info.probe || info.token_seen < TokenOf(part, info) || info.need_token > info.token_seen) {
      if (info.need_token > TokenOf(part, info)) p.fence = true;
      Push(now, part, name);
    }
  }
}

void Core::RunCloud(Micros now) {
  AskTypes(now);
  bool any = false;
  if (now >= next_judge_) some_silent_ = false;
  for (int part = 0; part < s_.parts(); ++part) {
    Part& p = parts_[static_cast<size_t>(part)];
    if (!p.mine) continue;
    any = true;
    for (const auto& [id, h] : p.roster.hires) SendHire(now, part, id);
    SendReturns(now, part);
    if (now >= next_judge_) JudgeMachines(now, part);
  }
  if (now >= next_judge_) next_judge_ = now + kJudgePeriod;
  // Rentals and returns come first.
  if (any && synced_ && list_busy_ && !list_after_.empty()) {
    if (now - machines_asked_ > kListPatience) {
      list_busy_ = false;  // its first pages are too old
    } else if (cloud_budget_.Take(now, 1, 1))
      AskMachines(now, std::string(list_after_));
  } else if (any && synced_ && !list_busy_ && now >= next_machines_ &&
             cloud_budget_.Take(now, 1, 1)) {
    list_busy_ = true;
    AskMachines(now, "");
  }
}

}  // namespace troutlink
