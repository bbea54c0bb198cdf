// Scale in: returns idle machines and consolidates lightly used ones.
#include <algorithm>
#include <optional>

#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr Micros kUnhealthyIdle = 2 * kSecond;  // idle time before an unhealthy machine is returned
constexpr Micros kClearingPeriod = 500 * kMillisecond;
// Minimum uptime of a replica before it is moved.
constexpr Micros kReplicaSettled = 40 * kSecond;
constexpr size_t kMachinesPerClearing = 20;  // steady machines per concurrent drain
constexpr size_t kTriesPerClearing = 4;
constexpr double kLeastPrice = 0.01;

int64_t FreeCpus(const CandidateMachine& machine) {
  return std::max<int64_t>(0, machine.free.cpus);
}

int64_t UsedCpus(const CandidateMachine& machine) { return machine.size.cpus - machine.free.cpus; }

// Steady machines that are not reserved for an array's tail.
bool OfSteadyPool(const CandidateMachine& machine) {
  return !machine.spot && machine.helps.empty();
}
}  // namespace

// Whether services spread over zones need this machine, as too few zones have room without it.
bool Core::IsLastInZone(const Plan& plan, const CandidateMachine& machine) const {
  if (!jobs_.spread_seen() || settings_.zones.size() < 2) return false;
  std::map<std::string, int64_t> others = plan.index.RoomByZone(&machine);
  int zones = 0;
  for (const auto& [zone, cpus] : others) zones += cpus >= kZoneRoom ? 1 : 0;
  return zones < 2 && others[machine.zone] < kZoneRoom;
}

// Whether too few CPUs stay free on machines with some service's image without this machine.
bool Core::IsLastWithImage(const Plan& plan, const CandidateMachine& machine) const {
  const auto keep = static_cast<int64_t>(1000 * settings_.operator_settings.image_headroom_cpus());
  const int64_t own = machine.usable ? FreeCpus(machine) : 0;
  for (int image : machine.service_images) {
    const CandidateIndex::ImageRoom& image_room = plan.index.with_image(image);
    if (image_room.free - own < keep) return true;
    if (!jobs_.spread_seen() || settings_.zones.size() < 2) continue;
    // Services spread over zones need the image in two zones to start fast.
    int zones = 0;
    bool here = false;
    for (const auto& [zone, cpus] : image_room.by_zone) {
      const bool has_room = cpus - (zone == machine.zone ? own : 0) >= kZoneRoom;
      zones += has_room ? 1 : 0;
      here = here || (has_room && zone == machine.zone);
    }
    if (zones < 2 && !here) return true;
  }
  return false;
}

void Core::PlanReturns(Micros now, int shard_id, Plan* plan) {
  FreeCapacity room;
  for (const CandidateMachine& machine : plan->machines) {
    if (!machine.usable || !machine.helps.empty()) continue;
    (machine.spot ? room.spot : room.steady) += FreeCpus(machine);
  }
  room.reserved_for_arrays = static_cast<int64_t>(
      settings_.operator_settings.array_headroom_share() * ShardAt(shard_id).cycle.array_peak);
  std::map<std::string, CandidateMachine*> places;
  for (CandidateMachine& machine : plan->machines) places[machine.name] = &machine;
  for (auto& [name, machine] : plan->assignments.machines) {
    if (machine.draining || !plan->MayChange(name)) continue;
    auto place = places.find(name);
    CandidateMachine* found = place == places.end() ? nullptr : place->second;
    if (!MayReturn(now, machine, found, plan, &room)) continue;
    machine.draining = true;
    plan->Change(name);
    plan->urgent = true;
  }
}

// Whether to return the machine now. `place` is the machine in the plan, or null.
bool Core::MayReturn(Micros now, const AssignedMachine& machine, CandidateMachine* place,
                     Plan* plan, FreeCapacity* room) {
  auto known = machines_.find(machine.name);
  const MachineType* type = machine_types_.Find(machine.type);
  if (known == machines_.end() || type == nullptr) return false;
  const AgentState& info = known->second;
  if (info.declared_lost) return true;
  if (!machine.attempts.empty() || info.idle_since == 0) return false;
  if (info.drain) return true;
  if (!machine.helps.empty()) return !TailMachineWanted(machine.helps, *plan);
  const Micros idle = now - info.idle_since;
  if (health_.Unhealthy(machine.name) && idle > kUnhealthyIdle) return true;
  const double boot = static_cast<double>(type->boot);
  if (idle <= static_cast<Micros>(settings_.operator_settings.idle_return_boots() * boot))
    return false;
  return machine.spot ? IsSpareSpot(*type, *plan, room) : IsSpareSteady(*type, place, plan, room);
}

// A machine rented for an array's tail is returned as soon as no task of the job waits for it.
bool Core::TailMachineWanted(const std::string& job, const Plan& plan) const {
  auto run = executions_.find(job);
  auto help = plan.assignments.helps.find(job);
  return run != executions_.end() && help != plan.assignments.helps.end() &&
         help->second.credit > 0 &&
         run->second.done + run->second.placed < static_cast<int>(run->second.tasks.size());
}

// Whether arrays keep enough headroom without a spot machine of this type.
bool Core::IsSpareSpot(const MachineType& type, const Plan& plan, FreeCapacity* room) {
  const int64_t steady = std::max<int64_t>(0, room->steady - plan.headroom);
  if (room->spot + steady - type.size.cpus < room->reserved_for_arrays) return false;
  room->spot -= type.size.cpus;
  return true;
}

// The same for a steady machine; the headroom of services is kept too.
bool Core::IsSpareSteady(const MachineType& type, CandidateMachine* place, Plan* plan,
                         FreeCapacity* room) const {
  if (place == nullptr || IsLastInZone(*plan, *place) || IsLastWithImage(*plan, *place))
    return false;
  const int64_t kept =
      plan->headroom + std::max<int64_t>(0, room->reserved_for_arrays - room->spot);
  if (room->steady - type.size.cpus < kept) return false;
  room->steady -= type.size.cpus;
  // Evaluate the next machine without this one.
  plan->index.Remove(*place);
  place->usable = false;
  return true;
}

// Tracks the steady machines that can take replicas from machines being drained.
class Core::ConsolidationTargets {
 public:
  explicit ConsolidationTargets(const Plan& plan) {
    std::set<std::string> images;
    for (const CandidateMachine& machine : plan.machines) {
      if (!machine.usable || machine.spot) continue;
      machines_.push_back(machine);
      if (machine.cached == nullptr) continue;
      for (const auto& [image, used] : *machine.cached) images.insert(image);
    }
    index_ = CandidateIndex(images, &machines_);
  }

  // Sets whether replicas may move to the machine.
  void SetUsable(const std::string& name, bool usable) {
    for (CandidateMachine& machine : machines_) {
      if (machine.name == name) machine.usable = usable;
    }
  }

  // Reserves resources for a replica that leaves a machine in `zone`. Returns false if no machine
  // with its image has room.
  bool Reserve(const JobSpec& spec, JobSpread spread, const std::string& zone) {
    --spread.by_zone[zone];
    PlacementRequest request;
    request.spec = &spec;
    request.spread = &spread;
    const int chosen = ChooseMachine(request, machines_, index_);
    if (chosen < 0) return false;
    CandidateMachine& target = machines_[static_cast<size_t>(chosen)];
    if (!spec.image.empty() && !target.Cached(spec.image)) return false;
    target.free -= spec.task_resources;
    target.AddTasks(spec.id, 1);
    reserved_.push_back({&target, &spec});
    return true;
  }

  // Keeps or releases the reservations made since the last call.
  void Settle(bool keep) {
    for (const Reservation& reservation : reserved_) {
      if (keep) break;
      reservation.target->free += reservation.spec->task_resources;
      reservation.target->AddTasks(reservation.spec->id, -1);
    }
    reserved_.clear();
  }

 private:
  struct Reservation {
    CandidateMachine* target;
    const JobSpec* spec;
  };
  std::vector<CandidateMachine> machines_;
  CandidateIndex index_;
  std::vector<Reservation> reserved_;
};

// Drains lightly used steady machines if the others have room for their replicas and keep the
// headroom. Replicas move one at a time, and only to machines that have the image cached, so that
// each is down briefly.
void Core::Consolidate(Micros now, int shard_id, Plan* plan) {
  if (!MayConsolidate(now, &ShardAt(shard_id), *plan)) return;
  ConsolidationTargets targets(*plan);
  int64_t free = 0;  // on steady machines, without those being drained
  size_t pool = 0, clearing = 0, tries = 0;
  for (const CandidateMachine& machine : plan->machines) {
    if (!OfSteadyPool(machine)) continue;
    ++pool;
    if (machine.usable) free += FreeCpus(machine);
    if (!machines_[machine.name].drain || UsedCpus(machine) <= 0) continue;
    DrainMachine(now, shard_id, plan, machine, &targets);
    free -= UsedCpus(machine);
    ++clearing;
  }
  const size_t most = 1 + pool / kMachinesPerClearing;
  for (CandidateMachine* machine : ConsolidationCandidates(plan)) {
    if (clearing >= most || tries >= kTriesPerClearing * most) return;
    if (free - machine->size.cpus < plan->headroom) continue;
    if (IsLastInZone(*plan, *machine) || IsLastWithImage(*plan, *machine)) continue;
    ++tries;
    // A machine that cannot be drained does not block the others.
    if (!DrainMachine(now, shard_id, plan, *machine, &targets)) continue;
    ++clearing;
    free -= machine->size.cpus;
    // Evaluate the next machine without this one.
    plan->index.Remove(*machine);
    machine->usable = false;
  }
}

// Consolidates only after a time without backlog, and not in every cycle. Backlog cancels drains.
bool Core::MayConsolidate(Micros now, Shard* shard, const Plan& plan) {
  if (!plan.unplaced.empty() || !plan.assignments.rentals.empty()) {
    shard->cycle.calm_since = now;
    for (const auto& [name, machine] : plan.assignments.machines) machines_[name].drain = false;
    return false;
  }
  if (shard->cycle.calm_since == 0) shard->cycle.calm_since = now;
  if (now < shard->cycle.consolidate_at ||
      now - shard->cycle.calm_since <
          FromSeconds(settings_.operator_settings.consolidate_after_s())) {
    return false;
  }
  shard->cycle.consolidate_at = now + kClearingPeriod;
  return true;
}

// Steady machines that are at most half used, by used CPUs per price, ascending.
std::vector<CandidateMachine*> Core::ConsolidationCandidates(Plan* plan) const {
  std::vector<std::pair<double, CandidateMachine*>> by_cost;
  for (CandidateMachine& machine : plan->machines) {
    const MachineType* type = machine_types_.Find(machine.type);
    if (type == nullptr || !OfSteadyPool(machine) || !machine.usable) continue;
    const int64_t used = UsedCpus(machine);
    if (used <= 0 || 2 * used > machine.size.cpus) continue;
    by_cost.emplace_back(static_cast<double>(used) / std::max(kLeastPrice, type->price), &machine);
  }
  std::stable_sort(by_cost.begin(), by_cost.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<CandidateMachine*> candidates;
  candidates.reserve(by_cost.size());
  for (const auto& [cost, machine] : by_cost) candidates.push_back(machine);
  return candidates;
}

// Stops one replica of the machine. Returns false if not all replicas can move.
bool Core::DrainMachine(Micros now, int shard_id, Plan* plan, const CandidateMachine& machine,
                        ConsolidationTargets* targets) {
  targets->SetUsable(machine.name, false);
  std::optional<Attempt> first;
  bool settled = true;
  bool possible = true;
  for (const Attempt& attempt : plan->assignments.machines[machine.name].attempts) {
    auto known = attempts_.find(attempt);
    const JobEntry* job = jobs_.Find(attempt.job);
    possible = known != attempts_.end() && job != nullptr;
    if (!possible) break;
    const AttemptState& info = known->second;
    if (info.stopping) settled = false;
    if (info.gone || info.stopping || job->record.state != JobState::kOpen) continue;
    const JobSpec& spec = job->record.spec;
    possible = spec.kind == JobKind::kService &&  // other tasks end by themselves
               info.running_at != 0 && now - info.running_at >= kReplicaSettled &&
               targets->Reserve(spec, plan->SpreadOf(spec), machine.zone);
    if (!possible) break;
    if (!first) first = attempt;
  }
  targets->Settle(possible);
  if (!possible) {
    targets->SetUsable(machine.name, true);
    return false;
  }
  machines_[machine.name].drain = true;
  if (!settled || !first) return true;
  ++counters_.consolidated;
  StopAttempt(now, *first, &attempts_.at(*first), 0);
  SendDirectCommands(now, shard_id, machine.name);
  return true;
}

}  // namespace troutlink
