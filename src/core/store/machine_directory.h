// Index of machines to the shards whose assignment table contains them.
#ifndef TROUTLINK_CORE_STORE_MACHINE_DIRECTORY_H_
#define TROUTLINK_CORE_STORE_MACHINE_DIRECTORY_H_

#include <map>
#include <string>

namespace troutlink {

// While a machine is transferred, its two chunks are read one after the other: the table read last
// counts.
class MachineDirectory {
 public:
  static constexpr int kNoShard = -1;

  // The shard's table contains the machine.
  void Put(const std::string& machine, int shard_id) { shards_[machine] = shard_id; }
  // The shard's table no longer contains it. Returns false if another table is known to.
  bool Remove(const std::string& machine, int shard_id) {
    auto found = shards_.find(machine);
    if (found == shards_.end() || found->second != shard_id) return false;
    shards_.erase(found);
    return true;
  }
  // Returns kNoShard if no table contains the machine.
  int ShardOf(const std::string& machine) const {
    auto found = shards_.find(machine);
    return found == shards_.end() ? kNoShard : found->second;
  }

 private:
  std::map<std::string, int> shards_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_MACHINE_DIRECTORY_H_
