// Which shard's assignment table has a machine.
#ifndef TROUTLINK_CORE_STORE_MACHINE_DIRECTORY_H_
#define TROUTLINK_CORE_STORE_MACHINE_DIRECTORY_H_

#include <map>
#include <string>

namespace troutlink {

// An index over all tables of the replica. A machine that moves is in two tables for a moment,
// as the two chunks are read one after the other: the table that was read last counts.
class MachineDirectory {
 public:
  static constexpr int kNoShard = -1;

  // The table of that shard was read and has the machine.
  void Put(const std::string& machine, int shard_id) { shards_[machine] = shard_id; }
  // The table of that shard no longer has it. False when another one is known to.
  bool Remove(const std::string& machine, int shard_id) {
    auto found = shards_.find(machine);
    if (found == shards_.end() || found->second != shard_id) return false;
    shards_.erase(found);
    return true;
  }
  // kNoShard: in no table.
  int ShardOf(const std::string& machine) const {
    auto found = shards_.find(machine);
    return found == shards_.end() ? kNoShard : found->second;
  }

 private:
  std::map<std::string, int> shards_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_MACHINE_DIRECTORY_H_
