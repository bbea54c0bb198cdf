// Which open jobs depend on which others, and how urgent that makes them.
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

// How soon a job has to start. Of several, the most urgent of each field counts.
struct Urgency {
  static constexpr Micros kNoLimit = std::numeric_limits<Micros>::max();

  Priority priority = Priority::kLow;
  Micros latest_start = kNoLimit;  // time of day
  bool operator==(const Urgency&) const = default;
};

// The graph of dependencies between jobs that are open. A job is as urgent as the most urgent
// job that depends on it, directly or through others: it inherits their priority, and a latest
// start that leaves the stages between the time that they are estimated to take.
//
// Bounded by the dependencies of open jobs. Pure: JobTable adds jobs as the replica learns of them
// and removes them once they are over.
class DependencyGraph {
 public:
  // An open job with dependencies, which may be jobs that are not in the graph. `own`: without
  // its dependents; `time`: from its start to its end. Repeating it changes nothing.
  void Add(const std::string& job, const std::vector<std::string>& dependencies, const Urgency& own,
           Micros time);
  // What a job without dependencies is by itself, once another one depends on it.
  void SetOwn(const std::string& job, const Urgency& own, Micros time);
  // The job is over: it makes no other one urgent any more.
  void Remove(const std::string& job);

  // Open jobs that name the job as a dependency.
  std::vector<std::string> DependentsOf(const std::string& job) const;
  // The same directly or through other open jobs, each once.
  std::vector<std::string> AllDependentsOf(const std::string& job) const;
  // What the job's dependents ask of it; the least urgent of all without any.
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

  // Brings what the dependencies of the job inherit up to date, and so on through the graph.
  void Propagate(const std::string& job);
  Urgency InheritedFromDependents(const Node& node) const;
  void DropIfUnused(const std::string& job);

  std::map<std::string, Node> nodes_;
  std::set<std::string> changed_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_DEPENDENCIES_H_
