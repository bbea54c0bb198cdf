// Scale in: returns idle machines and consolidates lightly used ones.
#include <algorithm>
#include <optional>

#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr Micros kUnhealthyReturnDelay =
    2 * kSecond;  // idle time before an unhealthy machine is returned
constexpr Micros kConsolidationInterval = 500 * kMillisecond;
// Minimum uptime of a replica before it is moved.
constexpr Micros kMinReplicaUptime = 40 * kSecond;
constexpr size_t kMachinesPerDrain = 20;  // steady machines per concurrent drain
constexpr size_t kTriesPerDrain = 4;
constexpr double kMinPrice = 0.01;

int64_t FreeCpus(const CandidateMachine& machine) {
  return std::max<int64_t>(0, machine.free.cpus);
}

int64_t UsedCpus(const CandidateMachine& machine) { return machine.size.cpus - machine.free.cpus; }

// Steady machines that are not reserved for an array's tail.
bool InSteadyPool(const CandidateMachine& machine) {
  return !machine.spot && machine.tail_job.empty();
}
}  // namespace

// Whether services spread over zones need this machine, as too few zones have room without it.
bool Core::IsLastInZone(const Plan& plan, const CandidateMachine& machine) const {
  if (!jobs_.had_spread_service() || settings_.zones.size() < 2) return false;
  std::map<std::string, int64_t> others = plan.index.FreeCpusByZone(&machine);
  int zones = 0;
  for (const auto& [zone, cpus] : others) zones += cpus >= kMinZoneMilliCpus ? 1 : 0;
  return zones < 2 && others[machine.zone] < kMinZoneMilliCpus;
}

// Whether too few CPUs stay free on machines with some service's image without this machine.
bool Core::IsLastWithImage(const Plan& plan, const CandidateMachine& machine) const {
  const auto keep = static_cast<int64_t>(1000 * settings_.operator_settings.image_headroom_cpus());
  const int64_t own = machine.usable ? FreeCpus(machine) : 0;
  for (int image : machine.service_images) {
    const CandidateIndex::ImageCapacity& image_capacity = plan.index.capacity_with_image(image);
    if (image_capacity.free - own < keep) return true;
    if (!jobs_.had_spread_service() || settings_.zones.size() < 2) continue;
    // Services spread over zones need the image in two zones to start fast.
    int zones = 0;
    bool here = false;
    for (const auto& [zone, cpus] : image_capacity.by_zone) {
      const bool has_room = cpus - (zone == machine.zone ? own : 0) >= kMinZoneMilliCpus;
      zones += has_room ? 1 : 0;
      here = here || (has_room && zone == machine.zone);
    }
    if (zones < 2 && !here) return true;
  }
  return false;
}

void Core::PlanReturns(Micros now, int shard_id, Plan* plan) {
  FreeCapacity free;
  for (const CandidateMachine& machine : plan->machines) {
    if (!machine.usable || !machine.tail_job.empty()) continue;
    (machine.spot ? free.spot : free.steady) += FreeCpus(machine);
  }
  free.reserved_for_arrays =
      static_cast<int64_t>(settings_.operator_settings.array_headroom_share() *
                           ShardAt(shard_id).cycle.decayed_array_peak);
  std::map<std::string, CandidateMachine*> candidates;
  for (CandidateMachine& machine : plan->machines) candidates[machine.name] = &machine;
  for (auto& [name, machine] : plan->assignments.machines) {
    if (machine.draining || !plan->MayChange(name)) continue;
    auto candidate = candidates.find(name);
    CandidateMachine* found = candidate == candidates.end() ? nullptr : candidate->second;
    if (!ShouldReturn(now, machine, found, plan, &free)) continue;
    machine.draining = true;
    plan->MarkChanged(name);
    plan->urgent = true;
  }
}

// Whether to return the machine now. `candidate` is the machine in the plan, or null.
bool Core::ShouldReturn(Micros now, const AssignedMachine& machine, CandidateMachine* candidate,
                        Plan* plan, FreeCapacity* free) {
  auto known = machines_.find(machine.name);
  const MachineType* type = machine_types_.Find(machine.type);
  if (known == machines_.end() || type == nullptr) return false;
  const AgentState& agent = known->second;
  if (agent.declared_lost) return true;
  if (!machine.attempts.empty() || agent.idle_since == 0) return false;
  if (agent.consolidating) return true;
  if (!machine.tail_job.empty()) return !TailMachineWanted(machine.tail_job, *plan);
  const Micros idle = now - agent.idle_since;
  if (health_.Unhealthy(machine.name) && idle > kUnhealthyReturnDelay) return true;
  const double boot = static_cast<double>(type->boot);
  if (idle <= static_cast<Micros>(settings_.operator_settings.idle_return_boots() * boot))
    return false;
  return machine.spot ? IsSpareSpot(*type, *plan, free)
                      : IsSpareSteady(*type, candidate, plan, free);
}

// A machine rented for an array's tail is returned as soon as no task of the job waits for it.
bool Core::TailMachineWanted(const std::string& job, const Plan& plan) const {
  auto execution = executions_.find(job);
  auto grant = plan.assignments.tail_grants.find(job);
  return execution != executions_.end() && grant != plan.assignments.tail_grants.end() &&
         grant->second.credit > 0 &&
         execution->second.done + execution->second.placed <
             static_cast<int>(execution->second.tasks.size());
}

// Whether arrays keep enough headroom without a spot machine of this type.
bool Core::IsSpareSpot(const MachineType& type, const Plan& plan, FreeCapacity* free) {
  const int64_t steady = std::max<int64_t>(0, free->steady - plan.headroom);
  if (free->spot + steady - type.size.cpus < free->reserved_for_arrays) return false;
  free->spot -= type.size.cpus;
  return true;
}

// The same for a steady machine; the headroom of services is kept too.
bool Core::IsSpareSteady(const MachineType& type, CandidateMachine* candidate, Plan* plan,
                         FreeCapacity* free) const {
  if (candidate == nullptr || IsLastInZone(*plan, *candidate) || IsLastWithImage(*plan, *candidate))
    return false;
  const int64_t kept =
      plan->headroom + std::max<int64_t>(0, free->reserved_for_arrays - free->spot);
  if (free->steady - type.size.cpus < kept) return false;
  free->steady -= type.size.cpus;
  // Evaluate the next machine without this one.
  plan->index.Remove(*candidate);
  candidate->usable = false;
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
    const int chosen = ChooseMachine(request, machines_, index_).machine;
    if (chosen < 0) return false;
    CandidateMachine& target = machines_[static_cast<size_t>(chosen)];
    if (!spec.image.empty() && !target.Cached(spec.image)) return false;
    target.free -= spec.task_resources;
    target.AddTasks(spec.id, 1);
    reserved_.push_back({&target, &spec});
    return true;
  }

  // Keeps or releases the reservations made since the last call.
  void FinishReservations(bool keep) {
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
  size_t pool = 0, draining = 0, tries = 0;
  for (const CandidateMachine& machine : plan->machines) {
    if (!InSteadyPool(machine)) continue;
    ++pool;
    if (machine.usable) free += FreeCpus(machine);
    if (!machines_[machine.name].consolidating || UsedCpus(machine) <= 0) continue;
    DrainMachine(now, shard_id, plan, machine, &targets);
    free -= UsedCpus(machine);
    ++draining;
  }
  const size_t max_draining = 1 + pool / kMachinesPerDrain;
  for (CandidateMachine* machine : ConsolidationCandidates(plan)) {
    if (draining >= max_draining || tries >= kTriesPerDrain * max_draining) return;
    if (free - machine->size.cpus < plan->headroom) continue;
    if (IsLastInZone(*plan, *machine) || IsLastWithImage(*plan, *machine)) continue;
    ++tries;
    // A machine that cannot be drained, as an image is nowhere else, does not block the others.
    if (!DrainMachine(now, shard_id, plan, *machine, &targets)) continue;
    ++draining;
    free -= machine->size.cpus;
    // Evaluate the next machine without this one.
    plan->index.Remove(*machine);
    machine->usable = false;
  }
}

// Consolidates only after a time without backlog, and not in every cycle. Backlog cancels drains.
bool Core::MayConsolidate(Micros now, Shard* shard, const Plan& plan) {
  if (!plan.unplaced.empty() || !plan.assignments.rentals.empty()) {
    shard->cycle.no_backlog_since = now;
    for (const auto& [name, machine] : plan.assignments.machines)
      machines_[name].consolidating = false;
    return false;
  }
  if (shard->cycle.no_backlog_since == 0) shard->cycle.no_backlog_since = now;
  if (now < shard->cycle.next_consolidation_at ||
      now - shard->cycle.no_backlog_since <
          FromSeconds(settings_.operator_settings.consolidate_after_s())) {
    return false;
  }
  shard->cycle.next_consolidation_at = now + kConsolidationInterval;
  return true;
}

// Steady machines that are at most half used, by used CPUs per price, ascending.
std::vector<CandidateMachine*> Core::ConsolidationCandidates(Plan* plan) const {
  std::vector<std::pair<double, CandidateMachine*>> by_cost;
  for (CandidateMachine& machine : plan->machines) {
    const MachineType* type = machine_types_.Find(machine.type);
    if (type == nullptr || !InSteadyPool(machine) || !machine.usable) continue;
    const int64_t used = UsedCpus(machine);
    if (used <= 0 || 2 * used > machine.size.cpus) continue;
    by_cost.emplace_back(static_cast<double>(used) / std::max(kMinPrice, type->price), &machine);
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
    const AttemptState& attempt_state = known->second;
    if (attempt_state.stopping) settled = false;
    if (attempt_state.terminated || attempt_state.stopping || job->record.state != JobState::kOpen)
      continue;
    const JobSpec& spec = job->record.spec;
    possible = spec.kind == JobKind::kService &&  // other tasks end by themselves
               attempt_state.running_at != 0 &&
               now - attempt_state.running_at >= kMinReplicaUptime &&
               targets->Reserve(spec, plan->SpreadOf(spec), machine.zone);
    if (!possible) break;
    if (!first) first = attempt;
  }
  targets->FinishReservations(possible);
  if (!possible) {
    targets->SetUsable(machine.name, true);
    return false;
  }
  machines_[machine.name].consolidating = true;
  if (!settled || !first) return true;
  ++counters_.consolidated;
  StopAttempt(now, *first, &attempts_.at(*first), 0);
  SendDirectCommands(now, shard_id, machine.name);
  return true;
}

}  // namespace troutlink
