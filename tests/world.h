// Simulated cluster: the controllers' cores between fakes of the key-value store, the cloud, the
// agents and the users. Time is simulated: a test advances it explicitly.
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
#include "fake_agent.h"
#include "fake_cloud.h"
#include "fake_state.h"
#include "rule_checker.h"
#include "users.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::test {

// Nodes, fakes and the network between them, single-threaded and deterministic. The RuleChecker
// checks the rules at every step.
class World {
 public:
  // `change` may modify the platform's settings before the nodes start.
  explicit World(int nodes = 3, const std::function<void(Json* facts)>& change = nullptr);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // --- time ---

  // Advances the time.
  void Run(Micros time);
  // Advances the time until the condition holds. Returns false if it did not within `most`.
  bool RunUntil(const std::function<bool()>& holds, Micros most);

  // --- users ---

  // Response to a request, filled in when it arrives.
  struct Response {
    int status = -100;  // not answered yet
    Json body;
    int retry_after = 0;
  };
  // Sends a request to a node without waiting.
  std::shared_ptr<Response> SendRequest(size_t node, const std::string& method,
                                        const std::string& target, const std::string& body = "");
  // Submits a job to a node without waiting.
  std::shared_ptr<Response> Submit(size_t node, const JobSpec& spec);
  // Repeats a request until the response is final; returns the last one.
  Response SendUntilFinal(size_t node, const std::string& method, const std::string& target,
                          const std::string& body = "");
  // Sets the run time of a job's tasks on all current and future machines.
  void SetRunTime(const std::string& job, Micros time);
  // Array of team blue: 4 CPUs per task, spot allowed.
  static JobSpec Array(const std::string& id, int tasks);
  // Production service of team blue: 2 CPUs per replica, no spot.
  static JobSpec Service(const std::string& id, int tasks);

  // --- nodes and machines ---

  // Kills a node's process. Open requests fail.
  void Kill(size_t node);
  // Starts a node's process.
  void Start(size_t node);
  // Pauses a node's process while its clocks continue; input is queued.
  void Pause(size_t node);
  // Resumes a paused node, which then handles its queued input.
  void Resume(size_t node);
  // Nodes whose stored version is hidden from the others, as if they had not been upgraded.
  std::set<size_t> version_1_nodes;
  // Puts the announced limits of the store into force.
  void ApplyAnnouncedLimits() { state.limits = settings.next_state_limits; }
  // Adds a running machine that was not rented.
  FakeAgent& AddAgent(const std::string& type, bool spot = false);

  // --- faults of the network and the store ---

  bool store_down = false;                   // answers 503 to all
  std::set<size_t> partitioned_from_store;   // their requests get no answer
  std::set<size_t> refused_by_store;         // their requests get 503
  std::set<size_t> partitioned_from_agents;  // no connection between them and the agents
  std::set<size_t> without_watches;          // their watches and lists get no answer
  bool store_busy = false;                   // answers 429 to everything but renewals and watches
  Micros store_latency = 0;                  // added to each round trip
  std::set<size_t> partitioned_from_peers;   // no connection between them and their peers
  bool peer_network_down = false;            // no connection between any nodes
  std::set<std::pair<size_t, size_t>> partitioned_links;  // no connection between these two
  bool delay_peer_messages = false;  // queue peer messages until DeliverPeerMessages()
  // Ends `delay_peer_messages` and delivers the queued messages in order.
  void DeliverPeerMessages();
  std::set<std::string> failing_jobs;  // their tasks fail on every machine
  // Called for every call of a node. If it returns true, the call is dropped, kept in
  // `dropped_calls`, and its sender gets no answer.
  std::function<bool(size_t node, const Call& call)> drop_call;
  // Dropped calls, which may be delivered late.
  std::vector<std::pair<size_t, Call>> dropped_calls;
  // Executes all dropped calls.
  void DeliverDroppedCalls();
  // Executes a call after a delay, independently of its sender.
  void DeliverCallLater(size_t node, const Call& call, Micros after);
  // Delivers a heartbeat made now after a delay.
  void DelayHeartbeat(FakeAgent* agent, size_t node, Micros after);
  // Copies of all heartbeats, for late delivery.
  bool record_heartbeats = false;
  std::vector<std::pair<std::string, std::string>>
      recorded_heartbeats;  // by machine, with the body
  // Copies of all modifying calls, for repetition.
  bool record_calls = false;
  std::vector<std::pair<size_t, Call>> recorded_calls;
  // Executes all recorded calls again, which must break no rule.
  void RepeatRecordedCalls();

  // --- state ---

  // Number of the job's tasks on all machines that have not exited.
  int CountTasks(const std::string& job) const;
  // The node that considers itself the shard's leader, the lowest if there are several; -1: none.
  int LeaderOf(int shard_id) const;
  // What users requested and learned about every job.
  const std::map<std::string, Users::TrackedJob>& jobs() const { return users.jobs(); }
  // All violations of rules.
  const std::vector<std::string>& violations() const { return rules.violations; }
  // The core of a running node.
  Core& core(size_t node) { return *nodes_[node].core; }
  bool alive(size_t node) const { return nodes_[node].core != nullptr; }

  Settings settings;
  FakeState state;
  Agents agents;
  Micros now = 1000 * kSecond;
  std::map<std::string, Micros> run_time;         // of the tasks of new jobs
  std::set<std::pair<std::string, int>> results;  // finished tasks
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
    bool paused = false;
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
  // Runs an action at that time, after earlier ones for the same time.
  void At(Micros when, std::function<void()> run);
  // Runs an action now, or when the paused node resumes.
  void Deliver(size_t node, std::function<void()> run);

  // --- output of nodes ---
  void Dispatch(size_t node, const Outbox& out);
  void SendCall(size_t node, const Call& call);
  void SendToPeer(size_t node, const PeerMessage& message);
  std::pair<int, std::string> Serve(size_t node, const Call& call, bool* hang);
  std::pair<int, std::string> ServeState(size_t node, const Call& call, bool* hang);
  std::pair<int, std::string> ServeAgent(size_t node, const Call& call, bool* hang);
  void AnswerCall(size_t node, uint64_t boot, uint64_t call, int status, std::string body);
  void FailCall(size_t node, uint64_t boot, const Call& call);

  // --- heartbeats ---
  void SendHeartbeat(FakeAgent* agent);
  void HandleHeartbeatReply(FakeAgent* agent, size_t node, Micros sent, uint64_t incarnation,
                            const Reply& reply);
  void ScheduleHeartbeat(FakeAgent* agent, size_t to, Micros wait);

  // --- simulation step ---
  void Step();
  void TickNodes();
  void AdvanceAgents();
  void AnswerWatches();
  void RunEvents();

  DecisionDigest digest_;
  Micros next_check_ = 0;
  Micros next_assigned_check_ = 0;
  std::vector<Node> nodes_;
  std::vector<Event> events_;
  std::vector<std::function<void()>> delayed_peer_messages_;
  std::vector<OpenWatch> watches_;
  uint64_t order_ = 0;
  uint64_t next_boot_ = 1;
  int next_machine_ = 1;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_WORLD_H_
