// Plain structs for everything that crosses the service's published
// interfaces. The words of the wire itself stay in this package's .cc files.
#ifndef TROUTLINK_WIRE_TYPES_H_
#define TROUTLINK_WIRE_TYPES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/micros.h"

namespace troutlink {

// Amounts of resources in thousandths, so that sums are exact.
struct Amount {
  int64_t cpus = 0;
  int64_t gpus = 0;
  int64_t memory = 0;

  Amount& operator+=(const Amount& o) {
    cpus += o.cpus, gpus += o.gpus, memory += o.memory;
    return *this;
  }
  Amount& operator-=(const Amount& o) {
    cpus -= o.cpus, gpus -= o.gpus, memory -= o.memory;
    return *this;
  }
  bool Fits(const Amount& in) const {
    return cpus <= in.cpus && gpus <= in.gpus && memory <= in.memory;
  }
  bool operator==(const Amount&) const = default;
};
inline Amount operator+(Amount a, const Amount& b) { return a += b; }
inline Amount operator-(Amount a, const Amount& b) { return a -= b; }

// A gang's tasks only run all together; see docs/questions.md.
enum class JobKind { kArray, kService, kGang };
// Higher is more important.
enum class Priority { kLow = 0, kNormal = 1, kHigh = 2, kProduction = 3 };
inline constexpr size_t kPriorities = 4;

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  int tasks = 0;
  Amount each;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  Micros estimate = 0;
  Micros checkpoint = 0;
  Micros save = 0;
  Micros deadline = 0;  // 0: none
};

enum class JobState { kOpen, kDone, kCancelled };

// What users are told of a job: an open one is queued until a task runs.
enum class JobPhase { kQueued, kRunning, kDone, kCancelled };

struct JobStatus {
  std::string id;
  JobPhase state = JobPhase::kQueued;
  int64_t done = 0;
  int64_t running = 0;
};

// --- workers ---------------------------------------------------------------

enum class TaskState { kFetching, kRunning, kSaving, kExited };
enum class ExitReason { kNone, kDone, kStopped, kError, kNoRoom, kBusy, kUnknown, kPeers };

struct TaskReport {
  std::string job;
  int task = 0;
  uint64_t attempt = 0;
  TaskState state = TaskState::kFetching;
  ExitReason why = ExitReason::kNone;
  bool saved = false;
};

struct Report {
  std::string machine;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t session = 0;
  uint64_t seq = 0;
  uint64_t token = 0;
  std::optional<Micros> notice;
  std::vector<TaskReport> tasks;
};

struct Command {
  enum class Op { kStart, kStop, kForget };
  Op op = Op::kStart;
  std::string job;
  int task = 0;
  uint64_t attempt = 0;
  Micros grace = 0;
};

// --- cloud -----------------------------------------------------------------

struct MachineType {
  std::string name;
  Amount size;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  Micros boot = 0;
  std::vector<std::string> zones;
};

struct ListedMachine {
  std::string name;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  enum class State { kBooting, kRunning, kFailed } state = State::kBooting;
  Micros age = 0;
};

struct RentRequest {
  std::string request;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

// --- state service ---------------------------------------------------------

struct StateItem {
  std::string key;
  std::string value;  // MessagePack, as stored
  uint64_t version = 0;
};

struct StateWrite {
  std::string key;
  std::string value;   // MessagePack; ignored for deletes
  uint64_t lease = 0;  // 0: none
  bool erase = false;
};

// Holds while the key has this version; version 0: while there is no such key.
struct StateCondition {
  std::string key;
  uint64_t version = 0;
};

struct StateTxn {
  std::vector<StateCondition> conditions;
  std::vector<StateWrite> writes;
};

struct StateEvent {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool erase = false;
};

}  // namespace troutlink

#endif  // TROUTLINK_WIRE_TYPES_H_
