// The kinds of errors for which a settings file is refused.
#ifndef TROUTLINK_CONFIG_SETTINGS_FAULT_H_
#define TROUTLINK_CONFIG_SETTINGS_FAULT_H_

#include <cstdint>

namespace troutlink {

// Why a settings file is refused; the text of the error names the place.
enum class SettingsFault : uint8_t {
  kSyntax,    // not JSON, or not operators' settings in protobuf text format
  kBadField,  // a field is missing or out of its range
};

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_SETTINGS_FAULT_H_
