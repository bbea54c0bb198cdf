// In-memory fake of a machine's worker process.
#ifndef TROUTLINK_TESTS_FAKE_WORKER_H_
#define TROUTLINK_TESTS_FAKE_WORKER_H_

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

// How long tasks go on after the last report that was answered.
constexpr Micros kWorkerLease = 10 * kSecond;

// Runs tasks, reports them, carries commands out and ends its session with its lease, as the
// published protocol describes it.
class FakeWorker {
 public:
  // A task of the present session. `ends`: when it changes state by itself; 0: never.
  struct Task {
    uint64_t attempt = 0;
    TaskState state = TaskState::kRunning;
    ExitReason why = ExitReason::kNone;
    Micros ends = 0;
  };

  // The next report: takes a sequence number.
  AgentHeartbeat MakeReport();
  // Carries start, stop and reap commands out.
  void Apply(Micros now, const Json& orders);
  // Answers a request that a node sent straight to it: status and body.
  std::pair<int, std::string> Serve(Micros now, const std::string& target, const Json& body);
  // Takes in the answer to a report that was sent then, in that session.
  void TakeAnswer(Micros now, Micros sent, uint64_t sent_incarnation, const Json& answer);
  // Lets fetches, tasks and the lease end whose time has come.
  void Advance(Micros now);
  // Whether a task of that job has not exited on it.
  bool Has(const std::string& job) const;
  // Whether that node can speak to it.
  bool Reaches(size_t from_node) const {
    return !silent && (only_node < 0 || only_node == static_cast<int>(from_node));
  }

  std::string name, addr, type, zone;
  bool spot = false, dead = false, fails_all = false, silent = false;
  bool hung = false;       // does nothing at all, and may go on later
  bool unhearing = false;  // its reports arrive, answers and commands do not reach it
  bool mute = false;       // it reaches no controller, direct commands reach it
  int only_node = -1;      // in a zone that is cut off: only this one and it reach each other
  uint64_t incarnation = 1, seq = 0, token = 0;
  std::map<std::pair<std::string, int>, Task> tasks;
  std::map<std::string, Micros> run_time;  // by job; 0: until stopped
  size_t node = 0;                         // that it reports to
  Micros next_report = 0, lease_from = 0;
  Micros fetch_time = 0;  // until a task that was started has its image
  bool reporting = false;
  int starts = 0;  // commands to start that were carried out
  // Called when a task begins to run.
  std::function<void(const std::string& job, int task)> on_start;
  // Of all workers: results are kept, a task that is done exits as done when started.
  std::set<std::pair<std::string, int>>* results = nullptr;
  // Jobs that were submitted with a mistake: they fail everywhere.
  const std::set<std::string>* mistaken = nullptr;

 private:
  void StartTask(Micros now, const std::string& job, int task_index, uint64_t attempt);
  void BeginToRun(Micros now, const std::string& job, int task_index, Task* task);
};

// All machines of a story, by name; those that went back stay, marked as dead.
using Workers = std::map<std::string, std::unique_ptr<FakeWorker>>;

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_FAKE_WORKER_H_
