// Whether a submitted job is accepted.
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

// Why a submission is refused. The first ones are final: the same submission never succeeds.
enum class AdmissionFault {
  kMalformed,
  kUnknownTeam,
  kFitsNoMachine,      // no type of machine that it allows has room for one of its tasks
  kAboveTeamLimit,     // more than its team may use at once
  kDependsOnService,   // services are never done
  kDependencyUnknown,  // it depends on a job that was never accepted
  kRecordTooLarge,     // for the state service
  kNotReady,           // this controller has no current replica
  kTooManySubmissions,
  kMixedVersions,  // some controller does not know dependencies yet
  kStateServiceSilent,
  kNotStored,  // its record was not, as far as is known
};
// Whether a repeat may succeed.
bool IsTemporary(AdmissionFault fault);

using AdmissionError = Error<AdmissionFault>;

// Judges submissions by what this controller knows, without a word to the state service. The
// texts of the errors are for the user.
class JobAdmission {
 public:
  // All that it is given must outlive it.
  JobAdmission(const Settings* settings, const TokenBucket* write_budget, const JobDirectory* jobs,
               const ClusterStatus* status)
      : settings_(settings), write_budget_(write_budget), jobs_(jobs), status_(status) {}

  // Why the job is refused, whatever it depends on; nothing: it may be accepted.
  std::optional<AdmissionError> Check(Micros now, const JobSpec& spec) const;
  // Why the job may not depend on the jobs that it names, all of which the replica holds.
  std::optional<AdmissionError> CheckDependencies(const JobSpec& spec) const;

 private:
  // Why the job can never run; nothing: it can.
  std::optional<AdmissionError> CheckFeasible(const JobSpec& spec) const;
  bool FitsSomeMachine(const JobSpec& spec) const;

  const Settings* const settings_;
  const TokenBucket* const write_budget_;
  const JobDirectory* const jobs_;
  const ClusterStatus* const status_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_ADMISSION_H_
