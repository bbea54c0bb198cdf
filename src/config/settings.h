// The platform's settings file (JSON), checked and converted to plain structs: what a
// controller is told at its start of its deployment and of the services around it. The
// operators' own file is read by operator_settings.h and becomes the member `op`.
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
  Endpoint mesh;  // where it takes connections of other controllers
};

// A team and its quota, in thousandths of a cpu and of a gpu.
struct Team {
  std::string name;
  int64_t cpus = 0;      // guaranteed
  int64_t cpus_max = 0;  // 0: no limit
  int64_t gpus = 0;      // guaranteed
  int64_t gpus_max = 0;  // 0: no limit
};

// A service level objective of the platform for the jobs of a class.
struct Objective {
  enum class Kind : uint8_t {
    kOther,     // of a kind that this release does not know; ignored
    kWait,      // a job starts within `within` of its submission
    kFinished,  // a job is done within `within` of its submission
    kDeadline,  // a job is done within `times` its deadline
  };
  Kind kind = Kind::kOther;
  std::string job_class;
  Micros within = 0;
  double share = 0;  // of the jobs that must meet it, 0 to 1
  double times = 1;  // of the deadline
};

// What the state service accepts.
struct StateLimits {
  double write_rps = 0;     // puts and deletes in a second
  int64_t value_bytes = 0;  // the largest value
  int txn_ops = 0;          // puts and deletes of a transaction
  // Conditions of a transaction.
  [[nodiscard]] int conditions() const { return 4 * txn_ops; }
};

// Everything that a controller is told at its start. Amounts are checked to be in range.
struct Settings {
  // This controller.
  std::string label;
  std::string zone;
  Endpoint serve;  // where it listens for users and workers
  Endpoint mesh;   // where it listens for the other controllers

  // The deployment.
  std::vector<PeerController> peers;  // the other controllers
  Endpoint cloud;
  Endpoint state;                  // this controller's address of the state service
  std::vector<std::string> zones;  // where machines may be rented
  std::vector<Team> teams;
  std::vector<Objective> objectives;

  // Workers.
  Micros heartbeat_period = 0;  // period of a worker's reports
  Micros agent_lease = 0;       // a worker runs on for so long without an answer to its reports
  Micros cancellation_deadline =
      0;  // no task may run for longer than this after its job's cancellation

  // The state service.
  double state_rps = 0;  // requests in a second
  StateLimits state_limits;
  // Those that the state service will have from some moment after an upgrade, without notice.
  // No larger than the present ones, and the same where nothing is announced.
  StateLimits next_state_limits;

  // The cloud.
  double cloud_rps = 0;  // requests in a second
  Micros list_lag = 0;   // its list of machines may be so much out of date

  // What this process may use.
  double cores = 0;
  double mem_mb = 0;
  int fd_limit = 0;
  Micros time_bound = 0;  // checked and kept; nothing depends on it

  OperatorSettings operator_settings;

  // All controllers' labels in order; the index of a label is that controller's shard.
  std::vector<std::string> labels;
  int own_shard = 0;
  // One shard for each controller.
  [[nodiscard]] int shard_count() const { return static_cast<int>(labels.size()); }
  // The team of that name; null if the platform has none.
  [[nodiscard]] const Team* FindTeam(const std::string& name) const;
};

// The platform's settings in a JSON document, with the defaults of the operators' settings.
// Errors: kSyntax for what is not JSON; kBadField with the path of the first field that is
// missing, of another type or out of its range.
[[nodiscard]] Result<Settings, SettingsFault> ParseSettings(const std::string& json);

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_SETTINGS_H_
