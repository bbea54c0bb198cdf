// Reasons for refusing a settings file.
#ifndef TROUTLINK_CONFIG_SETTINGS_FAULT_H_
#define TROUTLINK_CONFIG_SETTINGS_FAULT_H_

#include <cstdint>

namespace troutlink {

// The error text names the place in the file.
enum class SettingsFault : uint8_t {
  kSyntax,    // not JSON, or not protobuf text format
  kBadField,  // a field is missing or invalid
};

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_SETTINGS_FAULT_H_
