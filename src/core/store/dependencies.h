// Dependency graph of open jobs, and the urgency that jobs inherit from their dependents.
#ifndef TROUTLINK_CORE_STORE_DEPENDENCIES_H_
#define TROUTLINK_CORE_STORE_DEPENDENCIES_H_

#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "wire/types.h"

namespace troutlink {

// Urgency of a job. Urgencies combine field by field, to the more urgent value.
struct Urgency {
  static constexpr Micros kNoLimit = std::numeric_limits<Micros>::max();

  Priority priority = Priority::kLow;
  Micros latest_start = kNoLimit;  // time of day
  bool operator==(const Urgency&) const = default;
};

// Directed acyclic graph of open jobs. A job inherits the priority of its most urgent direct or
// indirect dependent, and a latest start that leaves time for the estimated run times of the stages
// between them.
//
// Its size is bounded by the dependencies of open jobs. Makes no calls: JobTable adds jobs as the
// replica receives them and removes finished ones.
class DependencyGraph {
 public:
  // Adds an open job with dependencies, which need not be in the graph. `own`: its urgency without
  // dependents. `time`: from its start to its end. Idempotent.
  void Add(const std::string& job, const std::vector<std::string>& dependencies, const Urgency& own,
           Micros time);
  // Sets the urgency of a job that has dependents but no dependencies of its own.
  void SetOwnUrgency(const std::string& job, const Urgency& own, Micros time);
  // Removes a finished job, which no longer makes others urgent.
  void Remove(const std::string& job);

  // Open jobs that directly depend on the job.
  std::vector<std::string> DependentsOf(const std::string& job) const;
  // Open jobs that directly or indirectly depend on the job, each once.
  std::vector<std::string> AllDependentsOf(const std::string& job) const;
  // Combined urgency of the job's dependents; the lowest without any.
  Urgency InheritedBy(const std::string& job) const;
  // Jobs whose inherited urgency changed since the last call.
  std::set<std::string> TakeChanged();

  bool empty() const { return nodes_.empty(); }

 private:
  struct Node {
    Urgency own;
    Urgency inherited;
    Micros time = 0;
    std::vector<std::string> dependencies;
    std::set<std::string> dependents;
  };

  // Updates the inherited urgency of the job's direct and indirect dependencies.
  void Propagate(const std::string& job);
  Urgency InheritedFromDependents(const Node& node) const;
  void RemoveIfUnused(const std::string& job);

  std::map<std::string, Node> nodes_;
  std::set<std::string> changed_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_DEPENDENCIES_H_
