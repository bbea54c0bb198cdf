#include "daemon/settings_files.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace troutlink::daemon {
namespace {

Result<std::string, SettingsFileError> ReadFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Error<SettingsFileError>{SettingsFileError::kUnreadable, "cannot read " + path};
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

Error<SettingsFileError> Invalid(const std::string& path, const Error<SettingsFault>& fault) {
  return {SettingsFileError::kInvalid, path + ": " + fault.text};
}

}  // namespace

std::string_view NameOf(SettingsFileError error) {
  switch (error) {
    case SettingsFileError::kUnreadable: return "unreadable";
    case SettingsFileError::kInvalid: return "invalid";
  }
  return "unknown";
}

Result<Settings, SettingsFileError> LoadSettings(const SettingsPaths& paths) {
  const auto platform_text = ReadFile(paths.platform);
  if (!platform_text) return platform_text.error();
  auto settings = ParseSettings(*platform_text);
  if (!settings) return Invalid(paths.platform, settings.error());
  if (!paths.operators.empty()) {
    const auto operator_text = ReadFile(paths.operators);
    if (!operator_text) return operator_text.error();
    auto operators = ParseOperatorSettings(*operator_text);
    if (!operators) return Invalid(paths.operators, operators.error());
    settings->operator_settings = std::move(*operators);
  }
  return std::move(*settings);
}

}  // namespace troutlink::daemon
