// Fakes of the interfaces of src/core/api for its unit tests.
#ifndef TROUTLINK_TESTS_API_FAKES_H_
#define TROUTLINK_TESTS_API_FAKES_H_

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/api/cancellation_channel.h"
#include "core/api/cluster_status.h"
#include "core/api/job_directory.h"
#include "core/api/job_queries.h"
#include "core/api/job_record_store.h"
#include "core/api/responder.h"
#include "core/api/shard_loads.h"
#include "core/io/effects.h"
#include "core/io/io.h"
#include "core/io/token_bucket.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::test {

// Jobs by id, as in the replica.
class FakeJobs : public JobDirectory {
 public:
  const JobEntry* FindJob(const std::string& id) const override {
    auto job = jobs.find(id);
    return job == jobs.end() ? nullptr : &job->second;
  }
  KnownJobState StateOf(const std::string& id) const override {
    if (cancelled_by_peers.count(id) != 0) return KnownJobState::kCancelled;
    const JobEntry* job = FindJob(id);
    if (job == nullptr) return KnownJobState::kUnknown;
    if (job->record.state == JobState::kDone) return KnownJobState::kDone;
    return job->record.state == JobState::kOpen ? KnownJobState::kOpen : KnownJobState::kCancelled;
  }
  bool HasCancelledDependency(const JobSpec& spec) const override {
    for (const std::string& id : spec.dependencies) {
      if (StateOf(id) == KnownJobState::kCancelled) return true;
    }
    return false;
  }
  TaskCounts TaskCountsOf(const std::string& /*id*/, const JobRecord& /*record*/) const override {
    return counts;
  }
  void ApplyPut(Micros /*now*/, const std::string& key, const std::string& value,
                uint64_t version) override {
    std::optional<JobRecord> record = DecodeJob(value);
    ASSERT_TRUE(record.has_value());
    JobEntry& entry = jobs[ParseKey(key).id];
    entry.record = *record;
    entry.version = version;
  }

  void Put(const JobSpec& spec, JobState state, uint64_t version) {
    JobEntry& entry = jobs[spec.id];
    entry.record.spec = spec;
    entry.record.state = state;
    entry.version = version;
  }

  std::map<std::string, JobEntry> jobs;
  std::set<std::string> cancelled_by_peers;
  TaskCounts counts;
};

// A healthy controller; tests change single properties.
class FakeStatus : public ClusterStatus {
 public:
  bool ReplicaSynced() const override { return synced; }
  Micros ReplicaAge(Micros /*now*/) const override { return replica_age; }
  bool StateFresh(Micros /*now*/) const override { return state_fresh; }
  void NoteStateAnswer(Micros now) override { state_answered = now; }
  const StateLimits& Limits() const override { return limits; }
  bool AllNodesCurrent() const override { return all_current; }
  std::string MostRecentPeer(Micros /*now*/) const override { return fresh_peer; }
  const std::vector<MachineType>& MachineTypes() const override { return types; }
  Micros WallNow(Micros now) const override { return now; }

  bool synced = true;
  bool state_fresh = true;
  bool all_current = true;
  Micros replica_age = 0;
  Micros state_answered = 0;
  StateLimits limits{100, 100000, 32};
  std::string fresh_peer = "peer";
  std::vector<MachineType> types;
};

class FakeCancellations : public CancellationChannel {
 public:
  void LearnCancellation(Micros /*now*/, const std::string& job_id) override {
    learnt.push_back(job_id);
  }
  void RequestHeartbeat(Micros /*now*/) override { ++hastened; }

  std::vector<std::string> learnt;
  int hastened = 0;
};

class FakeResponder : public Responder {
 public:
  void Answer(uint64_t request_id, int status, std::string body, int retry_after_s) override {
    replies.push_back({request_id, status, std::move(body), retry_after_s});
  }
  bool MayHaveCopy(uint64_t /*request_id*/) const override { return has_copy; }

  std::vector<Reply> replies;
  bool has_copy = false;
};

// Shards with machines of one type, and their pending jobs.
class FakeLoads : public ShardLoads {
 public:
  struct Machine {
    AssignedMachine assigned;
    std::array<Resources, kPriorities> used_by_priority{};
    std::set<std::string> task_images;
  };
  struct WaitingJob {
    int shard_id;
    JobSpec spec;
    int64_t tasks;
  };

  explicit FakeLoads(int count) : shards(static_cast<size_t>(count)) {}

  int ShardCount() const override { return static_cast<int>(shards.size()); }
  Micros LastTick() const override { return last_tick; }
  void VisitMachines(int shard_id, const MachineVisitor& visit) const override {
    for (const Machine& machine : shards[static_cast<size_t>(shard_id)]) {
      Resources used;
      for (const Resources& amount : machine.used_by_priority) used += amount;
      visit({machine.assigned, &type, used, machine.used_by_priority, machine.task_images});
    }
  }
  void VisitRunnableJobs(const BacklogVisitor& visit) const override {
    for (const WaitingJob& job : waiting) visit(job.shard_id, job.spec, job.tasks);
  }
  bool CachesImage(const std::string& machine, const std::string& image) const override {
    return caches.count({machine, image}) != 0;
  }
  bool HasLiveLeader(int shard_id) const override { return leaderless.count(shard_id) == 0; }

  std::vector<std::vector<Machine>> shards;
  std::vector<WaitingJob> waiting;
  std::set<std::pair<std::string, std::string>> caches;
  std::set<int> leaderless;
  MachineType type;
  Micros last_tick = kSecond;
};

inline constexpr Micros kNow = 100 * kSecond;

// An array of two tasks that fit on a machine of LargeType.
inline JobSpec Job(const std::string& id, JobKind kind = JobKind::kArray) {
  JobSpec spec;
  spec.id = id;
  spec.job_class = "batch";
  spec.team = "blue";
  spec.kind = kind;
  spec.tasks = 2;
  spec.task_resources = {4000, 0, 8000};
  spec.image = "img";
  return spec;
}

inline MachineType LargeType() {
  MachineType type;
  type.name = "large";
  type.size = {16000, 0, 64000};
  type.zones = {"z1"};
  return type;
}

// Answers of the key-value store to a commit.
inline std::string Committed(uint64_t revision) {
  return wire::Pack(wire::Json{{"ledger", revision}});
}
inline std::string Conflict(const std::string& job_id) {
  return wire::Pack(wire::Json{{"ledger", 9}, {"failed", wire::Json::array({JobKey(job_id)})}});
}

// Matches the reply to that request.
inline auto Response(uint64_t request, int status) {
  return ::testing::AllOf(::testing::Field(&Reply::id, request),
                          ::testing::Field(&Reply::status, status));
}

// Services of the controller for the module.
struct Controller {
  Controller() {
    status.types = {LargeType()};
    settings.teams = {{"blue", 0, 0, 0, 0}};
    settings.zones = {"z1"};
    settings.next_state_limits = status.limits;
  }
  // Answers the only open call.
  void StateAnswers(Micros now, int http_status, const std::string& body) {
    const Outbox outbox = effects.TakeOutbox();
    ASSERT_THAT(outbox.calls, ::testing::SizeIs(1));
    effects.HandleAnswer(now, outbox.calls[0].id, http_status, body);
  }

  Settings settings;
  TokenBucket write_budget{100, 100};
  TokenBucket state_budget{100, 100};
  Effects effects{&state_budget};
  FakeJobs jobs;
  FakeStatus status;
  FakeCancellations cancellations;
  FakeResponder responder;
  ApiCounters counters;
};

// Polls and cancellations on such a controller.
struct Queries : Controller {
  JobRecordStore records{&effects, &write_budget, &state_budget, &jobs, &status, &counters};
  JobQueries queries{15 * kSecond, &effects, &state_budget,  &jobs,
                     &status,      &records, &cancellations, &responder};

  void Poll(const std::string& id, uint64_t request = 1) {
    queries.Poll(kNow, {JobRequest::Kind::kPoll, request, id, kNow, 0, false});
  }
  void Cancel(const std::string& id) {
    queries.Cancel(kNow, {JobRequest::Kind::kCancel, 1, id, kNow, 0, false});
  }
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_API_FAKES_H_
