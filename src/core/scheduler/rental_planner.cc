#include "core/scheduler/rental_planner.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace troutlink {

namespace {
constexpr double kMaxBootTimeFactor = 1.8;  // of the machine type's boot time
// Waiting time if no capacity is available yet.
constexpr Micros kUnboundedWait = 3600 * kSecond;
constexpr int kMaxWavesWhenLate = 3;

double Cpus(int64_t thousandths) { return static_cast<double>(thousandths) / 1000; }
}  // namespace

Core::RentalPlanner::RentalPlanner(const Core& core, Micros now, Plan* plan)
    : core_(core), now_(now), plan_(plan), machines_by_zone_(InstancesByZone(plan->assignments)) {
  CollectIncoming();
  for (const CandidateMachine& machine : plan_->machines) {
    if (machine.usable && machine.spot) spot_cpus_ += Cpus(machine.size.cpus);
  }
  for (const IncomingMachine& incoming : incoming_) {
    if (incoming.spot) spot_cpus_ += Cpus(incoming.free.cpus);
  }
}

void Core::RentalPlanner::CollectIncoming() {
  for (const auto& [name, machine] : plan_->assignments.machines) {
    const MachineType* type = core_.machine_types_.Find(machine.type);
    if (type == nullptr || !IsIncoming(machine, *type)) continue;
    incoming_.push_back({machine.type, machine.zone, machine.tail_job, machine.spot, type->size});
  }
  for (const auto& [request, rental] : plan_->assignments.rentals) {
    const MachineType* type = core_.machine_types_.Find(rental.request.type);
    if (type == nullptr) continue;
    for (int i = 0; i < rental.request.count; ++i) {
      incoming_.push_back({rental.request.type, rental.request.zone, rental.tail_job,
                           rental.request.spot, type->size});
    }
  }
}

bool Core::RentalPlanner::IsIncoming(const AssignedMachine& machine,
                                     const MachineType& type) const {
  if (machine.draining) return false;
  auto found = core_.machines_.find(machine.name);
  if (found == core_.machines_.end()) return true;
  const AgentState& agent = found->second;
  if (agent.first_heartbeat_at != 0 || agent.declared_lost || agent.reported_failed) return false;
  // An instance that boots much longer than usual is not counted on.
  const auto slow = static_cast<Micros>(kMaxBootTimeFactor * static_cast<double>(type.boot));
  return agent.observed_since == 0 || now_ - agent.observed_since <= slow;
}

void Core::RentalPlanner::Add(const Offer& offer, int count, const std::string& reason) {
  WantedMachines& entry = wanted_[offer.key().Text()];
  entry.offer = offer;
  entry.count += count;
  if (entry.reason.empty()) entry.reason = reason;
  machines_by_zone_[offer.zone] += count;
}

void Core::RentalPlanner::AddUnplaced() {
  for (const Plan::UnplacedTasks& unplaced : plan_->unplaced) AddUnplacedJob(unplaced);
}

void Core::RentalPlanner::AddUnplacedJob(const Plan::UnplacedTasks& unplaced) {
  const JobSpec& spec = *unplaced.spec;
  work_ahead_ += Cpus(unplaced.tasks * spec.task_resources.cpus) * ToSeconds(spec.estimate);
  JobSpread spread = plan_->SpreadOf(spec);
  const double share =
      spec.kind == JobKind::kService ? 1.0 : core_.settings_.operator_settings.rent_share();
  int left = WithinTeamLimit(spec, static_cast<int>(std::ceil(unplaced.tasks * share)));
  left = FillIncoming(spec, left, &spread);
  if (left <= 0) return;
  std::optional<Offer> offer;
  if (spec.spot && !unplaced.tail) offer = CheapestOffer(spec, spread, true);
  if (!offer) {
    if (spec.spot && core_.IsBestEffort(spec)) return;
    offer = CheapestOffer(spec, spread, false);
    if (!offer) return;
    if (spec.spot && spec.kind == JobKind::kArray && !unplaced.tail) {
      left = TasksWorthSteadyMachines(unplaced, *offer->type, left);
      if (left <= 0) return;
    }
  }
  RentFor(spec, *offer, left);
}

std::optional<Offer> Core::RentalPlanner::CheapestOffer(const JobSpec& spec,
                                                        const JobSpread& spread, bool spot) const {
  return core_.offer_selector_.Cheapest(now_, {spec, spread, spot, machines_by_zone_});
}

// Machines beyond the team's limit would stay unused.
int Core::RentalPlanner::WithinTeamLimit(const JobSpec& spec, int tasks) const {
  const Team* team = core_.settings_.FindTeam(spec.team);
  if (team == nullptr || team->cpus_max <= 0 || spec.task_resources.cpus <= 0) return tasks;
  return std::min(tasks, static_cast<int>(team->cpus_max / spec.task_resources.cpus));
}

int Core::RentalPlanner::FillIncoming(const JobSpec& spec, int tasks, JobSpread* spread) {
  for (IncomingMachine& incoming : incoming_) {
    if (tasks <= 0) break;
    if (!incoming.tail_job.empty() && incoming.tail_job != spec.id) continue;
    CandidateMachine candidate;
    candidate.type = incoming.type;
    candidate.zone = incoming.zone;
    candidate.spot = incoming.spot;
    while (tasks > 0 && spec.task_resources.Fits(incoming.free) &&
           Allowed(spec, *spread, candidate)) {
      incoming.free -= spec.task_resources;
      ++spread->by_zone[incoming.zone];
      --tasks;
      if (spec.task_resources.cpus <= 0) break;
    }
  }
  return tasks;
}

// Counts only tasks that would be late if they waited for the existing machines, and only as many
// machines as are needed to finish in time, with several waves of tasks where time allows. Work
// that is already late waits.
int Core::RentalPlanner::TasksWorthSteadyMachines(const Plan::UnplacedTasks& unplaced,
                                                  const MachineType& type, int tasks) const {
  const JobSpec& spec = *unplaced.spec;
  const JobEntry* job = core_.jobs_.Find(spec.id);
  const Micros wait = spot_cpus_ <= 0 ? kUnboundedWait : FromSeconds(work_ahead_ / spot_cpus_);
  const Micros latest = job == nullptr ? 0 : core_.LatestStart(*job);
  if (core_.WallNow(now_) + wait < latest) return 0;
  const Micros time = latest - core_.WallNow(now_) - type.boot;
  const Micros wave = std::max<Micros>(kSecond, spec.estimate * 5 / 4);
  const int waves = time < 0 ? kMaxWavesWhenLate : static_cast<int>(1 + time / wave);
  auto execution = core_.executions_.find(spec.id);
  const int placed = execution == core_.executions_.end() ? 0 : execution->second.placed;
  return std::min(tasks, (unplaced.tasks + placed + waves - 1) / waves - placed);
}

void Core::RentalPlanner::RentFor(const JobSpec& spec, const Offer& offer, int tasks) {
  const int per_machine = TasksThatFit(spec, offer.type->size);
  int machines = (tasks + per_machine - 1) / per_machine;
  if (spec.spread) machines = std::min(machines, SpreadLimit(spec));
  Add(offer, machines, spec.id);
  for (int i = 0; i < machines; ++i) {
    Resources free = offer.type->size;
    for (int task = 0; task < per_machine && tasks > 0; ++task, --tasks)
      free -= spec.task_resources;
    incoming_.push_back({offer.type->name, offer.zone, "", offer.spot, free});
    if (offer.spot) spot_cpus_ += Cpus(offer.type->size.cpus);
  }
}

void Core::RentalPlanner::AddSecondZone() {
  if (!core_.jobs_.had_spread_service() || plan_->headroom <= 0 || core_.settings_.zones.size() < 2)
    return;
  std::map<std::string, int64_t> room;
  for (const CandidateMachine& machine : plan_->machines) {
    if (!machine.spot && machine.usable && machine.tail_job.empty()) {
      room[machine.zone] += std::max<int64_t>(0, machine.free.cpus);
    }
  }
  for (const IncomingMachine& incoming : incoming_) {
    if (!incoming.spot && incoming.tail_job.empty()) room[incoming.zone] += incoming.free.cpus;
  }
  std::set<std::string> zones;
  for (const auto& [zone, cpus] : room) {
    if (cpus >= kMinZoneMilliCpus) zones.insert(zone);
  }
  if (zones.size() >= 2) return;
  JobSpec service;
  service.id = "headroom";
  service.tasks = 1;
  service.spread = true;
  service.task_resources.cpus = kMillisecond;
  JobSpread taken;
  for (const std::string& zone : zones) taken.by_zone[zone] = 1;
  const std::optional<Offer> offer = CheapestOffer(service, taken, false);
  if (!offer) return;
  Add(*offer, 1, "room in a second zone");
  second_zone_free_ += offer->type->size.cpus;
}

int64_t Core::RentalPlanner::SteadyFree() const {
  int64_t free = second_zone_free_;
  for (const CandidateMachine& machine : plan_->machines) {
    if (!machine.usable || !machine.tail_job.empty() || machine.spot) continue;
    free += std::max<int64_t>(0, machine.free.cpus);
  }
  for (const IncomingMachine& incoming : incoming_) {
    if (incoming.tail_job.empty() && !incoming.spot) free += incoming.free.cpus;
  }
  return free;
}

void Core::RentalPlanner::AddHeadroom() {
  const int64_t missing = plan_->headroom - SteadyFree();
  if (missing <= 0) return;
  JobSpec service;
  service.task_resources.cpus = kMillisecond;
  const std::optional<Offer> offer = CheapestOffer(service, JobSpread(), false);
  if (!offer) return;
  const int64_t size = offer->type->size.cpus;
  Add(*offer, static_cast<int>((missing + size - 1) / size), "service headroom");
}

}  // namespace troutlink
