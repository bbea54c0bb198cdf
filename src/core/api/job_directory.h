// What the users' API needs of the jobs in the replica.
#ifndef TROUTLINK_CORE_API_JOB_DIRECTORY_H_
#define TROUTLINK_CORE_API_JOB_DIRECTORY_H_

#include <cstdint>
#include <string>

#include "base/micros.h"
#include "core/leadership/permits.h"
#include "core/store/job_entry.h"

namespace troutlink {

// How far an open job is, as the leader of its shard knows it or else as stored.
struct TaskCounts {
  int64_t done = 0;
  int64_t running = 0;  // placed on a machine
};

// The owner of the replica implements it.
class JobDirectory {
 public:
  virtual ~JobDirectory() = default;

  // Null when the replica does not hold the job. Valid until the replica changes.
  virtual const JobEntry* FindJob(const std::string& id) const = 0;
  // What is known of the job from all sources: the replica, peers and the jobs before it.
  virtual KnownJobState StateOf(const std::string& id) const = 0;
  // Whether a job that this one depends on is known to be cancelled.
  virtual bool HasCancelledDependency(const JobSpec& spec) const = 0;
  // Of an open job.
  virtual TaskCounts TaskCountsOf(const std::string& id, const JobRecord& record) const = 0;
  // The state service holds this value, as of `version`. Does nothing when the replica has it as
  // new.
  virtual void ApplyPut(Micros now, const std::string& key, const std::string& value,
                        uint64_t version) = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_DIRECTORY_H_
