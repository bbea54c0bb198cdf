// In-memory fakes of the network, the state service, the cloud and the workers,
// which speak the published protocol, and the controllers' cores between them.
// Time is simulated: a story says how long it waits, nothing sleeps.
#ifndef TROUTLINK_TESTS_WORLD_H_
#define TROUTLINK_TESTS_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "wire/pack.h"

namespace troutlink::test {

using wire::Json;

class FakeState {
 public:
  struct Item {
    Json value;
    uint64_t version = 0;
    uint64_t lease = 0;
  };
  // Status and body of an answer.
  std::pair<int, Json> Handle(Micros now, const std::string& method, const std::string& target,
                              const Json& body);
  void Expire(Micros now);
  // An outage ends: every lease has its full time again.
  void Refresh(Micros now);

  std::map<std::string, Item> items;
  uint64_t revision = 1;
  struct Lease {
    Micros life = 0, until = 0;
  };
  std::map<uint64_t, Lease> leases;
  uint64_t next_lease = 1;
  struct Change {
    uint64_t revision;
    std::string key;
    bool erase;
  };
  std::vector<Change> changes;
  int commits = 0;
};

class FakeWorker {
 public:
  struct Task {
    uint64_t attempt = 0;
    TaskState state = TaskState::kRunning;
    ExitReason why = ExitReason::kNone;
    Micros ends = 0;
  };
  Report MakeReport();
  void Apply(Micros now, const Json& orders);
  void Advance(Micros now);
  void Begin(Micros now, const std::string& job, int task, Task* t);
  bool Has(const std::string& job) const;

  std::string name, addr, type, zone;
  bool spot = false, dead = false, fails_all = false, silent = false;
  bool hung = false;       // does nothing at all, and may go on later
  bool unhearing = false;  // its reports arrive, answers and commands do not reach it
  bool mute = false;       // it reaches no controller, direct commands reach it
  int only_node = -1;      // in a zone that is cut off: only this one and it reach each other
  // Whether it can be spoken to by that node.
  bool Reaches(size_t node) const {
    return !silent && (only_node < 0 || only_node == static_cast<int>(node));
  }
  uint64_t session = 1, seq = 0, token = 0;
  std::map<std::pair<std::string, int>, Task> tasks;
  std::map<std::string, Micros> run_time;  // by job; 0: until stopped
  size_t node = 0;
  Micros next_report = 0, lease_from = 0;
  Micros fetch_time = 0;  // until a task that was started has its image
  bool reporting = false;
  int starts = 0;
  std::function<void(const std::string& job, int task)> on_start;
  // Of all workers: results are kept, a task that is done exits as done when started.
  std::set<std::pair<std::string, int>>* results = nullptr;
  // Jobs that were submitted with a mistake: they fail everywhere.
  const std::set<std::string>* mistaken = nullptr;
};

class World {
 public:
  // `change` may alter the platform's settings before the nodes start.
  explicit World(int nodes = 3, const std::function<void(Json* facts)>& change = nullptr);

  // --- the story's verbs ---
  void Run(Micros time);
  // Runs until the condition holds; false when it did not within `most`.
  bool Until(const std::function<bool()>& holds, Micros most);
  FakeWorker& AddWorker(const std::string& type, bool spot = false);
  struct Answered {
    int status = -100;  // none yet
    Json body;
    int retry_after = 0;
  };
  std::shared_ptr<Answered> Ask(size_t node, const std::string& method, const std::string& target,
                                const std::string& body = "");
  std::shared_ptr<Answered> Submit(size_t node, const JobSpec& spec);
  // Asks until the answer is final for the user; returns the last one.
  Answered AskUntil(size_t node, const std::string& method, const std::string& target,
                    const std::string& body = "");
  void Kill(size_t node);
  void Start(size_t node);
  // Stands still while its clocks run on; what arrives meanwhile waits for it.
  void Freeze(size_t node);
  void Thaw(size_t node);
  int OnMachines(const std::string& job) const;
  int LeaderOf(int shard_id) const;

  static JobSpec Array(const std::string& id, int tasks);
  static JobSpec Service(const std::string& id, int tasks);

  // --- troubles ---
  bool state_down = false;            // 503 to all
  std::set<size_t> cut_from_state;    // requests of these get no answer
  std::set<size_t> refused_by_state;  // these get 503
  std::set<size_t> cut_from_workers;
  bool state_busy = false;   // 429 to all but renewals and watches
  Micros state_latency = 0;  // beyond the usual one, both ways together
  std::set<size_t> cut_from_mesh;
  bool mesh_down = false;                         // siblings do not hear each other
  std::set<std::pair<size_t, size_t>> cut_links;  // nor do these two
  bool hold_mesh = false;  // what siblings say arrives, in order, at ReleaseMesh
  void ReleaseMesh();
  bool cloud_down = false;
  int capacity = 100;
  std::function<Micros()> boot_time;  // of the next machine that is rented; unset: 5 s
  std::set<std::string> mistaken;     // jobs that fail everywhere
  // Called for every call that a node sends; true: it is lost (no answer, but
  // `late` runs it at a later time if set).
  std::function<bool(size_t node, const Call& call)> lose;
  // Copies of every report, for stories that deliver them late.
  bool keep_reports = false;
  std::vector<std::pair<std::string, std::string>> kept;  // machine, body
  // Requests that were lost, to be delivered late.
  std::vector<std::pair<size_t, Call>> held;
  void DeliverHeld();
  // Carries a call out after that time, whatever became of its sender.
  void ServeLater(size_t node, const Call& call, Micros after);
  // A report that the worker makes now is held up and arrives at the node then.
  void ReportLater(FakeWorker* w, size_t node, Micros after);
  // Of a job's tasks on all machines, also those that come.
  void SetRunTime(const std::string& job, Micros time);
  // Copies of every request that changes something, for stories that repeat them.
  bool keep_calls = false;
  std::vector<std::pair<size_t, Call>> carried;
  // Whatever comes of it, a repeat must change nothing that a rule forbids.
  void RepeatCarried();

  struct Known {  // what users did and were told about a job
    JobSpec spec;
    bool asked_cancel = false;
    Micros accepted = 0, done = 0, cancelled = 0;  // told first
  };
  const std::map<std::string, Known>& jobs() const { return jobs_; }

  Settings settings;
  FakeState state;
  std::map<std::string, std::unique_ptr<FakeWorker>> workers;
  Micros now = 1000 * kSecond;
  // Every broken rule that the fakes notice, from the workers' and the users' side.
  std::vector<std::string> broken;
  // Starts of tasks whose job's user had been told of its cancellation: each is allowed
  // until `cancel_s` after the telling, and unwelcome.
  int starts_after_cancel = 0;
  std::map<std::string, Micros> run_time;               // of new jobs' tasks
  std::map<std::string, std::pair<Json, Json>> rented;  // request and answer, by name
  int rentals = 0, returns = 0;
  std::set<std::pair<std::string, int>> results;

  Core& core(size_t node) { return *nodes_[node].core; }
  bool alive(size_t node) const { return nodes_[node].core != nullptr; }

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
  void At(Micros when, std::function<void()> run);
  void Dispatch(size_t node, const Outbox& out);
  void Carry(size_t node, const Call& call);
  std::pair<int, std::string> Serve(size_t node, const Call& call, bool* hang);
  std::pair<int, Json> Cloud(const std::string& method, const std::string& target,
                             const Json& body);
  // Runs it now, or once the node goes on.
  void Deliver(size_t node, std::function<void()> run);
  void AnswerCall(size_t node, uint64_t boot, uint64_t call, int status, std::string body);
  void WorkerReports(FakeWorker* w);
  void Step();
  // --- the rules, checked without asking any core ---
  void Break(const std::string& what);
  void OnStart(const FakeWorker& on, const std::string& job, int task);
  void NoteAnswer(Micros asked, const std::string& target, const std::string& method,
                  const std::string& body, const Reply& reply);
  void CheckRules();
  std::map<std::string, Known> jobs_;
  Micros next_check_ = 0;

  std::vector<Node> nodes_;
  std::vector<Event> events_;
  std::vector<std::function<void()>> held_mesh_;
  struct OpenWatch {
    size_t node;
    uint64_t boot;
    Call call;
    uint64_t after;
    Micros until;
  };
  std::vector<OpenWatch> watches_;
  std::set<std::string> rented_names_;  // their room in the cloud is free again once returned
  uint64_t order_ = 0;
  uint64_t next_boot_ = 1;
  int next_machine_ = 1;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_WORLD_H_
