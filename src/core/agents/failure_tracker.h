// Distinguishes machines on which tasks fail from jobs that fail on any machine.
#ifndef TROUTLINK_CORE_AGENTS_FAILURE_TRACKER_H_
#define TROUTLINK_CORE_AGENTS_FAILURE_TRACKER_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "base/micros.h"

namespace troutlink {

class FailureTracker {
 public:
  FailureTracker(int machine_failures, int job_failures)
      : machine_failures_(machine_failures), job_failures_(job_failures) {}

  // Records a failed task.
  void NoteFailure(Micros now, const std::string& machine, const std::string& job) {
    Machine& machine_entry = machines_[machine];
    ++machine_entry.failures;
    machine_entry.jobs.insert(job);
    machine_entry.last_failure_at = now;
    Job& job_entry = jobs_[job];
    ++job_entry.failures;
    job_entry.machines.insert(machine);
    NoteStart(machine, job);
    job_entry.last_failure_at = now;
  }
  // Records that a task of the job was started on the machine.
  void NoteStart(const std::string& machine, const std::string& job) {
    std::set<std::string>& tried = jobs_[job].tried;
    if (tried.size() < kEnoughMachines) tried.insert(machine);
  }
  // Records a successful task, which clears the machine and the job.
  void NoteSuccess(const std::string& machine, const std::string& job) {
    machines_.erase(machine);
    auto it = jobs_.find(job);
    if (it != jobs_.end()) it->second = Job{0, {}, std::move(it->second.tried), 0};
  }
  // Whether the machine should be quarantined: repeated failures without a success between them, of
  // several jobs, or of one job that fails only there. A job that was tried on a single machine is
  // no evidence against it: a shard's only machine was returned for a job with a mistake.
  bool Unhealthy(const std::string& machine) const {
    auto it = machines_.find(machine);
    if (it == machines_.end() || it->second.failures < machine_failures_) return false;
    for (const std::string& job : it->second.jobs) {
      auto tracked_job = jobs_.find(job);
      if (tracked_job != jobs_.end() && tracked_job->second.IsNoEvidence()) continue;
      return true;  // fails only here
    }
    return it->second.jobs.size() >= 2 && !AllJobsFailEverywhere(it->second.jobs);
  }
  // Earliest time to start the job again: exponential backoff after job_failures.
  Micros NextStart(const std::string& job) const {
    auto it = jobs_.find(job);
    if (it == jobs_.end() || it->second.failures < job_failures_) return 0;
    const int doublings = std::min(it->second.failures - job_failures_, kMaxDoublings);
    return it->second.last_failure_at + (kSecond << doublings);
  }
  // Whether an attempt of the job failed on the machine, which it then avoids.
  bool Avoid(const std::string& machine, const std::string& job) const {
    auto it = jobs_.find(job);
    return it != jobs_.end() && it->second.machines.count(machine) != 0;
  }
  void ForgetMachine(const std::string& machine) { machines_.erase(machine); }
  // Forgets a finished job, together with failures that are no evidence against its machines.
  void ForgetJob(const std::string& job) {
    auto tracked_job = jobs_.find(job);
    if (tracked_job == jobs_.end()) return;
    if (tracked_job->second.IsNoEvidence()) {
      for (const std::string& name : tracked_job->second.machines) {
        auto machine = machines_.find(name);
        if (machine == machines_.end()) continue;
        machine->second.jobs.erase(job);
        if (machine->second.jobs.empty()) machines_.erase(machine);
      }
    }
    jobs_.erase(tracked_job);
  }

 private:
  static constexpr int kMaxDoublings = 5;
  static constexpr size_t kEnoughMachines = 2;  // to tell a machine's failures from a job's
  static constexpr size_t kEverywhere = 3;      // machines on which a job failed

  struct Machine {
    int failures = 0;
    std::set<std::string> jobs;
    Micros last_failure_at = 0;
  };
  struct Job {
    int failures = 0;
    std::set<std::string> machines;
    std::set<std::string> tried;  // at most two machines that it was started on
    Micros last_failure_at = 0;
    // Failures of a job that fails everywhere, or was tried on one machine only, are no evidence
    // against a machine.
    bool IsNoEvidence() const {
      return machines.size() >= kEnoughMachines || tried.size() < kEnoughMachines;
    }
  };
  bool AllJobsFailEverywhere(const std::set<std::string>& jobs) const {
    return std::all_of(jobs.begin(), jobs.end(), [this](const std::string& job) {
      auto it = jobs_.find(job);
      return it != jobs_.end() && it->second.machines.size() >= kEverywhere;
    });
  }

  int machine_failures_;
  int job_failures_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Job> jobs_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_AGENTS_FAILURE_TRACKER_H_
