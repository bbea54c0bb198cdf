#include "core/scheduler/placement.h"

#include <algorithm>

namespace troutlink {

namespace {
constexpr int64_t kMaxTasksThatFit = 1 << 20;
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

bool Allowed(const JobSpec& spec, const JobSpread& spread, const CandidateMachine& m) {
  if (!TypeAllowed(spec, m.type, m.spot)) return false;
  if (!spec.zone.empty() && spec.zone != m.zone) return false;
  if (spec.one_zone) {
    for (const auto& [zone, n] : spread.by_zone) {
      if (n > 0 && zone != m.zone) return false;
    }
  }
  if (spec.spread) {
    auto it = spread.by_zone.find(m.zone);
    if (it != spread.by_zone.end() && it->second >= SpreadLimit(spec)) return false;
  }
  return true;
}

CandidateIndex::CandidateIndex(const std::set<std::string>& service_images,
                               std::vector<CandidateMachine>* machines) {
  for (const std::string& image : service_images) {
    number_.emplace(image, static_cast<int>(number_.size()));
  }
  image_room_.resize(number_.size());
  for (CandidateMachine& m : *machines) Add(&m);
}

void CandidateIndex::Name(CandidateMachine* machine) const {
  machine->service_images.clear();
  if (machine->spot) return;
  auto note = [&](const std::string& image) {
    auto it = number_.find(image);
    if (it != number_.end()) machine->service_images.push_back(it->second);
  };
  if (machine->cached != nullptr) {
    for (const auto& [image, used] : *machine->cached) note(image);
  }
  for (const std::string& image : machine->fetching) note(image);
}

void CandidateIndex::Count(const CandidateMachine& machine, int64_t sign) {
  if (!machine.usable || machine.spot) return;
  const int64_t free = sign * std::max<int64_t>(0, machine.free.cpus);
  steady_free_ += free;
  zone_free_[machine.zone] += free;
  if (!machine.helps.empty()) return;
  const int64_t room = free;
  room_[machine.zone] += room;
  for (int image : machine.service_images) {
    ImageRoom& image_room = image_room_[static_cast<size_t>(image)];
    image_room.free += room;
    image_room.by_zone[machine.zone] += room;
  }
}

int64_t CandidateIndex::ZoneFree(const std::string& zone) const {
  auto it = zone_free_.find(zone);
  return it == zone_free_.end() ? 0 : it->second;
}

std::map<std::string, int64_t> CandidateIndex::RoomByZone(const CandidateMachine* except) const {
  std::map<std::string, int64_t> out = room_;
  if (except != nullptr && except->usable && !except->spot && except->helps.empty()) {
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
  const bool soft = request.lendable && spec.checkpoint == 0;
  const bool keeps_room =
      !service && !soft && !request.tail && spec.priority != Priority::kProduction;
  int best = -1;
  double best_score = 0;
  for (size_t i = 0; i < machines.size(); ++i) {
    const CandidateMachine& machine = machines[i];
    if (!machine.usable || (machine.closed && !request.closed_too) ||
        !spec.task_resources.Fits(machine.free))
      continue;
    if (!machine.helps.empty() && machine.helps != spec.id) continue;
    if (spec.priority < machine.least_priority) continue;
    if (request.avoid != nullptr && *request.avoid == machine.name) continue;
    if (!Allowed(spec, *request.spread, machine)) continue;
    if (keeps_room && !machine.spot &&
        (index.steady_free() - spec.task_resources.cpus < request.steady_headroom ||
         (request.zone_headroom > 0 &&
          index.ZoneFree(machine.zone) - spec.task_resources.cpus < request.zone_headroom))) {
      continue;
    }
    // Seconds until the task can run: its image fetch, shared with other fetches of the machine.
    double score = 0;
    if (!machine.Cached(spec.image)) {
      double fetch = spec.image_gb / std::max(0.01, machine.fetch_gb_per_s);
      score += machine.Has(spec.image)
                   ? 0.5 * fetch
                   : fetch * (1.0 + static_cast<double>(machine.fetching.size()));
    }
    if (service) {
      // Replicas apart, so that the loss of a machine affects few of them.
      score += 0.7 * machine.TasksOf(spec.id);
    } else if (request.tail) {
      score += machine.spot ? 4.0 : 0.0;
      if (machine.helps == spec.id) score -= 5.0;
    } else if (!machine.spot && spec.spot) {
      score += 3.0;
    }
    if (spec.spread) {
      auto zone = request.spread->by_zone.find(machine.zone);
      if (zone != request.spread->by_zone.end()) score += 0.2 * zone->second;
    }
    // Best fit: prefer the machine with the least left over, so that others become empty.
    score += 0.5 * static_cast<double>(machine.free.cpus - spec.task_resources.cpus) /
             static_cast<double>(std::max<int64_t>(1, machine.size.cpus));
    if (best >= 0 && score >= best_score) continue;
    if (keeps_room && !machine.spot && request.image_headroom > 0) {
      // Services start fast where their image is cached: keep CPUs free there.
      bool keeps =
          std::all_of(machine.service_images.begin(), machine.service_images.end(), [&](int image) {
            return index.with_image(image).free - spec.task_resources.cpus >=
                   request.image_headroom;
          });
      if (!keeps) continue;
    }
    best = static_cast<int>(i);
    best_score = score;
  }
  return best;
}

}  // namespace troutlink
