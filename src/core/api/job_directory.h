// Access to the jobs in the replica, as the users' API needs it.
#ifndef TROUTLINK_CORE_API_JOB_DIRECTORY_H_
#define TROUTLINK_CORE_API_JOB_DIRECTORY_H_

#include <cstdint>
#include <string>

#include "base/micros.h"
#include "core/leadership/permits.h"
#include "core/store/job_entry.h"

namespace troutlink {

// Progress of an open job, from its shard's leader or else as stored.
struct TaskCounts {
  int64_t done = 0;
  int64_t running = 0;  // placed on a machine
};

// Implemented by the owner of the replica.
class JobDirectory {
 public:
  virtual ~JobDirectory() = default;

  // Null if the replica lacks the job. Valid until the replica changes.
  virtual const JobEntry* FindJob(const std::string& id) const = 0;
  // State of the job from all sources: the replica, peers and its dependencies.
  virtual KnownJobState StateOf(const std::string& id) const = 0;
  // Whether a dependency of the job is known to be cancelled.
  virtual bool HasCancelledDependency(const JobSpec& spec) const = 0;
  // For an open job.
  virtual TaskCounts TaskCountsOf(const std::string& id, const JobRecord& record) const = 0;
  // Applies a record read at `version`, unless the replica is as new.
  virtual void ApplyPut(Micros now, const std::string& key, const std::string& value,
                        uint64_t version) = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_DIRECTORY_H_
