// What heartbeats tell peers of this node's replica and machines.
#ifndef TROUTLINK_CORE_LEADERSHIP_MACHINE_STATUS_SOURCE_H_
#define TROUTLINK_CORE_LEADERSHIP_MACHINE_STATUS_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/micros.h"
#include "mesh/codec.h"

namespace troutlink {

// The machine at which a part of a long list begins: shards in order, and in each its machines
// by name.
struct MachineCursor {
  size_t shard_id = 0;
  std::string machine;
};

// A part of the cached images, and where the next part begins: at the front again after the last.
struct CachedImagesPage {
  std::vector<mesh::CachedImages> images;
  MachineCursor next;
};

// Asked by HeartbeatExchange for every heartbeat.
class MachineStatusSource {
 public:
  virtual ~MachineStatusSource() = default;
  // The replica holds all changes up to this revision.
  virtual uint64_t ReplicaRevision() const = 0;
  // Machines of the shards that this node leads which have missed a report, at most `limit`.
  virtual std::vector<mesh::SilentMachine> SilentMachines(Micros now, size_t limit) const = 0;
  // Images of services on machines of those shards, from `from` on, of at most `limit` machines.
  virtual CachedImagesPage CachedImagesFrom(const MachineCursor& from, size_t limit) const = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_MACHINE_STATUS_SOURCE_H_
