// Observer of job changes in the replica.
#ifndef TROUTLINK_CORE_STORE_JOB_OBSERVER_H_
#define TROUTLINK_CORE_STORE_JOB_OBSERVER_H_

#include <cstddef>
#include <string>

#include "base/micros.h"
#include "core/store/job_entry.h"

namespace troutlink {

// Called synchronously by JobTable, in the order of the changes. Implementations may read the table
// but not change it; entries are valid during the call only.
class JobObserver {
 public:
  // A record of an open job was read: the job is new or has changed.
  virtual void OnJobOpen(const std::string& id, const JobEntry& entry) = 0;
  // A final record was read. Most of the entry's specification is dropped after the call.
  virtual void OnJobFinished(Micros now, const std::string& id, const JobEntry& entry) = 0;
  // All dependencies of the job are done.
  virtual void OnJobUnblocked(const std::string& id, const JobEntry& entry) = 0;
  // The urgency that an open job inherits was recomputed.
  virtual void OnUrgencyUpdated(const std::string& id, const JobEntry& entry) = 0;
  // The job is cancelled because a dependency is. `count`: the job and its dependents that were not
  // known to be cancelled before.
  virtual void OnCascadeCancelled(const std::string& id, size_t count) = 0;

 protected:
  ~JobObserver() = default;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_JOB_OBSERVER_H_
