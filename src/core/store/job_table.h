// The replica of the job records, and what is known of each job.
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

// All jobs that the state service holds, with what open ones inherit through dependencies: a job
// waits until all that it depends on are done, is as urgent as the most urgent job that depends
// on it, and is cancelled with any job that it depends on. Records of jobs that are over are
// kept for ever, without most of their specification. Makes no calls.
class JobTable {
 public:
  // `cancellations`: what peers told before the replica had it. Both must outlive this.
  JobTable(const CancellationLog* cancellations, JobObserver* observer)
      : cancellations_(cancellations), observer_(observer) {}

  // Applies a job's record as stored at revision `version`.
  RecordOutcome Apply(Micros now, const std::string& id, const std::string& value,
                      uint64_t version);
  // A job is known to be cancelled although its record is not yet: cancels all jobs that depend
  // on it.
  void CascadeCancellation(const std::string& id);

  // Null: the replica does not hold the job. The entry is changed by later records.
  const JobEntry* Find(const std::string& id) const;
  // The entry of a job that the table is known to hold, such as one of `open()`.
  const JobEntry& At(const std::string& id) const { return jobs_.at(id); }
  // What is known of the job, by its record, by peers and through its dependencies.
  KnownJobState StateOf(const std::string& id) const;
  // Whether tasks of the job have to end: it is cancelled or done.
  bool IsOver(const std::string& id) const { return troutlink::IsOver(StateOf(id)); }

  // Whether a job that this one depends on is known to be cancelled.
  bool HasCancelledDependency(const JobSpec& spec) const;

  // Every job, open or over.
  const std::unordered_map<std::string, JobEntry>& jobs() const { return jobs_; }
  // Jobs whose record is open.
  const std::set<std::string>& open() const { return open_jobs_; }
  // Jobs whose record is open although one that they depend on is cancelled.
  const std::set<std::string>& cascade_cancelled() const { return cascade_cancelled_; }
  // Open jobs that wait for another job.
  size_t CountBlocked() const;

  // Whether any service spreads over zones, or did.
  bool spread_seen() const { return spread_seen_; }
  // Whether the image is of a service. Of very many images some count as of none.
  bool IsServiceImage(const std::string& image) const { return service_images_.count(image) != 0; }
  // Whether the team ever had a service.
  bool HadService(const std::string& team) const { return service_teams_.count(team) != 0; }

 private:
  void NoteService(const JobSpec& spec);
  void ApplyOpen(const std::string& id, JobEntry* entry);
  void ApplyFinished(Micros now, const std::string& id, JobEntry* entry);
  static void DropSpec(JobEntry* entry);
  void Cancel(const std::string& id);
  // Sets whether the job waits for others, and since when it does not.
  void CheckDependencies(const std::string& id);
  void UpdateInheritedUrgency(const std::string& id);
  // The same for all jobs whose inherited urgency changed in the graph.
  void UpdateChangedUrgencies();

  // Bounds the memory that images of services take.
  static constexpr size_t kMaxServiceImages = 1000;

  const CancellationLog* const cancellations_;
  JobObserver* const observer_;
  std::unordered_map<std::string, JobEntry> jobs_;
  std::set<std::string> open_jobs_;
  DependencyGraph dependencies_;
  std::set<std::string> cascade_cancelled_;
  bool spread_seen_ = false;
  std::set<std::string> service_images_;
  std::set<std::string> service_teams_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_JOB_TABLE_H_
