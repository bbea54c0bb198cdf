// Which machine a task goes to. Pure: works on a snapshot of the machines.
#ifndef TROUTLINK_CORE_PLACEMENT_H_
#define TROUTLINK_CORE_PLACEMENT_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/records.h"
#include "wire/types.h"

namespace troutlink {

struct PlaceMachine {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  bool usable = false;  // heard from lately, not leaving, not set aside
  std::string helps;
  Amount size;
  Amount free;
  int64_t soft = 0;  // cpus of work that gives way to services at once
  double fetch_gb_per_s = 0.1;
  double price_per_cpu = 0;
  // Image name -> true: cached; false: being fetched.
  std::map<std::string, bool> images;
  int fetching = 0;
  // Tasks of each job that are or may be here.
  std::map<std::string, int> tasks;
};

// Where tasks of one job are or may be, over all machines.
struct JobSpread {
  std::map<std::string, int> by_zone;
};

struct PlaceRequest {
  const JobSpec* spec = nullptr;
  const JobSpread* spread = nullptr;
  bool tail = false;            // prefers steady machines, may use headroom
  int64_t steady_headroom = 0;  // cpus to leave free on steady machines
  int64_t zone_headroom = 0;    // the same in each zone, for services that spread
  // Images of services, and the cpus that stay free where each of them is.
  const std::set<std::string>* service_images = nullptr;
  int64_t image_headroom = 0;
  const std::string* avoid = nullptr;  // a machine to keep away from
};

// True when type, kind and zone of the machine are allowed for one more task,
// given where the others are.
bool Allowed(const JobSpec& spec, const JobSpread& spread, const PlaceMachine& m);
// Same for type and kind only.
bool TypeAllowed(const JobSpec& spec, const std::string& type, bool spot);
// At most this many tasks of a spread job may be in one zone.
int SpreadLimit(const JobSpec& spec);

// Free cpus on usable steady machines that have the image, `except` left out.
int64_t WarmFree(const std::vector<PlaceMachine>& machines, const std::string& image,
                 const std::string& except);

// Index of the best machine, or -1.
int ChooseMachine(const PlaceRequest& request, const std::vector<PlaceMachine>& machines);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_PLACEMENT_H_
