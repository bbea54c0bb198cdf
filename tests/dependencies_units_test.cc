// Unit tests of the dependency graph.
#include <gtest/gtest.h>

#include "core/store/dependencies.h"

namespace troutlink {
namespace {

constexpr Urgency kIdle{Priority::kLow, Urgency::kNoLimit};

TEST(Dependencies, UrgencyIsInheritedFromTheLastStage) {
  DependencyGraph graph;
  graph.Add("b", {"a"}, kIdle, 10);
  graph.Add("c", {"b"}, kIdle, 20);
  EXPECT_EQ(graph.InheritedBy("a"), Urgency());
  graph.TakeChanged();
  graph.Add("d", {"c", "a"}, {Priority::kHigh, 1000}, 5);
  graph.SetOwnUrgency("a", kIdle, 7);
  EXPECT_EQ(graph.InheritedBy("c"), (Urgency{Priority::kHigh, 1000 - 20}));
  EXPECT_EQ(graph.InheritedBy("b"), (Urgency{Priority::kHigh, 1000 - 20 - 10}));
  // The longest path determines the latest start: through b and c, not directly to d.
  EXPECT_EQ(graph.InheritedBy("a").priority, Priority::kHigh);
  EXPECT_LE(graph.InheritedBy("a").latest_start, 1000 - 20 - 10);
  EXPECT_EQ(graph.TakeChanged(), (std::set<std::string>{"a", "b", "c"}));
}

TEST(Dependencies, FinishedJobsPassNoUrgencyOn) {
  DependencyGraph graph;
  graph.Add("b", {"a"}, {Priority::kNormal, 500}, 10);
  graph.Add("c", {"b"}, {Priority::kHigh, 1000}, 10);
  graph.Remove("c");
  EXPECT_EQ(graph.InheritedBy("b"), Urgency());
  EXPECT_EQ(graph.InheritedBy("a").priority, Priority::kNormal);
  graph.Remove("a");
  EXPECT_EQ(graph.DependentsOf("a"), (std::vector<std::string>{"b"}));
  graph.Remove("b");
  EXPECT_TRUE(graph.empty());
}

TEST(Dependencies, AllDependentsAreFoundOnceOverSeveralPaths) {
  DependencyGraph graph;
  graph.Add("b1", {"a"}, kIdle, 1);
  graph.Add("b2", {"a"}, kIdle, 1);
  graph.Add("c", {"b1", "b2"}, kIdle, 1);
  EXPECT_EQ(graph.AllDependentsOf("a"), (std::vector<std::string>{"b1", "b2", "c"}));
}

TEST(Dependencies, LongChainNeedsNoDeepRecursion) {
  DependencyGraph graph;
  constexpr int kJobs = 20000;
  for (int job = kJobs; job > 0; --job) {
    graph.Add("job-" + std::to_string(job), {"job-" + std::to_string(job - 1)}, kIdle, 1);
  }
  graph.Add("last", {"job-" + std::to_string(kJobs)}, {Priority::kHigh, 1'000'000}, 1);
  EXPECT_EQ(graph.InheritedBy("job-0").priority, Priority::kHigh);
  EXPECT_EQ(graph.AllDependentsOf("job-0").size(), static_cast<size_t>(kJobs) + 1);
}

}  // namespace
}  // namespace troutlink
