// Settings of a controller, parsed from the platform's JSON file. The operator settings are read by
// operator_settings.h and become a member.
#ifndef TROUTLINK_CONFIG_SETTINGS_H_
#define TROUTLINK_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/micros.h"
#include "base/result.h"
#include "config/endpoint.h"           // IWYU pragma: export
#include "config/operator.pb.h"        // IWYU pragma: export
#include "config/operator_settings.h"  // IWYU pragma: export
#include "config/settings_fault.h"     // IWYU pragma: export

namespace troutlink {

// Another controller of the deployment.
struct PeerController {
  std::string label;  // unique in the deployment
  std::string zone;
  Endpoint mesh;  // listens here for other controllers
};

// A team and its quota in milli-CPUs and milli-GPUs.
struct Team {
  std::string name;
  int64_t cpus = 0;      // guaranteed
  int64_t cpus_max = 0;  // 0: no limit
  int64_t gpus = 0;      // guaranteed
  int64_t gpus_max = 0;  // 0: no limit
};

// Service-level objective for the jobs of a class.
struct Objective {
  enum class Kind : uint8_t {
    kOther,     // unknown to this release; ignored
    kWait,      // starts within `within` of its submission
    kFinished,  // finishes within `within` of its submission
    kDeadline,  // finishes within `times` its deadline
  };
  Kind kind = Kind::kOther;
  std::string job_class;
  Micros within = 0;
  double share = 0;  // of the jobs that must meet it, 0 to 1
  double times = 1;  // multiple of the deadline
};

// Limits of the key-value store.
struct StateLimits {
  double write_rps = 0;     // puts and deletes per second
  int64_t value_bytes = 0;  // maximum size of a value
  int txn_ops = 0;          // puts and deletes per transaction
  // Conditions per transaction.
  [[nodiscard]] int conditions() const { return 4 * txn_ops; }
};

// All settings of a controller. Numbers are checked to be in range.
struct Settings {
  // This controller.
  std::string label;
  std::string zone;
  Endpoint serve;  // listens here for users and agents
  Endpoint mesh;   // listens here for other controllers

  // Deployment.
  std::vector<PeerController> peers;  // the other controllers
  Endpoint cloud;
  Endpoint state;                  // address of the key-value store
  std::vector<std::string> zones;  // where machines may be rented
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  // Agents.
  Micros heartbeat_period = 0;       // interval of an agent's heartbeats
  Micros agent_lease = 0;            // an agent stops its tasks after this time without a reply
  Micros cancellation_deadline = 0;  // maximum time that a task may run after its job was cancelled

  // Key-value store.
  double state_rps = 0;  // requests per second
  StateLimits state_limits;
  // Limits that will apply at some time after an upgrade, without notice. Not larger than the
  // present ones; equal if none are announced.
  StateLimits next_state_limits;

  // Cloud.
  double cloud_rps = 0;  // requests per second
  Micros list_lag = 0;   // maximum age of its list of machines

  // Resource limits of this process.
  double cores = 0;
  double mem_mb = 0;
  int fd_limit = 0;
  Micros time_bound = 0;  // checked but unused

  OperatorSettings operator_settings;

  // Labels of all controllers in order; the index of a label is that controller's shard.
  std::vector<std::string> labels;
  int home_shard = 0;
  // One shard per controller.
  [[nodiscard]] int shard_count() const { return static_cast<int>(labels.size()); }
  // The team with that name, or null.
  [[nodiscard]] const Team* FindTeam(const std::string& name) const;
};

// Parses the platform's settings, with default operator settings. Errors: kSyntax if the document
// is not JSON; kBadField with the path of the first field that is missing, of the wrong type or out
// of range.
[[nodiscard]] Result<Settings, SettingsFault> ParseSettings(const std::string& json);

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_SETTINGS_H_
