#include "core/store/dependencies.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace troutlink {

namespace {

Urgency MostUrgent(const Urgency& left, const Urgency& right) {
  return {std::max(left.priority, right.priority), std::min(left.latest_start, right.latest_start)};
}

}  // namespace

void DependencyGraph::Add(const std::string& job, const std::vector<std::string>& dependencies,
                          const Urgency& own, Micros time) {
  Node& node = nodes_[job];
  node.own = own;
  node.time = time;
  node.dependencies = dependencies;
  for (const std::string& dependency : dependencies) nodes_[dependency].dependents.insert(job);
  Propagate(job);
}

void DependencyGraph::SetOwnUrgency(const std::string& job, const Urgency& own, Micros time) {
  auto found = nodes_.find(job);
  if (found == nodes_.end()) return;
  Node& node = found->second;
  if (node.own == own && node.time == time) return;
  node.own = own;
  node.time = time;
  Propagate(job);
}

void DependencyGraph::Remove(const std::string& job) {
  auto found = nodes_.find(job);
  if (found == nodes_.end()) return;
  const std::vector<std::string> dependencies = std::exchange(found->second.dependencies, {});
  for (const std::string& dependency : dependencies) {
    Node& node = nodes_.at(dependency);
    node.dependents.erase(job);
    const Urgency inherited = InheritedFromDependents(node);
    if (!(inherited == node.inherited)) {
      node.inherited = inherited;
      changed_.insert(dependency);
      Propagate(dependency);
    }
    RemoveIfUnused(dependency);
  }
  RemoveIfUnused(job);
}

void DependencyGraph::RemoveIfUnused(const std::string& job) {
  auto found = nodes_.find(job);
  if (found == nodes_.end()) return;
  if (found->second.dependents.empty() && found->second.dependencies.empty()) nodes_.erase(found);
}

std::vector<std::string> DependencyGraph::DependentsOf(const std::string& job) const {
  auto found = nodes_.find(job);
  if (found == nodes_.end()) return {};
  return {found->second.dependents.begin(), found->second.dependents.end()};
}

std::vector<std::string> DependencyGraph::AllDependentsOf(const std::string& job) const {
  std::vector<std::string> all;
  std::set<std::string> seen;
  std::deque<std::string> queue = {job};
  while (!queue.empty()) {
    const std::string next = std::move(queue.front());
    queue.pop_front();
    for (const std::string& dependent : DependentsOf(next)) {
      if (!seen.insert(dependent).second) continue;
      all.push_back(dependent);
      queue.push_back(dependent);
    }
  }
  return all;
}

Urgency DependencyGraph::InheritedBy(const std::string& job) const {
  auto found = nodes_.find(job);
  return found == nodes_.end() ? Urgency() : found->second.inherited;
}

std::set<std::string> DependencyGraph::TakeChanged() { return std::exchange(changed_, {}); }

Urgency DependencyGraph::InheritedFromDependents(const Node& node) const {
  Urgency inherited;
  for (const std::string& name : node.dependents) {
    const Node& dependent = nodes_.at(name);
    Urgency requested = MostUrgent(dependent.own, dependent.inherited);
    // The dependency must be done by then and therefore start earlier by its run time.
    if (requested.latest_start != Urgency::kNoLimit) requested.latest_start -= node.time;
    inherited = MostUrgent(inherited, requested);
  }
  return inherited;
}

void DependencyGraph::Propagate(const std::string& job) {
  std::deque<std::string> queue = {job};
  while (!queue.empty()) {
    const std::string next = std::move(queue.front());
    queue.pop_front();
    for (const std::string& dependency : nodes_.at(next).dependencies) {
      Node& node = nodes_.at(dependency);
      const Urgency inherited = InheritedFromDependents(node);
      if (inherited == node.inherited) continue;
      node.inherited = inherited;
      changed_.insert(dependency);
      queue.push_back(dependency);
    }
  }
}

}  // namespace troutlink
