// The operators' own settings: a file in protobuf text format. The schema with the meaning
// and default of each field is operator.proto; docs/operating.md tells how to choose values.
#ifndef TROUTLINK_CONFIG_OPERATOR_SETTINGS_H_
#define TROUTLINK_CONFIG_OPERATOR_SETTINGS_H_

#include <string>

#include "base/result.h"
#include "config/operator.pb.h"
#include "config/settings_fault.h"

namespace troutlink {

// The operators' settings in `text`, with defaults for the fields that it leaves out.
// Errors: kSyntax with the line and column of the first one; kBadField with the name of the
// first field out of its range, the range and the value.
[[nodiscard]] Result<OperatorSettings, SettingsFault> ParseOperatorSettings(
    const std::string& text);

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_OPERATOR_SETTINGS_H_
