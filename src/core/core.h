// Core: one controller as a state machine. It takes inputs and returns what to send, write and
// answer. See docs/design.md for the rationale of each rule.
#ifndef TROUTLINK_CORE_CORE_H_
#define TROUTLINK_CORE_CORE_H_

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "core/agents/failure_tracker.h"
#include "core/api/user_api.h"
#include "core/fleet/cloud_answers.h"
#include "core/fleet/instance_lister.h"
#include "core/fleet/instance_returns.h"
#include "core/fleet/machine_type_catalog.h"
#include "core/fleet/offer.h"
#include "core/fleet/offer_backoff.h"
#include "core/fleet/offer_health.h"
#include "core/fleet/offer_selector.h"
#include "core/fleet/rental_requests.h"
#include "core/io/effects.h"
#include "core/io/io.h"
#include "core/io/starvation_guard.h"
#include "core/io/token_bucket.h"
#include "core/leadership/heartbeat_exchange.h"
#include "core/leadership/leader_election.h"
#include "core/leadership/leadership_observer.h"
#include "core/leadership/leadership_store.h"
#include "core/leadership/machine_status_source.h"
#include "core/leadership/peer_report_listener.h"
#include "core/leadership/peer_table.h"
#include "core/leadership/permits.h"
#include "core/leadership/session_lease_keeper.h"
#include "core/leadership/shard_leadership.h"
#include "core/scheduler/placement.h"
#include "core/scheduler/wait_reason.h"
#include "core/store/cancellations.h"
#include "core/store/cluster_version.h"
#include "core/store/job_entry.h"
#include "core/store/job_table.h"
#include "core/store/node_health.h"
#include "core/store/records.h"
#include "core/store/replica.h"
#include "core/store/replica_observer.h"
#include "core/store/replica_sync.h"
#include "core/store/shard_records.h"
#include "wire/messages.h"

namespace troutlink {

// Counters since the start of the process, exported as metrics.
struct Counters {
  // Agents.
  uint64_t heartbeats = 0;
  uint64_t redirects = 0;
  uint64_t relays = 0;
  uint64_t renewed = 0;
  uint64_t renewed_on_behalf = 0;
  uint64_t renewed_as_former_leader = 0;
  uint64_t unresponsive = 0;         // leases that expired despite a reply
  uint64_t unanswered_commands = 0;  // direct commands without an answer
  uint64_t fencing_raises = 0;
  uint64_t starts = 0;
  uint64_t stops = 0;
  uint64_t terminated_attempts = 0;

  // Replica.
  uint64_t lists = 0;    // answered by the store
  uint64_t watches = 0;  // answered by the store
  uint64_t cancellations = 0;
  uint64_t reported_cancellations = 0;  // by peers, before the replica had them
  uint64_t cascade_cancelled = 0;       // cancelled because a dependency was

  // Scheduling.
  uint64_t cycles = 0;
  uint64_t oversized_plans = 0;
  uint64_t commits = 0;
  uint64_t commit_conflicts = 0;
  uint64_t commit_unknown = 0;     // commits without an answer
  uint64_t refused_by_limits = 0;  // answers 400 of the store
  uint64_t puts = 0;
  uint64_t acquired_machines = 0;
  uint64_t quota_transfers = 0;
  uint64_t job_moves = 0;
  uint64_t consolidated = 0;
  uint64_t preempted = 0;
  uint64_t tails = 0;
  uint64_t tail_machines = 0;
  uint64_t overdue_tasks = 0;

  // Fleet.
  uint64_t rented_machines = 0;
  uint64_t refused_rentals = 0;
  uint64_t returned = 0;
  uint64_t adopted = 0;

  // Leadership.
  uint64_t elections = 0;
  uint64_t lost_leaderships = 0;
  uint64_t failbacks = 0;
};

class Core : private LeadershipStore,
             private LeadershipObserver,
             private MachineStatusSource,
             private PeerReportListener,
             private ReplicaObserver {
 public:
  // `boot` identifies this incarnation of the process.
  Core(const Settings& settings, uint64_t boot, Micros now, Micros wall);
  ~Core() override;
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  Outbox HandleRequest(Micros now, const Request& request);
  Outbox HandleAnswer(Micros now, uint64_t call, int status, const std::string& body);
  Outbox HandlePeer(Micros now, const std::string& from, const mesh::Message& message);
  // Call several times a second. `wall` is the time of day.
  Outbox Tick(Micros now, Micros wall);

  const Counters& counters() const { return counters_; }
  const ApiCounters& api_counters() const { return user_api_.counters(); }
  const Effects::CallCounts& call_counts() const { return effects_.call_counts(); }
  // For operators and tests.
  bool IsLeader(int shard_id) const { return election_.IsLeader(shard_id); }
  bool Synced() const override { return sync_.feed().synced(); }
  const AssignmentTable& AssignmentsOf(int shard_id) const {
    return replica_.records(shard_id).assignments;
  }
  std::string MetricsText(Micros now) const;
  // Actions that violated an invariant and were not carried out.
  const EnumCounter<Violation, kViolations>& violations() const { return violations_; }
  // Enables debug log lines for single permits.
  void SetDetailedLog(bool detailed) { effects_.set_logs_debug(detailed); }

 private:
  struct AttemptState;
  struct AgentState;

  // Resources used by a shard's attempts, recomputed when its assignment table changes.
  struct ResourceUsage {
    std::map<std::string, QuotaShare> teams;
    std::unordered_map<std::string, int> jobs;  // number of attempts by job
  };
  // Resources used on one machine, for comparing shards.
  struct MachineUsage {
    const AssignedMachine* machine = nullptr;
    Resources all;
    std::array<Resources, kPriorities> by_priority;
    std::set<std::string> images;  // of its tasks
    // Cached lookups, in the order of the machine's attempts; only for shards that this node leads.
    struct Slot {
      AttemptState* attempt = nullptr;
      const JobEntry* job = nullptr;
    };
    AgentState* agent = nullptr;
    std::vector<Slot> slots;
  };
  // Usage of one shard, recomputed when its assignment table changes.
  struct ShardUsage {
    ResourceUsage total;
    std::vector<MachineUsage> machines;  // of the table, by name
    size_t attempts = 0;
    bool any_draining = false;
  };
  // The failure detector's view of all machines of a shard.
  struct MachineSilence {
    Micros most_silent_at = 0;  // last time that most machines were silent at once; 0: never
    int silent = 0;             // machines that were up and are now silent
  };
  // State of the scheduling cycles of a shard that this node leads.
  struct CycleState {
    bool committing = false;
    bool dirty = false;         // a cycle is needed
    bool cleanup_only = false;  // only removals to commit, which may wait
    Micros last_cycle_at = 0;
    Micros last_commit_at = 0;
    Micros not_before = 0;
    Micros cycle_started_at = 0;
    Micros cleanup_at = 0;
    int conflicts = 0;
    Micros transfers_after = 0;     // no transfers from other shards before
    Micros unplaced_logged_at = 0;  // last log line about unplaced production work
    Micros no_backlog_since = 0;    // start of the time without backlog
    Micros next_consolidation_at = 0;
    Micros progress_at = 0;
    bool progress_dirty = false;
    bool table_maintained = false;   // the last turn went to table maintenance
    bool records_committed = false;  // the last turn went to job records
    uint32_t batch = 0;              // starts per cycle
    Micros next_state_log = 0;       // time of the next log line on the shard's state
    int next_cleanup_chunk = 0;      // next chunk to clean up
    int partial_cycles = 0;          // number of cycles over a table of many chunks
    int reduced_cycles_left = 0;  // cycles left with reduced limits, after a plan that did not fit
    double array_peak_cpus = 0;   // peak demand of arrays, in milli-CPUs
    double decayed_array_peak = 0;  // in milli-CPUs
    Micros array_peak_at = 0;
  };
  struct Shard {
    Shard(const ShardRecords& records, const ShardLeadership& leadership)
        : replica(records), leadership(leadership) {}
    const ShardRecords& replica;  // owned by replica_
    ShardUsage usage;
    const ShardLeadership& leadership;  // owned by election_
    MachineSilence silence;
    CycleState cycle;
  };

  // --- ReplicaObserver (replica_events.cc) ------------------------------------------------
  void OnJobOpen(const std::string& id, const JobEntry& entry) override;
  void OnJobFinished(Micros now, const std::string& id, const JobEntry& entry) override;
  void OnJobUnblocked(const std::string& id, const JobEntry& entry) override;
  void OnUrgencyUpdated(const std::string& id, const JobEntry& entry) override;
  void OnCascadeCancelled(const std::string& id, size_t count) override;
  void OnMachineAssigned(Micros now, int shard_id, const AssignedMachine& machine) override;
  void OnMachineUnassigned(Micros now, const std::string& machine) override;
  void OnTableChanged(Micros now, int shard_id) override;
  void OnLeadershipRecord(Micros now, int shard_id, const Leadership& leadership,
                          uint64_t revision) override;
  void OnLeadershipErased(Micros now, int shard_id, uint64_t revision) override;
  void OnMachineTypes(const std::string& value) override;
  void OnCaughtUp(Source source, Micros complete_up_to) override;
  void OnStateWriteSent() override;
  ShardUsage UsageOf(const AssignmentTable& table) const;
  MachineUsage CountUsage(const AssignedMachine& machine) const;
  // Whether the shard exists and this node leads it.
  bool LeadsShard(int shard_id) const;
  void LogCancellation(Micros now, const std::string& id, std::string_view source);

  Shard& ShardAt(int shard_id) { return shards_[static_cast<size_t>(shard_id)]; }
  const Shard& ShardAt(int shard_id) const { return shards_[static_cast<size_t>(shard_id)]; }

  // --- MachineStatusSource and PeerReportListener (peer_reports.cc) -------------------------
  uint64_t ReplicaRevision() const override { return sync_.feed().revision(); }
  std::vector<mesh::SilentMachine> SilentMachines(Micros now, size_t limit) const override;
  CachedImagesPage CachedImagesFrom(const MachineCursor& from, size_t limit) const override;
  std::vector<std::string> CachedServiceImages(const std::string& machine) const;
  void OnCancellationReported(Micros now, const std::string& id) override;
  void OnCachedImagesReported(Micros now, const mesh::CachedImages& cached) override;
  bool OnMachineSilent(Micros now, const std::string& machine, Micros silent) override;
  void OnMachineHeardAgain(const std::string& machine) override;
  // Whether the machine is assigned to a shard that another node leads.
  bool LedByAnother(const std::string& machine) const;

  // --- LeadershipStore (leadership_store.cc) and LeadershipObserver (failover.cc) -----------
  uint64_t LeadershipVersion(int shard_id) const override {
    return ShardAt(shard_id).replica.leadership_version;
  }
  const Leadership& LeadershipRecord(int shard_id) const override {
    return ShardAt(shard_id).replica.leadership_record;
  }
  bool NeedsTableMigration(int shard_id) const override;
  void AddElectionRequirements(int shard_id, StateTxn* txn) const override;
  bool CommitInFlight(int shard_id) const override { return ShardAt(shard_id).cycle.committing; }
  bool ManyMachinesSilent(int shard_id) const override;
  void ApplyCommitted(Micros now, const std::vector<StateWrite>& writes,
                      uint64_t revision) override;
  void RequestList() override { sync_.RequestList(); }
  void OnElected(Micros now, int shard_id) override;
  void OnEpochRegressed(int shard_id, uint64_t epoch, uint64_t revision) override;
  void OnLeadershipLost(Micros now, int shard_id, LossReason reason) override;
  void OnWritesSent(size_t writes) override { counters_.puts += writes; }
  void ClearDecisions(int shard_id);
  // Initialises the state of the shard's machines for a new leader.
  void InheritMachines(Micros now, int shard_id);
  static void InheritMachine(uint64_t epoch, const AssignedMachine& machine, AgentState* agent);

  // --- agents (agents/*.cc) -----------------------------------------------------------------
  struct AttemptState {
    std::string machine;
    int shard_id = 0;
    uint64_t sync_generation = 0;  // of the last table that contained the attempt
    bool owns_start = false;       // decided by this process, which therefore sends the start
    bool reported = false;         // contained in some heartbeat
    bool terminated = false;       // proven to have terminated; removed by the next commit
    uint64_t start_token = 0;      // of the direct command that started it
    bool start_in_flight = false;  // a direct start command awaits its answer
    bool moved_for_tail = false;   // being moved to a tail machine
    bool uses_headroom = false;    // started by this process on room that is kept for services
    bool stopping = false;
    Micros stop_decided_at = 0;
    Micros stop_grace = 0;
    bool stop_sent = false;
    TaskState state = TaskState::kFetching;
    Micros placed_at = 0;
    Micros running_at = 0;
    uint64_t start_incarnation = 0;  // agent incarnation that the start was sent to
    uint64_t start_reply_seq = 0;    // heartbeat whose reply last carried the start
  };
  struct AgentState {
    std::string addr;
    uint64_t incarnation = 0;
    uint64_t seq = 0;
    uint64_t token_seen = 0;
    uint64_t fencing_token = 0;   // of this machine, if above the epoch's token
    uint64_t required_token = 0;  // absences prove nothing until the agent has seen this token
    Micros last_heard = 0;        // last heartbeat or direct answer
    Micros observed_since = 0;    // start of the observation by this node
    Micros first_heartbeat_at = 0;
    Micros reported_silent_since = 0;  // reported by the leader of its shard
    // Whether replies reach the agent; its heartbeats may arrive while they do not.
    Micros last_reply_at = 0;                  // last reply with status 200 in this incarnation
    std::vector<Attempt> last_reply_commands;  // starts and forget commands of the last reply
    int ignored_replies = 0;                   // consecutive replies without effect
    int lease_losses = 0;                      // consecutive leases that expired despite replies
    bool direct_call_in_flight = false;
    int direct_failures = 0;
    Micros next_direct_call_at = 0;
    bool probe_pending = false;    // request its state: no incarnation is known
    Micros eviction_at = 0;        // end of the eviction notice; 0: none
    bool reported_failed = false;  // according to the cloud
    bool unlisted = false;         // no longer listed by the cloud
    bool listed = false;
    bool listed_running = false;
    Micros idle_since = 0;
    Micros unschedulable_until = 0;  // after a start refused for lack of room
    Micros reserved_since = 0;       // for jobs that have waited too long, with short breaks
    Micros last_reserved_at = 0;     // last cycle in which it was reserved
    Micros freed_since = 0;          // room on it is being freed for arrays, with short breaks
    Micros last_freed_at = 0;        // last cycle in which it was
    uint64_t assigned_epoch = 0;     // epoch under which it was assigned to this shard
    int last_shard = -1;             // that it was assigned to
    bool consolidating = false;      // being drained by consolidation
    bool declared_lost = false;      // to be returned even with tasks on it
    std::vector<TaskStatus> tasks;
    std::map<std::string, Micros> images;  // cached images by time of last use
    std::map<std::string, double> image_sizes_gb;
    // Redirects and relays, while another node leads.
    Micros redirected_at = 0;
    std::string redirected_to;
    Micros relay_until = 0;
  };
  // Consecutive replies without effect after which a machine gets no more work.
  static constexpr int kMaxIgnoredReplies = 2;
  // Timeout of a direct command; after it the machine is fenced.
  static constexpr Micros kCommandTimeout = 2 * kSecond;

  // Origin of a heartbeat, to which its reply goes.
  struct HeartbeatSource {
    uint64_t request = 0;  // id of the agent's request; 0 if relayed
    std::string peer;      // that relayed it; empty if received directly
    uint64_t relay = 0;    // id of the relay at that peer
  };
  void HandleAgentHeartbeat(Micros now, const HeartbeatSource& source, const std::string& body);
  // Handles a heartbeat from a machine in no assignment table, which may be adopted soon.
  void HandleUnassignedAgent(Micros now, const HeartbeatSource& source,
                             const AgentHeartbeat& heartbeat, const std::string& body);
  // Redirects the agent to the leader of its shard, or relays its heartbeat there.
  void RedirectOrRelay(Micros now, const HeartbeatSource& source, int shard_id,
                       const AgentHeartbeat& heartbeat, const std::string& body);
  bool NeedsRelay(Micros now, const std::string& leader, AgentState* agent) const;
  void HandleRelayReply(const mesh::RelayedAgentHeartbeatReply& reply);
  void EndStaleRelays(Micros now);
  // Whether to renew leases for a leader that ended while no node reaches the store to replace it.
  bool MayRenewOnBehalf(Micros now, int shard_id, const AgentHeartbeat& heartbeat) const;
  void RenewOnBehalf(const RenewalPermit& permit, const HeartbeatSource& source,
                     const AgentHeartbeat& heartbeat);
  void ReplyAsLeader(Micros now, const HeartbeatSource& source, int shard_id,
                     const AgentHeartbeat& heartbeat);
  void ReplyToHeartbeat(const HeartbeatSource& source, int status, std::string body);
  // Stops for reported tasks of finished jobs; every reply that renews a lease contains them.
  std::vector<Command> StopsForFinishedJobs(const AgentHeartbeat& heartbeat) const;
  void RecordReply(Micros now, AgentState* agent, const std::vector<Command>& commands);
  void CheckCommandsTookEffect(Micros now, int shard_id, AgentState* agent,
                               const AgentHeartbeat& heartbeat, bool new_incarnation);
  // Handles a new incarnation: the previous lease expired even though it may just have been
  // renewed.
  void CheckReplyKeptLease(Micros now, int shard_id, AgentState* agent,
                           const AgentHeartbeat& heartbeat);
  // Whether the heartbeat shows the effect of the last reply's command for this attempt.
  bool CommandTookEffect(const Attempt& attempt, const AgentHeartbeat& heartbeat) const;

  // What the absence of a task from a heartbeat can prove.
  struct Evidence {
    const AgentHeartbeat& heartbeat;
    bool new_incarnation = false;  // first heartbeat of its incarnation
    bool direct = false;           // answer to a direct command
    bool fenced = false;           // no command sent under an older token can still run
  };
  // Updates the machine and its tasks from a heartbeat or direct answer. Returns false if it is not
  // newer than the last one.
  bool ReconcileAgent(Micros now, int shard_id, const AssignedMachine& machine,
                      const AgentHeartbeat& heartbeat, bool direct);
  void RecordHeartbeat(Micros now, int shard_id, const AgentHeartbeat& heartbeat, bool direct,
                       AgentState* agent);
  void UpdateTask(Micros now, int shard_id, const AssignedMachine& machine, const Attempt& attempt,
                  AttemptState* known, uint64_t incarnation, const TaskStatus& task);
  // Whether an attempt missing from the heartbeat has terminated and cannot start any more.
  bool ProvesAbsence(const Evidence& evidence, const Attempt& attempt,
                     const AttemptState& known) const;
  void HandleTaskExit(Micros now, int shard_id, const AssignedMachine& machine,
                      const Attempt& attempt, AttemptState* known, const TaskStatus& task);
  void CompleteTask(Micros now, int shard_id, const Attempt& attempt, Micros running_at);
  void RecordTermination(int shard_id, const Attempt& attempt, AttemptState* known);

  AttemptState* FindAttempt(const Attempt& attempt);
  // Commands for the reply to an accepted heartbeat.
  std::vector<Command> MakeCommands(Micros now, int shard_id, const AssignedMachine& machine,
                                    const AgentHeartbeat& heartbeat);
  void CommandForTask(Micros now, const AssignedMachine& machine, bool fenced,
                      const TaskStatus& task, std::vector<Command>* commands);
  void RetryStarts(Micros now, int shard_id, const AssignedMachine& machine,
                   const AgentHeartbeat& heartbeat, const std::set<Attempt>& reported,
                   std::vector<Command>* commands);
  // Commands sent without waiting for a heartbeat.
  struct DirectCommands {
    uint64_t epoch = 0;
    uint64_t token = 0;
    std::vector<Command> commands;
    std::vector<Attempt> started, stopped;
  };
  // Sends pending commands directly instead of in the next heartbeat's reply.
  void SendDirectCommands(Micros now, int shard_id, const std::string& machine);
  DirectCommands MakeDirectCommands(Micros now, int shard_id, const AssignedMachine& machine,
                                    const AgentState& agent);
  void OnCommandsAnswered(Micros now, int shard_id, const std::string& name,
                          const DirectCommands& commands, int status, const std::string& body);
  // Requests a machine's state: no incarnation is known, or commands do not seem to reach it.
  void Probe(Micros now, int shard_id, const std::string& machine);
  void OnProbeAnswered(Micros now, int shard_id, const std::string& name, int status,
                       const std::string& body);
  static void RecordDirectFailure(Micros now, AgentState* agent);
  // Tokens have this many bits below the revision for fencing, so that raising one needs no commit.
  // No other election or transfer has the same revision, and later ones have higher tokens.
  static constexpr int kFencingBits = 20;
  static uint64_t TokenForEpoch(uint64_t revision) { return revision << kFencingBits; }
  uint64_t TokenOf(int shard_id, const AgentState& agent) const;
  // Ignores absences until the agent has seen a token above `token`, up to which commands may still
  // run. Later commands carry the raised token.
  void RaiseFencingToken(int shard_id, AgentState* agent, uint64_t token);
  void StopAttempt(Micros now, const Attempt& attempt, AttemptState* state, Micros grace);
  void StopJob(Micros now, const std::string& job);

  // --- permits (permit_checks.cc) --------------------------------------------------
  void RecordViolation(Violation violation, const std::string& known);
  // Whether the replica assigns the attempt to the machine.
  bool IsAssigned(int shard_id, const std::string& machine, const Attempt& attempt) const;
  std::optional<StartPermit> CheckStart(Micros now, int shard_id, const std::string& machine,
                                        const Attempt& attempt);
  std::string PermitMetrics() const;
  static Command StartCommand(const StartPermit& permit, const Attempt& attempt);
  // `allowance`: see RenewalFacts.
  std::optional<RenewalPermit> CheckRenewal(Micros now, Micros allowance = 0);
  void ReplyWithRenewal(const RenewalPermit& permit, const HeartbeatSource& source,
                        const AgentHeartbeat& heartbeat, uint64_t token,
                        std::vector<Command> commands);

  void MarkDirty(int shard_id) { shards_[static_cast<size_t>(shard_id)].cycle.dirty = true; }
  void RecordImageUse(AgentState* agent, const std::string& type, const std::string& image,
                      double gb, Micros now);

  // --- scheduling cycles (scheduler/*.cc) --------------------------------------------------
  struct JobExecution {
    int shard_id = 0;
    std::vector<uint8_t> tasks;  // kWaiting, kPlaced or kDone
    int done = 0;
    int placed = 0;
    std::vector<int> placed_tasks;
    int first_waiting_task = 0;  // no task before it is waiting
    std::vector<Micros> durations;
    std::set<int> moved_tasks;       // moved to tail machines, at most once each
    Micros unplaced_since = 0;       // start of the wait without a machine; 0: none
    Micros next_move_at = 0;         // next attempt to move to another shard
    std::map<int, int> preemptions;  // by task
    Micros pending_since = 0;        // start of the present wait; 0: no task is pending
    bool all_placed = false;         // no task was pending at some time under this leader
    WaitReason wait_reason = WaitReason::kNone;  // of the last cycle

    int pending() const { return static_cast<int>(tasks.size()) - done - placed; }
  };
  enum : uint8_t { kWaiting = 0, kPlaced = 1, kDone = 2 };  // states of JobExecution::tasks
  JobExecution* FindExecution(const std::string& job);
  void LoadExecution(int shard_id, const std::string& id, const JobEntry& entry);
  void ReconcileShard(Micros now, int shard_id);
  static void ClearAssignedTasks(JobExecution* execution);
  void MachineJoined(Micros now, const Shard& shard, const AssignedMachine& machine,
                     AgentState* agent);
  void ReconcileAttempts(Micros now, int shard_id, MachineUsage* usage);
  Micros CycleInterval(const Shard& shard) const;
  void RunSchedulingCycles(Micros now);
  struct Plan;
  class Placer;
  class RentalPlanner;
  struct Preemptible;
  struct PreemptibleTask;
  struct PendingJob;
  // Free milli-CPUs kept for services on steady machines: in total, per zone if services spread
  // over zones, and on machines that cache a service's image.
  struct Headroom {
    int64_t steady = 0;
    int64_t zone = 0;
    int64_t image = 0;
    bool borrowable = false;  // tasks without checkpoints may borrow it
  };
  Headroom HeadroomOf(int shard_id, const Plan& plan) const;
  size_t MaxJobsPerCycle(int shard_id) const;
  QuotaShare QuotaReservedForServices(const JobSpec& spec, const Team& team) const;
  std::map<std::string, QuotaShare> UsageInAllShards(int shard_id, const Plan& plan) const;
  std::vector<PendingJob> CollectPendingJobs(Micros now, int shard_id, const Plan& plan);
  static void UpdateArrayPeak(Micros now, Shard* shard, double array_cpus);
  std::map<std::string, double> TeamCapacities(int shard_id, const Plan& plan) const;
  static void DeferLargestJobs(Micros wall, double capacity, double ahead,
                               const std::vector<PendingJob*>& jobs);
  void SortPendingJobs(Micros now, int shard_id, const Plan& plan,
                       std::vector<PendingJob>* waiting) const;
  void TrackWait(Micros now, const JobEntry& job, JobExecution* execution) const;
  void LogWaitingJobs(Micros now, int shard_id);
  std::string WaitMetrics(Micros now) const;
  void RunCycle(Micros now, int shard_id);
  void FindDoneJobs(int shard_id, Plan* plan) const;
  void LogShardState(int shard_id, const Plan& plan);
  void SelectChunksToChange(Shard* shard, Plan* plan) const;
  std::set<int> ChunksWithMostFreeCapacity(const Shard& shard, size_t max_chunks) const;
  int TasksWithinLimit(const Plan& plan, const Team& team, int shard_id, const JobSpec& spec,
                       const QuotaShare& reserved) const;
  void ReserveMachine(Micros now, Plan* plan, const JobSpec& spec);
  Micros ReservedFor(Micros now, const std::string& machine) const;
  static void RemoveStarts(Plan* plan, const JobSpec& spec, size_t first_start);
  static std::string PlacementKeyOf(const JobSpec& spec);
  void FindTransferableMachines(Micros now, int shard_id, Plan* plan);
  bool MostAgentsReported(Micros now, int shard_id) const;
  bool IsBestEffort(const JobSpec& spec) const;
  void PlanRentals(Micros now, int shard_id, Plan* plan);
  struct OverdueTask {
    Attempt attempt;
    AttemptState* state;
  };
  // An array in its tail.
  struct Tail {
    const JobSpec& spec;
    JobExecution* execution;
    Micros median;  // run time of its tasks
    int pending;
    std::vector<OverdueTask> overdue;
    int steady_slots;  // of tasks, on existing steady machines
    int candidates() const { return pending + static_cast<int>(overdue.size()); }
  };
  void PlanTailAcceleration(Micros now, int shard_id, Plan* plan);
  static Micros MedianOf(std::vector<Micros> durations);
  std::vector<OverdueTask> OverdueTasks(Micros now, const Tail& tail);
  static int SteadyTaskSlots(const Tail& tail, Plan* plan);
  void StartTailAcceleration(Micros now, int shard_id, const JobRecord& record, const Tail& tail,
                             Plan* plan);
  void MoveOverdueTasks(Micros now, int shard_id, const Tail& tail, Plan* plan);
  void PlanPlacement(Micros now, int shard_id, Plan* plan);
  void PreemptWithinTeam(Micros now, int shard_id, Plan* plan, const JobSpec& spec);
  void FindPreemptible(const Shard& shard, Plan* plan);
  std::vector<size_t> SelectVictims(Micros now, const JobSpec& spec,
                                    const Preemptible& preemptible);
  bool MayPreemptForArray(Micros now, const PreemptibleTask& task);
  void PreemptTask(Micros now, Plan* plan, const JobSpec& spec, Preemptible* preemptible,
                   size_t index);
  std::optional<Priority> LowestPlacedPriority(int shard_id) const;
  void PlanPreemption(Micros now, int shard_id, Plan* plan, const JobSpec& spec, int tasks);
  void HoldFreedRoom(Micros now, const JobSpec& spec, CandidateMachine* machine);
  WaitReason PlanMachineTransfer(Micros now, int shard_id, Plan* plan, const JobSpec& spec,
                                 Micros waited);
  bool PlanQuotaTransfer(Micros now, int shard_id, Plan* plan, const Team& team,
                         const QuotaShare& want);
  void Commit(Micros now, int shard_id, Plan* plan);
  // Storage form of the table (table_form.cc).
  bool NeedsCompactForm(const Shard& shard) const;
  bool MayChangeTable(const Shard& shard) const;
  AssignmentTable FirstCompactTable(const Shard& shard) const;
  bool MaintainTable(Micros now, int shard_id);
  bool MigrateTable(Micros now, int shard_id);
  bool EraseOriginalForm(Micros now, int shard_id);
  bool GrowTable(Micros now, int shard_id);
  bool CommitWithoutPlan(Micros now, int shard_id, AssignmentTable assignments, StateTxn txn,
                         bool progress = false);
  // Commits of job records and progress alone (job_records.cc).
  bool CommitJobRecords(Micros now, int shard_id);
  void WriteCascadeCancelled(int shard_id, StateTxn* txn) const;
  void WriteDoneRecords(Micros now, int shard_id, StateTxn* txn) const;
  bool WriteProgressPages(Micros now, int shard_id, StateTxn* txn);
  Progress ProgressOf(int shard_id) const;
  std::string FittingProgress(Progress progress) const;
  bool FitsAnotherWrite(const StateTxn& txn) const;
  void WriteTable(int shard_id, AssignmentTable* assignments, StateTxn* txn) const;
  static void WriteJob(const std::string& id, uint64_t version, const JobRecord& record,
                       StateTxn* txn);
  JobRecord DoneRecord(Micros now, const JobEntry& job) const;
  void WriteDoneJobs(Micros now, Plan* plan, StateTxn* txn) const;
  void WriteMovedJobs(Plan* plan, StateTxn* txn);
  void WriteProgress(int shard_id, StateTxn* txn) const;
  static bool MayCommitNow(Micros now, Shard* shard, const Plan& plan);
  bool ReserveWrites(Micros now, int shard_id, const Plan& plan, size_t writes);
  void AddConditions(int shard_id, const Plan& plan, StateTxn* txn) const;
  // Condition on the whole table: the header alone once all nodes write it in every commit.
  void AddTableConditions(int shard_id, StateTxn* txn) const;
  void AddHeaderCondition(int shard_id, StateTxn* txn) const;
  bool FitsTransaction(const StateTxn& txn, const std::string& body) const;
  void ReduceNextCycles(Micros now, int shard_id, const Plan& plan);
  void SendCommit(int shard_id, std::shared_ptr<const Plan> plan,
                  std::shared_ptr<const std::vector<StateWrite>> writes, std::string body);
  void OnCommitAnswered(Micros now, int shard_id, uint64_t epoch, const Plan& plan,
                        const std::vector<StateWrite>& writes, int status, const std::string& body);
  void OnCommitConflict(Micros now, Shard* shard, const Plan& plan,
                        const std::vector<std::string>& failed);
  void OnCommitted(Micros now, int shard_id, const Plan& plan);
  void BeginPlan(Micros now, int shard_id, Plan* plan) const;
  CandidateMachine MakeCandidate(Micros now, const AssignedMachine& machine) const;
  bool IsSchedulable(Micros now, const AssignedMachine& machine, const AgentState& agent) const;
  ResourceUsage TotalUsageOf(const AssignmentTable& assignments) const;
  int64_t SteadyHeadroom(int shard_id) const;
  bool SpreadServices(int shard_id) const;
  // Latest time of day at which the rest of a job may start and still be on time.
  Micros LatestStart(const JobEntry& job) const;
  std::vector<Micros> LatestStarts(const JobEntry& job) const;
  bool IsLastInZone(const Plan& plan, const CandidateMachine& machine) const;
  bool IsLastWithImage(const Plan& plan, const CandidateMachine& machine) const;
  class ConsolidationTargets;
  void Consolidate(Micros now, int shard_id, Plan* plan);
  bool MayConsolidate(Micros now, Shard* shard, const Plan& plan);
  std::vector<CandidateMachine*> ConsolidationCandidates(Plan* plan) const;
  bool DrainMachine(Micros now, int shard_id, Plan* plan, const CandidateMachine& machine,
                    ConsolidationTargets* targets);
  static bool MoveIsHeld(Micros now, const JobExecution& execution);
  static bool HasRoomToMove(Micros now, const JobSpec& spec, const ShardCapacity& capacity,
                            JobExecution* execution);
  void PlanJobMoves(Micros now, int shard_id, Plan* plan);
  uint64_t NextNumber(int shard_id, Plan* plan) const;
  void PlanAdoption(Micros now, int shard_id, Plan* plan);
  void AdoptRented(Plan* plan);
  void AdoptUnknownInstances(Micros now, int shard_id, Plan* plan);
  bool AdoptUnknownInstance(int shard_id, AssignedMachine machine, Plan* plan);
  bool MayBeRented(int shard_id, const AssignedMachine& machine, const Plan& plan) const;
  // Free milli-CPUs while machines are returned, and those kept for arrays.
  struct FreeCapacity {
    int64_t steady = 0;
    int64_t spot = 0;
    int64_t reserved_for_arrays = 0;
  };
  void PlanReturns(Micros now, int shard_id, Plan* plan);
  bool ShouldReturn(Micros now, const AssignedMachine& machine, CandidateMachine* candidate,
                    Plan* plan, FreeCapacity* free);
  bool TailMachineWanted(const std::string& job, const Plan& plan) const;
  static bool IsSpareSpot(const MachineType& type, const Plan& plan, FreeCapacity* free);
  bool IsSpareSteady(const MachineType& type, CandidateMachine* candidate, Plan* plan,
                     FreeCapacity* free) const;
  void AddRental(int shard_id, Plan* plan, const Offer& offer, int count,
                 const std::string& tail_job, const std::string& reason);

  // --- fleet (instances.cc, agents/failure_detection.cc) -------------------------------------
  void TickFleet(Micros now);
  void ReconcileInstances(Micros now, Micros asked, const std::vector<ListedMachine>& instances);
  void SendRentals(Micros now, int shard_id, const std::vector<std::string>& requests);
  void OnRentalAnswered(int shard_id, const RentalAnswer& answer);
  void SendReturns(Micros now, int shard_id);
  bool OnInstanceReturned(int shard_id, const std::string& name);
  std::set<std::string> PartitionedZones(Micros now) const;
  void CheckMachines(Micros now, int shard_id);
  struct ShardSilence {
    bool all_machines_silent = false;
    bool recently_most_silent = false;  // within the last lease
    std::set<std::string> partitioned_zones;
  };
  ShardSilence AssessSilence(Micros now, int shard_id);
  static Micros SilentFor(Micros now, const AgentState& agent);
  Micros SilenceTimeout(const AssignedMachine& machine, const ShardSilence& silence) const;
  bool IsLost(Micros now, const AssignedMachine& machine, const AgentState& agent,
              const ShardSilence& silence) const;
  void DeclareLost(Micros now, int shard_id, const AssignedMachine& machine, AgentState* agent);
  void EvacuateMachine(Micros now, int shard_id, const AssignedMachine& machine,
                       const AgentState& agent);
  void UpdateIdleTime(Micros now, const AssignedMachine& machine, AgentState* agent) const;
  bool RetryStops(Micros now, const AssignedMachine& machine, const AgentState& agent);
  static std::map<std::string, int> InstancesByZone(const AssignmentTable& assignments);

  // --- common (core.cc) --------------------------------------------------------------------
  void UpdateRateLimits(Micros now);
  void RunFollowUps(Micros now);
  Micros WallNow(Micros now) const { return now + wall_offset_; }

  const Settings settings_;
  // Rate limits of this node.
  StarvationGuard write_budget_guard_;  // between the shards that it leads
  TokenBucket write_budget_;
  TokenBucket state_budget_;
  TokenBucket cloud_budget_;
  Effects effects_;
  const uint64_t boot_;
  const Micros started_;
  Micros wall_offset_ = 0;
  Counters counters_;
  EnumCounter<Refusal, kRefusals> refusals_;
  EnumCounter<Violation, kViolations> violations_;

  // Replica.
  JobTable jobs_;
  ClusterVersion cluster_version_;
  Replica replica_;
  ReplicaSync sync_;
  std::vector<Shard> shards_;

  // Leadership.
  NodeHealth node_health_;
  PeerTable peers_;
  CancellationLog cancellations_;
  LeaderElection election_;
  SessionLeaseKeeper session_lease_;
  HeartbeatExchange heartbeats_;

  // Users' API.
  class UserApiView;  // implements the interfaces of src/core/api
  const std::unique_ptr<UserApiView> user_api_view_;
  UserApi user_api_;

  // Agents.
  std::map<Attempt, AttemptState> attempts_;
  std::unordered_map<std::string, AgentState> machines_;
  std::map<std::string, AgentHeartbeat> unassigned_agents_;  // by last heartbeat
  uint64_t next_relay_;
  std::map<uint64_t, std::pair<uint64_t, Micros>> relays_;  // by relay id: request id and start
  FailureTracker health_;

  // Scheduling.
  std::unordered_map<std::string, JobExecution> executions_;

  // Fleet.
  MachineTypeCatalog machine_types_;
  InstanceLister instance_lister_;
  OfferHealth offer_health_;
  OfferBackoff offer_backoff_;
  OfferSelector offer_selector_;
  RentalRequests rental_requests_;
  InstanceReturns instance_returns_;
  std::map<std::string, Micros> unknown_instance_since_;
  std::map<std::string, Micros>
      removed_instances_;  // by time of removal; lists may still show them
  uint64_t sync_generation_ = 0;
  std::map<std::string, Micros> free_since_;  // machines of other shards, candidates for transfer
  Micros next_machine_check_ = 0;
  bool any_machine_silent_ = false;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_CORE_H_
