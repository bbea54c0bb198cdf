// Reads and writes single job records in the key-value store.
#ifndef TROUTLINK_CORE_API_JOB_RECORD_STORE_H_
#define TROUTLINK_CORE_API_JOB_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/micros.h"
#include "core/api/api_counters.h"
#include "core/api/cluster_status.h"
#include "core/api/commit_outcome.h"
#include "core/api/job_directory.h"
#include "core/io/effects.h"
#include "core/io/token_bucket.h"

namespace troutlink {

// Applies results to the replica before calling back. All arguments must outlive this object.
class JobRecordStore {
 public:
  using WriteDone = std::function<void(Micros now, const CommitOutcome& outcome)>;
  // `read`: the store answered, so the replica now contains the job if it exists.
  using ReadDone = std::function<void(Micros now, bool read)>;

  // Timeout of calls on behalf of a waiting user.
  static constexpr Micros kCallTimeout = 1500 * kMillisecond;

  JobRecordStore(Effects* effects, TokenBucket* write_budget, TokenBucket* state_budget,
                 JobDirectory* jobs, ClusterStatus* status, ApiCounters* counters)
      : effects_(effects),
        write_budget_(write_budget),
        state_budget_(state_budget),
        jobs_(jobs),
        status_(status),
        counters_(counters) {}

  // Writes the record if its version is still `expected_version` (0: it does not exist). Charged to
  // the write budget but not limited by it.
  void Write(Micros now, const std::string& job_id, uint64_t expected_version, std::string value,
             WriteDone done);
  // Reads the record, regardless of the request budget.
  void Read(const std::string& job_id, ReadDone done);
  // Reads the record again if the request budget allows it.
  void Refresh(Micros now, const std::string& job_id);

 private:
  Effects* const effects_;
  TokenBucket* const write_budget_;
  TokenBucket* const state_budget_;
  JobDirectory* const jobs_;
  ClusterStatus* const status_;
  ApiCounters* const counters_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_JOB_RECORD_STORE_H_
