// Places the pending tasks of a scheduling cycle on machines.
#include <algorithm>
#include <memory>

#include "core/core.h"
#include "core/scheduler/hold_policy.h"
#include "core/scheduler/plan.h"
#include "core/scheduler/quota.h"

namespace troutlink {

namespace {
constexpr Micros kPartialStartDelay = 500 * kMillisecond;
constexpr size_t kReservedConditions = 10;
// Minimum wait of an array before it preempts other work, and the same within its team's guarantee.
constexpr Micros kArrayPreemptionDelay = 2 * kSecond;
constexpr Micros kGuaranteePreemptionDelay = 300 * kMillisecond;
constexpr int kMaxPreemptingJobs = 32;          // jobs for which one cycle preempts others
constexpr int64_t kMaxCapacityPerLentCpu = 10;  // of the headroom, in steady CPUs
constexpr int kMaxServiceMoves = 2;  // between shards, before the service may start partially
constexpr size_t kMachinesPerReservation = 20;
}  // namespace

// Computes the headroom for services, and whether tasks without checkpoints may borrow it.
Core::Headroom Core::HeadroomOf(int shard_id, const Plan& plan) const {
  Headroom headroom;
  headroom.steady = plan.headroom;
  if (SpreadServices(shard_id)) {
    headroom.zone =
        headroom.steady / static_cast<int64_t>(std::max<size_t>(1, settings_.zones.size()));
  }
  // Preempting a borrower delays the start of a service: if the headroom is small compared with the
  // steady capacity, it is not lent.
  int64_t steady = 0, largest = 0;
  for (const CandidateMachine& machine : plan.machines) {
    if (machine.usable && !machine.spot) steady += machine.size.cpus;
  }
  headroom.borrowable = headroom.steady * kMaxCapacityPerLentCpu > steady;
  for (const auto& [id, execution] : executions_) {
    const JobEntry* job = execution.shard_id == shard_id ? jobs_.Find(id) : nullptr;
    if (job == nullptr || job->record.spec.kind != JobKind::kService) continue;
    largest = std::max(largest, job->record.spec.tasks * job->record.spec.task_resources.cpus);
  }
  // Keep CPUs for half of the largest service where its image is cached.
  if (headroom.steady > 0) {
    headroom.image = static_cast<int64_t>(1000 * settings_.operator_settings.image_headroom_cpus());
  }
  if (!headroom.borrowable) {
    headroom.image = std::max(headroom.image, std::min(largest / 2, headroom.steady));
  }
  return headroom;
}

// The number of jobs in one commit is bounded by the conditions of a transaction, some of which are
// taken by the leadership records, the chunks of this shard and of another one, and jobs that end
// or move.
size_t Core::MaxJobsPerCycle(int shard_id) const {
  const auto conditions = static_cast<size_t>(cluster_version_.limits().conditions());
  // One condition for a table, and one for each changed chunk.
  if (cluster_version_.all_current())
    return conditions > kReservedConditions ? conditions - kReservedConditions : 1;
  size_t others = 0;
  for (int other_id = 0; other_id < settings_.shard_count(); ++other_id) {
    if (other_id == shard_id) continue;
    others = std::max(others, shards_[static_cast<size_t>(other_id)].replica.chunks.size());
  }
  const size_t taken =
      shards_[static_cast<size_t>(shard_id)].replica.chunks.size() + others + kReservedConditions;
  return conditions > taken ? conditions - taken : 1;
}

// Quota of a team that arrays leave free for its services.
QuotaShare Core::QuotaReservedForServices(const JobSpec& spec, const Team& team) const {
  QuotaShare reserved;
  if (spec.priority == Priority::kProduction || !jobs_.HadService(spec.team)) return reserved;
  const auto headroom =
      static_cast<int64_t>(1000 * settings_.operator_settings.team_headroom_cpus());
  reserved.cpus = std::min<int64_t>(headroom, team.cpus_max / 4) / settings_.shard_count();
  return reserved;
}

// Places the pending tasks of one scheduling cycle, job by job, in its plan.
class Core::Placer {
 public:
  Placer(Core* core, Micros now, int shard_id, Plan* plan)
      : core_(*core),
        now_(now),
        shard_id_(shard_id),
        plan_(*plan),
        shard_(core->ShardAt(shard_id)),
        batch_(std::max(shard_.cycle.batch, core->settings_.operator_settings.batch())),
        max_jobs_(core->MaxJobsPerCycle(shard_id)),
        max_reserved_(1 + plan->machines.size() / kMachinesPerReservation),
        headroom_(core->HeadroomOf(shard_id, *plan)),
        lowest_priority_(core->LowestPlacedPriority(shard_id)) {}

  void Place(const PendingJob& waiting);
  // Whether the cycle has reached its limits of starts or jobs.
  bool Full() const { return BatchFull() || plan_.condition_jobs.size() >= max_jobs_; }
  bool BatchFull() const { return started_ >= batch_; }
  uint32_t batch() const { return batch_; }

 private:
  // The job being placed.
  struct Job {
    Job(const PendingJob& job, const Team& its_team)
        : waiting(job), spec(*job.spec), team(its_team) {}

    const PendingJob& waiting;
    const JobSpec& spec;
    const Team& team;
    Micros waited = 0;  // ends holds for the next task
    PlacementRequest request;
    std::string placement_key;            // empty: no result of an equal job is reused
    bool gang = false;                    // all tasks share one attempt number
    bool all_or_nothing = false;          // all tasks start, or none
    std::unique_ptr<Plan> rollback_plan;  // to roll back to
    size_t first_start = 0;               // length of Plan::started_attempts before this job
    uint64_t gang_number = 0;
    int remaining = 0;             // tasks still to place
    int machine = -1;              // last chosen, -1: none
    bool lent = false;             // the machine was found on room that was held back
    bool requested_quota = false;  // quota transfer from other shards was requested
    bool no_machine = false;
    WaitReason reason = WaitReason::kNone;  // why tasks remain
  };

  Job Begin(const PendingJob& waiting);
  bool MustStartAllTasks(const PendingJob& waiting) const;
  void PlaceTasks(Job* job);
  // Whether the team's quota allows one more task, after a transfer from other shards if needed.
  bool WithinQuota(Job* job);
  bool FitsQuota(const Job& job);
  // Quota of the job's team that is still held back from it for services.
  QuotaShare ReservedQuota(const Job& job) const;
  bool FitsQuotaWithout(const Job& job, const QuotaShare& reserved);
  // Selects the machine for the next task; -1 if there is none.
  void FindMachine(Job* job);
  enum class Search { kFound, kLaterCycle, kNothing };
  // Searches with the holds that apply to a job that has waited for `waited`.
  Search SearchMachine(Job* job, Micros waited);
  bool FitsClosedMachine(Job* job) const;
  bool TransferMachine(Job* job, Micros waited);
  static std::string KeyWithHolds(const Job& job);
  void Start(Job* job, size_t task);
  void Undo(Job* job);
  void OnNoMachine(Job* job);
  void PreemptFor(const Job& job);

  Core& core_;
  const Micros now_;
  const int shard_id_;
  Plan& plan_;
  Shard& shard_;
  const uint32_t batch_;  // starts per cycle, widened under load
  const size_t max_jobs_;
  const size_t max_reserved_;  // reserved machines are partly idle
  const Headroom headroom_;
  const std::optional<Priority> lowest_priority_;
  uint32_t started_ = 0;
  size_t reserved_ = 0;
  int preemptions_ = 0;
  int array_preemptions_ = 0;
  // Placement keys of jobs that found no machine, and why.
  std::map<std::string, WaitReason> unplaceable_keys_;
};

// A gang, and a service spread over zones that another shard may still take, starts all its tasks
// or none: the first replica ties a service to its shard.
bool Core::Placer::MustStartAllTasks(const PendingJob& waiting) const {
  const JobSpec& spec = *waiting.spec;
  if (spec.kind == JobKind::kGang) return true;
  if (!spec.spread || spec.kind != JobKind::kService) return false;
  const JobExecution& execution = *waiting.execution;
  return execution.placed == 0 && waiting.moves < kMaxServiceMoves &&
         (execution.unplaced_since == 0 || now_ - execution.unplaced_since < kPartialStartDelay);
}

Core::Placer::Job Core::Placer::Begin(const PendingJob& waiting) {
  const JobSpec& spec = *waiting.spec;
  Job job(waiting, *core_.settings_.FindTeam(spec.team));
  job.waited = waiting.waited;
  job.gang = spec.kind == JobKind::kGang;
  job.all_or_nothing = MustStartAllTasks(waiting);
  job.request.spec = &spec;
  job.request.spread = &plan_.SpreadOf(spec);
  job.request.tail = plan_.assignments.tail_grants.count(spec.id) != 0;
  job.request.steady_headroom = headroom_.steady;
  job.request.zone_headroom = headroom_.zone;
  job.request.image_headroom = headroom_.image;
  job.request.borrowable = headroom_.borrowable;
  if (job.gang) job.rollback_plan = std::make_unique<Plan>(plan_);
  job.first_start = plan_.started_attempts.size();
  if (job.gang) job.gang_number = core_.NextNumber(shard_id_, &plan_);
  if (spec.kind == JobKind::kArray && !spec.spread && !spec.one_zone && !job.request.tail) {
    job.placement_key = PlacementKeyOf(spec);
  }
  // An equal array found no machine in this cycle.
  auto unplaceable = unplaceable_keys_.find(KeyWithHolds(job));
  if (!job.placement_key.empty() && unplaceable != unplaceable_keys_.end()) {
    job.no_machine = true;
    job.reason = unplaceable->second;
  }
  job.remaining = waiting.tasks;
  return job;
}

void Core::Placer::Place(const PendingJob& waiting) {
  Job job = Begin(waiting);
  PlaceTasks(&job);
  if (job.all_or_nothing && job.remaining > 0) {
    if (job.remaining < waiting.tasks) job.reason = WaitReason::kGangIncomplete;
    waiting.execution->wait_reason = job.reason;
    Undo(&job);
    return;
  }
  waiting.execution->wait_reason = job.remaining > 0 ? job.reason : WaitReason::kNone;
  if (plan_.started_attempts.size() > job.first_start) {
    plan_.condition_jobs.insert(job.spec.id);
    plan_.urgent = true;
    plan_.critical = plan_.critical || job.spec.priority == Priority::kProduction;
  }
  if (job.no_machine && job.remaining > 0) OnNoMachine(&job);
}

void Core::Placer::PlaceTasks(Job* job) {
  const JobExecution& execution = *job->waiting.execution;
  for (auto task = static_cast<size_t>(execution.first_waiting_task); task < execution.tasks.size();
       ++task) {
    if (job->remaining <= 0 || job->no_machine) return;
    if (execution.tasks[task] != kWaiting) continue;
    if (BatchFull() && !job->all_or_nothing) {
      job->reason = WaitReason::kCycleLimit;
      return;
    }
    if (!WithinQuota(job)) return;
    FindMachine(job);
    if (job->machine < 0) return;
    Start(job, task);
  }
}

// Without a bound, the reservations of several shards could block a job whose team is under its
// limit.
QuotaShare Core::Placer::ReservedQuota(const Job& job) const {
  if (!MayHold(WaitReason::kServiceQuota, job.waited)) return QuotaShare();
  return core_.QuotaReservedForServices(job.spec, job.team);
}

bool Core::Placer::FitsQuota(const Job& job) { return FitsQuotaWithout(job, ReservedQuota(job)); }

// Whether one more task fits the team's quota in this shard, less `reserved`.
bool Core::Placer::FitsQuotaWithout(const Job& job, const QuotaShare& reserved) {
  QuotaShare share =
      QuotaShareOf(plan_.assignments, job.team, shard_id_, core_.settings_.shard_count());
  share.cpus -= reserved.cpus;
  return FitsQuotaShare(job.team, share, plan_.usage.teams[job.spec.team], job.spec.task_resources);
}

bool Core::Placer::WithinQuota(Job* job) {
  if (FitsQuota(*job)) return true;
  if (job->requested_quota) return false;
  job->requested_quota = true;
  const QuotaShare want{job->spec.task_resources.cpus * job->remaining + ReservedQuota(*job).cpus,
                        job->spec.task_resources.gpus * job->remaining};
  if (core_.PlanQuotaTransfer(now_, shard_id_, &plan_, job->team, want) && FitsQuota(*job)) {
    return true;
  }
  if (job->spec.priority == Priority::kProduction) {
    core_.PreemptWithinTeam(now_, shard_id_, &plan_, job->spec);
  }
  plan_.quota_limited_tasks[job->spec.team] += job->remaining;
  job->reason =
      FitsQuotaWithout(*job, QuotaShare()) ? WaitReason::kServiceQuota : WaitReason::kTeamQuota;
  return false;
}

void Core::Placer::FindMachine(Job* job) {
  // Fill one machine before choosing another.
  if (job->machine >= 0 && !job->placement_key.empty()) {
    const CandidateMachine& last = plan_.machines[static_cast<size_t>(job->machine)];
    if (last.spot && job->spec.task_resources.Fits(last.free)) return;
  }
  const Search search = SearchMachine(job, 0);
  if (search != Search::kNothing) return;
  // What is held back for other work comes last: other room, also of other shards, is used first.
  if (RoomHoldsMayHaveEnded(job->waited) && SearchMachine(job, job->waited) != Search::kNothing) {
    return;
  }
  job->no_machine = true;
  if (!job->placement_key.empty()) unplaceable_keys_[KeyWithHolds(*job)] = job->reason;
}

Core::Placer::Search Core::Placer::SearchMachine(Job* job, Micros waited) {
  job->request.waited = waited;
  const MachineChoice choice = ChooseMachine(job->request, plan_.machines, plan_.index);
  job->machine = choice.machine;
  job->lent = waited > 0;
  if (job->machine >= 0) return Search::kFound;
  job->reason = choice.reason;
  // A machine of another chunk can take it in a later cycle: no transfer or rental is needed.
  if (plan_.partial && FitsClosedMachine(job)) {
    job->reason = WaitReason::kClosedChunk;
    shard_.cycle.dirty = true;
    return Search::kLaterCycle;
  }
  return TransferMachine(job, waited) ? Search::kFound : Search::kNothing;
}

// Jobs with equal keys get the same result, as the same holds apply to them.
std::string Core::Placer::KeyWithHolds(const Job& job) {
  return job.placement_key + (RoomHoldsMayHaveEnded(job.waited) ? "/unheld" : "");
}

bool Core::Placer::FitsClosedMachine(Job* job) const {
  job->request.include_closed = true;
  const bool fits = ChooseMachine(job->request, plan_.machines, plan_.index).machine >= 0;
  job->request.include_closed = false;
  return fits;
}

bool Core::Placer::TransferMachine(Job* job, Micros waited) {
  // Roll back the transfer too if not all tasks can start.
  if (job->all_or_nothing && job->rollback_plan == nullptr)
    job->rollback_plan = std::make_unique<Plan>(plan_);
  const WaitReason obstacle = core_.PlanMachineTransfer(now_, shard_id_, &plan_, job->spec, waited);
  job->reason = std::max(job->reason, obstacle);
  if (obstacle == WaitReason::kNone)
    job->machine = ChooseMachine(job->request, plan_.machines, plan_.index).machine;
  return job->machine >= 0;
}

void Core::Placer::Start(Job* job, size_t task) {
  const JobSpec& spec = job->spec;
  CandidateMachine& machine = plan_.machines[static_cast<size_t>(job->machine)];
  if (!spec.image.empty()) {
    plan_.index.Remove(machine);
    if (!machine.HasOrFetches(spec.image)) machine.fetching.push_back(spec.image);
    plan_.index.Add(&machine);
  }
  plan_.Allocate(&machine, spec, 1);
  plan_.MarkChanged(machine.name);
  // The tasks of a gang identify each other by a common attempt number.
  const uint64_t number = job->gang ? job->gang_number : core_.NextNumber(shard_id_, &plan_);
  const Attempt attempt{spec.id, static_cast<int>(task), number};
  plan_.assignments.machines[machine.name].attempts.push_back(attempt);
  plan_.started_attempts.emplace_back(machine.name, attempt);
  if (machine.tail_job == spec.id) {
    plan_.assignments.tail_grants[spec.id].credit -=
        static_cast<double>(spec.task_resources.cpus) / 1000.0 * ToSeconds(spec.estimate) / 3600.0;
  }
  if (job->lent && !machine.spot) plan_.lent_attempts.insert(attempt);
  // One task at a time uses what is held back from the job, unless all start together.
  if (!job->all_or_nothing) job->waited = 0;
  ++started_;
  --job->remaining;
  if (!job->all_or_nothing) job->waiting.execution->unplaced_since = 0;
}

// Rolls back the tasks placed for an all-or-nothing job.
void Core::Placer::Undo(Job* job) {
  if (job->rollback_plan != nullptr) plan_ = std::move(*job->rollback_plan);
  RemoveStarts(&plan_, job->spec, job->first_start);
  started_ = static_cast<uint32_t>(plan_.started_attempts.size());
  JobExecution& execution = *job->waiting.execution;
  if (execution.unplaced_since == 0) execution.unplaced_since = now_;
  if (job->no_machine) {
    plan_.unplaced.push_back({&job->spec, job->waiting.tasks, job->request.tail});
  }
}

void Core::Placer::OnNoMachine(Job* job) {
  const JobSpec& spec = job->spec;
  JobExecution& execution = *job->waiting.execution;
  plan_.unplaced.push_back({&spec, job->remaining, job->request.tail});
  if (execution.unplaced_since == 0) execution.unplaced_since = now_;
  if (job->waiting.aged && plan_.started_attempts.size() == job->first_start &&
      reserved_ < max_reserved_) {
    ++reserved_;
    core_.ReserveMachine(now_, &plan_, spec);
  }
  if (spec.priority == Priority::kProduction && now_ - shard_.cycle.unplaced_logged_at > kSecond) {
    shard_.cycle.unplaced_logged_at = now_;
    core_.effects_.Log(LogLine::Level::kDebug,
                       "no machine for " + std::to_string(job->remaining) + " tasks of " + spec.id);
  }
  PreemptFor(*job);
}

// Preempts work of lower priority, for a limited number of jobs per cycle.
void Core::Placer::PreemptFor(const Job& job) {
  const JobSpec& spec = job.spec;
  if (spec.priority == Priority::kProduction) {
    if (++preemptions_ > kMaxPreemptingJobs) return;
    core_.PlanPreemption(now_, shard_id_, &plan_, spec, job.remaining);
    return;
  }
  if (spec.kind != JobKind::kArray || !lowest_priority_ || spec.priority <= *lowest_priority_) {
    return;
  }
  const Micros delay =
      job.waiting.within_guarantee ? kGuaranteePreemptionDelay : kArrayPreemptionDelay;
  if (now_ - job.waiting.execution->unplaced_since < delay) return;
  if (++array_preemptions_ > kMaxPreemptingJobs) return;
  const int within_limit =
      core_.TasksWithinLimit(plan_, job.team, shard_id_, spec, ReservedQuota(job));
  if (within_limit <= 0) return;
  core_.PlanPreemption(now_, shard_id_, &plan_, spec, std::min(job.remaining, within_limit));
}

void Core::PlanPlacement(Micros now, int shard_id, Plan* plan) {
  std::vector<PendingJob> waiting = CollectPendingJobs(now, shard_id, *plan);
  SortPendingJobs(now, shard_id, *plan, &waiting);
  Placer placer(this, now, shard_id, plan);
  for (const PendingJob& job : waiting) {
    if (placer.Full()) {
      job.execution->wait_reason = WaitReason::kCycleLimit;
    } else {
      placer.Place(job);
    }
  }
  ShardAt(shard_id).cycle.batch =
      placer.BatchFull() ? std::min(placer.batch() * 2, settings_.operator_settings.batch_most())
                         : settings_.operator_settings.batch();
}

// Number of further tasks of a job that its team's quota allows in this shard.
int Core::TasksWithinLimit(const Plan& plan, const Team& team, int shard_id, const JobSpec& spec,
                           const QuotaShare& reserved) const {
  const QuotaShare share = QuotaShareOf(plan.assignments, team, shard_id, settings_.shard_count());
  auto used = plan.usage.teams.find(spec.team);
  const QuotaShare in_use = used == plan.usage.teams.end() ? QuotaShare() : used->second;
  int64_t tasks = spec.tasks;
  if (team.cpus_max > 0 && spec.task_resources.cpus > 0) {
    tasks = std::min(tasks, (share.cpus - reserved.cpus - in_use.cpus) / spec.task_resources.cpus);
  }
  if (team.gpus_max > 0 && spec.task_resources.gpus > 0) {
    tasks = std::min(tasks, (share.gpus - reserved.gpus - in_use.gpus) / spec.task_resources.gpus);
  }
  return static_cast<int>(std::max<int64_t>(0, tasks));
}

// How long the machine has been reserved for aged jobs.
Micros Core::ReservedFor(Micros now, const std::string& machine) const {
  auto agent = machines_.find(machine);
  if (agent == machines_.end() || agent->second.last_reserved_at == 0) return 0;
  if (now - agent->second.last_reserved_at > kMaxHold) return 0;
  return now - agent->second.reserved_since;
}

// Reserves the machine with the most free CPUs for an aged job: no other task is placed there in
// this cycle, so that smaller tasks do not keep filling the room it needs. Machines whose
// reservation still holds against jobs that have waited come first.
void Core::ReserveMachine(Micros now, Plan* plan, const JobSpec& spec) {
  CandidateMachine* best = nullptr;
  bool best_holds = false;
  const JobSpread& spread = plan->SpreadOf(spec);
  for (CandidateMachine& machine : plan->machines) {
    if (!machine.usable || !machine.tail_job.empty() || !spec.task_resources.Fits(machine.size) ||
        !Allowed(spec, spread, machine)) {
      continue;
    }
    const bool holds = MayHold(WaitReason::kReservedMachine, ReservedFor(now, machine.name));
    if (best != nullptr &&
        (holds != best_holds ? best_holds : machine.free.cpus <= best->free.cpus))
      continue;
    best = &machine;
    best_holds = holds;
  }
  if (best == nullptr) return;
  plan->index.Remove(*best);
  best->usable = false;
  best->reserved = true;
  best->held = ReservedFor(now, best->name);
  AgentState& agent = machines_[best->name];
  agent.reserved_since = now - best->held;
  agent.last_reserved_at = now;
}

// Removes the starts of a job after the first `begun` ones from the plan.
void Core::RemoveStarts(Plan* plan, const JobSpec& spec, size_t first_start) {
  while (plan->started_attempts.size() > first_start) {
    const auto& [name, attempt] = plan->started_attempts.back();
    std::erase(plan->assignments.machines[name].attempts, attempt);
    for (CandidateMachine& machine : plan->machines) {
      if (machine.name == name) plan->Allocate(&machine, spec, -1);
    }
    plan->started_attempts.pop_back();
  }
}

// Jobs with equal keys can be placed on the same machines.
std::string Core::PlacementKeyOf(const JobSpec& spec) {
  std::string out = std::to_string(spec.task_resources.cpus) + "/" +
                    std::to_string(spec.task_resources.gpus) + "/" +
                    std::to_string(spec.task_resources.memory) + "/" + spec.zone +
                    (spec.spot ? "/s" : "/") + (spec.checkpoint > 0 ? "c" : "") +
                    std::to_string(static_cast<int>(spec.priority));
  for (const std::string& type : spec.types) out += "/" + type;
  return out;
}

}  // namespace troutlink
