#include "rule_checker.h"

#include <algorithm>
#include <map>

#include "wire/pack.h"

namespace troutlink::test {
namespace {

std::string TaskName(const std::string& job, int task) { return job + "/" + std::to_string(task); }

// `of_job`: other tasks of the job that run, `in_zone` of them in this zone.
bool IsWrongPlace(const JobSpec& spec, const FakeAgent& on, int of_job, int in_zone) {
  const bool type_allowed = spec.types.empty() || std::find(spec.types.begin(), spec.types.end(),
                                                            on.type) != spec.types.end();
  return (on.spot && !spec.spot) || (!spec.zone.empty() && spec.zone != on.zone) || !type_allowed ||
         (spec.spread && in_zone + 1 > (spec.tasks + 1) / 2) ||
         (spec.one_zone && of_job != in_zone);
}

}  // namespace

RuleChecker::RuleChecker(const Settings& settings, const Users& users, const Agents& agents,
                         const std::set<std::pair<std::string, int>>& results,
                         const FakeState& state)
    : settings_(settings), users_(users), agents_(agents), results_(results), state_(state) {}

void RuleChecker::AddViolation(const std::string& what) {
  if (std::find(violations.begin(), violations.end(), what) == violations.end())
    violations.push_back(what);
}

void RuleChecker::OnStart(Micros now, const FakeAgent& on, const std::string& job, int task) {
  int of_job = 0, in_zone = 0;
  for (const auto& [name, other] : agents_) {
    if (other->dead) continue;
    for (auto it = other->tasks.lower_bound({job, 0});
         it != other->tasks.end() && it->first.first == job; ++it) {
      if (it->second.state == TaskState::kExited) continue;
      if (other.get() != &on && it->first.second == task)
        AddViolation("ran_twice " + TaskName(job, task));
      ++of_job;
      in_zone += other->zone == on.zone ? 1 : 0;
    }
  }
  const Users::TrackedJob* known = users_.Find(job);
  if (known == nullptr) return;
  if (IsWrongPlace(known->spec, on, of_job, in_zone)) {
    AddViolation("wrong_place " + TaskName(job, task) + " on " + on.name);
  }
  for (const std::string& dependency : known->spec.dependencies) {
    const Users::TrackedJob* needed = users_.Find(dependency);
    for (int of_it = 0; needed != nullptr && of_it < needed->spec.tasks; ++of_it) {
      if (results_.count({dependency, of_it}) != 0) continue;
      AddViolation("too_early " + TaskName(job, task) + " before " + dependency);
    }
  }
  if (known->cancelled != 0) {
    ++starts_after_cancel;
    if (now > known->cancelled + settings_.cancellation_deadline) {
      AddViolation("ran_cancelled: started " + TaskName(job, task));
    }
  }
}

void RuleChecker::OnAnswer(const UserReply& answer) {
  const Users::TrackedJob* known = users_.Find(answer.id);
  if (known == nullptr) {
    if (!answer.submission && answer.status == 200) AddViolation("invented " + answer.id);
    return;
  }
  const bool was_known = known->accepted != 0 && known->accepted < answer.requested_at;
  if (was_known && (answer.status == 404 || answer.status == 400 || answer.status == 422)) {
    AddViolation("forgotten " + answer.id + ": " + answer.method + " gave " +
                 std::to_string(answer.status));
  }
  if (answer.status != 200 && answer.status != 201) return;
  bool requested_cancel = known->requested_cancel;
  for (const Users::TrackedJob* dependency : users_.DependenciesOf(answer.id)) {
    requested_cancel = requested_cancel || dependency->requested_cancel;
    const bool open = answer.job_status == "queued" || answer.job_status == "running";
    if (open && dependency->cancelled != 0 &&
        answer.answered_at > dependency->cancelled + settings_.cancellation_deadline) {
      AddViolation("orphaned " + answer.id + " by " + dependency->spec.id);
    }
  }
  if (answer.job_status == "cancelled" && !requested_cancel) {
    AddViolation("went_back " + answer.id + ": not cancelled");
  }
  const bool was_done = known->done != 0 && known->done < answer.requested_at;
  const bool was_cancelled = known->cancelled != 0 && known->cancelled < answer.requested_at;
  if ((was_done && answer.job_status != "done") ||
      (was_cancelled && answer.job_status != "cancelled")) {
    AddViolation("went_back " + answer.id + " to " + answer.job_status);
  }
  if (answer.job_status != "done") return;
  for (int task = 0; task < known->spec.tasks; ++task) {
    if (results_.count({answer.id, task}) == 0)
      AddViolation("not_done " + TaskName(answer.id, task));
  }
}

void RuleChecker::CheckRunning(Micros now) {
  std::map<std::string, Resources> used;
  for (const auto& [name, agent] : agents_) {
    // A machine that hangs past its lease ends its tasks first when it resumes.
    if (agent->dead || (agent->hung && now - agent->lease_from > kAgentLease)) continue;
    for (const auto& [key, task] : agent->tasks) {
      if (task.state == TaskState::kExited) continue;
      const Users::TrackedJob* known = users_.Find(key.first);
      if (known == nullptr) continue;
      used[known->spec.team] += known->spec.task_resources;
      if (known->cancelled != 0 && now > known->cancelled + settings_.cancellation_deadline) {
        AddViolation("ran_cancelled " + TaskName(key.first, key.second) + " on " + name);
      }
    }
  }
  for (const Team& team : settings_.teams) {
    if (team.cpus_max > 0 && used[team.name].cpus > team.cpus_max)
      AddViolation("quota " + team.name);
  }
}

// Reads the assignment tables from the store and not from a node.
void RuleChecker::ReadAssigned() {
  if (assigned_revision_ == state_.revision) return;
  assigned_revision_ = state_.revision;
  assigned_.clear();
  for (const auto& [name, item] : state_.items) {
    const Key key = ParseKey(name);
    if (key.kind != Key::Kind::kAssignments) continue;
    AssignmentTable table;
    table.form = key.form;
    if (!DecodeChunk(wire::Pack(item.value), key.chunk, &table)) {
      AddViolation("unreadable " + name);
      continue;
    }
    for (const auto& [machine, assigned] : table.machines) {
      for (const Attempt& attempt : assigned.attempts) assigned_.insert({machine, attempt});
    }
  }
}

void RuleChecker::CheckAssigned(Micros now) {
  ReadAssigned();
  std::map<Assigned, Micros> since;
  for (const auto& [name, agent] : agents_) {
    if (agent->dead || (agent->hung && now - agent->lease_from > kAgentLease)) continue;
    for (const auto& [key, task] : agent->tasks) {
      const Assigned held{name, {key.first, key.second, task.attempt}};
      if (task.state == TaskState::kExited || assigned_.count(held) != 0) continue;
      const auto before = unassigned_since_.find(held);
      since[held] = before == unassigned_since_.end() ? now : before->second;
      if (now - since[held] > UnassignedBound()) {
        AddViolation("unassigned " + TaskName(key.first, key.second) + " on " + name);
      }
    }
  }
  unassigned_since_ = std::move(since);
}

}  // namespace troutlink::test
