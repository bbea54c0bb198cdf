// Which machines go back to the cloud, and which are cleared to go back.
#include <algorithm>

#include "core/core.h"
#include "core/plan.h"

namespace troutlink {

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
