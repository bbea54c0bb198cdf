// Selects the machine for a task, on a snapshot of the machines.
#ifndef TROUTLINK_CORE_SCHEDULER_PLACEMENT_H_
#define TROUTLINK_CORE_SCHEDULER_PLACEMENT_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/scheduler/wait_reason.h"
#include "core/store/records.h"
#include "wire/types.h"

namespace troutlink {

struct CandidateMachine {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  bool usable = false;        // heard from recently, not draining, not quarantined
  bool reserved = false;      // for a job that has waited too long; not usable in this cycle
  Micros held = 0;            // how long it has been held: for a tail, reserved, or being freed
  bool chunk_closed = false;  // its chunk of the assignment table cannot change in this cycle
  // Work of lower priority is kept off: capacity is being freed for work of this priority.
  Priority min_priority = Priority::kLow;
  std::string tail_job;
  Resources size;
  Resources free;
  Resources preemptible;  // used by tasks that production work may preempt
  double fetch_gb_per_s = 0.1;
  // Cached images by time of last use, and images being fetched.
  const std::map<std::string, Micros>* cached = nullptr;
  std::vector<std::string> fetching;
  // Number of tasks of each job that are, or may be, on the machine.
  std::vector<std::pair<std::string, int>> tasks;
  std::vector<int> service_images;  // cached or fetching, by CandidateIndex number

  bool Cached(const std::string& image) const {
    return cached != nullptr && cached->count(image) != 0;
  }
  bool HasOrFetches(const std::string& image) const {
    return Cached(image) || std::find(fetching.begin(), fetching.end(), image) != fetching.end();
  }
  int TasksOf(const std::string& job) const {
    for (const auto& [id, count] : tasks) {
      if (id == job) return count;
    }
    return 0;
  }
  void AddTasks(const std::string& job, int count) {
    for (auto& [id, have] : tasks) {
      if (id == job) {
        have += count;
        return;
      }
    }
    tasks.emplace_back(job, count);
  }
};

// Free capacity over all candidate machines, updated as machines change, so that a choice does not
// sum it again.
class CandidateIndex {
 public:
  struct ImageCapacity {
    int64_t free = 0;  // CPUs on usable steady machines that have the image
    std::map<std::string, int64_t> by_zone;
  };

  CandidateIndex() = default;
  // `service_images`: the images of all running services.
  CandidateIndex(const std::set<std::string>& service_images,
                 std::vector<CandidateMachine>* machines);

  // Call Remove() before and Add() after every change of a machine.
  void Remove(const CandidateMachine& machine) { Accumulate(machine, -1); }
  void Add(CandidateMachine* machine) {
    FindServiceImages(machine);
    Accumulate(*machine, 1);
  }

  int64_t steady_free() const { return steady_free_; }
  int64_t ZoneFree(const std::string& zone) const;
  // Free CPUs by zone on steady machines that are not reserved for an array's tail, without
  // `except`.
  std::map<std::string, int64_t> FreeCpusByZone(const CandidateMachine* except) const;
  const ImageCapacity& capacity_with_image(int image) const {
    return image_capacity_[static_cast<size_t>(image)];
  }

 private:
  void FindServiceImages(CandidateMachine* machine) const;
  void Accumulate(const CandidateMachine& machine, int64_t sign);

  int64_t steady_free_ = 0;
  std::map<std::string, int64_t> zone_free_;
  std::map<std::string, int64_t> pool_free_by_zone_;
  std::unordered_map<std::string, int> image_numbers_;
  std::vector<ImageCapacity> image_capacity_;
};

// Number of tasks of one job by zone, running or planned.
struct JobSpread {
  std::map<std::string, int> by_zone;
};

struct PlacementRequest {
  const JobSpec* spec = nullptr;
  const JobSpread* spread = nullptr;
  bool tail = false;            // prefers steady machines and may use headroom
  int64_t steady_headroom = 0;  // CPUs to leave free on steady machines
  int64_t zone_headroom = 0;    // the same for each zone, for services spread over zones
  int64_t image_headroom = 0;   // the same for the machines that have a service's image
  // Tasks without checkpoints may borrow the headroom: they are preempted within moments.
  bool borrowable = true;
  Micros waited = 0;                             // of the job: ends the holds of hold_policy.h
  const std::string* avoided_machine = nullptr;  // machine to avoid
  bool include_closed = false;  // consider machines that only a later cycle can change
};

// Whether machine type, spot or steady, and zone allow one more task of the job.
bool Allowed(const JobSpec& spec, const JobSpread& spread, const CandidateMachine& machine);
// The same for the machine type and spot or steady only.
bool TypeAllowed(const JobSpec& spec, const std::string& type, bool spot);
// Most tasks that a job spread over zones may have in one zone.
int SpreadLimit(const JobSpec& spec);

// Number of tasks of a job that fit into `room`.
int TasksThatFit(const JobSpec& spec, const Resources& room);

// Free milli-CPUs from which a zone counts as able to take a service replica.
inline constexpr int64_t kMinZoneMilliCpus = 4000;

struct MachineChoice {
  int machine = -1;                         // index of the best one; -1: none can take the task
  WaitReason reason = WaitReason::kNoRoom;  // why there is none
};

MachineChoice ChooseMachine(const PlacementRequest& request,
                            const std::vector<CandidateMachine>& machines,
                            const CandidateIndex& index);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_PLACEMENT_H_
