// In-memory fake of a machine's agent.
#ifndef TROUTLINK_TESTS_FAKE_AGENT_H_
#define TROUTLINK_TESTS_FAKE_AGENT_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "core/core.h"
#include "wire/pack.h"

namespace troutlink::test {

using wire::Json;

// Lease of an agent.
constexpr Micros kAgentLease = 10 * kSecond;

// Runs tasks, sends heartbeats, executes commands and starts a new incarnation when its lease
// expires, as specified by the published protocol.
class FakeAgent {
 public:
  // A task of the current incarnation. `ends`: time of its next state change; 0: never.
  struct Task {
    uint64_t attempt = 0;
    TaskState state = TaskState::kRunning;
    ExitReason why = ExitReason::kNone;
    Micros ends = 0;
  };

  // Creates the next heartbeat, with a new sequence number.
  AgentHeartbeat MakeHeartbeat();
  // Executes start, stop and forget commands.
  void Apply(Micros now, const Json& orders);
  // Answers a direct request of a node with a status and body.
  std::pair<int, std::string> Serve(Micros now, const std::string& target, const Json& body);
  // Handles the reply to a heartbeat sent at `sent` in that incarnation.
  void HandleReply(Micros now, Micros sent, uint64_t sent_incarnation, const Json& answer);
  // Finishes image fetches, tasks and the lease that are due.
  void Advance(Micros now);
  // Whether a task of the job has not exited.
  bool Has(const std::string& job) const;
  // Whether the node can connect to it.
  bool Reaches(size_t from_node) const {
    return !silent && (reachable_node < 0 || reachable_node == static_cast<int>(from_node));
  }

  std::string name, addr, type, zone;
  bool spot = false, dead = false, fails_all_tasks = false, silent = false;
  bool hung = false;              // does nothing; may resume later
  bool inbound_blocked = false;   // its heartbeats arrive, replies and commands do not
  bool outbound_blocked = false;  // its heartbeats are lost, direct commands arrive
  int reachable_node = -1;        // in a partitioned zone: the only node that it can reach; -1: all
  uint64_t incarnation = 1, seq = 0, token = 0;
  std::map<std::pair<std::string, int>, Task> tasks;
  std::map<std::string, Micros> run_time;  // by job; 0: until stopped
  size_t node = 0;                         // that it sends heartbeats to
  Micros next_heartbeat = 0, lease_from = 0;
  Micros fetch_time = 0;  // duration of an image fetch
  Micros save_time = 0;   // that a task with checkpoints needs when it is stopped
  bool reporting = false;
  int starts = 0;  // executed start commands
  // Called when a task starts to run.
  std::function<void(const std::string& job, int task)> on_start;
  // Shared by all agents: finished tasks, which exit as done when started again.
  std::set<std::pair<std::string, int>>* results = nullptr;
  // Jobs whose tasks fail on every machine.
  const std::set<std::string>* failing_jobs = nullptr;

 private:
  // Stops a task, which first writes a checkpoint if `grace` allows it.
  void Stop(Micros now, Micros grace, Task* task);
  void StartTask(Micros now, const std::string& job, int task_index, uint64_t attempt);
  void BeginRunning(Micros now, const std::string& job, int task_index, Task* task);
};

// All machines by name; returned ones stay, marked as dead.
using Agents = std::map<std::string, std::unique_ptr<FakeAgent>>;

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_FAKE_AGENT_H_
