// Rounds: everything a part decides at one moment goes into one commit; what
// comes meanwhile is gathered by the next.
#include <algorithm>
#include <memory>
#include <tuple>

#include "core/core.h"
#include "core/draft.h"
#include "core/order.h"
#include "core/quota.h"
#include "core/tail.h"

namespace troutlink {

namespace {
constexpr Micros kCommitTimeout = 1500 * kMilli;
constexpr Micros kCleanupPeriod = 700 * kMilli;
constexpr Micros kRoundPeriod = 80 * kMilli;
constexpr Micros kIdleRound = 250 * kMilli;
constexpr Micros kWholePatience = 500 * kMilli;
constexpr Micros kTakeAfter = 1500 * kMilli;
constexpr Micros kTakeLate = 8 * kSecond;
constexpr Micros kRoundPace = 15 * kMilli;
constexpr double kItemCost = 3;       // microseconds for a machine or an attempt
constexpr double kRoundShare = 0.25;  // of the processor that we have
constexpr int64_t kHurry = 3;         // rounds of critical work come so much sooner
constexpr Micros kNoMachinePatience = 3 * kSecond;
constexpr Micros kMovePatience = 500 * kMilli;
// A transaction's limit as the platform's protocol states it, with some room
// left for its frame.
constexpr int64_t kMostTxnBytes = 62 * 1024;
constexpr int64_t kMostChunkBytes = 13 * 1024;
constexpr int kMostChunksAtOnce = 4;
constexpr int kMostChunks = 1024;
constexpr size_t kOtherConditions = 10;
constexpr size_t kMostDone = 8;  // jobs that one round calls done
constexpr Micros kTellPeriod = 5 * kSecond;
constexpr int kMostPreemptions = 32;  // jobs that others make way for in one round
constexpr int kMostPreempted = 64;    // tasks that do
constexpr int64_t kLendBelow = 10;    // steady cpus for each that is kept free
// Chunks whose stored content differs between two states of a roster.
std::set<int> ChangedChunks(const Roster& before, const Roster& after) {
  std::set<int> out;
  if (before.next_number != after.next_number || before.hires != after.hires ||
      before.shares != after.shares || before.helps != after.helps) {
    out.insert(0);
  }
  auto b = before.machines.begin();
  auto a = after.machines.begin();
  while (b != before.machines.end() || a != after.machines.end()) {
    if (a == after.machines.end() || (b != before.machines.end() && b->first < a->first)) {
      out.insert(ChunkOf((b++)->first, after.chunks));
    } else if (b == before.machines.end() || a->first < b->first) {
      out.insert(ChunkOf((a++)->first, after.chunks));
    } else {
      if (!(a->second == b->second)) out.insert(ChunkOf(a->first, after.chunks));
      ++a;
      ++b;
    }
  }
  return out;
}

}  // namespace

Core::JobRun* Core::RunOf(const std::string& job) {
  auto it = runs_.find(job);
  return it == runs_.end() ? nullptr : &it->second;
}

void Core::LoadRun(int part, const std::string& id, const JobEntry& entry) {
  if (runs_.count(id) != 0) return;
  JobRun& run = runs_[id];
  run.part = part;
  Part& p = parts_[static_cast<size_t>(part)];
  if (entry.record.spec.priority == Priority::kProduction && p.conflicts == 0) {
    p.not_before = std::min(p.not_before, p.round_at + RoundPace(p) / kHurry);
  }
  run.tasks.assign(static_cast<size_t>(entry.record.spec.tasks), kWaiting);
  const Progress& progress = parts_[static_cast<size_t>(part)].progress;
  auto it = progress.find(id);
  if (it != progress.end() && entry.record.spec.kind != JobKind::kService) {
    for (int task : it->second) {
      if (static_cast<size_t>(task) < run.tasks.size() &&
          run.tasks[static_cast<size_t>(task)] != kDone) {
        run.tasks[static_cast<size_t>(task)] = kDone;
        ++run.done;
      }
    }
  }
}

// Brings what is known of attempts, tasks and machines in line with the roster.
void Core::SyncPart(Micros now, int part) {
  Part& p = parts_[static_cast<size_t>(part)];
  ++mark_;
  for (auto& [id, run] : runs_) {
    if (run.part != part) continue;
    for (int i : run.placed_list) {
      uint8_t& t = run.tasks[static_cast<size_t>(i)];
      if (t == kPlaced) {
        t = kWaiting;
        run.hint = std::min(run.hint, i);
      }
    }
    run.placed_list.clear();
    run.placed = 0;
  }
  for (MachineUse& use : p.machine_use) {
    const RosterMachine& m = *use.machine;
    const std::string& name = m.name;
    MachineInfo& info = machines_[name];
    use.info = &info;
    use.slots.clear();
    if (info.owned_claim != p.my_claim) {
      // It came to this part after the claim: by a move, which is entitled by its own
      // revision. It may have been here before, under an older one.
      info.owned_claim = p.my_claim;
      auto chunk = p.chunks.find(ChunkOf(name, p.roster.chunks));
      uint64_t revision = p.my_claim;
      if (chunk != p.chunks.end()) revision = std::max(revision, chunk->second.version);
      info.fence = std::max(info.fence, revision);
      info.need_token = std::max(info.need_token, revision);
      info.since = now;
      info.idle_since = 0;
      info.give_up = info.drain = info.returning = false;
      info.ordered.clear();
      info.unheeded = info.lapses = 0;
      info.probe = true;
      if (info.addr.empty()) info.addr = m.addr;
    }
    for (const Attempt& a : m.attempts) {
      AttemptInfo& at = attempts_[a];
      if (at.machine.empty()) {
        at.machine = name;
        at.part = part;
        at.placed_at = now;
      }
      at.mark = mark_;
      use.slots.push_back({&at, FindJob(a.job)});
      if (at.gone) continue;
      JobRun* run = RunOf(a.job);
      if (run == nullptr || static_cast<size_t>(a.task) >= run->tasks.size()) continue;
      uint8_t& t = run->tasks[static_cast<size_t>(a.task)];
      if (t == kWaiting) {
        t = kPlaced;
        ++run->placed;
        run->placed_list.push_back(a.task);
      }
    }
  }
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    bool left = it->second.part == part && it->second.mark != mark_;
    it = left ? attempts_.erase(it) : std::next(it);
  }
  for (auto it = returned_.begin(); it != returned_.end();) {
    auto owner = machine_part_.find(*it);
    it = owner == machine_part_.end() ? returned_.erase(it) : std::next(it);
  }
}

bool Core::Usable(Micros now, const RosterMachine& m, const MachineInfo& info) const {
  if (m.leaving || info.give_up || info.failed || info.notice_end != 0 || info.drain) return false;
  if (info.session == 0 || now < info.avoid_until || info.unheeded >= kMostUnheeded) return false;
  if (now - info.heard > 2 * s_.report + kSecond) return false;
  return !health_.Sick(m.name);
}

// A machine as a place for tasks, with none on it.
PlaceMachine Core::EmptyMachine(Micros now, const RosterMachine& m) const {
  PlaceMachine out;
  out.name = m.name;
  out.type = m.type;
  out.zone = m.zone;
  out.spot = m.spot;
  out.helps = m.helps;
  const MachineType* type = TypeOf(m.type);
  if (type != nullptr) {
    out.size = out.free = type->size;
    out.fetch_gb_per_s = type->fetch_gb_per_s;
  }
  auto info = machines_.find(m.name);
  if (info == machines_.end()) return out;
  out.usable = type != nullptr && Usable(now, m, info->second);
  out.cached = &info->second.images;
  return out;
}

// The draft of a round starts as the roster without what is proven gone. One
// pass over the attempts, through pointers that were looked up when the roster
// last changed: this is what a round costs most.
void Core::BeginDraft(Micros now, int part, Draft* draft) const {
  const Part& p = parts_[static_cast<size_t>(part)];
  Roster& roster = draft->roster;
  roster.chunks = p.roster.chunks;
  roster.next_number = p.roster.next_number;
  roster.hires = p.roster.hires;
  roster.shares = p.roster.shares;
  roster.helps = p.roster.helps;
  std::erase_if(roster.helps, [this](const auto& h) { return runs_.count(h.first) == 0; });
  draft->machines.reserve(p.machine_use.size() + 16);
  for (const MachineUse& use : p.machine_use) {
    const RosterMachine& m = *use.machine;
    const bool may =
        !draft->windowed || draft->removals.count(ChunkOf(m.name, draft->roster.chunks)) != 0;
    if (may && returned_.count(m.name) != 0) {
      draft->Change(m.name);
      continue;
    }
    RosterMachine& copy =
        roster.machines.emplace_hint(roster.machines.end(), m.name, RosterMachine())->second;
    copy.name = m.name;
    copy.addr = may && use.info != nullptr && !use.info->addr.empty() ? use.info->addr : m.addr;
    copy.type = m.type;
    copy.zone = m.zone;
    copy.spot = m.spot;
    copy.leaving = m.leaving;
    copy.helps = m.helps;
    copy.attempts.reserve(m.attempts.size() + 4);
    PlaceMachine& place = draft->machines.emplace_back(EmptyMachine(now, m));
    for (size_t i = 0; i < m.attempts.size(); ++i) {
      const MachineUse::Slot slot = i < use.slots.size() ? use.slots[i] : MachineUse::Slot();
      const bool gone = slot.info != nullptr && slot.info->gone;
      if (gone && may) draft->Change(m.name);
      if (!gone || !may) copy.attempts.push_back(m.attempts[i]);
      if (gone) continue;
      place.AddTasks(m.attempts[i].job, 1);
      if (slot.job == nullptr) continue;
      const JobSpec& spec = slot.job->record.spec;
      place.free -= spec.each;
      if (spec.priority < Priority::kProduction) place.lesser += spec.each;
      Share& team = draft->use.teams[spec.team];
      team.cpus += spec.each.cpus;
      team.gpus += spec.each.gpus;
      if (slot.info != nullptr && slot.info->state == TaskState::kFetching && !spec.image.empty() &&
          !place.Has(spec.image)) {
        place.fetching.push_back(spec.image);
      }
    }
  }
}

Core::Use Core::UseOf(const Roster& roster) const {
  Use use;
  for (const auto& [name, m] : roster.machines) {
    const std::string* last = nullptr;
    const JobEntry* job = nullptr;
    for (const Attempt& a : m.attempts) {
      ++use.jobs[a.job];
      if (last == nullptr || *last != a.job) job = FindJob(a.job);
      last = &a.job;
      if (job == nullptr) continue;
      Share& team = use.teams[job->record.spec.team];
      team.cpus += job->record.spec.each.cpus;
      team.gpus += job->record.spec.each.gpus;
    }
  }
  return use;
}

int64_t Core::SteadyHeadroom(int part) const {
  int64_t services = 0;
  for (const auto& [id, run] : runs_) {
    if (run.part != part) continue;
    const JobEntry* job = FindJob(id);
    if (job != nullptr && job->record.spec.kind == JobKind::kService) {
      services += job->record.spec.each.cpus * job->record.spec.tasks;
    }
  }
  if (services == 0) return 0;
  // The longer a machine takes to come, the more may be asked for meanwhile.
  Micros boot = 3600 * kSecond;
  for (const MachineType& t : types_) boot = std::min(boot, t.boot);
  double scale = std::max(1.0, ToSeconds(boot) / 20.0);
  return std::max(
      static_cast<int64_t>(1000 * s_.op.service_headroom_cpus() * scale),
      static_cast<int64_t>(s_.op.service_headroom_share() * static_cast<double>(services)));
}

bool Core::SpreadServices(int part) const {
  for (const auto& [id, run] : runs_) {
    if (run.part != part) continue;
    const JobEntry* job = FindJob(id);
    if (job != nullptr && job->record.spec.kind == JobKind::kService && job->record.spec.spread) {
      return true;
    }
  }
  return false;
}

// By the deadline, and by what the objectives expect of the class; earliest first.
std::vector<Micros> Core::LatestStarts(const JobRecord& record) const {
  const JobSpec& spec = record.spec;
  std::vector<Micros> out;
  if (spec.deadline > 0) out.push_back(spec.deadline - spec.estimate);
  for (const Objective& o : s_.objectives) {
    if (o.job_class != spec.job_class) continue;
    if (o.kind == "wait" && o.within > 0) out.push_back(o.within);
    if (o.kind == "finished" && o.within > 0) out.push_back(o.within - spec.estimate);
    if (o.kind == "deadline" && spec.deadline > 0) {
      out.push_back(static_cast<Micros>(o.times * static_cast<double>(spec.deadline)) -
                    spec.estimate);
    }
  }
  if (out.empty()) out.push_back(600 * kSecond);
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  for (Micros& at : out) at += record.submitted;
  return out;
}

Micros Core::LatestStart(const JobRecord& record) const { return LatestStarts(record).front(); }

// A round looks at all that a part has. It may take so much of our share of a
// processor: the more a part has, the further apart rounds are, and the more each
// of them decides.
Micros Core::RoundPace(const Part& p) const {
  double items = static_cast<double>(p.roster.machines.size() + p.attempts);
  return kRoundPace + static_cast<Micros>(items * kItemCost / (kRoundShare * s_.cores));
}

void Core::RunRounds(Micros now) {
  for (int part = 0; part < s_.parts(); ++part) {
    Part& p = parts_[static_cast<size_t>(part)];
    if (!p.mine || p.committing || p.releasing || now < p.not_before || types_.empty()) continue;
    bool due = p.dirty || p.fence || now - p.last_commit > kIdleRound;
    if (due) Round(now, part);
  }
}

void Core::Round(Micros now, int part) {
  Part& p = parts_[static_cast<size_t>(part)];
  ++counters_.rounds;
  p.dirty = false;
  p.last_commit = now;
  p.round_at = now;
  p.not_before = now + RoundPace(p);
  Draft draft;
  draft.roster.chunks = p.roster.chunks;
  ChooseWindow(&p, &draft);
  BeginDraft(now, part, &draft);
  std::set<std::string> service_images;
  for (const std::string& id : open_jobs_) {
    const JobSpec& spec = jobs_.at(id).record.spec;
    if (spec.kind == JobKind::kService) service_images.insert(spec.image);
  }
  draft.index = PlaceIndex(service_images, &draft.machines);
  draft.headroom = SteadyHeadroom(part);
  DraftAdoption(now, part, &draft);
  DraftTail(now, part, &draft);
  DraftPlacement(now, part, &draft);
  DraftMoves(now, part, &draft);
  DraftFleet(now, part, &draft);
  DraftReturns(now, part, &draft);
  Consolidate(now, part, &draft);
  draft.fence = p.fence;
  for (auto& [id, run] : runs_) {
    if (run.part != part || run.done < static_cast<int>(run.tasks.size())) continue;
    if (static_cast<int>(draft.done.size()) + 4 >= s_.txn_ops || draft.done.size() >= kMostDone) {
      break;
    }
    draft.done.push_back(id);
    draft.urgent = true;
  }
  draft.progress = p.progress_dirty && now >= p.progress_at;
  if (now >= p.tell_at) {
    p.tell_at = now + kTellPeriod;
    Tell(part, draft);
  }
  Commit(now, part, &draft);
}

// What a part has and lacks, for whoever reads the log.
void Core::Tell(int part, const Draft& draft) {
  int usable = 0, waiting = 0, services = 0;
  int64_t steady = 0, spot = 0, free_steady = 0, free_spot = 0, wanted = 0;
  for (const PlaceMachine& m : draft.machines) {
    if (!m.usable) continue;
    ++usable;
    (m.spot ? spot : steady) += m.size.cpus;
    (m.spot ? free_spot : free_steady) += m.free.cpus;
  }
  for (const Draft::Unmet& u : draft.unmet) {
    (u.spec->kind == JobKind::kService ? services : waiting) += u.tasks;
    wanted += u.tasks * u.spec->each.cpus;
  }
  const Part& p = parts_[static_cast<size_t>(part)];
  Log(LogLine::Level::kDebug,
      "part " + std::to_string(part) + ": " + std::to_string(draft.roster.machines.size()) +
          " machines, usable " + std::to_string(usable) + ", chunks " +
          std::to_string(draft.roster.chunks) + ", attempts " + std::to_string(p.attempts) +
          ", cpus steady " + std::to_string(free_steady / 1000) + "/" +
          std::to_string(steady / 1000) + " spot " + std::to_string(free_spot / 1000) + "/" +
          std::to_string(spot / 1000) + " free, no room for " + std::to_string(waiting) +
          " array and " + std::to_string(services) + " service tasks of " +
          std::to_string(wanted / 1000) + " cpus, " + std::to_string(draft.roster.hires.size()) +
          " rentals, " + std::to_string(write_budget_.have()) + " writes, " +
          std::to_string(cloud_budget_.have()) + " calls left");
}

// A transaction holds so many changes and so many bytes. A roster of more
// chunks than that is changed a few chunks at a time, in turn.
void Core::ChooseWindow(Part* p, Draft* draft) const {
  const int most = p->narrow > 0 ? 2 : std::clamp(s_.txn_ops / 2, 3, kMostChunksAtOnce);
  if (p->narrow > 0) --p->narrow;
  if (draft->roster.chunks <= most) return;
  draft->windowed = true;
  draft->most_chunks = static_cast<size_t>(most);
  draft->window.insert(0);  // numbers, shares and rentals are there
  const int turns = std::max(1, most / 2);
  for (int i = 0; i < turns; ++i) {
    draft->removals.insert((p->window_at + i) % draft->roster.chunks);
  }
  p->window_at = (p->window_at + turns) % draft->roster.chunks;
  if (p->cleanup) p->dirty = true;
}

// Attempt numbers differ between parts, so that a job may change its part.
uint64_t Core::NextNumber(int part, Draft* draft) const {
  return draft->roster.next_number++ * parts_.size() + static_cast<uint64_t>(part);
}

// A job of which nothing has started and that finds no room here goes to a part
// that has it.
void Core::DraftMoves(Micros now, int part, Draft* draft) {
  int asked = 0;
  for (const Draft::Unmet& u : draft->unmet) {
    if (draft->moved.size() >= 3) break;
    const JobSpec& spec = *u.spec;
    JobRun* run = RunOf(spec.id);
    if (run == nullptr || run->done > 0 || run->placed > 0 || draft->jobs.count(spec.id) != 0) {
      continue;
    }
    const JobEntry* job = FindJob(spec.id);
    if (job == nullptr || job->record.moves >= (spec.kind == JobKind::kService ? 2 : 6)) continue;
    Micros patience = spec.priority == Priority::kProduction ? 60 * kMilli : 1500 * kMilli;
    if (run->unmet_since == 0 || now - run->unmet_since < patience) continue;
    // Looking at all parts costs: each job asks now and then, a few in a round.
    if (now < run->move_at || ++asked > 4) continue;
    run->move_at =
        now + (spec.priority == Priority::kProduction ? kMovePatience / 5 : kMovePatience);
    std::vector<Room> rooms = RoomsFor(spec);
    int best = -1;
    if (rooms[static_cast<size_t>(part)].machines == 0 && draft->roster.hires.empty() &&
        now - run->unmet_since > kNoMachinePatience) {
      // No machine here could ever take it: to a part that can wait for one.
      for (int q = 0; q < s_.parts(); ++q) {
        const Room& room = rooms[static_cast<size_t>(q)];
        if (!room.owned || room.machines == 0) continue;
        if (best < 0 || room.machines > rooms[static_cast<size_t>(best)].machines) best = q;
      }
    }
    for (int q = 0; q < s_.parts(); ++q) {
      const Room& room = rooms[static_cast<size_t>(q)];
      if (q == part || !room.owned || room.placeable < std::min(spec.tasks, 8)) continue;
      if (best < 0 || room.now_free > rooms[static_cast<size_t>(best)].now_free) best = q;
    }
    if (best < 0) continue;
    draft->moved[spec.id] = best;
    draft->urgent = true;
    draft->critical = draft->critical || spec.priority == Priority::kProduction;
    Log(LogLine::Level::kDebug,
        "move " + spec.id + " from part " + std::to_string(part) + " to " + std::to_string(best));
  }
}

void Core::DraftPlacement(Micros now, int part, Draft* draft) {
  Part& p = parts_[static_cast<size_t>(part)];
  struct Waiting {
    const JobSpec* spec;
    JobRun* run;
    int tasks;
    bool within;
    bool aged;                   // has waited too long without a start
    std::vector<Micros> limits;  // latest starts, one for each aim
    size_t tier;                 // the first of them that can be kept
    double work;                 // cpu seconds that wait
    Micros submitted;
    int moves;
    bool lost() const { return tier >= limits.size(); }
    Micros key() const { return lost() ? submitted : limits[tier]; }
  };
  std::map<std::string, Share> everywhere = draft->use.teams;  // over all parts
  for (int q = 0; q < s_.parts(); ++q) {
    if (q == part) continue;
    for (const auto& [team, use] : parts_[static_cast<size_t>(q)].use.teams) {
      everywhere[team].cpus += use.cpus;
      everywhere[team].gpus += use.gpus;
    }
  }
  std::vector<Waiting> waiting;
  double array_cpus = 0;
  for (auto& [id, run] : runs_) {
    if (run.part != part) continue;
    const JobEntry* job = FindJob(id);
    if (job == nullptr || JobOver(id)) continue;
    const JobSpec& spec = job->record.spec;
    int left = static_cast<int>(run.tasks.size()) - run.done - run.placed;
    if (spec.kind != JobKind::kService) {
      array_cpus += static_cast<double>((left + run.placed) * spec.each.cpus);
    }
    if (left <= 0 || now < health_.NextStart(id)) continue;
    // A gang starts whole: those that are left of a broken one leave first.
    if (spec.kind == JobKind::kGang && run.placed > 0) continue;
    const Team* team = FindTeam(spec.team);
    if (team == nullptr) continue;
    bool within = team->cpus > 0 && everywhere[spec.team].cpus + spec.each.cpus <= team->cpus;
    // Whatever the order, nothing waits for ever: what has waited long without a
    // single start comes first.
    const Micros starve = FromSeconds(s_.op.starve_s());
    const bool aged =
        run.done + run.placed == 0 && starve > 0 && WallNow(now) - job->record.submitted > starve;
    std::vector<Micros> limits = LatestStarts(job->record);
    size_t tier = 0;
    while (spec.kind != JobKind::kService && tier < limits.size() && limits[tier] < WallNow(now)) {
      ++tier;
    }
    double work = static_cast<double>(left * spec.each.cpus) / 1000 * ToSeconds(spec.estimate);
    waiting.push_back({&spec, &run, left, within, aged, std::move(limits), tier, work,
                       job->record.submitted, job->record.moves});
  }
  // The recent peak fades within a minute, and to nothing: a share of it that
  // only dwindled would keep a last machine for long.
  double faded = p.peak * std::max(0.0, 1.0 - ToSeconds(now - p.peak_at) / 60.0);
  if (array_cpus >= faded) {
    p.peak = faded = array_cpus;
    p.peak_at = now;
  }
  p.array_peak = faded;
  // Most urgent first, as long as all can be in time. When they cannot, what costs
  // most is put off until its next aim, so that as many as possible are (Moore and
  // Hodgson). Late ones come last, in the order of their coming.
  double capacity = 0;
  for (const PlaceMachine& m : draft->machines) {
    capacity += static_cast<double>(std::max<int64_t>(0, m.free.cpus) + m.lesser.cpus) / 1000;
  }
  auto group = [](const Waiting& w) {
    return std::make_tuple(-static_cast<int>(w.spec->priority), !w.within, !w.aged);
  };
  auto before = [&group](const Waiting& a, const Waiting& b) {
    if (auto x = group(a), y = group(b); x != y) return x < y;
    if (a.aged && a.submitted != b.submitted) return a.submitted < b.submitted;
    const size_t s = a.lost() ? SIZE_MAX : a.tier, t = b.lost() ? SIZE_MAX : b.tier;
    if (s != t) return s < t;
    if (a.key() != b.key()) return a.key() < b.key();
    return a.spec->id < b.spec->id;
  };
  std::sort(waiting.begin(), waiting.end(), before);
  double ahead = 0;  // cpu seconds of what comes first
  for (auto from = waiting.begin(); capacity > 0 && from != waiting.end();) {
    auto to = std::find_if(from, waiting.end(),
                           [&](const Waiting& w) { return group(w) != group(*from); });
    if (from->spec->kind != JobKind::kService && !from->aged) {
      std::vector<OrderItem> items;
      for (auto w = from; w != to; ++w) items.push_back({&w->limits, w->work, w->tier});
      PutOff(WallNow(now), capacity, ahead, &items);
      for (auto w = from; w != to; ++w) w->tier = items[static_cast<size_t>(w - from)].tier;
    }
    for (; from != to; ++from) ahead += from->work;
  }
  std::sort(waiting.begin(), waiting.end(), before);
  // Batches widen with the load.
  uint32_t batch = std::max(p.batch, s_.op.batch());
  uint32_t started = 0;
  // Conditions are limited too: the claim, the chunks of this part and of one other,
  // and some jobs that are done or move take theirs.
  size_t others = 0;
  for (int q = 0; q < s_.parts(); ++q) {
    if (q != part) others = std::max(others, parts_[static_cast<size_t>(q)].chunks.size());
  }
  const size_t taken = p.chunks.size() + others + kOtherConditions;
  const size_t conditions = static_cast<size_t>(4 * s_.txn_ops);
  const size_t most_jobs = conditions > taken ? conditions - taken : 1;
  const int64_t headroom = draft->headroom;
  const int64_t zone_headroom =
      SpreadServices(part) ? headroom / static_cast<int64_t>(std::max<size_t>(1, s_.zones.size()))
                           : 0;
  // Stopping lent work takes its time, some of which a service start does not
  // have: where the room that is kept is small beside all there is, it stays free.
  int64_t steady = 0, largest = 0;
  for (const PlaceMachine& m : draft->machines) {
    if (m.usable && !m.spot) steady += m.size.cpus;
  }
  const bool lend = headroom * kLendBelow > steady;
  for (const auto& [id, run] : runs_) {
    const JobEntry* job = run.part == part ? FindJob(id) : nullptr;
    if (job == nullptr || job->record.spec.kind != JobKind::kService) continue;
    largest = std::max(largest, job->record.spec.tasks * job->record.spec.each.cpus);
  }
  // With room to spare, half of the largest service finds its image at once.
  int64_t image_headroom =
      headroom > 0 ? static_cast<int64_t>(1000 * s_.op.image_headroom_cpus()) : 0;
  if (!lend) image_headroom = std::max(image_headroom, std::min(largest / 2, headroom));
  int preemptions = 0;
  // Reserved machines stand partly idle: a few of them at a time.
  size_t reserved = 0;
  const size_t most_reserved = 1 + draft->machines.size() / 20;
  std::set<std::string> no_room;  // shapes that found no machine in this round
  for (const Waiting& w : waiting) {
    const JobSpec& spec = *w.spec;
    if (started >= batch || draft->jobs.size() >= most_jobs) break;
    const Team& team = *FindTeam(spec.team);
    const bool tail = draft->roster.helps.count(spec.id) != 0;
    const JobSpread& spread = draft->SpreadOf(spec);
    // Arrays leave a little of the team's limit to its own services.
    Share kept;
    if (spec.priority != Priority::kProduction && service_teams_.count(spec.team) != 0) {
      kept.cpus = std::min<int64_t>(static_cast<int64_t>(1000 * s_.op.team_headroom_cpus()),
                                    team.cpus_max / 4) /
                  s_.parts();
    }
    bool asked_share = false;
    const bool gang = spec.kind == JobKind::kGang;
    // A service that spreads is not begun where it cannot be completed, as long
    // as another part may take it: its replicas would tie it to this one.
    const bool whole =
        gang ||
        (spec.spread && spec.kind == JobKind::kService && w.run->placed == 0 && w.moves < 2 &&
         (w.run->unmet_since == 0 || now - w.run->unmet_since < kWholePatience));
    std::unique_ptr<Draft> before = gang ? std::make_unique<Draft>(*draft) : nullptr;
    const size_t begun = draft->started.size();
    const uint64_t gang_number = gang ? NextNumber(part, draft) : 0;
    PlaceRequest request;
    request.spec = &spec;
    request.spread = &spread;
    request.tail = tail;
    request.steady_headroom = headroom;
    request.zone_headroom = zone_headroom;
    request.image_headroom = image_headroom;
    request.lend = lend;
    // An array of the same shape found no machine a moment ago: nor will this one.
    const std::string shape =
        spec.kind != JobKind::kArray || spec.spread || spec.one_zone || tail ? "" : ShapeOf(spec);
    int left = w.tasks;
    int on = -1;  // the machine that is being filled
    bool no_machine = !shape.empty() && no_room.count(shape) != 0;
    for (size_t i = static_cast<size_t>(w.run->hint);
         i < w.run->tasks.size() && left > 0 && !no_machine; ++i) {
      if (w.run->tasks[i] != kWaiting) continue;
      if (started >= batch && !whole) break;
      auto within = [&] {
        Share share = ShareOf(draft->roster, team, part, s_.parts());
        share.cpus -= kept.cpus;
        return WithinShare(team, share, draft->use.teams[spec.team], spec.each);
      };
      if (!within()) {
        if (asked_share) break;
        asked_share = true;
        Share want{spec.each.cpus * left + kept.cpus, spec.each.gpus * left};
        if (!DraftShare(now, part, draft, team, want) || !within()) {
          if (spec.priority == Priority::kProduction) PreemptTeam(now, part, draft, spec);
          break;
        }
      }
      // An array's tasks fill one machine after the other.
      bool fits = on >= 0 && !shape.empty() && draft->machines[static_cast<size_t>(on)].spot &&
                  spec.each.Fits(draft->machines[static_cast<size_t>(on)].free);
      if (!fits) on = ChooseMachine(request, draft->machines, draft->index);
      if (on < 0 && draft->windowed) {
        // A machine of another chunk has room: no reason to take or rent one.
        request.closed_too = true;
        const bool soon = ChooseMachine(request, draft->machines, draft->index) >= 0;
        request.closed_too = false;
        if (soon) {
          p.dirty = true;
          break;
        }
      }
      if (on < 0) {
        // A take that comes to nothing is undone with the rest.
        if (whole && before == nullptr) before = std::make_unique<Draft>(*draft);
        if (DraftTake(now, part, draft, spec)) {
          on = ChooseMachine(request, draft->machines, draft->index);
        }
      }
      if (on < 0) {
        no_machine = true;
        if (!shape.empty()) no_room.insert(shape);
        break;
      }
      PlaceMachine& machine = draft->machines[static_cast<size_t>(on)];
      if (!spec.image.empty()) {
        draft->index.Remove(machine);
        if (!machine.Has(spec.image)) machine.fetching.push_back(spec.image);
        draft->index.Add(&machine);
      }
      draft->Occupy(&machine, spec, 1);
      draft->Change(machine.name);
      // The tasks of a gang find each other by a common attempt.
      Attempt a{spec.id, static_cast<int>(i), gang ? gang_number : NextNumber(part, draft)};
      draft->roster.machines[machine.name].attempts.push_back(a);
      draft->started.emplace_back(machine.name, a);
      if (machine.helps == spec.id) {
        draft->roster.helps[spec.id].credit -=
            static_cast<double>(spec.each.cpus) / 1000.0 * ToSeconds(spec.estimate) / 3600.0;
      }
      ++started;
      --left;
      if (!whole) w.run->unmet_since = 0;
    }
    if (whole && left > 0) {
      if (before != nullptr) *draft = std::move(*before);
      Withdraw(draft, spec, begun);
      started = static_cast<uint32_t>(draft->started.size());
      if (w.run->unmet_since == 0) w.run->unmet_since = now;
      if (no_machine) draft->unmet.push_back({&spec, w.tasks, tail});
      continue;
    }
    if (draft->started.size() > begun) {
      draft->jobs.insert(spec.id);
      draft->urgent = true;
      draft->critical = draft->critical || spec.priority == Priority::kProduction;
    }
    if (no_machine && left > 0) {
      draft->unmet.push_back({&spec, left, tail});
      if (w.run->unmet_since == 0) w.run->unmet_since = now;
      if (w.aged && draft->started.size() == begun && reserved < most_reserved) {
        ++reserved;
        Reserve(draft, spec);
      }
      if (spec.priority == Priority::kProduction && now - p.explained_at > kSecond) {
        p.explained_at = now;
        Log(LogLine::Level::kDebug,
            "no room for " + spec.id + " (" + std::to_string(left) + " left)");
      }
      // Not for too many at once.
      if (spec.priority == Priority::kProduction && ++preemptions <= kMostPreemptions) {
        DraftPreemption(now, part, draft, spec, left);
      }
    }
  }
  p.batch = started >= batch ? std::min(batch * 2, s_.op.batch_most()) : s_.op.batch();
}

// For a job that has waited too long: its tasks need more room than what is left
// wherever smaller ones keep filling up. The machine with most room takes nothing
// else until one of them fits.
void Core::Reserve(Draft* draft, const JobSpec& spec) {
  PlaceMachine* best = nullptr;
  const JobSpread& spread = draft->SpreadOf(spec);
  for (PlaceMachine& m : draft->machines) {
    if (!m.usable || !m.helps.empty() || !spec.each.Fits(m.size) || !Allowed(spec, spread, m)) {
      continue;
    }
    if (best == nullptr || m.free.cpus > best->free.cpus) best = &m;
  }
  if (best == nullptr) return;
  draft->index.Remove(*best);
  best->usable = false;
}

// Takes back what was placed of a job since `begun`.
void Core::Withdraw(Draft* draft, const JobSpec& spec, size_t begun) {
  while (draft->started.size() > begun) {
    const auto& [name, attempt] = draft->started.back();
    std::erase(draft->roster.machines[name].attempts, attempt);
    for (PlaceMachine& m : draft->machines) {
      if (m.name == name) draft->Occupy(&m, spec, -1);
    }
    draft->started.pop_back();
  }
}

// Jobs of one shape fit on the same machines.
std::string Core::ShapeOf(const JobSpec& spec) {
  std::string out = std::to_string(spec.each.cpus) + "/" + std::to_string(spec.each.gpus) + "/" +
                    std::to_string(spec.each.memory) + "/" + spec.zone + (spec.spot ? "/s" : "/") +
                    (spec.checkpoint > 0 ? "c" : "") +
                    std::to_string(static_cast<int>(spec.priority));
  for (const std::string& t : spec.types) out += "/" + t;
  return out;
}

// A critical job is held up by its own team's limit: a less important task of
// that team makes way.
void Core::PreemptTeam(Micros now, int part, Draft* draft, const JobSpec& spec) {
  const Attempt* best = nullptr;
  AttemptInfo* best_info = nullptr;
  for (const auto& [name, m] : draft->roster.machines) {
    for (const Attempt& a : m.attempts) {
      auto at = attempts_.find(a);
      const JobEntry* job = FindJob(a.job);
      if (at == attempts_.end() || job == nullptr || job->record.spec.team != spec.team) continue;
      if (job->record.spec.priority >= spec.priority || at->second.gone) continue;
      if (at->second.stopping) return;  // under way
      if (!at->second.seen) continue;
      if (best == nullptr || at->second.running_at == 0 ||
          at->second.running_at > best_info->running_at) {
        best = &a;
        best_info = &at->second;
      }
    }
  }
  if (best == nullptr) return;
  const JobEntry* job = FindJob(best->job);
  ++counters_.preempted;
  StopAttempt(now, *best, best_info,
              job->record.spec.checkpoint > 0 ? job->record.spec.save + kSecond : 0);
  Push(now, part, best_info->machine);
}

// What may be stopped on each machine, looked up once a round.
void Core::LookForLesser(Draft* draft) {
  draft->looked_for_lesser = true;
  for (const PlaceMachine& m : draft->machines) {
    auto roster = draft->roster.machines.find(m.name);
    if (!m.usable || !m.helps.empty() || roster == draft->roster.machines.end()) continue;
    if (m.lesser.cpus <= 0 && m.lesser.memory <= 0 && m.lesser.gpus <= 0) continue;
    Draft::Lesser& lesser = draft->lesser[m.name];
    lesser.room = m.free;
    for (const Attempt& a : roster->second.attempts) {
      auto at = attempts_.find(a);
      const JobEntry* job = FindJob(a.job);
      if (at == attempts_.end() || job == nullptr) continue;
      if (at->second.stopping) {
        lesser.room += job->record.spec.each;  // about to be free
      } else if (at->second.seen) {
        lesser.tasks.push_back({a, &at->second, &job->record.spec});
      }
    }
  }
}

// Makes room for `tasks` of critical work by stopping the least important work that
// is in its way, on as many machines as it takes: after a zone was lost hundreds of
// replicas wait, and one machine at a time took half a minute. What is being stopped
// already counts as room to come.
void Core::DraftPreemption(Micros now, int part, Draft* draft, const JobSpec& spec, int tasks) {
  if (!draft->looked_for_lesser) LookForLesser(draft);
  JobSpread& spread = draft->SpreadOf(spec);
  auto fits = [&spec](const Amount& room) {
    int64_t n = 1 << 20;
    if (spec.each.cpus > 0) n = std::min(n, room.cpus / spec.each.cpus);
    if (spec.each.gpus > 0) n = std::min(n, room.gpus / spec.each.gpus);
    if (spec.each.memory > 0) n = std::min(n, room.memory / spec.each.memory);
    return static_cast<int>(std::max<int64_t>(0, n));
  };
  auto promise = [&](Draft::Lesser* lesser) {
    for (int n = std::min(tasks, fits(lesser->room)); n > 0; --n, --tasks) {
      lesser->room -= spec.each;
    }
  };
  struct Choice {
    Draft::Lesser* lesser;
    const std::string* machine;
    std::vector<size_t> stops;
    int64_t cost;
  };
  std::vector<Choice> choices;
  for (const PlaceMachine& m : draft->machines) {
    auto found = draft->lesser.find(m.name);
    if (found == draft->lesser.end() || !m.usable || !Allowed(spec, spread, m)) continue;
    Draft::Lesser& lesser = found->second;
    promise(&lesser);
    if (tasks <= 0) return;
    Choice choice{&lesser, &m.name, {}, 0};
    Amount room = lesser.room;
    for (size_t i = 0; i < lesser.tasks.size() && !spec.each.Fits(room); ++i) {
      const Draft::Lesser::Task& t = lesser.tasks[i];
      if (t.info->stopping || t.spec->priority >= spec.priority) continue;
      room += t.spec->each;
      choice.cost += t.info->running_at == 0 ? 0 : now - t.info->running_at;
      choice.stops.push_back(i);
    }
    if (!spec.each.Fits(room)) continue;
    if (!m.Has(spec.image)) choice.cost += 20 * kSecond;
    choice.cost /= std::clamp(fits(room), 1, tasks);
    choices.push_back(std::move(choice));
  }
  std::sort(choices.begin(), choices.end(), [](const Choice& a, const Choice& b) {
    return a.cost != b.cost ? a.cost < b.cost : *a.machine < *b.machine;
  });
  for (const Choice& c : choices) {
    if (tasks <= 0 || draft->preempted >= kMostPreempted) return;
    for (size_t i : c.stops) {
      const Draft::Lesser::Task& t = c.lesser->tasks[i];
      c.lesser->room += t.spec->each;
      ++counters_.preempted;
      ++draft->preempted;
      StopAttempt(now, t.attempt, t.info, t.spec->checkpoint > 0 ? t.spec->save + kSecond : 0);
    }
    promise(c.lesser);
    Push(now, part, *c.machine);
  }
}

// Free machines of other parts that may be taken now.
void Core::LookElsewhere(Micros now, int part, Draft* draft) {
  draft->looked_elsewhere = true;
  const Waits& waits = WaitingCpus();
  for (int q = 0; q < s_.parts(); ++q) {
    const Part& other = parts_[static_cast<size_t>(q)];
    if (q == part || other.chunks.count(0) == 0 || other.committing) continue;
    // What waits there is about to use them: a first wave of jobs once took a
    // part's machines away before it could decide, and left it with its services.
    const Micros after = waits[static_cast<size_t>(q)][0] > 0 ? kTakeLate : kTakeAfter;
    for (const auto& [name, m] : other.roster.machines) {
      if (!m.attempts.empty() || m.leaving || !m.helps.empty()) continue;
      if (m.addr.empty() || !draft->MayChange(name)) continue;  // still booting
      // One that its owner misses is no room: dead machines went from part to part, and
      // each began to wait for them anew.
      auto known = machines_.find(name);
      if (!other.mine && known != machines_.end() &&
          (known->second.quiet_since != 0 || known->second.failed)) {
        continue;
      }
      auto since = free_since_.find(name);
      if (!other.mine && (since == free_since_.end() || now - since->second < after)) continue;
      if (other.mine) {
        auto info = machines_.find(name);
        if (info == machines_.end() || !Usable(now, m, info->second)) continue;
      }
      draft->elsewhere.emplace_back(q, name);
    }
  }
}

// Takes one free machine of another part for a task that has no room here.
bool Core::DraftTake(Micros now, int part, Draft* draft, const JobSpec& spec) {
  if (now < parts_[static_cast<size_t>(part)].take_after) return false;
  if (!draft->looked_elsewhere) LookElsewhere(now, part, draft);
  for (auto it = draft->elsewhere.begin(); it != draft->elsewhere.end(); ++it) {
    const auto& [q, name] = *it;
    const Part& other = parts_[static_cast<size_t>(q)];
    // A part that is busy committing would only make this commit fail.
    if (now - other.changed_at < 60 * kMilli && spec.priority != Priority::kProduction) continue;
    // One other part in a commit, or it outgrows the transaction.
    if (!draft->others.empty() && draft->others.count(q) == 0) continue;
    const RosterMachine& m = other.roster.machines.at(name);
    const MachineType* type = TypeOf(m.type);
    if (type == nullptr || !spec.each.Fits(type->size) || !draft->MayChange(name)) continue;
    PlaceMachine machine = EmptyMachine(now, m);
    machine.usable = true;
    if (!Allowed(spec, draft->SpreadOf(spec), machine)) continue;
    // Leave the other part something for its own critical starts.
    if (!m.spot && spec.priority != Priority::kProduction) {
      int64_t steady_free = 0;
      for (const auto& [p, n] : draft->elsewhere) {
        if (p != q) continue;
        const RosterMachine& o = other.roster.machines.at(n);
        const MachineType* t = TypeOf(o.type);
        if (!o.spot && t != nullptr) steady_free += t->size.cpus;
      }
      if (steady_free - type->size.cpus <
          static_cast<int64_t>(1000 * s_.op.service_headroom_cpus())) {
        continue;
      }
    }
    Roster& changed = draft->others.try_emplace(q, other.roster).first->second;
    changed.machines.erase(name);
    draft->roster.machines[name] = m;
    draft->machines.push_back(std::move(machine));
    draft->index.Add(&draft->machines.back());
    draft->Change(name);
    draft->urgent = true;
    draft->elsewhere.erase(it);
    return true;
  }
  return false;
}

// Moves unused parts of a team's limit here.
bool Core::DraftShare(Micros now, int part, Draft* draft, const Team& team, const Share& want) {
  if (now < parts_[static_cast<size_t>(part)].take_after) return false;
  Share mine = ShareOf(draft->roster, team, part, s_.parts());
  Share missing = want;
  const Share used = draft->use.teams[team.name];
  missing.cpus -= mine.cpus - used.cpus;
  missing.gpus -= mine.gpus - used.gpus;
  bool moved = false;
  for (int q = 0; q < s_.parts(); ++q) {
    if (q == part || (missing.cpus <= 0 && missing.gpus <= 0)) continue;
    const Part& other = parts_[static_cast<size_t>(q)];
    if (other.chunks.count(0) == 0 || other.committing) continue;
    if (!draft->others.empty() && draft->others.count(q) == 0) continue;
    const Roster& theirs = draft->others.count(q) != 0 ? draft->others.at(q) : other.roster;
    Share share = ShareOf(theirs, team, q, s_.parts());
    auto theirs_used = other.use.teams.find(team.name);
    Share move = Movable(
        share, theirs_used == other.use.teams.end() ? Share() : theirs_used->second, missing);
    if (move.cpus <= 0 && move.gpus <= 0) continue;
    Roster& changed = draft->others.try_emplace(q, other.roster).first->second;
    changed.shares[team.name] = {share.cpus - move.cpus, share.gpus - move.gpus};
    mine.cpus += move.cpus;
    mine.gpus += move.gpus;
    missing.cpus -= move.cpus;
    missing.gpus -= move.gpus;
    draft->roster.shares[team.name] = mine;
    ++counters_.share_moves;
    moved = true;
  }
  return moved;
}

// The tail of array jobs: SpeQuloS' trigger, sizing and order (docs/design.md).
void Core::DraftTail(Micros now, int part, Draft* draft) {
  for (auto& [id, run] : runs_) {
    if (run.part != part) continue;
    const JobEntry* job = FindJob(id);
    if (job == nullptr || JobOver(id) || job->record.spec.kind != JobKind::kArray) continue;
    const JobSpec& spec = job->record.spec;
    if (!TailReached(s_.op.tail_threshold(), run.done, spec.tasks)) continue;
    Micros median = 0;
    if (!run.durations.empty()) {
      std::vector<Micros> sorted = run.durations;
      auto mid = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
      std::nth_element(sorted.begin(), mid, sorted.end());
      median = *mid;
    }
    int pending = spec.tasks - run.done - run.placed;
    std::vector<std::pair<Attempt, AttemptInfo*>> overdue;
    for (auto it = attempts_.lower_bound({id, 0, 0}); it != attempts_.end() && it->first.job == id;
         ++it) {
      auto& [a, at] = *it;
      if (at.gone || at.stopping || at.running_at == 0) continue;
      if (run.moved.count(a.task) != 0) continue;
      if (TailOverdue(now - at.running_at, median, s_.op.overdue_margin())) {
        overdue.emplace_back(a, &at);
      }
    }
    int candidates = pending + static_cast<int>(overdue.size());
    if (candidates == 0) continue;
    JobSpread& spread = draft->SpreadOf(spec);
    // Steady room that the part has already serves as a helper at no new cost.
    int room = 0;
    for (const PlaceMachine& m : draft->machines) {
      if (m.spot || !m.usable || !Allowed(spec, spread, m)) continue;
      if (!m.helps.empty() && m.helps != id) continue;
      Amount left = m.free;
      while (spec.each.Fits(left) && room < candidates && spec.each.cpus > 0) {
        left -= spec.each;
        ++room;
      }
    }
    if (draft->roster.helps.count(id) == 0) {
      double credit = TailCredit(s_.op.credit_share(), spec.tasks, spec.estimate, spec.each.cpus);
      Micros elapsed = WallNow(now) - job->record.submitted;
      double cpus = TailCpus(credit, TailRemaining(elapsed, run.done, spec.tasks));
      draft->roster.helps[id] = {credit};
      draft->urgent = true;
      ++counters_.tails;
      Offer offer;
      if (candidates > room &&
          PickOffer(now, spec, spread, false, InZones(draft->roster), &offer)) {
        int n = TailHelpers(cpus, candidates - room, spec.each.cpus, offer.type->size.cpus);
        if (n > 0) {
          AddHire(part, draft, offer, false, n, id, "the tail of " + id);
          counters_.helpers += static_cast<uint64_t>(n);
        }
      }
    }
    if (draft->roster.helps[id].credit <= 0) continue;  // help ends with the credit
    room -= pending;
    for (auto& [a, at] : overdue) {
      if (room <= 0) break;
      const PlaceMachine* on = nullptr;
      for (const PlaceMachine& m : draft->machines) {
        if (m.name == at->machine) on = &m;
      }
      // A steady machine that is well gives it no better place to go.
      if (on != nullptr && !on->spot && on->usable && on->helps == id) continue;
      --room;
      run.moved.insert(a.task);
      at->moved = true;
      ++counters_.overdue;
      draft->roster.helps[id].credit -=
          static_cast<double>(spec.each.cpus) / 1000.0 * ToSeconds(median) / 3600.0;
      StopAttempt(now, a, at, spec.checkpoint > 0 ? spec.save + kSecond : 0);
      Push(now, part, at->machine);
    }
  }
}

void Core::Commit(Micros now, int part, Draft* draft) {
  Part& p = parts_[static_cast<size_t>(part)];
  StateTxn txn;
  // Only the chunks of machines that changed are written.
  auto add_roster = [this, &txn](int q, Roster* roster, bool force) {
    const Part& owner = parts_[static_cast<size_t>(q)];
    std::set<int> dirty = ChangedChunks(owner.roster, *roster);
    if (force || owner.chunks.count(0) == 0) dirty.insert(0);
    bool split = false;
    while (!dirty.empty()) {
      std::vector<std::pair<int, std::string>> values;
      int64_t largest = 0;
      for (int i : dirty) {
        values.emplace_back(i, EncodeChunk(*roster, i));
        largest = std::max(largest, StoredSize(values.back().second));
      }
      // Well before a value is full its chunk is divided, one a commit; only one
      // that would not fit at all makes it more.
      const int64_t full = s_.value_bytes * 95 / 100;
      if (roster->chunks < kMostChunks &&
          (largest > full || (!split && largest > std::min(kMostChunkBytes, full)))) {
        dirty.insert({0, SplitChunk(roster->chunks), roster->chunks});
        ++roster->chunks;
        split = true;
        continue;
      }
      for (auto& [i, value] : values) {
        txn.writes.push_back({RosterKey(q, i), std::move(value), 0, false});
      }
      break;
    }
    return !dirty.empty();
  };
  bool changed = add_roster(part, &draft->roster, draft->fence);
  for (auto& [q, roster] : draft->others) changed = add_roster(q, &roster, false) || changed;
  for (const std::string& id : draft->done) {
    const JobEntry* job = FindJob(id);
    if (job == nullptr || job->record.state != JobState::kOpen) continue;
    JobRecord record = job->record;
    record.state = JobState::kDone;
    txn.conditions.emplace_back(JobKey(id), job->version);
    draft->jobs.erase(id);
    txn.writes.push_back({JobKey(id), EncodeJob(record), 0, false});
  }
  for (const auto& [id, to] : draft->moved) {
    const JobEntry* job = FindJob(id);
    if (job == nullptr || job->record.state != JobState::kOpen) continue;
    if (static_cast<int>(txn.writes.size()) + 2 > s_.txn_ops) break;
    JobRecord record = job->record;
    record.part = to;
    ++record.moves;
    txn.conditions.emplace_back(JobKey(id), job->version);
    draft->jobs.erase(id);
    txn.writes.push_back({JobKey(id), EncodeJob(record), 0, false});
    ++counters_.job_moves;
  }
  if (draft->progress) {
    Progress progress;
    for (const auto& [id, run] : runs_) {
      if (run.part != part || run.done == 0) continue;
      std::set<int>& done = progress[id];
      for (size_t i = 0; i < run.tasks.size(); ++i) {
        if (run.tasks[i] == kDone) done.insert(static_cast<int>(i));
      }
    }
    std::string value = EncodeProgress(progress);
    // Losing it only repeats work: what does not fit is left out.
    while (StoredSize(value) > s_.value_bytes * 9 / 10 && !progress.empty()) {
      progress.erase(progress.begin());
      value = EncodeProgress(progress);
    }
    txn.writes.push_back({ProgressKey(part), std::move(value), 0, false});
  }
  if (txn.writes.empty()) {
    p.cleanup = false;
    return;
  }
  bool urgent = draft->urgent || draft->fence;
  if (!urgent && !draft->progress) {
    // Removals alone wait a little, so that one write takes many.
    if (p.cleanup_at == 0) {
      p.cleanup_at = now + kCleanupPeriod;
      return;
    }
    if (now < p.cleanup_at) return;
  }
  // What is not critical waits for its turn, so that a commit takes more.
  if (!draft->critical && now - p.committed_at < kRoundPeriod) {
    p.dirty = true;
    p.not_before = p.committed_at + kRoundPeriod;
    return;
  }
  // Parts of one node take turns: a part with large commits once waited for a minute
  // while another one's small ones took each write that there was.
  const double reserve = draft->critical ? 2 : urgent ? 4 : 6;
  bool got = write_turns_.MayTake(now, part);
  if (got) {
    got = write_budget_.Take(now, static_cast<double>(txn.writes.size()), reserve);
    write_turns_.Took(now, part, got);
  }
  if (!got) {
    p.dirty = true;
    p.not_before = now + 50 * kMilli;
    return;
  }
  p.cleanup_at = 0;
  p.committed_at = now;
  txn.conditions.emplace_back(ClaimKey(part), p.my_claim);
  auto all_chunks = [this, &txn](int q) {
    const Part& owner = parts_[static_cast<size_t>(q)];
    if (owner.chunks.count(0) == 0) txn.conditions.emplace_back(RosterKey(q, 0), 0);
    for (const auto& [i, chunk] : owner.chunks) {
      txn.conditions.emplace_back(RosterKey(q, i), chunk.version);
    }
  };
  for (int q = 0; q < s_.parts(); ++q) {
    if (q == part || draft->all_rosters || draft->others.count(q) != 0) all_chunks(q);
  }
  for (const std::string& id : draft->jobs) {
    const JobEntry* job = FindJob(id);
    txn.conditions.emplace_back(JobKey(id), job == nullptr ? 0 : job->version);
  }
  if (draft->progress) {
    p.progress_dirty = false;
    p.progress_at = now + FromSeconds(s_.op.progress_period_s());
  }
  std::string body = wire::EncodeTxn(txn);
  if (static_cast<int64_t>(body.size()) > kMostTxnBytes ||
      static_cast<int>(txn.writes.size()) > s_.txn_ops ||
      static_cast<int>(txn.conditions.size()) > 4 * s_.txn_ops) {
    // Nothing of it was sent: the next rounds decide less.
    Log(LogLine::Level::kInfo, "part " + std::to_string(part) + " decided more than fits");
    ++counters_.oversized;
    p.narrow = 4;
    p.batch = std::max<uint32_t>(1, p.batch / 4);
    p.take_after = now + kSecond;
    p.dirty = true;
    p.progress_dirty = p.progress_dirty || draft->progress;
    return;
  }
  counters_.puts += txn.writes.size();
  ++counters_.commits;
  p.committing = true;
  auto shared = std::make_shared<Draft>(std::move(*draft));
  auto writes = std::make_shared<std::vector<StateWrite>>(txn.writes);
  bool had_fence = p.fence;
  p.fence = false;
  Send(Dest::kState, "", "POST", wire::CommitTarget(), std::move(body), kCommitTimeout,
       [this, part, shared, writes, had_fence, claim = p.my_claim](Micros t, int status,
                                                                   const std::string& body) {
         Part& q = parts_[static_cast<size_t>(part)];
         std::optional<wire::TxnReply> reply;
         if (status == 200 || status == 409) reply = wire::DecodeTxnReply(body);
         if (reply) state_ok_ = t;
         bool current = q.mine && q.my_claim == claim;
         if (current) q.committing = false;
         if (status == 200 && reply) {
           for (const StateWrite& w : *writes) ApplyPut(t, w.key, w.value, reply->revision);
           SettleRosters(t);
           if (current) OnCommitted(t, part, *shared, reply->revision);
           return;
         }
         if (!current) return;
         q.dirty = true;
         q.fence = q.fence || had_fence;
         if (shared->progress) q.progress_dirty = true;
         if (status == 409) {
           // The view is behind; the watch is about to tell. The claim itself
           // may be gone, which the watch or a sibling tells as well.
           ++counters_.commit_conflicts;
           if (!shared->others.empty()) q.take_after = t + 250 * kMilli;
           ++q.conflicts;
           q.not_before =
               t + std::min<Micros>(200 * kMilli, (10 * kMilli) << std::min(q.conflicts, 5));
           if (reply) {
             for (const std::string& key : reply->failed) {
               if (ParseKey(key).kind == Key::Kind::kJob) FetchJob(t, ParseKey(key).id);
             }
           }
         } else {
           // Unknown: the next round commits on the same stamps, and so either
           // voids this transaction or learns that it applied.
           if (status == kNoAnswer) ++counters_.commit_unknown;
           if (status == 429) write_budget_.Drain(t);
           q.not_before = t + 200 * kMilli;
         }
       });
}

void Core::OnCommitted(Micros now, int part, const Draft& draft, uint64_t revision) {
  Part& p = parts_[static_cast<size_t>(part)];
  p.cleanup = false;
  p.conflicts = 0;
  p.dirty = true;
  if (draft.fence) {
    for (const auto& [name, m] : p.roster.machines) {
      MachineInfo& info = machines_[name];
      if (info.need_token <= TokenOf(part, info)) continue;
      ++counters_.fences;
      info.fence = revision;
      info.need_token = revision;
      Push(now, part, name);
    }
  }
  std::set<std::string> touched;
  for (const auto& [machine, a] : draft.started) {
    auto it = attempts_.find(a);
    if (it == attempts_.end() || it->second.gone) continue;
    it->second.fresh = true;
    it->second.placed_at = now;
    touched.insert(machine);
  }
  counters_.takes += draft.others.empty() ? 0 : 1;
  for (const auto& [name, m] : p.roster.machines) {
    if (machines_[name].probe) touched.insert(name);  // has just come
  }
  for (const std::string& name : touched) Push(now, part, name);
  for (const std::string& id : draft.hires) SendHire(now, part, id);
  SendReturns(now, part);
}

}  // namespace troutlink
