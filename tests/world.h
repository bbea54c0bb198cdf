// The simulation: the controllers' cores between fakes of the state service, the cloud, the
// workers and the users. Time is simulated: a test says how long it waits, nothing sleeps.
#ifndef TROUTLINK_TESTS_WORLD_H_
#define TROUTLINK_TESTS_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "decision_digest.h"
#include "fake_cloud.h"
#include "fake_state.h"
#include "fake_worker.h"
#include "rule_checker.h"
#include "users.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::test {

// Nodes, the fakes and the network between them, in one thread and in a fixed order: the same
// test always gives the same run. The RuleChecker watches at every step.
class World {
 public:
  // `change` may alter the platform's settings before the nodes start.
  explicit World(int nodes = 3, const std::function<void(Json* facts)>& change = nullptr);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // --- time ---

  // Lets that much time pass.
  void Run(Micros time);
  // Runs until the condition holds; false when it did not within `most`.
  bool Until(const std::function<bool()>& holds, Micros most);

  // --- users ---

  // An answer, filled in once it comes.
  struct Answered {
    int status = -100;  // none yet
    Json body;
    int retry_after = 0;
  };
  // Sends a request to a node and returns at once.
  std::shared_ptr<Answered> Ask(size_t node, const std::string& method, const std::string& target,
                                const std::string& body = "");
  // Submits a job to a node and returns at once.
  std::shared_ptr<Answered> Submit(size_t node, const JobSpec& spec);
  // Asks until the answer is final for the user; returns the last one.
  Answered AskUntil(size_t node, const std::string& method, const std::string& target,
                    const std::string& body = "");
  // Sets the run time of a job's tasks on all machines, also those that come.
  void SetRunTime(const std::string& job, Micros time);
  // A batch array of team blue: 4 cpus a task, spot allowed.
  static JobSpec Array(const std::string& id, int tasks);
  // A production service of team blue: 2 cpus a replica, no spot.
  static JobSpec Service(const std::string& id, int tasks);

  // --- nodes and machines ---

  // Ends a node's process. Requests that it had not answered fail.
  void Kill(size_t node);
  // Starts a node's process anew.
  void Start(size_t node);
  // Stands still while its clocks run on; what arrives meanwhile waits for it.
  void Freeze(size_t node);
  // A frozen node goes on, with all that waited for it.
  void Thaw(size_t node);
  // Nodes whose version the others do not learn: as if they had not been upgraded.
  std::set<size_t> version_1;
  // The state service has its announced limits from now on.
  void LowerStateLimits() { state.limits = settings.next_state_limits; }
  // A running machine that nobody rented.
  FakeWorker& AddWorker(const std::string& type, bool spot = false);

  // --- troubles of the network and the state service ---

  bool state_down = false;                        // 503 to all
  std::set<size_t> cut_from_state;                // requests of these get no answer
  std::set<size_t> refused_by_state;              // these get 503
  std::set<size_t> cut_from_workers;              // these and the workers do not reach each other
  std::set<size_t> cut_from_watch;                // watches and lists of these get no answer
  bool state_busy = false;                        // 429 to all but renewals and watches
  Micros state_latency = 0;                       // beyond the usual one, both ways together
  std::set<size_t> cut_from_mesh;                 // these hear no sibling and are not heard
  bool mesh_down = false;                         // siblings do not hear each other
  std::set<std::pair<size_t, size_t>> cut_links;  // nor do these two
  bool hold_mesh = false;  // what siblings say arrives, in order, at ReleaseMesh
  // Ends `hold_mesh` and delivers what was held.
  void ReleaseMesh();
  std::set<std::string> mistaken;  // jobs that fail everywhere
  // Called for every call that a node sends; true: it is lost and kept in `held`. The sender
  // gets no answer.
  std::function<bool(size_t node, const Call& call)> lose;
  // Requests that were lost, to be delivered late.
  std::vector<std::pair<size_t, Call>> held;
  // Carries all of `held` out.
  void DeliverHeld();
  // Carries a call out after that time, whatever became of its sender.
  void ServeLater(size_t node, const Call& call, Micros after);
  // A report that the worker makes now is held up and arrives at the node then.
  void ReportLater(FakeWorker* worker, size_t node, Micros after);
  // Copies of every report, for tests that deliver them late.
  bool keep_reports = false;
  std::vector<std::pair<std::string, std::string>> kept;  // machine, body
  // Copies of every request that changes something, for tests that repeat them.
  bool keep_calls = false;
  std::vector<std::pair<size_t, Call>> carried;
  // Carries all of `carried` out again, which must change nothing that a rule forbids.
  void RepeatCarried();

  // --- what there is to see ---

  // Tasks of the job that have not exited, on all machines.
  int OnMachines(const std::string& job) const;
  // The node that believes itself the shard's leader, the lowest if several do; -1: none.
  int LeaderOf(int shard_id) const;
  // What users did and were told about every job.
  const std::map<std::string, Users::Known>& jobs() const { return users.jobs(); }
  // Every broken rule.
  const std::vector<std::string>& broken() const { return rules.broken; }
  // The core of a node that is alive.
  Core& core(size_t node) { return *nodes_[node].core; }
  bool alive(size_t node) const { return nodes_[node].core != nullptr; }

  Settings settings;
  FakeState state;
  Workers workers;
  Micros now = 1000 * kSecond;
  std::map<std::string, Micros> run_time;         // of new jobs' tasks
  std::set<std::pair<std::string, int>> results;  // tasks that were done
  Users users;
  RuleChecker rules;
  FakeCloud cloud;

 private:
  struct Event {
    Micros at;
    uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  struct Node {
    Settings settings;
    std::unique_ptr<Core> core;
    uint64_t boot = 0;
    std::map<uint64_t, std::function<void(const Reply&)>> waiting;
    uint64_t next_request = 1;
    Micros next_tick = 0;
    bool frozen = false;
    std::vector<std::function<void()>> delayed;
  };
  struct OpenWatch {
    size_t node;
    uint64_t boot;
    Call call;
    uint64_t after;
    Micros until;
  };

  void ReadSettings(int nodes, const std::function<void(Json* facts)>& change);
  // Runs it at that time, after what was planned for it before.
  void At(Micros when, std::function<void()> run);
  // Runs it now, or once the node goes on.
  void Deliver(size_t node, std::function<void()> run);

  // --- what nodes send ---
  void Dispatch(size_t node, const Outbox& out);
  void Carry(size_t node, const Call& call);
  void SendToPeer(size_t node, const PeerMessage& message);
  std::pair<int, std::string> Serve(size_t node, const Call& call, bool* hang);
  std::pair<int, std::string> ServeState(size_t node, const Call& call, bool* hang);
  std::pair<int, std::string> ServeWorker(size_t node, const Call& call, bool* hang);
  void AnswerCall(size_t node, uint64_t boot, uint64_t call, int status, std::string body);
  void FailCall(size_t node, uint64_t boot, const Call& call);

  // --- what workers send ---
  void WorkerReports(FakeWorker* worker);
  void TakeReportAnswer(FakeWorker* worker, size_t node, Micros sent, uint64_t incarnation,
                        const Reply& reply);
  void ReportNext(FakeWorker* worker, size_t to, Micros wait);

  // --- one step of time ---
  void Step();
  void TickNodes();
  void AdvanceWorkers();
  void AnswerWatches();
  void RunEvents();

  DecisionDigest digest_;
  Micros next_check_ = 0;
  Micros next_assigned_check_ = 0;
  std::vector<Node> nodes_;
  std::vector<Event> events_;
  std::vector<std::function<void()>> held_mesh_;
  std::vector<OpenWatch> watches_;
  uint64_t order_ = 0;
  uint64_t next_boot_ = 1;
  int next_machine_ = 1;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_WORLD_H_
