// Checks the rules from outside the cores, on agents and users.
#ifndef TROUTLINK_TESTS_RULE_CHECKER_H_
#define TROUTLINK_TESTS_RULE_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "core/store/records.h"
#include "fake_agent.h"
#include "fake_state.h"
#include "users.h"

namespace troutlink::test {

// Checks the state of the fakes for violations:
// - ran_twice: a task starts while it runs on another machine
// - quota: a team uses more than its limit
// - wrong_place: a task starts on a machine that its job does not allow
// - ran_cancelled: a task starts or runs more than `cancel_s` after its user learned of the
// cancellation
// - forgotten: an accepted job is later unknown or refused
// - invented: a response about a job that was not submitted
// - not_done: a job is reported as done before all of its tasks have finished
// - went_back: a response contradicts an earlier one to the same user, or reports a cancellation
// that no user requested, of the job or of a dependency
// - too_early: a task starts before all dependencies of its job are done
// - orphaned: a job is reported as queued or running more than `cancel_s` after its user learned
// that a dependency was cancelled
// - unassigned: a task that has not exited is on a machine for longer than UnassignedBound() after
// an assignment table last contained its attempt
class RuleChecker {
 public:
  // All arguments must outlive it.
  RuleChecker(const Settings& settings, const Users& users, const Agents& agents,
              const std::set<std::pair<std::string, int>>& results, const FakeState& state);

  // The leader stops a task that no table contains in its next heartbeat reply. Without a leader,
  // its lease may be renewed as long as that of a cancelled task, until `cancel_s` after the last
  // answer of the store, and then expires.
  Micros UnassignedBound() const { return settings_.cancellation_deadline + settings_.agent_lease; }

  // A task starts to run on the machine.
  void OnStart(Micros now, const FakeAgent& on, const std::string& job, int task);
  // A user receives a response; called before Users records it.
  void OnAnswer(const UserReply& answer);
  // Checks all running tasks.
  void CheckRunning(Micros now);
  // Checks for tasks that no assignment table contains.
  void CheckAssigned(Micros now);
  // Records a violation, once however often it is seen.
  void AddViolation(const std::string& what);

  // All violations with their jobs, in order.
  std::vector<std::string> violations;
  // Starts after the user learned of the job's cancellation, which are allowed for `cancel_s`.
  int starts_after_cancel = 0;

 private:
  const Settings& settings_;
  const Users& users_;
  const Agents& agents_;
  const std::set<std::pair<std::string, int>>& results_;
  const FakeState& state_;
  // A machine and an attempt on it or in its assignment table.
  using Assigned = std::pair<std::string, Attempt>;
  void ReadAssigned();

  uint64_t assigned_revision_ = 0;               // of the store, when the tables were read
  std::set<Assigned> assigned_;                  // in any table
  std::map<Assigned, Micros> unassigned_since_;  // tasks that no table contains
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_RULE_CHECKER_H_
