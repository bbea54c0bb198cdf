// Jobs with pending tasks: since when they wait, and why, in the log and the metrics.
#include <algorithm>
#include <array>
#include <vector>

#include "core/core.h"
#include "core/io/event.h"
#include "core/io/labelled_metric.h"

namespace troutlink {

namespace {
constexpr size_t kMaxLoggedJobs = 20;       // per shard and log interval, longest waits first
constexpr Micros kLongWait = 45 * kSecond;  // logged at level info
}  // namespace

// Updates the start of the job's wait. A job of which nothing runs has waited since it became
// ready, also under earlier leaders. Otherwise the wait begins when a task becomes pending while
// none was, and anew with each committed start.
void Core::TrackWait(Micros now, const JobEntry& job, JobExecution* execution) const {
  if (execution->pending() <= 0) {
    execution->pending_since = 0;
    execution->all_placed = true;
    execution->wait_reason = WaitReason::kNone;
    return;
  }
  if (execution->pending_since != 0) return;
  execution->pending_since = now;
  if (!execution->all_placed && execution->done + execution->placed == 0)
    execution->pending_since -= std::max<Micros>(0, WallNow(now) - job.ready_at);
}

// Logs the jobs of a shard that wait longest, each with its reason.
void Core::LogWaitingJobs(Micros now, int shard_id) {
  struct WaitingJob {
    const std::string* id;
    const JobExecution* execution;
  };
  const Micros shortest = effects_.logs_debug() ? 0 : kLongWait;
  std::vector<WaitingJob> waiting;
  for (const auto& [id, execution] : executions_) {
    if (execution.shard_id != shard_id || execution.wait_reason == WaitReason::kNone) continue;
    if (now - execution.pending_since >= shortest) waiting.push_back({&id, &execution});
  }
  std::sort(waiting.begin(), waiting.end(), [](const WaitingJob& a, const WaitingJob& b) {
    if (a.execution->pending_since != b.execution->pending_since)
      return a.execution->pending_since < b.execution->pending_since;
    return *a.id < *b.id;
  });
  if (waiting.size() > kMaxLoggedJobs) waiting.resize(kMaxLoggedJobs);
  for (const WaitingJob& job : waiting) {
    const Micros waited = now - job.execution->pending_since;
    effects_.Log(waited >= kLongWait ? LogLine::Level::kInfo : LogLine::Level::kDebug,
                 Event("job_waiting")
                     .With("job", *job.id)
                     .With("shard", shard_id)
                     .With("reason", NameOf(job.execution->wait_reason))
                     .With("pending", job.execution->pending())
                     .With("tasks", job.execution->tasks.size())
                     .WithSpan("waited_ms", waited)
                     .text());
  }
}

// Number of waiting jobs and the longest wait, by reason, in the shards that this node leads.
std::string Core::WaitMetrics(Micros now) const {
  std::array<uint64_t, kWaitReasons> jobs{};
  std::array<Micros, kWaitReasons> longest{};
  for (const auto& [id, execution] : executions_) {
    if (execution.wait_reason == WaitReason::kNone || !LeadsShard(execution.shard_id)) continue;
    const auto reason = static_cast<size_t>(execution.wait_reason);
    ++jobs[reason];
    longest[reason] = std::max(longest[reason], now - execution.pending_since);
  }
  std::string out;
  for (size_t i = 1; i < kWaitReasons; ++i) {
    const MetricLabel label{"reason", NameOf(static_cast<WaitReason>(i))};
    AppendMetric("waiting_jobs", label, jobs[i], &out);
    AppendMetric("longest_wait_ms", label, static_cast<uint64_t>(longest[i] / kMillisecond), &out);
  }
  return out;
}

}  // namespace troutlink
