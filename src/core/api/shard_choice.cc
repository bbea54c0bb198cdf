// Choice of a shard for a new job, or for one that may move.
#include <algorithm>

#include "base/ids.h"
#include "core/core.h"

namespace troutlink {

namespace {
constexpr Micros kWaitsAge = 40 * kMilli;
constexpr Micros kLeaderAlive = 1500 * kMilli;
}  // namespace

int64_t Core::WaitingTasks(const std::string& id, const JobRecord& record) const {
  int64_t waiting = record.spec.tasks;
  auto run = runs_.find(id);
  if (run != runs_.end()) return waiting - (run->second.done + run->second.placed);
  const Shard& shard = ShardAt(record.shard_id);
  auto progress = shard.replica.progress.find(id);
  if (progress != shard.replica.progress.end())
    waiting -= static_cast<int64_t>(progress->second.size());
  auto placed = shard.replica.use.jobs.find(id);
  if (placed != shard.replica.use.jobs.end()) waiting -= placed->second;
  return waiting;
}

const Core::Waits& Core::WaitingCpus() {
  if (now_ - waits_at_ < kWaitsAge && !waits_.empty()) return waits_;
  waits_at_ = now_;
  waits_.assign(shards_.size(), {});
  for (const std::string& id : open_jobs_) {
    const JobRecord& record = jobs_.at(id).record;
    if (record.shard_id < 0 || record.shard_id >= settings_.shard_count()) continue;
    if (jobs_.at(id).blocked) continue;
    const int64_t waiting = WaitingTasks(id, record);
    if (waiting > 0) AddWaiting(record.shard_id, record.spec, waiting);
  }
  return waits_;
}

void Core::AddWaiting(int shard_id, const JobSpec& spec, int64_t tasks) {
  std::array<int64_t, kPriorities>& waits = waits_[static_cast<size_t>(shard_id)];
  for (int priority = 0; priority <= static_cast<int>(spec.priority); ++priority) {
    waits[static_cast<size_t>(priority)] += tasks * spec.each.cpus;
  }
}

std::vector<Core::Room> Core::RoomsFor(const JobSpec& spec) {
  std::vector<Room> rooms(shards_.size());
  const Waits& waits = WaitingCpus();
  for (size_t shard_id = 0; shard_id < shards_.size(); ++shard_id) {
    const Shard& shard = shards_[shard_id];
    Room& room = rooms[shard_id];
    room.waiting = static_cast<double>(waits[shard_id][static_cast<size_t>(spec.priority)]);
    JobSpread spread, ready_spread;
    for (const MachineUse& use : shard.replica.machine_use) {
      AddRoom(spec, use, &room, &spread, &ready_spread);
    }
    room.now_free = room.free - room.waiting;
    if (spec.each.cpus > 0) {
      room.placeable =
          static_cast<int>(std::clamp(room.now_free / static_cast<double>(spec.each.cpus), 0.0,
                                      static_cast<double>(room.placeable)));
    }
    auto peer = peers_.find(shard.replica.leadership_record.leader);
    room.owned = shard.replica.leadership_version != 0 &&
                 (peer == peers_.end() || now_ - peer->second.heard < kLeaderAlive);
  }
  return rooms;
}

void Core::AddRoom(const JobSpec& spec, const MachineUse& use, Room* room, JobSpread* spread,
                   JobSpread* ready_spread) const {
  const AssignedMachine& machine = *use.machine;
  const MachineType* type = machine_types_.Find(machine.type);
  if (type == nullptr || machine.leaving || !machine.helps.empty()) return;
  if (!TypeAllowed(spec, machine.type, machine.spot)) return;
  if (spec.each.Fits(type->size)) ++room->machines;
  room->size += static_cast<double>(type->size.cpus - use.AtLeast(Priority::kProduction).cpus);
  // What it may push aside is room for critical work, and half of it for an array, which
  // should rather go where nothing has to be stopped.
  const bool critical = spec.priority == Priority::kProduction;
  const bool preempts = critical || spec.kind == JobKind::kArray;
  Amount left = type->size - (preempts ? use.AtLeast(spec.priority) : use.all);
  const int64_t unused = std::max<int64_t>(0, (type->size - use.all).cpus);
  const int64_t available = std::max<int64_t>(0, left.cpus);
  room->free += static_cast<double>(critical ? available : (unused + available) / 2);
  if (machine.addr.empty()) return;  // still booting
  if (!spec.each.Fits(left)) return;
  PlaceMachine probe;
  probe.type = machine.type;
  probe.zone = machine.zone;
  probe.spot = machine.spot;
  if (spec.kind == JobKind::kService && room->ready < spec.tasks && HasImage(use, spec.image)) {
    AddReadyRoom(spec, type->size - use.all, left, probe, room, ready_spread);
  }
  while (room->placeable < spec.tasks && spec.each.Fits(left) && Allowed(spec, *spread, probe)) {
    left -= spec.each;
    ++spread->by_zone[machine.zone];
    ++room->placeable;
    if (spec.each.cpus <= 0) break;
  }
}

bool Core::HasImage(const MachineUse& use, const std::string& image) const {
  if (use.images.count(image) != 0) return true;
  auto info = machines_.find(use.machine->name);
  return info != machines_.end() && info->second.images.count(image) != 0;
}

void Core::AddReadyRoom(const JobSpec& spec, Amount rest, const Amount& left,
                        const PlaceMachine& probe, Room* room, JobSpread* spread) {
  room->ready_soon += static_cast<int>(
      std::min<int64_t>(spec.tasks, spec.each.cpus > 0 ? left.cpus / spec.each.cpus : 1));
  while (room->ready < spec.tasks && spec.each.Fits(rest) && spec.each.cpus > 0 &&
         Allowed(spec, *spread, probe)) {
    rest -= spec.each;
    ++spread->by_zone[probe.zone];
    ++room->ready;
  }
}

int Core::ShardForJob(const JobSpec& spec) {
  const std::vector<Room> rooms = RoomsFor(spec);
  double mean = 0;
  for (const Room& room : rooms) mean += room.size / static_cast<double>(rooms.size());
  std::vector<double> score;
  score.reserve(rooms.size());
  for (const Room& room : rooms) score.push_back(ScoreOf(spec, room, mean));
  size_t best = StableHash(spec.id) % shards_.size();
  for (size_t shard_id = 0; shard_id < shards_.size(); ++shard_id) {
    if (score[shard_id] > score[best] + 1) best = shard_id;
  }
  return static_cast<int>(best);
}

double Core::ScoreOf(const JobSpec& spec, const Room& room, double mean_size) {
  double score = room.now_free;
  // Where all are full, by how long it takes: a small shard works a queue off slowly.
  if (room.now_free < 0 && room.size > 0) score *= mean_size / room.size;
  if (spec.kind != JobKind::kArray) score += 1e8 * room.placeable / spec.tasks;
  // A replica starts at once only where its image is.
  if (spec.kind == JobKind::kService) {
    score += 1e7 * (room.ready + 0.2 * std::min(room.ready_soon, spec.tasks)) / spec.tasks;
  }
  // Nobody leads it at the moment: it would wait for a takeover.
  if (!room.owned) score -= 1e12;
  return score;
}

}  // namespace troutlink
