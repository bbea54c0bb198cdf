// What changes of jobs in the replica mean for the rest of a controller.
#ifndef TROUTLINK_CORE_STORE_JOB_OBSERVER_H_
#define TROUTLINK_CORE_STORE_JOB_OBSERVER_H_

#include <cstddef>
#include <string>

#include "base/micros.h"
#include "core/store/job_entry.h"

namespace troutlink {

// Told by JobTable, synchronously, in the order in which the table changes. The table may be
// read from within a call but not changed; an entry is valid for the call only.
class JobObserver {
 public:
  // A record of an open job was read: the job is new, or its record changed.
  virtual void OnJobOpen(const std::string& id, const JobEntry& entry) = 0;
  // A final record was read. The entry is as read: most of its specification goes afterwards.
  virtual void OnJobFinished(Micros now, const std::string& id, const JobEntry& entry) = 0;
  // All jobs that the job depends on are done now.
  virtual void OnJobUnblocked(const std::string& id, const JobEntry& entry) = 0;
  // The urgency that an open job inherits from its dependents was computed again.
  virtual void OnUrgencyUpdated(const std::string& id, const JobEntry& entry) = 0;
  // The job is cancelled because one that it depends on is; `count`: with its own dependents
  // that were not known as cancelled before.
  virtual void OnCascadeCancelled(const std::string& id, size_t count) = 0;

 protected:
  ~JobObserver() = default;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_JOB_OBSERVER_H_
