// Source of the machine status that heartbeats carry to peers.
#ifndef TROUTLINK_CORE_LEADERSHIP_MACHINE_STATUS_SOURCE_H_
#define TROUTLINK_CORE_LEADERSHIP_MACHINE_STATUS_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/micros.h"
#include "mesh/codec.h"

namespace troutlink {

// Position in the list of all machines: by shard, then by name.
struct MachineCursor {
  size_t shard_id = 0;
  std::string machine;
};

// Part of the list of cached images. `next` wraps around after the last machine.
struct CachedImagesPage {
  std::vector<mesh::CachedImages> images;
  MachineCursor next;
};

// Queried by HeartbeatExchange for every heartbeat.
class MachineStatusSource {
 public:
  virtual ~MachineStatusSource() = default;
  // Revision up to which the replica is complete.
  virtual uint64_t ReplicaRevision() const = 0;
  // At most `limit` machines of the shards that this node leads which missed a heartbeat.
  virtual std::vector<mesh::SilentMachine> SilentMachines(Micros now, size_t limit) const = 0;
  // Cached service images of at most `limit` machines of those shards, starting at `from`.
  virtual CachedImagesPage CachedImagesFrom(const MachineCursor& from, size_t limit) const = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_MACHINE_STATUS_SOURCE_H_
