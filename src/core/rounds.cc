// Rounds: everything a part decides at one moment goes into one commit; what
// comes meanwhile is gathered by the next.
#include <algorithm>

#include "core/core.h"
#include "core/draft.h"

namespace troutlink {

namespace {
constexpr Micros kIdleRound = 250 * kMilli;
constexpr Micros kRoundPace = 15 * kMilli;
constexpr double kItemCost = 3;       // microseconds for a machine or an attempt
constexpr double kRoundShare = 0.25;  // of the processor that we have
constexpr int64_t kHurry = 3;         // rounds of critical work come so much sooner
constexpr int kMostChunksAtOnce = 4;
constexpr size_t kMostDone = 8;  // jobs that one round calls done
constexpr Micros kTellPeriod = 5 * kSecond;
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
      info.fence = std::max(info.fence, TokenAt(revision));
      info.need_token = std::max(info.need_token, TokenAt(revision));
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
    bool due = p.dirty || now - p.last_commit > kIdleRound;
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
  // Of this process, since its start: what is added up over a day comes from the log, as
  // counters end with their process.
  const Counters& c = counters_;
  Log(LogLine::Level::kDebug,
      "counted: starts " + std::to_string(c.starts) + ", tails " + std::to_string(c.tails) +
          ", helpers " + std::to_string(c.helpers) + ", overdue " + std::to_string(c.overdue) +
          ", preempted " + std::to_string(c.preempted) + ", cleared " +
          std::to_string(c.consolidated) + ", accepted " + std::to_string(c.accepted) + ", puts " +
          std::to_string(c.puts) + ", commits " + std::to_string(c.commits) + ", conflicts " +
          std::to_string(c.commit_conflicts));
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

}  // namespace troutlink
