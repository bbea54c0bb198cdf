// Core as the users' API sees it.
#ifndef TROUTLINK_CORE_USER_API_VIEW_H_
#define TROUTLINK_CORE_USER_API_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/api/cancellation_channel.h"
#include "core/api/cluster_status.h"
#include "core/api/job_directory.h"
#include "core/api/shard_loads.h"
#include "core/core.h"

namespace troutlink {

// Implements the interfaces that src/core/api defines.
class Core::UserApiView : public JobDirectory,
                          public ClusterStatus,
                          public CancellationChannel,
                          public ShardLoads {
 public:
  // `core` must outlive this object.
  explicit UserApiView(Core& core) : core_(core) {}

  // JobDirectory.
  const JobEntry* FindJob(const std::string& id) const override;
  KnownJobState StateOf(const std::string& id) const override;
  bool HasCancelledDependency(const JobSpec& spec) const override;
  TaskCounts TaskCountsOf(const std::string& id, const JobRecord& record) const override;
  void ApplyPut(Micros now, const std::string& key, const std::string& value,
                uint64_t version) override;

  // ClusterStatus.
  bool ReplicaSynced() const override;
  Micros ReplicaAge(Micros now) const override;
  bool StateFresh(Micros now) const override;
  void NoteStateAnswer(Micros now) override;
  const StateLimits& Limits() const override;
  bool AllNodesCurrent() const override;
  std::string MostRecentPeer(Micros now) const override;
  const std::vector<MachineType>& MachineTypes() const override;
  Micros WallNow(Micros now) const override;

  // CancellationChannel.
  void LearnCancellation(Micros now, const std::string& job_id) override;
  void RequestHeartbeat(Micros now) override;

  // ShardLoads.
  int ShardCount() const override;
  Micros LastTick() const override;
  void VisitMachines(int shard_id, const MachineVisitor& visit) const override;
  void VisitRunnableJobs(const BacklogVisitor& visit) const override;
  bool CachesImage(const std::string& machine, const std::string& image) const override;
  bool HasLiveLeader(int shard_id) const override;

 private:
  bool IsShard(int shard_id) const;

  Core& core_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_USER_API_VIEW_H_
