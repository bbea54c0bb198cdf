// Reads the two settings files that the command line names.
#ifndef TROUTLINK_DAEMON_SETTINGS_FILES_H_
#define TROUTLINK_DAEMON_SETTINGS_FILES_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "config/settings.h"

namespace troutlink::daemon {

// Where the settings are. Paths are relative to the working directory.
struct SettingsPaths {
  std::string platform;   // JSON
  std::string operators;  // protobuf text format; empty for the defaults
};

// Why the settings cannot be used.
enum class SettingsFileError {
  kUnreadable,  // a file cannot be read
  kInvalid,     // a file's content is refused
};
// The error's name in logs and test messages.
[[nodiscard]] std::string_view NameOf(SettingsFileError error);

// The settings of both files, checked; the first fault otherwise, its text naming the file.
[[nodiscard]] Result<Settings, SettingsFileError> LoadSettings(const SettingsPaths& paths);

}  // namespace troutlink::daemon

#endif  // TROUTLINK_DAEMON_SETTINGS_FILES_H_
