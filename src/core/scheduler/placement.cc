#include "core/scheduler/placement.h"

#include <algorithm>

#include "core/scheduler/hold_policy.h"

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

namespace {

// Selects a machine for one task. The checks of a machine tell what keeps the task off it.
class MachineSearch {
 public:
  MachineSearch(const PlacementRequest& request, const CandidateIndex& index)
      : request_(request),
        spec_(*request.spec),
        index_(index),
        is_service_(spec_.kind == JobKind::kService),
        keeps_headroom_(KeepsHeadroom(request)) {}

  MachineChoice Choose(const std::vector<CandidateMachine>& machines) const {
    MachineChoice choice;
    double best_score = 0;
    for (size_t i = 0; i < machines.size(); ++i) {
      const CandidateMachine& machine = machines[i];
      if (!IsSuitable(machine)) continue;
      WaitReason obstacle = ObstacleOn(machine);
      if (obstacle == WaitReason::kNone) {
        const double score = ScoreOf(machine);
        if (choice.machine >= 0 && score >= best_score) continue;
        // Checked last, as it looks at all images of the machine.
        if (KeepsImageHeadroom(machine)) {
          choice.machine = static_cast<int>(i);
          best_score = score;
          continue;
        }
        obstacle = WaitReason::kImageHeadroom;
      }
      choice.reason = std::max(choice.reason, obstacle);
    }
    return choice;
  }

 private:
  static bool KeepsHeadroom(const PlacementRequest& request) {
    const JobSpec& spec = *request.spec;
    if (spec.kind == JobKind::kService || spec.priority == Priority::kProduction || request.tail)
      return false;
    // Tasks without checkpoints are stopped within moments: they may borrow the headroom of
    // services where it is scarce, and are preempted when a service needs it.
    return !request.borrowable || spec.checkpoint > 0;
  }

  // Whether the machine has room for the task, and the job may use it.
  bool IsSuitable(const CandidateMachine& machine) const {
    if (!machine.usable && !machine.reserved) return false;
    if (!spec_.task_resources.Fits(machine.free)) return false;
    if (request_.avoided_machine != nullptr && *request_.avoided_machine == machine.name)
      return false;
    return Allowed(spec_, *request_.spread, machine);
  }

  // What keeps the task off a suitable machine, without the headroom of images.
  WaitReason ObstacleOn(const CandidateMachine& machine) const {
    if (machine.chunk_closed && !request_.include_closed) return WaitReason::kClosedChunk;
    const HoldTimes times{request_.waited, machine.held};
    if (spec_.priority < machine.min_priority) {
      if (machine.min_priority == Priority::kProduction) return WaitReason::kProductionPreemption;
      if (MayHold(WaitReason::kPreemption, times)) return WaitReason::kPreemption;
    }
    if (!machine.tail_job.empty() && machine.tail_job != spec_.id &&
        MayHold(WaitReason::kTailMachine, times)) {
      return WaitReason::kTailMachine;
    }
    if (machine.reserved && MayHold(WaitReason::kReservedMachine, times))
      return WaitReason::kReservedMachine;
    return HeadroomObstacleOn(machine);
  }

  WaitReason HeadroomObstacleOn(const CandidateMachine& machine) const {
    if (!keeps_headroom_ || machine.spot) return WaitReason::kNone;
    if (index_.steady_free() - spec_.task_resources.cpus < request_.steady_headroom &&
        Holds(WaitReason::kServiceHeadroom)) {
      return WaitReason::kServiceHeadroom;
    }
    if (request_.zone_headroom > 0 &&
        index_.ZoneFree(machine.zone) - spec_.task_resources.cpus < request_.zone_headroom &&
        Holds(WaitReason::kZoneHeadroom)) {
      return WaitReason::kZoneHeadroom;
    }
    return WaitReason::kNone;
  }

  bool Holds(WaitReason reason) const { return MayHold(reason, request_.waited); }

  // Services start fast where their image is cached: whether CPUs stay free there.
  bool KeepsImageHeadroom(const CandidateMachine& machine) const {
    if (!keeps_headroom_ || machine.spot || request_.image_headroom <= 0) return true;
    if (!Holds(WaitReason::kImageHeadroom)) return true;
    return std::all_of(
        machine.service_images.begin(), machine.service_images.end(), [this](int image) {
          return index_.capacity_with_image(image).free - spec_.task_resources.cpus >=
                 request_.image_headroom;
        });
  }

  // Penalty in seconds; lower is better.
  double ScoreOf(const CandidateMachine& machine) const {
    double score = FetchTime(machine);
    if (is_service_) {
      // Replicas apart, so that the loss of a machine affects few of them.
      score += kSameMachinePenalty * machine.TasksOf(spec_.id);
    } else if (request_.tail) {
      score += machine.spot ? kSpotForTailPenalty : 0.0;
      if (machine.tail_job == spec_.id) score -= kOwnTailMachineBonus;
    } else if (!machine.spot && spec_.spot) {
      score += kSteadyForSpotJobPenalty;
    }
    if (spec_.spread) {
      auto zone = request_.spread->by_zone.find(machine.zone);
      if (zone != request_.spread->by_zone.end()) score += kSameZonePenalty * zone->second;
    }
    // Best fit: prefer the machine with the least left over, so that others become empty.
    return score + kUnusedSharePenalty *
                       static_cast<double>(machine.free.cpus - spec_.task_resources.cpus) /
                       static_cast<double>(std::max<int64_t>(1, machine.size.cpus));
  }

  // Seconds until the task can run: its image fetch, shared with other fetches of the machine.
  double FetchTime(const CandidateMachine& machine) const {
    if (machine.Cached(spec_.image)) return 0;
    const double fetch = spec_.image_gb / std::max(kMinFetchRate, machine.fetch_gb_per_s);
    return machine.HasOrFetches(spec_.image)
               ? kSharedFetchShare * fetch
               : fetch * (1.0 + static_cast<double>(machine.fetching.size()));
  }

  const PlacementRequest& request_;
  const JobSpec& spec_;
  const CandidateIndex& index_;
  const bool is_service_;
  const bool keeps_headroom_;
};

}  // namespace

MachineChoice ChooseMachine(const PlacementRequest& request,
                            const std::vector<CandidateMachine>& machines,
                            const CandidateIndex& index) {
  return MachineSearch(request, index).Choose(machines);
}

}  // namespace troutlink
