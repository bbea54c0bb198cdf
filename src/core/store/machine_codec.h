// Encodes the machines of a chunk of an assignment table, in either form.
#ifndef TROUTLINK_CORE_STORE_MACHINE_CODEC_H_
#define TROUTLINK_CORE_STORE_MACHINE_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/store/records.h"

namespace troutlink {

// Ordered by name.
using MachineList = std::vector<const AssignedMachine*>;

// The original form writes types and zones once, in a table. The compact form also does so for
// jobs, and front-codes names and addresses.
std::string EncodeMachines(TableForm form, const MachineList& machines);
// Adds the machines to the table. Returns false if the input is malformed.
bool DecodeMachines(TableForm form, std::string_view in, AssignmentTable* assignments);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_MACHINE_CODEC_H_
