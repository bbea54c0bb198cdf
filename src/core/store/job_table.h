// Replica of the job records, with the known state of each job.
#ifndef TROUTLINK_CORE_STORE_JOB_TABLE_H_
#define TROUTLINK_CORE_STORE_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "core/store/cancellations.h"
#include "core/store/dependencies.h"
#include "core/store/job_entry.h"
#include "core/store/job_observer.h"
#include "core/store/known_job_state.h"
#include "core/store/record_outcome.h"

namespace troutlink {

// All jobs in the key-value store. A job waits until its dependencies are done, inherits the
// urgency of its dependents, and is cancelled with any of its dependencies. Records of finished
// jobs are kept forever, without most of their specification. Makes no calls.
class JobTable {
 public:
  // `cancellations`: those reported by peers before the replica has them. Both must outlive this
  // object.
  JobTable(const CancellationLog* cancellations, JobObserver* observer)
      : cancellations_(cancellations), observer_(observer) {}

  // Applies a job record stored at revision `version`.
  RecordOutcome Apply(Micros now, const std::string& id, const std::string& value,
                      uint64_t version);
  // Cancels all dependents of a job that is known to be cancelled although its record is not.
  void CascadeCancellation(const std::string& id);

  // Null if the replica lacks the job. Later records change the entry.
  const JobEntry* Find(const std::string& id) const;
  // The entry of a job that the table contains, such as one of `open()`.
  const JobEntry& At(const std::string& id) const { return jobs_.at(id); }
  // State of the job according to its record, peers and its dependencies.
  KnownJobState StateOf(const std::string& id) const;
  // Whether the job is cancelled or done, so that its tasks must end.
  bool IsFinished(const std::string& id) const { return troutlink::IsFinished(StateOf(id)); }

  // Whether a dependency of the job is known to be cancelled.
  bool HasCancelledDependency(const JobSpec& spec) const;

  // All jobs, open or finished.
  const std::unordered_map<std::string, JobEntry>& jobs() const { return jobs_; }
  // Jobs whose record is open.
  const std::set<std::string>& open() const { return open_jobs_; }
  // Jobs whose record is open although a dependency is cancelled.
  const std::set<std::string>& cascade_cancelled() const { return cascade_cancelled_; }
  // Number of open jobs that wait for a dependency.
  size_t CountBlocked() const;

  // Whether there ever was a service spread over zones.
  bool had_spread_service() const { return had_spread_service_; }
  // Whether the image belongs to a service. Only the first kMaxServiceImages images are known.
  bool IsServiceImage(const std::string& image) const { return service_images_.count(image) != 0; }
  // Whether the team ever had a service.
  bool HadService(const std::string& team) const { return service_teams_.count(team) != 0; }

 private:
  void NoteService(const JobSpec& spec);
  void ApplyOpen(const std::string& id, JobEntry* entry);
  void ApplyFinished(Micros now, const std::string& id, JobEntry* entry);
  static void DropSpec(JobEntry* entry);
  void MarkCancelled(const std::string& id);
  // Updates whether the job is blocked, and when it became ready.
  void UpdateBlocked(const std::string& id);
  void UpdateInheritedUrgency(const std::string& id);
  // Updates all jobs whose inherited urgency changed in the graph.
  void UpdateChangedUrgencies();

  // Bounds memory.
  static constexpr size_t kMaxServiceImages = 1000;

  const CancellationLog* const cancellations_;
  JobObserver* const observer_;
  std::unordered_map<std::string, JobEntry> jobs_;
  std::set<std::string> open_jobs_;
  DependencyGraph dependencies_;
  std::set<std::string> cascade_cancelled_;
  bool had_spread_service_ = false;
  std::set<std::string> service_images_;
  std::set<std::string> service_teams_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_JOB_TABLE_H_
