// Reads the two settings files named on the command line.
#ifndef TROUTLINK_DAEMON_SETTINGS_FILES_H_
#define TROUTLINK_DAEMON_SETTINGS_FILES_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "config/settings.h"

namespace troutlink::daemon {

// Paths relative to the working directory.
struct SettingsPaths {
  std::string platform;   // JSON
  std::string operators;  // protobuf text format; empty: defaults
};

// Reason for failure.
enum class SettingsFileError {
  kUnreadable,  // a file cannot be read
  kInvalid,     // the content of a file is invalid
};
// Name of the error for logs and test messages.
[[nodiscard]] std::string_view NameOf(SettingsFileError error);

// Reads and checks both files. The text of an error names the file.
[[nodiscard]] Result<Settings, SettingsFileError> LoadSettings(const SettingsPaths& paths);

}  // namespace troutlink::daemon

#endif  // TROUTLINK_DAEMON_SETTINGS_FILES_H_
