// Operator settings: a file in protobuf text format. operator.proto is the schema with the meaning
// and default of each field; docs/operating.md explains how to choose values.
#ifndef TROUTLINK_CONFIG_OPERATOR_SETTINGS_H_
#define TROUTLINK_CONFIG_OPERATOR_SETTINGS_H_

#include <string>

#include "base/result.h"
#include "config/operator.pb.h"
#include "config/settings_fault.h"

namespace troutlink {

// Parses the operator settings in `text`; omitted fields get their defaults. Errors: kSyntax with
// line and column; kBadField with the name, range and value of the first field out of its range.
[[nodiscard]] Result<OperatorSettings, SettingsFault> ParseOperatorSettings(
    const std::string& text);

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_OPERATOR_SETTINGS_H_
