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
  JobExecution* execution;
  int tasks;
  Priority effective_priority;        // effective priority: raised if the job is aged
  bool within_guarantee;              // within its team's guarantee
  bool aged;                          // waited too long for its first start
  std::vector<Micros> latest_starts;  // one for each objective, time of day, ascending
  size_t limit_index;                 // index of the first latest start that can be met
  double work;                        // pending work in CPU seconds
  Micros ready_at;                    // time of day
  int moves;
  Micros waited;  // since the job became ready or last had a start
  bool missed_all() const { return limit_index >= latest_starts.size(); }
  Micros sort_time() const { return missed_all() ? ready_at : latest_starts[limit_index]; }
};

// A running task that may be preempted.
struct Core::PreemptibleTask {
  Attempt attempt;
  AttemptState* state;
  const JobSpec* spec;
};

// The preemptible tasks of one machine.
struct Core::Preemptible {
  Resources available;  // free or about to be freed, and not yet reserved in this cycle
  std::vector<PreemptibleTask> tasks;
};

// Time that a stopped task has to write a checkpoint; 0 for tasks without checkpoints.
inline Micros StopGraceOf(const JobSpec& spec) {
  return spec.checkpoint > 0 ? spec.save + kSecond : 0;
}

struct Core::Plan {
  struct UnplacedTasks {
    const JobSpec* spec = nullptr;
    int tasks = 0;
    bool tail = false;
  };

  AssignmentTable assignments;                  // the shard's planned table
  std::map<int, AssignmentTable> other_tables;  // planned tables of other shards
  std::vector<CandidateMachine> machines;
  CandidateIndex index;  // over `machines`
  ResourceUsage usage;   // of the shard, without terminated attempts
  int64_t headroom = 0;  // milli-CPUs kept free for services
  // A table with more chunks than fit into one transaction is changed partially: the first chunks
  // that the cycle touches may change, all others are read only.
  bool partial = false;
  size_t max_chunks = 0;
  size_t max_writes = 0;                       // of the transaction
  std::set<std::pair<int, int>> other_chunks;  // chunks of other shards, as (shard, chunk)
  std::set<int> changed_chunks;                // chunks that this cycle changes
  std::set<int> cleanup_chunks;                // chunks from which terminated attempts are removed
  // Free machines of other shards, as (shard, machine); looked up on first use.
  bool transferable_found = false;
  std::vector<std::pair<int, std::string>> transferable;
  std::map<std::string, JobSpread> spreads;
  std::vector<std::pair<std::string, Attempt>> started_attempts;  // as (machine, attempt)
  std::set<Attempt> lent_attempts;       // started ones that use headroom of services
  std::set<std::string> condition_jobs;  // whose records are conditions of the commit
  std::vector<std::string> done_jobs;    // jobs whose tasks are all done
  std::vector<std::string> rentals;
  std::set<std::string> service_images;  // of all running services
  std::vector<UnplacedTasks> unplaced;
  std::map<std::string, int>
      quota_limited_tasks;                // pending tasks held back by a team's limit, by team
  std::map<std::string, int> moved_jobs;  // jobs to move, by id: the new shard
  bool preemptible_found = false;
  std::map<std::string, Preemptible> preemptible;  // by machine
  int preempted_tasks = 0;                         // tasks stopped in this cycle
  bool urgent = false;
  bool critical = false;    // starts production work
  bool all_tables = false;  // conditional on every assignment table
  bool progress = false;

  bool MayChange(const std::string& machine) const {
    return !partial || CanChangeAnotherChunk() ||
           changed_chunks.count(assignments.ChunkOfMachine(machine)) != 0;
  }
  // Whether one more chunk of this table may change within the limits of the transaction.
  bool CanChangeAnotherChunk() const {
    return changed_chunks.size() < max_chunks &&
           changed_chunks.size() + other_chunks.size() < max_writes;
  }
  // Whether another shard's header may change too, and the chunk of `machine` unless it is empty.
  // The machine moves to this shard.
  bool MayChangeOther(int other_id, const AssignmentTable& other, const std::string& machine) {
    if (!partial) return true;
    std::set<std::pair<int, int>> keys = other_chunks;
    size_t own_writes = changed_chunks.size();
    keys.insert({other_id, 0});
    if (!machine.empty()) {
      keys.insert({other_id, other.ChunkOfMachine(machine)});
      own_writes += changed_chunks.count(assignments.ChunkOfMachine(machine)) == 0 ? 1 : 0;
    }
    return own_writes + keys.size() <= max_writes;
  }
  void MarkOtherChanged(int other_id, const AssignmentTable& other, const std::string& machine) {
    other_chunks.insert({other_id, 0});
    if (!machine.empty()) other_chunks.insert({other_id, other.ChunkOfMachine(machine)});
    CloseUnchangedChunksIfFull();
  }
  // Call on every change of a machine's record.
  void MarkChanged(const std::string& machine) {
    if (!partial || !changed_chunks.insert(assignments.ChunkOfMachine(machine)).second) return;
    CloseUnchangedChunksIfFull();
  }
  // Once no further chunk may change, closes the machines of unchanged chunks for this cycle.
  void CloseUnchangedChunksIfFull() {
    if (!partial || CanChangeAnotherChunk()) return;
    for (CandidateMachine& machine : machines) {
      machine.chunk_closed = changed_chunks.count(assignments.ChunkOfMachine(machine.name)) == 0;
    }
  }
  // Takes the resources of a task on a machine (n = 1) or gives them back (n = -1).
  void Allocate(CandidateMachine* machine, const JobSpec& spec, int count) {
    JobSpread& spread = SpreadOf(spec);
    index.Remove(*machine);
    if (count > 0) {
      machine->free -= spec.task_resources;
    } else {
      machine->free += spec.task_resources;
    }
    machine->AddTasks(spec.id, count);
    index.Add(machine);
    QuotaShare& used = usage.teams[spec.team];
    used.cpus += count * spec.task_resources.cpus;
    used.gpus += count * spec.task_resources.gpus;
    spread.by_zone[machine->zone] += count;
  }

  // Tasks of a job by zone; counted only for jobs with zone constraints.
  JobSpread& SpreadOf(const JobSpec& spec) {
    auto [it, inserted] = spreads.try_emplace(spec.id);
    if (inserted && (spec.spread || spec.one_zone)) {
      for (const CandidateMachine& machine : machines) {
        it->second.by_zone[machine.zone] += machine.TasksOf(spec.id);
      }
    }
    return it->second;
  }
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_SCHEDULER_PLAN_H_
