// What one round decided and has not committed yet.
#ifndef TROUTLINK_CORE_DRAFT_H_
#define TROUTLINK_CORE_DRAFT_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"

namespace troutlink {

struct Core::Draft {
  struct Unmet {
    const JobSpec* spec = nullptr;
    int tasks = 0;
    bool tail = false;
  };

  Roster roster;                 // the part's own, as it is to become
  std::map<int, Roster> others;  // those of other parts that change with it
  std::vector<PlaceMachine> machines;
  std::map<std::string, JobSpread> spreads;
  std::vector<std::pair<std::string, Attempt>> started;  // by machine
  std::set<std::string> jobs;                            // whose records must not have changed
  std::vector<std::string> done;                         // jobs to be called done
  std::vector<std::string> hires;
  std::set<std::string> service_images;  // of all services that run
  std::vector<Unmet> unmet;
  std::map<std::string, int> moved;  // jobs that go to another part
  bool urgent = false;
  bool critical = false;     // starts work of the highest priority
  bool all_rosters = false;  // conditional on every roster (adoption)
  bool progress = false;
  bool fence = false;

  JobSpread& SpreadOf(const std::string& job) {
    auto [it, fresh] = spreads.try_emplace(job);
    if (fresh) {
      for (const PlaceMachine& m : machines) {
        auto t = m.tasks.find(job);
        if (t != m.tasks.end()) it->second.by_zone[m.zone] += t->second;
      }
    }
    return it->second;
  }
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_DRAFT_H_
