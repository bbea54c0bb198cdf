// One controller as a state machine: takes inputs, returns what to send,
// write and answer. See docs/design.md for the reasoning behind each rule.
#ifndef TROUTLINK_CORE_CORE_H_
#define TROUTLINK_CORE_CORE_H_

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "core/agents/health.h"
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
#include "core/io/fair_turns.h"
#include "core/io/io.h"
#include "core/io/token_bucket.h"
#include "core/leadership/cancellations.h"
#include "core/leadership/permits.h"
#include "core/leadership/session_lease.h"
#include "core/scheduler/placement.h"
#include "core/store/dependencies.h"
#include "core/store/records.h"
#include "core/store/replica_feed.h"
#include "wire/messages.h"

namespace troutlink {

struct Counters {
  uint64_t submissions = 0, accepted = 0, refused = 0, polls = 0, aborts = 0;
  uint64_t reports = 0, redirects = 0, relays = 0, forwards = 0, renewed_on_behalf = 0;
  uint64_t renewed = 0, renewed_as_former_leader = 0;
  uint64_t lists = 0, watches = 0;                     // of the state service, that were answered
  uint64_t cancellations = 0, told_cancellations = 0;  // in the replica, by peers before it
  uint64_t kept_from_forwarding = 0;
  uint64_t rounds = 0, oversized = 0;
  uint64_t commits = 0, commit_conflicts = 0, commit_unknown = 0, puts = 0;
  uint64_t worker_unknown = 0;
  uint64_t starts = 0, stops = 0, gone = 0, acquired_machines = 0, share_moves = 0, job_moves = 0,
           consolidated = 0;
  uint64_t rented_machines = 0, refused_rentals = 0, returned = 0, adopted = 0;
  uint64_t elections = 0, lost_leaderships = 0, handed_back = 0;
  uint64_t unresponsive = 0;
  uint64_t orphans = 0;            // jobs that a cancellation of another one cancels
  uint64_t refused_by_limits = 0;  // 400s of the state service
  uint64_t tails = 0, helpers = 0, overdue = 0, preempted = 0, fencing_raises = 0;
};

class Core {
 public:
  // `boot` differs at every start of the process.
  Core(const Settings& settings, uint64_t boot, Micros now, Micros wall);

  Outbox HandleRequest(Micros now, const Request& request);
  Outbox HandleAnswer(Micros now, uint64_t call, int status, const std::string& body);
  Outbox HandlePeer(Micros now, const std::string& from, const mesh::Message& message);
  // Several times a second; `wall` is the time of day.
  Outbox Tick(Micros now, Micros wall);

  const Counters& counters() const { return counters_; }
  const Effects::CallCounts& call_counts() const { return effects_.call_counts(); }
  // For operators and tests.
  bool IsLeader(int shard_id) const {
    return shards_[static_cast<size_t>(shard_id)].leadership.is_leader;
  }
  bool Synced() const { return feed_.synced(); }
  const AssignmentTable& AssignmentsOf(int shard_id) const {
    return shards_[static_cast<size_t>(shard_id)].replica.assignments;
  }
  std::string MetricsText(Micros now) const;
  // Actions that must never have come up for decision, and were not carried out.
  const Tally<Violation, kViolations>& violations() const { return violations_; }
  // Whether single permits are logged, at level debug.
  void SetDetailedLog(bool detailed) { effects_.set_logs_debug(detailed); }

 private:
  struct AttemptInfo;
  struct MachineInfo;

  // --- replica (replica.cc): what the state service holds, as last heard -----------
  struct JobEntry {
    // The specification is dropped once the job is over. Its priority is the one that the job
    // is served with: its own or that of a job that depends on it.
    JobRecord record;
    uint64_t version = 0;
    Priority own_priority = Priority::kLow;
    bool blocked = false;  // waits for a job that it depends on
    Micros ready_at = 0;   // time of day from which it may start, once it is not blocked
    Micros inherited_latest_start = Urgency::kNoLimit;  // time of day, by its dependents
  };
  struct Chunk {
    uint64_t version = 0;
    std::vector<std::string> names;  // of its machines
    size_t bytes = 0;
  };
  // What a shard's attempts use, counted once for each change of its assignment table.
  struct Use {
    std::map<std::string, Share> teams;
    std::unordered_map<std::string, int> jobs;  // attempts
  };
  // The same of one machine, for comparing shards.
  struct MachineUse {
    const AssignedMachine* machine = nullptr;
    Amount all;
    std::array<Amount, kPriorities> by_priority;
    // By work of that priority and above.
    Amount AtLeast(Priority priority) const {
      Amount sum;
      for (size_t i = static_cast<size_t>(priority); i < by_priority.size(); ++i) {
        sum += by_priority[i];
      }
      return sum;
    }
    std::set<std::string> images;  // of its tasks
    // Of the shards that are ours, in the order of the machine's attempts.
    struct Slot {
      AttemptInfo* info = nullptr;
      const JobEntry* job = nullptr;
    };
    MachineInfo* info = nullptr;
    std::vector<Slot> slots;
  };
  // What the replica holds of one shard.
  struct ShardReplica {
    uint64_t leadership_version = 0;  // 0: nobody holds it
    Leadership leadership_record;
    std::map<int, Chunk> chunks;  // of the table's form
    // Of a table in the compact form: what is left of the original one, which does not change
    // any more.
    std::map<int, Chunk> original_chunks;
    std::map<std::string, AssignedMachine> original_machines;
    AssignmentTable assignments;
    std::unordered_map<std::string, int> chunk_of;  // of its machines, as stored
    Use use;
    std::vector<MachineUse> machine_use;
    size_t attempts = 0;
    bool any_leaving = false;
    bool sync_due = false;                       // the assignment table changed
    std::map<int, uint64_t> progress_versions;   // by page
    std::map<int, std::string> progress_values;  // as stored
    Progress progress;                           // of open jobs, of all pages
    Micros changed_at = 0;                       // last change of the assignment table
  };
  // Who leads one shard, as far as this node knows.
  struct ShardLeadership {
    bool is_leader = false;
    uint64_t epoch = 0;        // kept after a loss, to go on answering reports
    uint64_t rival_epoch = 0;  // highest epoch of another node that we know of
    std::string rival_leader;
    std::string previous_leader;  // of the leadership records that we saw, other than ours
    Micros leaderless_since = 0;
    Micros elected_at = 0;
    Micros heard_few_at = 0;  // most machines were silent at once then; 0: never
    int silent = 0;           // machines that were up and are missed
    Micros no_election_before = 0;
    int election_conflicts = 0;  // in a row
    bool acquiring = false;
    bool releasing = false;
  };
  // The scheduling cycles of one shard that this node leads.
  struct CycleState {
    bool committing = false;
    bool dirty = false;    // something to decide
    bool cleanup = false;  // only removals: may wait
    Micros last_commit = 0;
    Micros committed_at = 0;
    Micros not_before = 0;
    Micros round_at = 0;
    Micros cleanup_at = 0;
    int conflicts = 0;
    Micros acquire_after = 0;  // other shards are left alone until then
    Micros explained_at = 0;   // last log of why something critical waits
    Micros calm_since = 0;     // nothing has waited since
    Micros consolidate_at = 0;
    Micros progress_at = 0;
    bool progress_dirty = false;
    bool maintained = false;         // the last turn was of the table's form
    bool records_committed = false;  // the last turn was of job records
    uint32_t batch = 0;
    Micros next_state_log = 0;  // next line in the log of what it has
    int window_at = 0;          // the chunk whose turn it is
    int window_turn = 0;        // rounds over a table of many chunks
    int narrow = 0;             // rounds that decide little, after one that did not fit
    double peak = 0;            // of the cpus that arrays wanted, and when it was
    double array_peak = 0;      // the same, faded
    Micros peak_at = 0;
  };
  struct Shard {
    ShardReplica replica;
    ShardLeadership leadership;
    CycleState cycle;
  };

  // Reads everything, page by page, and then begins to watch.
  void StartList(Micros now);
  void ReadListPage(const std::string& after);
  void OnListPage(Micros now, int status, const std::string& body);
  void FinishList(Micros now);
  // What was deleted while no watch could tell.
  void EraseUnlisted(Micros now);
  void StartWatch(Micros now);
  void OnWatchAnswered(Micros now, Micros sent, int status, const std::string& body);
  // A record as the state service holds it: by a list, a watch or our own commit. One that
  // is not newer than the replica's changes nothing. ReindexShards follows a batch of them.
  void ApplyPut(Micros now, const std::string& name, const std::string& value, uint64_t version);
  void ApplyErase(Micros now, const std::string& name, uint64_t version);
  void ApplyJob(Micros now, const std::string& id, const std::string& value, uint64_t version);
  void ApplyOpenJob(const std::string& id, const JobEntry& entry);
  void ApplyFinishedJob(Micros now, const std::string& id, JobEntry* entry);
  void ApplyLeadership(Micros now, int shard_id, const std::string& value, uint64_t version);
  void ApplyProgress(int shard_id, int page, const std::string& value, uint64_t version);
  void ApplyChunk(Micros now, const Key& key, const std::string& value, uint64_t version);
  void ApplyHeader(Micros now, int shard_id, AssignmentTable header);
  // The first value of the compact form of a table was read.
  static void BeginCompactForm(Shard* shard);
  void ApplyOriginalChunk(Micros now, const Key& key, const std::string& value, uint64_t version);
  // Machines of the original form that the compact form has by now, or no longer has at all.
  void DropMigratedMachines(Micros now, int shard_id);
  // The machine is no longer in the shard's assignment table, or is there as given.
  void RemoveMachine(Micros now, int shard_id, const std::string& name);
  void PutMachine(Micros now, int shard_id, AssignedMachine machine);
  void ReindexShards(Micros now);
  MachineUse CountUse(const AssignedMachine& machine) const;
  // Whether there is such a shard, and this node leads it.
  bool LeadsShard(int shard_id) const;
  static void DropFinishedSpec(JobEntry* entry);
  int ShardOfMachine(const std::string& name) const;

  Shard& ShardAt(int shard_id) { return shards_[static_cast<size_t>(shard_id)]; }
  const Shard& ShardAt(int shard_id) const { return shards_[static_cast<size_t>(shard_id)]; }

  // --- cluster version (cluster_version.cc) ----------------------------------------
  struct NodeVersion {
    uint64_t version = 1;
    uint64_t revision = 0;
  };
  void PublishVersion(Micros now);
  bool HoldsEarlierLeadership() const;
  void ApplyNodeVersion(const std::string& label, const std::string& value, uint64_t revision);
  const StateLimits& Limits() const;

  // --- pipelines (pipelines.cc): jobs that depend on others ------------------------
  void NoteOpenJob(const std::string& id);
  void NoteFinishedJob(const std::string& id);
  bool HasCancelledDependency(const JobSpec& spec) const;
  // The job and all that depend on it are cancelled with a job that they depend on; their
  // records are not yet.
  void AddOrphan(const std::string& id);
  void CheckDependencies(const std::string& id);
  Urgency OwnUrgency(const JobEntry& entry) const;
  static Micros StageTime(const JobSpec& spec);
  void ApplyInheritedUrgency(const std::string& id);

  // --- heartbeats (heartbeats.cc): what controllers tell each other ----------------
  void Heartbeat(Micros now);
  // `seen`: the receiver's replica holds all up to this revision.
  mesh::Heartbeat MakeHeartbeat(Micros now, uint64_t seen) const;
  void TellEpochs(mesh::Heartbeat* heartbeat) const;
  void TellSilentMachines(Micros now, mesh::Heartbeat* heartbeat) const;
  std::vector<mesh::CachedImages> NextCachedImages();
  std::vector<std::string> CachedServiceImages(const std::string& machine) const;
  // Another leads our own shard, and we have been well for long enough to lead it ourselves.
  bool WantsOwnShard(Micros now) const;
  void HandlePing(Micros now, const std::string& from, const mesh::Ping& ping);
  void HandleHeartbeat(Micros now, const std::string& from, const mesh::Heartbeat& heartbeat);
  void LearnEpochs(Micros now, const std::string& from, const mesh::Heartbeat& heartbeat);
  // A peer tells that the job is cancelled.
  void LearnCancellation(Micros now, const std::string& id);
  // Whether the machine is in the assignment table of a shard that is not ours.
  bool LedByAnother(const std::string& machine) const;
  void LearnCachedImages(Micros now, const mesh::Heartbeat& heartbeat);
  void LearnSilentMachines(Micros now, const std::string& from, const mesh::Heartbeat& heartbeat);

  // --- leadership (leadership.cc) ----------------------------------------------
  void RunLease(Micros now);
  void GrantLease();
  void RenewLease();
  void RunElections(Micros now);
  // The shard has a leadership record: it may be ours and unknown to this process.
  void ReclaimLeadership(Micros now, int shard_id);
  // How long a shard must have been without a leader before we take it: the next in the
  // ring goes first.
  Micros ElectionDelay(Micros now, int shard_id) const;
  void AcquireLeadership(Micros now, int shard_id);
  StateTxn ElectionTxn(int shard_id) const;
  // Our own shard's leadership record is newer than we know, or has to be renewed with another
  // form of its table.
  void CheckOwnLeadership(Micros now, int shard_id);
  void OnElectionFailed(Micros now, Shard* shard, bool conflict);
  void OnElected(Micros now, int shard_id, uint64_t revision);
  void ForgetDecisions(int shard_id);
  // What a new leader assumes of the machines of its shard.
  void InheritMachines(Micros now, int shard_id);
  static void InheritMachine(uint64_t epoch, const AssignedMachine& machine, MachineInfo* info);
  void LoseLeadership(Micros now, int shard_id, const char* why);
  void LoseAllLeaderships(Micros now, const char* why);
  void HandBack(Micros now, int shard_id);
  std::string LeaderLabel(int shard_id) const;
  bool StateFresh(Micros now) const { return now - state_ok_ < 1500 * kMilli; }
  // Whether this process has just stood still, and has not ticked since. What had arrived for
  // it meanwhile may be handled before that tick.
  bool StoodStill(Micros now) const { return now_ != 0 && now - now_ > kStoodStill; }
  static constexpr Micros kStoodStill = 3 * kSecond;
  bool Up(Micros now) const;

  // --- users' API (submissions.cc, queries.cc, forwarding.cc) ----------------------
  struct Query {
    enum class Kind { kPoll, kSubmit, kAbort } kind = Kind::kPoll;
    uint64_t request = 0;
    std::string id;
    Micros since = 0;
    int tries = 0;
    bool unknown_job = false;  // there was no such job when it came
  };
  // A user's request until its answer. When we cannot reach the state service,
  // or it is slow, a peer that can is asked as well; the first good answer
  // counts. Every request may be carried out more than once without harm.
  struct OpenRequest {
    Request request;
    Micros since = 0;
    uint64_t forward = 0;  // its id at the peer; 0: not forwarded
    Micros forwarded_at = 0;
    bool tried = false;
    bool refused = false;  // our own answer, kept while the peer works
    Reply refusal;
  };
  // A call to the state service that a user waits for.
  static constexpr Micros kUserCallTimeout = 1500 * kMilli;
  static constexpr int kRetryAfter = 1;        // seconds
  static constexpr uint64_t kRetrySpread = 4;  // seconds
  // A request of a user of ours.
  void UserRequest(Micros now, const Request& request);
  // A user's request, from here or from a peer.
  void Route(Micros now, const Request& request);
  // Whether a request was passed on by a peer or to one, or is answered already.
  bool HasCopy(uint64_t request) const;
  bool MayPassOn(const Request& request) const;
  bool ForwardRequest(Micros now, OpenRequest* open);
  void RunForwards(Micros now);
  // The last answer to a request that nobody is at work on any more.
  void EndRequest(uint64_t id);
  void HandleForward(Micros now, const std::string& from, const mesh::Forward& forward);
  void HandleForwardReply(Micros now, const mesh::ForwardReply& answer);
  // The peer that heard from the state service last; empty: none did lately.
  std::string FreshPeer(Micros now) const;
  void Submit(Micros now, const Request& request);
  void StoreJob(Micros now, const Query& query, JobSpec spec);
  // Stores the job once all jobs that it depends on are known, reading those that the replica
  // lacks.
  void ResolveDependencies(Micros now, const Query& query, JobSpec spec);
  // Empty: they may be depended on.
  std::string BadDependency(const JobSpec& spec) const;
  // Empty: it can run.
  std::string NeverRuns(const JobSpec& spec) const;
  static std::string ListOf(const std::vector<std::string>& dependencies);
  static int SpreadRetry(const std::string& id);
  void Poll(Micros now, Query query);
  void RunQueries(Micros now);
  void OnQueriesChecked(Micros now, const std::vector<Query>& batch, int status,
                        const std::string& body);
  void AnswerQuery(Micros now, const Query& query);
  void Abort(Micros now, Query query);
  void OnCancelCommitted(Micros now, const Query& query, const StateWrite& write, int status,
                         const std::string& body);
  // Reads a job's record again, as the replica's turned out to be old.
  void FetchJob(Micros now, const std::string& id);
  // The same, and goes on; `read`: the replica has it now, if there is such a job.
  void ReadJob(Micros now, const std::string& id, std::function<void(Micros now, bool read)> then);
  // Whether the replica has all cancellations that users were told of long ago.
  bool KnowsCancellations(Micros now) const;
  void AnswerOpen(const OpenAnswerPermit& permit, const Query& query, const JobEntry& entry);
  void AnswerFinished(const Query& query, const JobEntry& entry);
  JobStatus StatusOfOpen(const std::string& id, const JobEntry& entry) const;

  // --- choice of a shard for a job (shard_choice.cc) -------------------------------
  struct Room {
    double free = 0;     // cpus
    double size = 0;     // cpus, without those of critical work
    double waiting = 0;  // cpus that wait there and come first
    double now_free = 0;
    int placeable = 0;   // tasks that could start now
    int machines = 0;    // that a task fits on once they are empty
    int ready = 0;       // the same where its image is and nothing has to make way
    int ready_soon = 0;  // and with what makes way for it
    bool owned = false;  // by a node that lives
  };
  // What each shard has for a job: where its tasks could start now, given their
  // zones, and free cpus less what already waits there and comes first.
  std::vector<Room> RoomsFor(const JobSpec& spec);
  // Adds what one machine has; the spreads say where tasks of the job would be by then.
  void AddRoom(const JobSpec& spec, const MachineUse& use, Room* room, JobSpread* spread,
               JobSpread* ready_spread) const;
  // The same for replicas that need not wait for their image. `rest` is free, `left` with
  // what makes way.
  static void AddReadyRoom(const JobSpec& spec, Amount rest, const Amount& left,
                           const PlaceMachine& probe, Room* room, JobSpread* spread);
  bool HasImage(const MachineUse& use, const std::string& image) const;
  // Cpus that wait in each shard for work of at least each priority.
  using Waits = std::vector<std::array<int64_t, kPriorities>>;
  const Waits& WaitingCpus();
  void AddWaiting(int shard_id, const JobSpec& spec, int64_t tasks);
  int64_t WaitingTasks(const std::string& id, const JobRecord& record) const;
  int ShardForJob(const JobSpec& spec);
  static double ScoreOf(const JobSpec& spec, const Room& room, double mean_size);

  // --- workers (reports.cc, worker_state.cc, commands.cc) ---------------------------
  struct AttemptInfo {
    std::string machine;
    int shard_id = 0;
    uint64_t mark = 0;         // of the last time that the assignment table had it
    bool fresh = false;        // decided by this process: its start is ours to send
    bool seen = false;         // a report had it
    bool gone = false;         // proven gone; leaves the assignment table at the next commit
    uint64_t start_token = 0;  // of the direct command that started it
    bool direct = false;       // its start is in a direct command without an answer yet
    bool moved = false;        // is being moved for the tail
    bool stopping = false;
    Micros stop_at = 0;  // when the stop was decided
    Micros grace = 0;
    bool stop_sent = false;
    TaskState state = TaskState::kFetching;
    Micros placed_at = 0;
    Micros running_at = 0;
    uint64_t session = 0;    // in which the start was sent
    uint64_t reply_seq = 0;  // report whose reply carried the start last
  };
  struct MachineInfo {
    std::string addr;
    uint64_t session = 0;
    uint64_t seq = 0;
    uint64_t token_seen = 0;
    uint64_t fencing_token = 0;   // our token for it, where higher than the epoch's
    uint64_t required_token = 0;  // absences prove nothing until the worker saw this
    Micros heard = 0;             // last report or answer
    Micros since = 0;             // when we began to care for it
    Micros first_heard = 0;
    Micros reported_silent_since = 0;  // a peer that owned it missed it since then
    // Whether our answers reach it. Its reports may while these do not.
    Micros answered_at = 0;        // last 200 to a report of this session
    std::vector<Attempt> ordered;  // starts and reaps of the last answer
    int ignored_answers = 0;       // answers in a row whose orders did nothing
    int lease_losses = 0;          // leases in a row that ended although we answered
    bool direct_busy = false;
    int direct_failures = 0;
    Micros no_direct_before = 0;
    bool probe = false;     // ask for its state, we know no session yet
    Micros notice_end = 0;  // the cloud takes it away then; 0: no notice
    bool failed = false;    // the cloud says so
    bool missing = false;   // was listed, is no longer
    bool listed = false;
    bool listed_running = false;
    Micros idle_since = 0;
    Micros avoid_until = 0;       // refused a start for lack of room
    uint64_t assigned_epoch = 0;  // leadership under which it is in an assignment table of ours
    int last_shard = -1;          // that had it
    bool drain = false;           // being cleared to be given back
    bool give_up = false;         // to be returned even with tasks on it
    std::vector<TaskReport> tasks;
    std::map<std::string, Micros> images;  // by last use
    std::map<std::string, double> image_gb;
    // As a non-leader.
    Micros redirected_at = 0;
    std::string redirected_to;
    Micros relay_until = 0;
  };
  // Answers in a row without effect after which a machine gets no more work.
  static constexpr int kMaxIgnoredAnswers = 2;
  // How long a direct command may take; then its machine is fenced.
  static constexpr Micros kCommandTimeout = 2 * kSecond;

  // Where a report came from and its answer goes.
  struct ReportSource {
    uint64_t request = 0;  // the worker's, when it came to us
    std::string peer;      // that relayed it; empty: it came to us
    uint64_t relay = 0;    // the relay's number at that peer
  };
  void OnReport(Micros now, const ReportSource& source, const std::string& body);
  // Of a machine in no assignment table: it may be adopted soon.
  void OnUnassignedReport(Micros now, const ReportSource& source, const Report& report,
                          const std::string& body);
  // Sends the worker to the leader of its shard, or relays its report to the leader.
  void PassOnReport(Micros now, const ReportSource& source, int shard_id, const Report& report,
                    const std::string& body);
  bool NeedsRelay(Micros now, const std::string& leader, MachineInfo* info) const;
  void HandleRelayReply(const mesh::RelayReply& reply);
  void EndStaleRelays(Micros now);
  // Whether to keep the leases of a shard's workers alive for a leader that ended
  // while nobody can reach the state service to take its place.
  bool MayRenewOnBehalf(Micros now, int shard_id, const Report& report) const;
  void RenewOnBehalf(const RenewalPermit& permit, const ReportSource& source, const Report& report);
  void AnswerAsLeader(Micros now, const ReportSource& source, int shard_id, const Report& report);
  void AnswerReport(const ReportSource& source, int status, std::string body);
  // Stops of what a report shows of jobs that are over: each answer that renews a lease
  // bears them.
  std::vector<Command> StopsOfOver(const Report& report) const;
  void NoteAnswer(Micros now, MachineInfo* info, const std::vector<Command>& orders);
  void CheckAnswersTakeEffect(Micros now, int shard_id, MachineInfo* info, const Report& report,
                              bool new_session);
  // A new session began: the lease ended although we may just have renewed it.
  void CheckAnswerKeptLease(Micros now, int shard_id, MachineInfo* info, const Report& report);
  // Whether the report shows that the last answer's order for this attempt was carried out.
  bool OrderTookEffect(const Attempt& attempt, const Report& report) const;

  // What a report's absences may prove.
  struct Evidence {
    const Report& report;
    bool new_session = false;  // it is the first of its session
    bool direct = false;       // it answers a direct command
    bool clean = false;        // no command sent before the worker's token can still run
  };
  // Learns from a report or from the answer to a direct command. False when it
  // is not newer than what is known.
  bool ProcessReport(Micros now, int shard_id, const AssignedMachine& machine, const Report& report,
                     bool direct);
  void NoteReport(Micros now, int shard_id, const Report& report, bool direct, MachineInfo* info);
  void TaskReported(Micros now, int shard_id, const AssignedMachine& machine,
                    const Attempt& attempt, AttemptInfo* known, uint64_t session,
                    const TaskReport& task);
  // Whether an attempt that a report lacks is gone, and can not begin any more.
  bool ProvesAbsence(const Evidence& evidence, const Attempt& attempt,
                     const AttemptInfo& known) const;
  void TaskExited(Micros now, int shard_id, const AssignedMachine& machine, const Attempt& attempt,
                  AttemptInfo* known, const TaskReport& task);
  void TaskDone(Micros now, int shard_id, const Attempt& attempt, Micros running_at);
  void MarkGone(int shard_id, const Attempt& attempt, AttemptInfo* known);

  AttemptInfo* FindAttempt(const Attempt& attempt);
  // The orders that answer a report which was taken.
  std::vector<Command> MakeOrders(Micros now, int shard_id, const AssignedMachine& machine,
                                  const Report& report);
  void OrderForTask(Micros now, const AssignedMachine& machine, bool clean, const TaskReport& task,
                    std::vector<Command>* orders);
  void RepeatStarts(Micros now, int shard_id, const AssignedMachine& machine, const Report& report,
                    const std::set<Attempt>& reported, std::vector<Command>* orders);
  // Commands that are sent without waiting for a report.
  struct DirectCommands {
    uint64_t epoch = 0;
    uint64_t token = 0;
    std::vector<Command> orders;
    std::vector<Attempt> started, stopped;
  };
  // Sends what a machine has to hear now instead of waiting for its next report.
  void Push(Micros now, int shard_id, const std::string& machine);
  DirectCommands MakeDirectCommands(Micros now, int shard_id, const AssignedMachine& machine,
                                    const MachineInfo& info);
  void OnCommandsAnswered(Micros now, int shard_id, const std::string& name,
                          const DirectCommands& commands, int status, const std::string& body);
  // Asks a machine for its state: no session is known, or it does not seem to hear us.
  void Probe(Micros now, int shard_id, const std::string& machine);
  void OnProbeAnswered(Micros now, int shard_id, const std::string& name, int status,
                       const std::string& body);
  static void NoteDirectFailure(Micros now, MachineInfo* info);
  // Tokens leave room below each revision for fencing tokens, which so need no commit: no other
  // election or move has the same revision, and all later ones have higher tokens.
  static constexpr int kFencingBits = 20;
  static uint64_t TokenForEpoch(uint64_t revision) { return revision << kFencingBits; }
  uint64_t TokenOf(int shard_id, const MachineInfo& info) const;
  // Absences on the machine prove nothing, and commands up to `token` may still run, until
  // it has seen a higher token, which it is given from now on.
  void RaiseFencingToken(int shard_id, MachineInfo* info, uint64_t token);
  void StopAttempt(Micros now, const Attempt& attempt, AttemptInfo* info, Micros grace);
  void StopJob(Micros now, const std::string& job);

  // --- what is known of a job, and permits (job_fate.cc) ---------------------------
  JobFate FateOf(const std::string& id) const;
  bool JobOver(const std::string& id) const;  // cancelled or done
  void NoteViolation(Violation violation, const std::string& known);
  void LogCancellation(Micros now, const std::string& id, std::string_view source);
  // Whether the replica of the shard's table holds the attempt on that machine.
  bool IsAssigned(int shard_id, const std::string& machine, const Attempt& attempt) const;
  std::optional<StartPermit> JudgeStart(Micros now, int shard_id, const std::string& machine,
                                        const Attempt& attempt);
  std::string PermitMetrics() const;
  static Command StartCommand(const StartPermit& permit, const Attempt& attempt);
  // `allowance`: see RenewalFacts.
  std::optional<RenewalPermit> JudgeRenewal(Micros now, Micros allowance = 0);
  void AnswerRenewal(const RenewalPermit& permit, const ReportSource& source, const Report& report,
                     uint64_t token, std::vector<Command> orders);

  void MarkDirty(int shard_id) { shards_[static_cast<size_t>(shard_id)].cycle.dirty = true; }
  void NoteImageUse(MachineInfo* info, const std::string& type, const std::string& image, double gb,
                    Micros now);

  // --- rounds (rounds, placing, taking, preemption, helping, commit .cc) ---------
  struct JobRun {
    int shard_id = 0;
    std::vector<uint8_t> tasks;  // kWaiting, kPlaced, kDone
    int done = 0;
    int placed = 0;
    std::vector<int> placed_list;
    int hint = 0;  // no waiting task before this one
    std::vector<Micros> durations;
    std::set<int> moved;             // tasks that were moved to steady machines once
    Micros last_start = 0;           // of a task, or when the job came to this leader
    Micros unplaced_since = 0;       // waits without a machine since then
    Micros move_at = 0;              // when it may look for another shard again
    std::map<int, int> preemptions;  // how often a task was stopped for other work
  };
  enum : uint8_t { kWaiting = 0, kPlaced = 1, kDone = 2 };
  JobRun* RunOf(const std::string& job);
  void LoadRun(int shard_id, const std::string& id, const JobEntry& entry);
  void SyncShard(Micros now, int shard_id);
  static void ForgetPlaced(JobRun* run);
  void MachineCame(Micros now, const Shard& shard, const AssignedMachine& machine,
                   MachineInfo* info);
  void SyncAttempts(Micros now, int shard_id, MachineUse* use);
  Micros RoundPace(const Shard& shard) const;
  void RunRounds(Micros now);
  struct Plan;
  class Placer;
  class RentalPlanner;
  struct Preemptible;
  struct PreemptibleTask;
  struct Waiting;
  // Cpus that are kept free on steady machines: in all, in each zone for services that spread,
  // and where each service's image is.
  struct Headroom {
    int64_t steady = 0;
    int64_t zone = 0;
    int64_t image = 0;
    bool lend = false;  // work that saves nothing may use it
  };
  Headroom HeadroomOf(int shard_id, const Plan& plan) const;
  size_t MaxJobsOfRound(int shard_id) const;
  Share KeptForServices(const JobSpec& spec, const Team& team) const;
  std::map<std::string, Share> UseEverywhere(int shard_id, const Plan& plan) const;
  std::vector<Waiting> CollectWaiting(Micros now, int shard_id, const Plan& plan);
  static void NoteArrayPeak(Micros now, Shard* shard, double array_cpus);
  std::map<std::string, double> TeamCapacities(int shard_id, const Plan& plan) const;
  static void PutOffJobs(Micros wall, double capacity, double ahead,
                         const std::vector<Waiting*>& jobs);
  void OrderWaiting(Micros now, int shard_id, const Plan& plan,
                    std::vector<Waiting>* waiting) const;
  void Round(Micros now, int shard_id);
  void FindDoneJobs(int shard_id, Plan* plan) const;
  void LogShardState(int shard_id, const Plan& plan);
  void ChooseWindow(Shard* shard, Plan* plan) const;
  std::set<int> RoomiestChunks(const Shard& shard, size_t most) const;
  int TasksWithinLimit(const Plan& plan, const Team& team, int shard_id, const JobSpec& spec,
                       const Share& kept) const;
  static void Reserve(Plan* plan, const JobSpec& spec);
  static void Withdraw(Plan* plan, const JobSpec& spec, size_t begun);
  static std::string ShapeOf(const JobSpec& spec);
  void FindAcquirable(Micros now, int shard_id, Plan* plan);
  bool KnowsItsMachines(Micros now, int shard_id) const;
  bool IdleTimeWork(const JobSpec& spec) const;
  void PlanRentals(Micros now, int shard_id, Plan* plan);
  struct OverdueTask {
    Attempt attempt;
    AttemptInfo* info;
  };
  // What is left of an array whose tail has begun.
  struct Tail {
    const JobSpec& spec;
    JobRun* run;
    Micros median;  // run time of its tasks
    int pending;
    std::vector<OverdueTask> overdue;
    int room;  // steady, in tasks
    int candidates() const { return pending + static_cast<int>(overdue.size()); }
  };
  void PlanTailHelp(Micros now, int shard_id, Plan* plan);
  static Micros MedianOf(std::vector<Micros> durations);
  std::vector<OverdueTask> OverdueTasks(Micros now, const Tail& tail);
  static int SteadyRoom(const Tail& tail, Plan* plan);
  void BeginHelp(Micros now, int shard_id, const JobRecord& record, const Tail& tail, Plan* plan);
  void MoveOverdueTasks(Micros now, int shard_id, const Tail& tail, Plan* plan);
  void PlanPlacement(Micros now, int shard_id, Plan* plan);
  void PreemptTeam(Micros now, int shard_id, Plan* plan, const JobSpec& spec);
  void FindPreemptible(const Shard& shard, Plan* plan);
  std::vector<size_t> ChooseStops(Micros now, const JobSpec& spec, const Preemptible& preemptible);
  bool MayStopForArray(Micros now, const PreemptibleTask& task);
  void StopForOther(Micros now, Plan* plan, Preemptible* preemptible, size_t index);
  std::optional<Priority> LowestPlacedPriority(int shard_id) const;
  void PlanPreemption(Micros now, int shard_id, Plan* plan, const JobSpec& spec, int tasks);
  bool PlanAcquisition(Micros now, int shard_id, Plan* plan, const JobSpec& spec);
  bool PlanQuotaTransfer(Micros now, int shard_id, Plan* plan, const Team& team, const Share& want);
  void Commit(Micros now, int shard_id, Plan* plan);
  // table_form.cc: the form in which a table is stored.
  bool NeedsCompactForm(const Shard& shard) const;
  bool MayChangeTable(const Shard& shard) const;
  AssignmentTable FirstCompactTable(const Shard& shard) const;
  bool MaintainTable(Micros now, int shard_id);
  bool MigrateTable(Micros now, int shard_id);
  bool EraseOriginalForm(Micros now, int shard_id);
  bool GrowTable(Micros now, int shard_id);
  bool CommitAlone(Micros now, int shard_id, AssignmentTable assignments, StateTxn txn,
                   bool progress = false);
  // job_records.cc: changes of job records and progress that need no change of the table.
  bool CommitJobRecords(Micros now, int shard_id);
  void WriteOrphans(int shard_id, StateTxn* txn) const;
  void WriteDoneRecords(Micros now, int shard_id, StateTxn* txn) const;
  bool WriteProgressPages(Micros now, int shard_id, StateTxn* txn);
  Progress ProgressOf(int shard_id) const;
  std::string FittingProgress(Progress progress) const;
  bool HasRoomForWrite(const StateTxn& txn) const;
  void WriteTable(int shard_id, AssignmentTable* assignments, StateTxn* txn) const;
  static void WriteJob(const std::string& id, uint64_t version, const JobRecord& record,
                       StateTxn* txn);
  JobRecord DoneRecord(Micros now, const JobEntry& job) const;
  void WriteDoneJobs(Micros now, Plan* plan, StateTxn* txn) const;
  void WriteMovedJobs(Plan* plan, StateTxn* txn);
  void WriteProgress(int shard_id, StateTxn* txn) const;
  static bool MayCommitNow(Micros now, Shard* shard, const Plan& plan);
  bool TakeWrites(Micros now, int shard_id, const Plan& plan, size_t writes);
  void AddConditions(int shard_id, const Plan& plan, StateTxn* txn) const;
  // A condition on the whole table: on its header alone once every commit writes that.
  void AddTableConditions(int shard_id, StateTxn* txn) const;
  void AddHeaderCondition(int shard_id, StateTxn* txn) const;
  bool FitsTransaction(const StateTxn& txn, const std::string& body) const;
  void DecideLess(Micros now, int shard_id, const Plan& plan);
  void SendCommit(int shard_id, std::shared_ptr<const Plan> plan,
                  std::shared_ptr<const std::vector<StateWrite>> writes, std::string body);
  void OnCommitAnswered(Micros now, int shard_id, uint64_t epoch, const Plan& plan,
                        const std::vector<StateWrite>& writes, int status, const std::string& body);
  void OnCommitConflict(Micros now, Shard* shard, const Plan& plan,
                        const std::vector<std::string>& failed);
  void OnCommitted(Micros now, int shard_id, const Plan& plan);
  void BeginPlan(Micros now, int shard_id, Plan* plan) const;
  PlaceMachine EmptyMachine(Micros now, const AssignedMachine& machine) const;
  bool Usable(Micros now, const AssignedMachine& machine, const MachineInfo& info) const;
  Use UseOf(const AssignmentTable& assignments) const;
  int64_t SteadyHeadroom(int shard_id) const;
  bool SpreadServices(int shard_id) const;
  // The last moment at which the rest of a job may start and still be in time.
  Micros LatestStart(const JobEntry& job) const;
  std::vector<Micros> LatestStarts(const JobEntry& job) const;
  bool LastOfZone(const Plan& plan, const PlaceMachine& machine) const;
  bool LastWithImage(const Plan& plan, const PlaceMachine& machine) const;
  class ClearingTargets;
  void Consolidate(Micros now, int shard_id, Plan* plan);
  bool MayClear(Micros now, Shard* shard, const Plan& plan);
  std::vector<PlaceMachine*> ClearingCandidates(Plan* plan) const;
  bool ClearMachine(Micros now, int shard_id, Plan* plan, const PlaceMachine& machine,
                    ClearingTargets* targets);
  void PlanJobMoves(Micros now, int shard_id, Plan* plan);
  uint64_t NextNumber(int shard_id, Plan* plan) const;
  void PlanAdoption(Micros now, int shard_id, Plan* plan);
  void AdoptRented(Plan* plan);
  void AdoptStrays(Micros now, int shard_id, Plan* plan);
  bool AdoptStray(int shard_id, AssignedMachine machine, Plan* plan);
  bool MayBeRented(int shard_id, const AssignedMachine& machine, const Plan& plan) const;
  // Free cpus while machines go back, and those that arrays keep.
  struct FreeRoom {
    int64_t steady = 0;
    int64_t spot = 0;
    int64_t kept_for_arrays = 0;
  };
  void PlanReturns(Micros now, int shard_id, Plan* plan);
  bool MayReturn(Micros now, const AssignedMachine& machine, PlaceMachine* place, Plan* plan,
                 FreeRoom* room);
  bool HelperWanted(const std::string& job, const Plan& plan) const;
  static bool SpareSpot(const MachineType& type, const Plan& plan, FreeRoom* room);
  bool SpareSteady(const MachineType& type, PlaceMachine* place, Plan* plan, FreeRoom* room) const;
  void AddRental(int shard_id, Plan* plan, const Offer& offer, int count, const std::string& helps,
                 const std::string& reason);

  // --- fleet (fleet.cc, returns.cc, cloud.cc, silence.cc) ----------------------------------
  void RunCloud(Micros now);
  void ReconcileInstances(Micros now, Micros asked, const std::vector<ListedMachine>& instances);
  void SendRentals(Micros now, int shard_id, const std::vector<std::string>& requests);
  void OnRentalAnswered(int shard_id, const RentalAnswer& answer);
  void SendReturns(Micros now, int shard_id);
  bool OnInstanceReturned(int shard_id, const std::string& name);
  std::set<std::string> ZonesCutOff(Micros now) const;
  void JudgeMachines(Micros now, int shard_id);
  struct SilenceOfShard {
    bool hears_nobody = false;
    bool heard_few_lately = false;  // most machines were silent within the last lease
    std::set<std::string> zones_cut_off;
  };
  SilenceOfShard JudgeSilence(Micros now, int shard_id);
  static Micros SilentFor(Micros now, const MachineInfo& info);
  Micros Patience(const AssignedMachine& machine, const SilenceOfShard& silence) const;
  bool IsLost(Micros now, const AssignedMachine& machine, const MachineInfo& info,
              const SilenceOfShard& silence) const;
  void GiveUp(Micros now, int shard_id, const AssignedMachine& machine, MachineInfo* info);
  void LeaveMachine(Micros now, int shard_id, const AssignedMachine& machine,
                    const MachineInfo& info);
  void JudgeIdle(Micros now, const AssignedMachine& machine, MachineInfo* info) const;
  bool RepeatStops(Micros now, const AssignedMachine& machine, const MachineInfo& info);
  static std::map<std::string, int> InstancesByZone(const AssignmentTable& assignments);

  // --- plumbing (core.cc) --------------------------------------------------------------
  void Answer(uint64_t request, int status, std::string body, int retry_after_s = 0);
  void ShareLimits(Micros now);
  void After(Micros now);
  const JobEntry* FindJob(const std::string& id) const;
  const Team* FindTeam(const std::string& name) const;
  Micros WallNow(Micros now) const { return now + wall_offset_; }

  const Settings settings_;
  // What the node may ask of the state service and of the cloud.
  FairTurns write_turns_;  // of the shards that are ours
  TokenBucket write_budget_;
  TokenBucket state_budget_;
  TokenBucket cloud_budget_;
  Effects effects_;
  const uint64_t boot_;
  const Micros started_;
  Micros wall_offset_ = 0;
  Counters counters_;
  Tally<Refusal, kRefusals> refusals_;
  Tally<Violation, kViolations> violations_;

  // Replica.
  ReplicaFeed feed_;
  struct ListItem {
    std::string value;
    uint64_t version = 0;
  };
  std::map<std::string, ListItem> list_items_;
  Micros state_ok_ = 0;  // last answer of the state service
  std::unordered_map<std::string, JobEntry> jobs_;
  std::set<std::string> open_jobs_;
  std::map<std::string, NodeVersion> node_versions_;  // by label
  bool all_nodes_current_ = false;                    // every node has our version; for good
  bool publishing_version_ = false;
  Micros publish_version_after_ = 0;
  DependencyGraph dependencies_;
  std::set<std::string> orphans_;  // open jobs that depend on a cancelled one
  Waits waits_;
  Micros waits_at_ = -kSecond;
  bool spread_seen_ = false;  // some service spreads over zones
  std::set<std::string> service_images_;
  std::set<std::string> service_teams_;  // that ever had a service
  std::vector<Shard> shards_;
  std::map<std::string, int> machine_shard_;

  // Leadership.
  SessionLease session_lease_;
  struct Peer {
    std::string label;
    Micros heard = 0;                       // last message
    uint64_t seen = 0;                      // its replica holds all up to this revision
    Micros state_age = 0;                   // at `heard`
    std::set<uint64_t> holds;               // shards that it says are its own
    std::set<std::string> silent_machines;  // machines that it missed when it last spoke
  };
  std::map<std::string, Peer> peers_;
  Micros now_ = 0;  // of the last tick
  // The last time without the state service, also by standing still. A node that froze twice
  // had its shard back within half a second each time: four changes of leader for two.
  Micros unwell_at_ = 0;
  uint64_t ping_seq_;
  Micros next_heartbeat_ = 0;
  Micros next_cached_images_ = 0;
  std::pair<size_t, std::string> cached_images_from_;  // shard and machine of the next part
  CancellationLog cancellations_;

  // Users' API.
  std::map<uint64_t, OpenRequest> open_;
  std::map<uint64_t, uint64_t> forwards_;                         // forward id -> request
  std::map<uint64_t, std::pair<std::string, uint64_t>> foreign_;  // request -> peer, its id
  uint64_t next_foreign_;
  std::deque<Query> queries_;
  bool query_busy_ = false;
  Micros query_not_before_ = 0;

  // Workers.
  std::map<Attempt, AttemptInfo> attempts_;
  std::unordered_map<std::string, MachineInfo> machines_;
  std::map<std::string, Report> unknown_;  // machines in no assignment table, by last report
  uint64_t next_relay_;
  std::map<uint64_t, std::pair<uint64_t, Micros>> relays_;  // relay id -> request
  Health health_;

  // Rounds.
  std::unordered_map<std::string, JobRun> runs_;

  // Fleet.
  MachineTypeCatalog machine_types_;
  InstanceLister instance_lister_;
  OfferHealth offer_health_;
  OfferBackoff offer_backoff_;
  OfferSelector offer_selector_;
  RentalRequests rental_requests_;
  InstanceReturns instance_returns_;
  std::map<std::string, Micros> stray_since_;
  std::map<std::string, Micros> departed_;  // left the assignment tables: lists still show them
  uint64_t mark_ = 0;
  std::map<std::string, Micros> free_since_;  // others' machines, for taking
  Micros next_judge_ = 0;
  bool some_silent_ = false;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_CORE_H_
