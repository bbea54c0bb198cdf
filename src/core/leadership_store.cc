// Core's implementation of LeadershipStore: the stored state that elections need.
#include "core/core.h"

namespace troutlink {

namespace {
constexpr int kManySilentPercent = 5;
}  // namespace

bool Core::NeedsTableMigration(int shard_id) const { return NeedsCompactForm(ShardAt(shard_id)); }

void Core::AddElectionRequirements(int shard_id, StateTxn* txn) const {
  const Shard& shard = ShardAt(shard_id);
  AddTableConditions(shard_id, txn);
  if (NeedsCompactForm(shard)) {
    const std::string header = AssignmentKey(shard_id, 0, TableForm::kCompact);
    txn->conditions.push_back({header, 0});
    txn->writes.push_back({header, EncodeChunk(FirstCompactTable(shard), 0), 0, false});
  } else if (shard.replica.chunks.count(0) == 0) {
    txn->writes.push_back(
        {AssignmentKey(shard_id, 0), EncodeChunk(AssignmentTable(), 0), 0, false});
  }
}

bool Core::ManyMachinesSilent(int shard_id) const {
  const Shard& shard = ShardAt(shard_id);
  return shard.silence.silent * 100 >
         kManySilentPercent * static_cast<int>(shard.replica.assignments.machines.size());
}

void Core::ApplyCommitted(Micros now, const std::vector<StateWrite>& writes, uint64_t revision) {
  for (const StateWrite& write : writes) replica_.ApplyPut(now, write.key, write.value, revision);
  replica_.FinishBatch(now);
}

}  // namespace troutlink
