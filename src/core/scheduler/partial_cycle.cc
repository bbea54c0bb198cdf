// Selects the chunks of an assignment table that a scheduling cycle may change.
#include <algorithm>
#include <utility>

#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr int kMaxChunksAtOnce = 4;
constexpr int kMaxSmallChunksAtOnce = 7;  // of the compact form
}  // namespace

// An assignment table with more chunks than fit into one transaction is changed a few chunks at a
// time, in rotation.
void Core::SelectChunksToChange(Shard* shard, Plan* plan) const {
  const int ops = cluster_version_.limits().txn_ops;
  const bool compact = plan->assignments.form == TableForm::kCompact;
  // Values of the compact form hold few machines: a commit changes as many of them as it may, which
  // amortises the header that every commit writes.
  int most =
      compact ? std::min(ops, kMaxSmallChunksAtOnce) : std::clamp(ops / 2, 3, kMaxChunksAtOnce);
  if (shard->cycle.narrow > 0) {
    most = 2;
    --shard->cycle.narrow;
  }
  plan->most_writes = static_cast<size_t>(ops);
  if (plan->assignments.chunks <= most) return;
  plan->partial = true;
  plan->most_chunks = static_cast<size_t>(most);
  plan->window.insert(0);  // attempt numbers, quota shares and rentals
  if (shard->cycle.cleanup) shard->cycle.dirty = true;
  if (compact && (++shard->cycle.partial_cycles % 2) == 0) {
    plan->removals = ChunksWithMostFreeCapacity(*shard, static_cast<size_t>(most) - 1);
    return;
  }
  const int turns = std::max(1, most / 2);
  for (int i = 0; i < turns; ++i) {
    plan->removals.insert((shard->cycle.next_chunk + i) % plan->assignments.chunks);
  }
  shard->cycle.next_chunk = (shard->cycle.next_chunk + turns) % plan->assignments.chunks;
}

// Returns the chunks whose machines have the most free CPUs. Every second cycle uses them; the
// other cycles rotate through all chunks, as some jobs fit only on particular machines.
std::set<int> Core::ChunksWithMostFreeCapacity(const Shard& shard, size_t most) const {
  std::map<int, int64_t> room;
  for (const MachineUsage& use : shard.usage.machines) {
    const MachineType* type = machine_types_.Find(use.machine->type);
    if (type == nullptr || use.info == nullptr ||
        !IsSchedulable(node_health_.last_tick(), *use.machine, *use.info)) {
      continue;
    }
    int64_t free = type->size.cpus;
    for (const MachineUsage::Slot& slot : use.slots) {
      if (slot.job == nullptr || slot.info == nullptr || slot.info->gone) continue;
      free -= slot.job->record.spec.task_resources.cpus;
    }
    room[shard.replica.assignments.ChunkOfMachine(use.machine->name)] += std::max<int64_t>(0, free);
  }
  std::vector<std::pair<int64_t, int>> order;
  order.reserve(room.size());
  for (const auto& [chunk, cpus] : room) order.emplace_back(-cpus, chunk);
  std::sort(order.begin(), order.end());
  std::set<int> chunks;
  for (size_t i = 0; i < order.size() && i < most; ++i) chunks.insert(order[i].second);
  return chunks;
}

}  // namespace troutlink
