// The decisions of one scheduling cycle before they are committed.
#ifndef TROUTLINK_CORE_SCHEDULER_PLAN_H_
#define TROUTLINK_CORE_SCHEDULER_PLAN_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace troutlink {

// A job with tasks to start.
struct Core::PendingJob {
  const JobSpec* spec;
  JobExecution* run;
  int tasks;
  Priority rank;               // effective priority: raised if the job is aged
  bool within;                 // within its team's guarantee
  bool aged;                   // waited too long for its first start
  std::vector<Micros> limits;  // one for each objective, time of day, ascending
  size_t tier;                 // index of the first latest start that can be met
  double work;                 // pending work in CPU seconds
  Micros ready_at;             // time of day
  int moves;
  bool lost() const { return tier >= limits.size(); }
  Micros key() const { return lost() ? ready_at : limits[tier]; }
};

// A running task that may be preempted.
struct Core::PreemptibleTask {
  Attempt attempt;
  AttemptState* info;
  const JobSpec* spec;
};

// The preemptible tasks of one machine.
struct Core::Preemptible {
  Resources room;  // free or about to be freed, and not yet reserved in this cycle
  std::vector<PreemptibleTask> tasks;
};

struct Core::Plan {
  struct UnplacedTasks {
    const JobSpec* spec = nullptr;
    int tasks = 0;
    bool tail = false;
  };

  AssignmentTable assignments;            // the shard's planned table
  std::map<int, AssignmentTable> others;  // planned tables of other shards
  std::vector<CandidateMachine> machines;
  CandidateIndex index;  // over `machines`
  ResourceUsage use;     // of the shard, without terminated attempts
  int64_t headroom = 0;  // milli-CPUs kept free for services
  // A table with more chunks than fit into one transaction is changed partially: the first chunks
  // that the cycle touches may change, all others are read only.
  bool partial = false;
  size_t most_chunks = 0;
  size_t most_writes = 0;                    // of the transaction
  std::set<std::pair<int, int>> other_keys;  // chunks of other shards, as (shard, chunk)
  std::set<int> window;                      // chunks that this cycle changes
  std::set<int> removals;                    // chunks from which terminated attempts are removed
  // Free machines of other shards, as (shard, machine); looked up on first use.
  bool transferable_known = false;
  std::vector<std::pair<int, std::string>> transferable;
  std::map<std::string, JobSpread> spreads;
  std::vector<std::pair<std::string, Attempt>> started;  // as (machine, attempt)
  std::set<std::string> jobs;     // whose records are conditions of the commit
  std::vector<std::string> done;  // jobs whose tasks are all done
  std::vector<std::string> rentals;
  std::set<std::string> service_images;  // of all running services
  std::vector<UnplacedTasks> unplaced;
  std::map<std::string, int> limited;  // pending tasks held back by a team's limit, by team
  std::map<std::string, int> moved;    // jobs to move, by id: the new shard
  bool preemptible_known = false;
  std::map<std::string, Preemptible> preemptible;  // by machine
  int preempted = 0;                               // tasks stopped in this cycle
  bool urgent = false;
  bool critical = false;    // starts production work
  bool all_tables = false;  // conditional on every assignment table
  bool progress = false;

  bool MayChange(const std::string& machine) const {
    return !partial || CanChangeAnotherChunk() ||
           window.count(assignments.ChunkOfMachine(machine)) != 0;
  }
  // Whether one more chunk of this table may change within the limits of the transaction.
  bool CanChangeAnotherChunk() const {
    return window.size() < most_chunks && window.size() + other_keys.size() < most_writes;
  }
  // Whether another shard's header may change too, and the chunk of `machine` unless it is empty.
  // The machine moves to this shard.
  bool MayChangeOther(int other_id, const AssignmentTable& other, const std::string& machine) {
    if (!partial) return true;
    std::set<std::pair<int, int>> keys = other_keys;
    size_t own = window.size();
    keys.insert({other_id, 0});
    if (!machine.empty()) {
      keys.insert({other_id, other.ChunkOfMachine(machine)});
      own += window.count(assignments.ChunkOfMachine(machine)) == 0 ? 1 : 0;
    }
    return own + keys.size() <= most_writes;
  }
  void ChangeOther(int other_id, const AssignmentTable& other, const std::string& machine) {
    other_keys.insert({other_id, 0});
    if (!machine.empty()) other_keys.insert({other_id, other.ChunkOfMachine(machine)});
    CloseIfFull();
  }
  // Call on every change of a machine's record.
  void Change(const std::string& machine) {
    if (!partial || !window.insert(assignments.ChunkOfMachine(machine)).second) return;
    CloseIfFull();
  }
  // Once no further chunk may change, closes the machines of unchanged chunks for this cycle.
  void CloseIfFull() {
    if (!partial || CanChangeAnotherChunk()) return;
    for (CandidateMachine& m : machines) {
      m.closed = window.count(assignments.ChunkOfMachine(m.name)) == 0;
    }
  }
  // Takes the resources of a task on a machine (n = 1) or gives them back (n = -1).
  void Occupy(CandidateMachine* m, const JobSpec& spec, int n) {
    JobSpread& spread = SpreadOf(spec);
    index.Remove(*m);
    if (n > 0) {
      m->free -= spec.task_resources;
    } else {
      m->free += spec.task_resources;
    }
    m->AddTasks(spec.id, n);
    index.Add(m);
    QuotaShare& used = use.teams[spec.team];
    used.cpus += n * spec.task_resources.cpus;
    used.gpus += n * spec.task_resources.gpus;
    spread.by_zone[m->zone] += n;
  }

  // Tasks of a job by zone; counted only for jobs with zone constraints.
  JobSpread& SpreadOf(const JobSpec& spec) {
    auto [it, fresh] = spreads.try_emplace(spec.id);
    if (fresh && (spec.spread || spec.one_zone)) {
      for (const CandidateMachine& m : machines) {
        it->second.by_zone[m.zone] += m.TasksOf(spec.id);
      }
    }
    return it->second;
  }
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_PLAN_H_
