// Admission of submitted jobs.
#ifndef TROUTLINK_CORE_API_JOB_ADMISSION_H_
#define TROUTLINK_CORE_API_JOB_ADMISSION_H_

#include <optional>

#include "base/micros.h"
#include "base/result.h"
#include "config/settings.h"
#include "core/api/cluster_status.h"
#include "core/api/job_directory.h"
#include "core/io/token_bucket.h"
#include "wire/types.h"

namespace troutlink {

// Reason for refusing a submission. Those before kNotReady are permanent.
enum class AdmissionFault {
  kMalformed,
  kUnknownTeam,
  kFitsNoMachine,      // no allowed machine type has room for one of its tasks
  kAboveTeamLimit,     // exceeds the team's quota
  kDependsOnService,   // services are never done
  kDependencyUnknown,  // a dependency was never accepted
  kRecordTooLarge,     // exceeds the key-value store's limit
  kNotReady,           // this controller has no current replica
  kTooManySubmissions,
  kMixedVersions,  // some controller does not support dependencies yet
  kStateServiceSilent,
  kNotStored,  // the write failed or its outcome is unknown
};
// Whether a retry may succeed.
bool IsTemporary(AdmissionFault fault);

using AdmissionError = Error<AdmissionFault>;

// Checks submissions against this controller's state, without calls. Error texts are for the user.
class JobAdmission {
 public:
  // All arguments must outlive this object.
  JobAdmission(const Settings* settings, const TokenBucket* write_budget, const JobDirectory* jobs,
               const ClusterStatus* status)
      : settings_(settings), write_budget_(write_budget), jobs_(jobs), status_(status) {}

  // Reason for refusing the job regardless of its dependencies, if any.
  std::optional<AdmissionError> Check(Micros now, const JobSpec& spec) const;
  // Reason for refusing the job's dependencies, if any. The replica must contain all of them.
  std::optional<AdmissionError> CheckDependencies(const JobSpec& spec) const;

 private:
  // Reason why the job can never run, if any.
  std::optional<AdmissionError> CheckFeasible(const JobSpec& spec) const;
  bool FitsSomeMachine(const JobSpec& spec) const;

  const Settings* const settings_;
  const TokenBucket* const write_budget_;
  const JobDirectory* const jobs_;
  const ClusterStatus* const status_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_ADMISSION_H_
