// Tells machines that fail what they start from jobs that fail everywhere.
#ifndef TROUTLINK_CORE_HEALTH_H_
#define TROUTLINK_CORE_HEALTH_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "base/micros.h"

namespace troutlink {

class Health {
 public:
  Health(int machine_failures, int job_failures)
      : machine_failures_(machine_failures), job_failures_(job_failures) {}

  void Failed(Micros now, const std::string& machine, const std::string& job) {
    Machine& m = machines_[machine];
    ++m.failures;
    m.jobs.insert(job);
    m.last = now;
    Job& j = jobs_[job];
    ++j.failures;
    j.machines.insert(machine);
    j.last = now;
  }
  // A task ran well: the machine works, and so does the job.
  void Succeeded(const std::string& machine, const std::string& job) {
    machines_.erase(machine);
    jobs_.erase(job);
  }
  // Several failures, with nothing that ran well between them: of different
  // jobs, or of one job that fails on this machine alone.
  bool Sick(const std::string& machine) const {
    auto it = machines_.find(machine);
    if (it == machines_.end() || it->second.failures < machine_failures_) return false;
    for (const std::string& job : it->second.jobs) {
      auto j = jobs_.find(job);
      if (j != jobs_.end() && j->second.machines.size() >= 2) continue;
      return true;  // fails here and nowhere else
    }
    return it->second.jobs.size() >= 2 && !AllJobsFailEverywhere(it->second.jobs);
  }
  // When the job may be started again: at once at first, then spaced out.
  Micros NextStart(const std::string& job) const {
    auto it = jobs_.find(job);
    if (it == jobs_.end() || it->second.failures < job_failures_) return 0;
    int over = std::min(it->second.failures - job_failures_, 5);
    return it->second.last + (kSecond << over);
  }
  // A machine on which an attempt of this job failed is avoided by it.
  bool Avoid(const std::string& machine, const std::string& job) const {
    auto it = jobs_.find(job);
    return it != jobs_.end() && it->second.machines.count(machine) != 0;
  }
  void ForgetMachine(const std::string& machine) { machines_.erase(machine); }
  void ForgetJob(const std::string& job) { jobs_.erase(job); }

 private:
  struct Machine {
    int failures = 0;
    std::set<std::string> jobs;
    Micros last = 0;
  };
  struct Job {
    int failures = 0;
    std::set<std::string> machines;
    Micros last = 0;
  };
  bool AllJobsFailEverywhere(const std::set<std::string>& jobs) const {
    return std::all_of(jobs.begin(), jobs.end(), [this](const std::string& job) {
      auto it = jobs_.find(job);
      return it != jobs_.end() && it->second.machines.size() >= 3;
    });
  }

  int machine_failures_;
  int job_failures_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Job> jobs_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_HEALTH_H_
