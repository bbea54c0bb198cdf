#include "core/scheduler/placement.h"

#include <algorithm>

namespace troutlink {

namespace {
constexpr int64_t kMaxTasksThatFit = 1 << 20;
constexpr double kMinFetchRate = 0.01;  // GB per second
// Penalties in seconds of delay.
constexpr double kSharedFetchShare = 0.5;    // of an image fetch that is in progress
constexpr double kSameMachinePenalty = 0.7;  // for each replica already on the machine
constexpr double kSameZonePenalty = 0.2;     // for each task already in the zone
constexpr double kSpotForTailPenalty = 4.0;
constexpr double kOwnTailMachineBonus = 5.0;
constexpr double kSteadyForSpotJobPenalty = 3.0;
constexpr double kUnusedSharePenalty = 0.5;  // for the share of the machine left unused
}  // namespace

bool TypeAllowed(const JobSpec& spec, const std::string& type, bool spot) {
  if (spot && !spec.spot) return false;
  return spec.types.empty() ||
         std::find(spec.types.begin(), spec.types.end(), type) != spec.types.end();
}

int SpreadLimit(const JobSpec& spec) { return (spec.tasks + 1) / 2; }

int TasksThatFit(const JobSpec& spec, const Resources& room) {
  int64_t tasks = kMaxTasksThatFit;
  if (spec.task_resources.cpus > 0) tasks = std::min(tasks, room.cpus / spec.task_resources.cpus);
  if (spec.task_resources.gpus > 0) tasks = std::min(tasks, room.gpus / spec.task_resources.gpus);
  if (spec.task_resources.memory > 0)
    tasks = std::min(tasks, room.memory / spec.task_resources.memory);
  return static_cast<int>(std::max<int64_t>(0, tasks));
}

bool Allowed(const JobSpec& spec, const JobSpread& spread, const CandidateMachine& machine) {
  if (!TypeAllowed(spec, machine.type, machine.spot)) return false;
  if (!spec.zone.empty() && spec.zone != machine.zone) return false;
  if (spec.one_zone) {
    for (const auto& [zone, count] : spread.by_zone) {
      if (count > 0 && zone != machine.zone) return false;
    }
  }
  if (spec.spread) {
    auto it = spread.by_zone.find(machine.zone);
    if (it != spread.by_zone.end() && it->second >= SpreadLimit(spec)) return false;
  }
  return true;
}

CandidateIndex::CandidateIndex(const std::set<std::string>& service_images,
                               std::vector<CandidateMachine>* machines) {
  for (const std::string& image : service_images) {
    image_numbers_.emplace(image, static_cast<int>(image_numbers_.size()));
  }
  image_capacity_.resize(image_numbers_.size());
  for (CandidateMachine& machine : *machines) Add(&machine);
}

void CandidateIndex::FindServiceImages(CandidateMachine* machine) const {
  machine->service_images.clear();
  if (machine->spot) return;
  auto add = [&](const std::string& image) {
    auto it = image_numbers_.find(image);
    if (it != image_numbers_.end()) machine->service_images.push_back(it->second);
  };
  if (machine->cached != nullptr) {
    for (const auto& [image, used] : *machine->cached) add(image);
  }
  for (const std::string& image : machine->fetching) add(image);
}

void CandidateIndex::Accumulate(const CandidateMachine& machine, int64_t sign) {
  if (!machine.usable || machine.spot) return;
  const int64_t free = sign * std::max<int64_t>(0, machine.free.cpus);
  steady_free_ += free;
  zone_free_[machine.zone] += free;
  if (!machine.tail_job.empty()) return;
  const int64_t room = free;
  pool_free_by_zone_[machine.zone] += room;
  for (int image : machine.service_images) {
    ImageCapacity& image_capacity = image_capacity_[static_cast<size_t>(image)];
    image_capacity.free += room;
    image_capacity.by_zone[machine.zone] += room;
  }
}

int64_t CandidateIndex::ZoneFree(const std::string& zone) const {
  auto it = zone_free_.find(zone);
  return it == zone_free_.end() ? 0 : it->second;
}

std::map<std::string, int64_t> CandidateIndex::FreeCpusByZone(
    const CandidateMachine* except) const {
  std::map<std::string, int64_t> out = pool_free_by_zone_;
  if (except != nullptr && except->usable && !except->spot && except->tail_job.empty()) {
    out[except->zone] -= std::max<int64_t>(0, except->free.cpus);
  }
  return out;
}

int ChooseMachine(const PlacementRequest& request, const std::vector<CandidateMachine>& machines,
                  const CandidateIndex& index) {
  const JobSpec& spec = *request.spec;
  const bool service = spec.kind == JobKind::kService;
  // Tasks without checkpoints are stopped within moments: they may borrow the headroom of services
  // where it is scarce, and are preempted when a service needs it.
  const bool may_borrow = request.borrowable && spec.checkpoint == 0;
  const bool keeps_headroom =
      !service && !may_borrow && !request.tail && spec.priority != Priority::kProduction;
  int best = -1;
  double best_score = 0;
  for (size_t i = 0; i < machines.size(); ++i) {
    const CandidateMachine& machine = machines[i];
    if (!machine.usable || (machine.chunk_closed && !request.include_closed) ||
        !spec.task_resources.Fits(machine.free))
      continue;
    if (!machine.tail_job.empty() && machine.tail_job != spec.id) continue;
    if (spec.priority < machine.min_priority) continue;
    if (request.avoided_machine != nullptr && *request.avoided_machine == machine.name) continue;
    if (!Allowed(spec, *request.spread, machine)) continue;
    if (keeps_headroom && !machine.spot &&
        (index.steady_free() - spec.task_resources.cpus < request.steady_headroom ||
         (request.zone_headroom > 0 &&
          index.ZoneFree(machine.zone) - spec.task_resources.cpus < request.zone_headroom))) {
      continue;
    }
    // Seconds until the task can run: its image fetch, shared with other fetches of the machine.
    double score = 0;
    if (!machine.Cached(spec.image)) {
      double fetch = spec.image_gb / std::max(kMinFetchRate, machine.fetch_gb_per_s);
      score += machine.HasOrFetches(spec.image)
                   ? kSharedFetchShare * fetch
                   : fetch * (1.0 + static_cast<double>(machine.fetching.size()));
    }
    if (service) {
      // Replicas apart, so that the loss of a machine affects few of them.
      score += kSameMachinePenalty * machine.TasksOf(spec.id);
    } else if (request.tail) {
      score += machine.spot ? kSpotForTailPenalty : 0.0;
      if (machine.tail_job == spec.id) score -= kOwnTailMachineBonus;
    } else if (!machine.spot && spec.spot) {
      score += kSteadyForSpotJobPenalty;
    }
    if (spec.spread) {
      auto zone = request.spread->by_zone.find(machine.zone);
      if (zone != request.spread->by_zone.end()) score += kSameZonePenalty * zone->second;
    }
    // Best fit: prefer the machine with the least left over, so that others become empty.
    score += kUnusedSharePenalty *
             static_cast<double>(machine.free.cpus - spec.task_resources.cpus) /
             static_cast<double>(std::max<int64_t>(1, machine.size.cpus));
    if (best >= 0 && score >= best_score) continue;
    if (keeps_headroom && !machine.spot && request.image_headroom > 0) {
      // Services start fast where their image is cached: keep CPUs free there.
      bool keeps_image_headroom =
          std::all_of(machine.service_images.begin(), machine.service_images.end(), [&](int image) {
            return index.capacity_with_image(image).free - spec.task_resources.cpus >=
                   request.image_headroom;
          });
      if (!keeps_image_headroom) continue;
    }
    best = static_cast<int>(i);
    best_score = score;
  }
  return best;
}

}  // namespace troutlink
