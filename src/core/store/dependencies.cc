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

void DependencyGraph::SetOwn(const std::string& job, const Urgency& own, Micros time) {
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
    DropIfUnused(dependency);
  }
  DropIfUnused(job);
}

void DependencyGraph::DropIfUnused(const std::string& job) {
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
  std::deque<std::string> open = {job};
  while (!open.empty()) {
    const std::string next = std::move(open.front());
    open.pop_front();
    for (const std::string& dependent : DependentsOf(next)) {
      if (!seen.insert(dependent).second) continue;
      all.push_back(dependent);
      open.push_back(dependent);
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
    Urgency asked = MostUrgent(dependent.own, dependent.inherited);
    // The dependency must be done by then and therefore start earlier by its run time.
    if (asked.latest_start != Urgency::kNoLimit) asked.latest_start -= node.time;
    inherited = MostUrgent(inherited, asked);
  }
  return inherited;
}

void DependencyGraph::Propagate(const std::string& job) {
  std::deque<std::string> open = {job};
  while (!open.empty()) {
    const std::string next = std::move(open.front());
    open.pop_front();
    for (const std::string& dependency : nodes_.at(next).dependencies) {
      Node& node = nodes_.at(dependency);
      const Urgency inherited = InheritedFromDependents(node);
      if (inherited == node.inherited) continue;
      node.inherited = inherited;
      changed_.insert(dependency);
      open.push_back(dependency);
    }
  }
}

}  // namespace troutlink
