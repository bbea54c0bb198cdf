// What passes between parts: jobs that move, free machines, shares of limits.
#include <algorithm>

#include "core/core.h"
#include "core/draft.h"
#include "core/quota.h"

namespace troutlink {

namespace {
constexpr Micros kTakeAfter = 1500 * kMilli;
constexpr Micros kTakeLate = 8 * kSecond;
constexpr Micros kNoMachinePatience = 3 * kSecond;
constexpr Micros kMovePatience = 500 * kMilli;
}  // namespace

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

}  // namespace troutlink
