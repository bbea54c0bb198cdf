// The platform's settings file (JSON) and operators' settings (protobuf text), checked
// and converted to plain structs.
#ifndef TROUTLINK_CONFIG_SETTINGS_H_
#define TROUTLINK_CONFIG_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "base/micros.h"
#include "base/result.h"
#include "config/operator.pb.h"

namespace troutlink {

// An address to listen at or connect to.
struct Endpoint {
  std::string host;  // IPv4
  int port = 0;
  std::string text;  // as written
};

// Another controller of the deployment.
struct Sibling {
  std::string label;
  std::string zone;
  Endpoint mesh;
};

// A team and its limits.
struct Team {
  std::string name;
  int64_t cpus = 0;      // guaranteed, thousandths
  int64_t cpus_max = 0;  // 0: no limit
  int64_t gpus = 0;
  int64_t gpus_max = 0;
};

// What the platform expects for the jobs of a class.
struct Objective {
  enum class Kind {
    kOther,     // not one that we know; ignored
    kWait,      // starts within `within`
    kFinished,  // ends within `within`
    kDeadline,  // ends within `times` its deadline
  };
  Kind kind = Kind::kOther;
  std::string job_class;
  Micros within = 0;
  double share = 0;
  double times = 1;  // of the deadline
};

// What the state service accepts.
struct StateLimits {
  double write_rps = 0;     // puts and deletes in a second
  int64_t value_bytes = 0;  // of one value
  int txn_ops = 0;          // puts and deletes of a transaction; four times as many conditions
  int conditions() const { return 4 * txn_ops; }
};

// Everything that a controller is told at its start. Amounts are checked to be in range.
struct Settings {
  std::string label;
  std::string zone;
  Endpoint serve;
  Endpoint mesh;
  std::vector<Sibling> siblings;
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  Micros report = 0;
  Micros lease = 0;
  Micros cancel = 0;
  double state_rps = 0;
  StateLimits state_limits;
  // Those that the state service will have from some moment after an upgrade, without notice.
  // No larger than the present ones, and the same where nothing is announced.
  StateLimits next_state_limits;
  double cloud_rps = 0;
  Micros list_lag = 0;
  double cores = 0;
  double mem_mb = 0;
  int fd_limit = 0;
  Micros time_bound = 0;
  OperatorSettings op;

  // All controllers' labels in order; the index of a label is that controller's shard.
  std::vector<std::string> labels;
  int own_shard = 0;
  // One shard for each controller.
  int shard_count() const { return static_cast<int>(labels.size()); }
};

// Why a settings file is refused.
enum class SettingsFault {
  kSyntax,    // not JSON, or not operators' settings in protobuf text format
  kBadField,  // a field is missing or out of its range
};
// The platform's settings in a JSON document.
Result<Settings, SettingsFault> ParseSettings(const std::string& json);
// Operators' settings in protobuf text format.
Result<OperatorSettings, SettingsFault> ParseOperatorSettings(const std::string& text);
// The address in a text of the form IPv4:port; nothing for any other text.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_SETTINGS_H_
