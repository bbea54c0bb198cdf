// Records in the key-value store, and their keys.
#ifndef TROUTLINK_CORE_STORE_RECORDS_H_
#define TROUTLINK_CORE_STORE_RECORDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace troutlink {

// Common prefix of all keys, so that one watch covers them.
inline constexpr std::string_view kKeyPrefix = "troutlink/";

std::string JobKey(std::string_view id);
std::string LeadershipKey(int shard_id);
// Storage forms of an assignment table. In the original form chunk 0 contains the header
// (everything but machines) and machines. In the compact form, for stores that accept only small
// values, chunk 0 contains the header alone.
enum class TableForm { kOriginal, kCompact };
std::string AssignmentKey(int shard_id, int chunk, TableForm form = TableForm::kOriginal);
// Progress of a shard is split into pages; version 1 reads page 0 only.
std::string ProgressKey(int shard_id, int page = 0);
// Key of the storage version that a node reads and writes.
std::string NodeVersionKey(std::string_view label);

struct Key {
  enum class Kind {
    kJob,
    kLeadership,
    kAssignments,
    kProgress,
    kNodeVersion,
    kOther,
  } kind = Kind::kOther;
  std::string id;  // of the job, or label of the node
  int shard_id = 0;
  int chunk = 0;  // chunk, or page of progress
  TableForm form = TableForm::kOriginal;
};
Key ParseKey(std::string_view key);

struct JobRecord {
  JobSpec spec;
  int shard_id = 0;
  JobState state = JobState::kOpen;
  Micros submitted = 0;  // time of day
  int moves = 0;         // between shards; bounded, or full shards would pass the job around
  Micros finished = 0;   // time of day at which the job was found done; 0: unknown
};
std::string EncodeJob(const JobRecord& job);
std::optional<JobRecord> DecodeJob(std::string_view value);

struct Leadership {
  std::string leader;
  uint64_t boot = 0;
};
std::string EncodeLeadership(const Leadership& leadership);
std::optional<Leadership> DecodeLeadership(std::string_view value);

// One attempt to run a task on a machine, planned or running.
struct Attempt {
  std::string job;
  int task = 0;
  uint64_t number = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false finding, the generated code holds no null.
  auto operator<=>(const Attempt&) const = default;
};

struct AssignedMachine {
  std::string name;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  bool draining = false;  // being returned: takes no work and cannot be transferred
  std::string tail_job;   // id of the job for whose tail it was rented
  std::vector<Attempt> attempts;
  bool operator==(const AssignedMachine&) const = default;
};

// A rental request without a definite answer. It stays recorded until there is one, so that no
// machine is rented and forgotten.
struct Rental {
  RentRequest request;
  std::string tail_job;
  bool operator==(const Rental& o) const {
    return request.id == o.request.id && request.count == o.request.count;
  }
};

struct QuotaShare {
  int64_t cpus = 0;
  int64_t gpus = 0;
  bool operator==(const QuotaShare&) const = default;
};

// Credit granted for a job's tail; stored so that a failover does not grant it again.
struct TailGrant {
  double credit = 0;  // remaining CPU hours
  bool operator==(const TailGrant&) const = default;
};

struct AssignmentTable {
  TableForm form = TableForm::kOriginal;
  int chunks = 1;  // including the header of the compact form
  // First chunk of the compact form that is not migrated yet: its machines and those of later
  // chunks are read from the original form. 0: none.
  int unmigrated_from = 0;
  uint64_t next_number = 1;  // for attempts and rental requests
  std::map<std::string, AssignedMachine> machines;
  std::map<std::string, Rental> rentals;
  std::map<std::string, QuotaShare> shares;      // by team; absent: an equal share
  std::map<std::string, TailGrant> tail_grants;  // by job
  bool operator==(const AssignmentTable&) const = default;

  // Chunk that stores the machine.
  int ChunkOfMachine(const std::string& machine) const;
  // Chunk that is split when one is added.
  int ChunkToSplit() const;
  bool Migrating() const { return unmigrated_from != 0; }
};

// Machines are distributed over chunks by a hash of their names.
int ChunkOf(const std::string& machine, int chunks);
// Chunk that is split when one is added to `chunks`.
int SplitChunk(int chunks);
std::string EncodeChunk(const AssignmentTable& assignments, int chunk);
bool DecodeChunk(std::string_view value, int chunk, AssignmentTable* assignments);
// Minimum number of chunks in the compact form so that none exceeds `most_bytes`.
int ChunksForCompactForm(const AssignmentTable& assignments, int64_t max_bytes);
// Size of a stored value as the key-value store counts it.
int64_t StoredSize(std::string_view value);

// Finished tasks of unfinished jobs.
using Progress = std::map<std::string, std::set<int>>;
std::string EncodeProgress(const Progress& progress);
std::optional<Progress> DecodeProgress(std::string_view value);

// Version of the storage forms. Version 2 adds job dependencies, the compact form of assignment
// tables and pages of progress. A node without a record has version 1.
inline constexpr uint64_t kStoredFormVersion = 2;
std::string EncodeNodeVersion(uint64_t version);
std::optional<uint64_t> DecodeNodeVersion(std::string_view value);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_RECORDS_H_
