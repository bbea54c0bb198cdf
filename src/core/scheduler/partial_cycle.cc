// Selects the chunks of an assignment table that a scheduling cycle may change.
#include <algorithm>
#include <utility>

#include "core/core.h"
#include "core/scheduler/plan.h"

namespace troutlink {

namespace {
constexpr int kMaxChunksPerCommit = 4;
constexpr int kMaxCompactChunksPerCommit = 7;  // of the compact form
}  // namespace

// An assignment table with more chunks than fit into one transaction is changed a few chunks at a
// time, in rotation.
void Core::SelectChunksToChange(Shard* shard, Plan* plan) const {
  const int ops = cluster_version_.limits().txn_ops;
  const bool compact = plan->assignments.form == TableForm::kCompact;
  // Values of the compact form hold few machines: a commit changes as many of them as it may, which
  // amortises the header that every commit writes.
  int max_chunks = compact ? std::min(ops, kMaxCompactChunksPerCommit)
                           : std::clamp(ops / 2, 3, kMaxChunksPerCommit);
  if (shard->cycle.reduced_cycles_left > 0) {
    max_chunks = 2;
    --shard->cycle.reduced_cycles_left;
  }
  plan->max_writes = static_cast<size_t>(ops);
  if (plan->assignments.chunks <= max_chunks) return;
  plan->partial = true;
  plan->max_chunks = static_cast<size_t>(max_chunks);
  plan->changed_chunks.insert(0);  // attempt numbers, quota shares and rentals
  if (shard->cycle.cleanup_only) shard->cycle.dirty = true;
  if (compact && (++shard->cycle.partial_cycles % 2) == 0) {
    plan->cleanup_chunks = ChunksWithMostFreeCapacity(*shard, static_cast<size_t>(max_chunks) - 1);
    return;
  }
  const int turns = std::max(1, max_chunks / 2);
  for (int i = 0; i < turns; ++i) {
    plan->cleanup_chunks.insert((shard->cycle.next_cleanup_chunk + i) % plan->assignments.chunks);
  }
  shard->cycle.next_cleanup_chunk =
      (shard->cycle.next_cleanup_chunk + turns) % plan->assignments.chunks;
}

// Returns the chunks whose machines have the most free CPUs. Every second cycle uses them; the
// other cycles rotate through all chunks, as some jobs fit only on particular machines.
std::set<int> Core::ChunksWithMostFreeCapacity(const Shard& shard, size_t max_chunks) const {
  std::map<int, int64_t> free_cpus;
  for (const MachineUsage& usage : shard.usage.machines) {
    const MachineType* type = machine_types_.Find(usage.machine->type);
    if (type == nullptr || usage.agent == nullptr ||
        !IsSchedulable(node_health_.last_tick(), *usage.machine, *usage.agent)) {
      continue;
    }
    int64_t free = type->size.cpus;
    for (const MachineUsage::Slot& slot : usage.slots) {
      if (slot.job == nullptr || slot.attempt == nullptr || slot.attempt->terminated) continue;
      free -= slot.job->record.spec.task_resources.cpus;
    }
    free_cpus[shard.replica.assignments.ChunkOfMachine(usage.machine->name)] +=
        std::max<int64_t>(0, free);
  }
  std::vector<std::pair<int64_t, int>> order;
  order.reserve(free_cpus.size());
  for (const auto& [chunk, cpus] : free_cpus) order.emplace_back(-cpus, chunk);
  std::sort(order.begin(), order.end());
  std::set<int> chunks;
  for (size_t i = 0; i < order.size() && i < max_chunks; ++i) chunks.insert(order[i].second);
  return chunks;
}

}  // namespace troutlink
