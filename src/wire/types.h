// Structs for everything exchanged with users, agents, the cloud and the key-value store. The names
// on the wire appear only in the .cc files of this package.
#ifndef TROUTLINK_WIRE_TYPES_H_
#define TROUTLINK_WIRE_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/micros.h"

namespace troutlink {

// Amounts of resources in thousandths of CPUs, GPUs and gigabytes of memory, so that sums are
// exact.
struct Resources {
  int64_t cpus = 0;
  int64_t gpus = 0;
  int64_t memory = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus, gpus += other.gpus, memory += other.memory;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus, gpus -= other.gpus, memory -= other.memory;
    return *this;
  }
  // Whether these resources fit into `room`.
  bool Fits(const Resources& room) const {
    return cpus <= room.cpus && gpus <= room.gpus && memory <= room.memory;
  }
  bool operator==(const Resources&) const = default;
};
// Sum and difference of each resource.
inline Resources operator+(Resources left, const Resources& right) { return left += right; }
inline Resources operator-(Resources left, const Resources& right) { return left -= right; }

// Tasks of an array run independently, those of a service until it is cancelled, and those of a
// gang only all together (see docs/questions.md).
enum class JobKind { kArray, kService, kGang };
// Higher is more important.
enum class Priority { kLow = 0, kNormal = 1, kHigh = 2, kProduction = 3 };
inline constexpr size_t kPriorities = 4;

// A job as submitted by its user.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  int tasks = 0;
  Resources task_resources;  // per task
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  Micros estimate = 0;    // expected run time of one task
  Micros checkpoint = 0;  // interval of checkpoints; 0: none
  Micros save = 0;        // time to write a checkpoint before a stop
  Micros deadline = 0;    // from the submission; 0: none
  // Jobs that must be done before any task of this one starts, without duplicates.
  std::vector<std::string> dependencies;
};

// Stored state of a job; an open one is neither done nor cancelled.
enum class JobState { kOpen, kDone, kCancelled };

// State reported to users: an open job is queued until a task runs.
enum class JobPhase { kQueued, kRunning, kDone, kCancelled };

// Answer to a poll.
struct JobStatus {
  std::string id;
  JobPhase state = JobPhase::kQueued;
  int64_t done = 0;
  int64_t running = 0;
};

// --- agents ----------------------------------------------------------------

// State of a task on an agent.
enum class TaskState { kFetching, kRunning, kSaving, kExited };
// Reason why a task ended; kNone if it has not.
enum class ExitReason { kNone, kDone, kStopped, kError, kNoRoom, kBusy, kUnknown, kPeers };

// One attempt of a task in an agent's heartbeat.
struct TaskStatus {
  std::string job;
  int task = 0;
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitReason why = ExitReason::kNone;
  bool saved = false;
};

// An agent's heartbeat: `seq` counts within its `incarnation`, `token` is the highest fencing token
// it has seen, `notice` is set if the machine is about to be evicted.
struct AgentHeartbeat {
  std::string machine;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t incarnation = 0;
  uint64_t seq = 0;
  uint64_t token = 0;
  std::optional<Micros> notice;
  std::vector<TaskStatus> tasks;
};

// A command for one attempt; `grace` only for kStop.
struct Command {
  enum class Op { kStart, kStop, kForget };
  Op op = Op::kStart;
  std::string job;
  int task = 0;
  uint64_t attempt = 0;
  Micros grace = 0;
};

// --- cloud -----------------------------------------------------------------

// A machine type offered by the cloud.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  Micros boot = 0;
  std::vector<std::string> zones;
};

// A rented machine in the cloud's list.
struct ListedMachine {
  std::string name;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  enum class State { kBooting, kRunning, kFailed } state = State::kBooting;
  Micros age = 0;
};

// A request for `count` machines, idempotent by `id`.
struct RentRequest {
  std::string id;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

// --- key-value store -------------------------------------------------------

// A key with its value.
struct StateItem {
  std::string key;
  std::string value;  // MessagePack, as stored
  uint64_t version = 0;
};

// A key to put, under a lease if there is one, or to delete if `erase`.
struct StateWrite {
  std::string key;
  std::string value;   // MessagePack; ignored for deletes
  uint64_t lease = 0;  // 0: none
  bool erase = false;
};

// Holds while the key has this version; version 0: while it does not exist.
struct StateCondition {
  std::string key;
  uint64_t version = 0;
};

// Writes that are applied together if all conditions hold, or not at all.
struct StateTxn {
  std::vector<StateCondition> conditions;
  std::vector<StateWrite> writes;
};

// A change of a key: put, or deleted if `erase`.
struct StateEvent {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool erase = false;
};

}  // namespace troutlink

#endif  // TROUTLINK_WIRE_TYPES_H_
