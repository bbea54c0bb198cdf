// The machines of one chunk of an assignment table as one text of varints, in each form.
#ifndef TROUTLINK_CORE_STORE_MACHINE_CODEC_H_
#define TROUTLINK_CORE_STORE_MACHINE_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/store/records.h"

namespace troutlink {

// Ordered by name.
using MachineList = std::vector<const AssignedMachine*>;

// In the original form each machine is written by itself; types and zones once for all. In the
// compact form names and addresses are written as what differs from those of the machine before,
// and jobs once for all too.
std::string EncodeMachines(TableForm form, const MachineList& machines);
// Adds the machines to the table; false when the text is damaged.
bool DecodeMachines(TableForm form, std::string_view in, AssignmentTable* assignments);

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_MACHINE_CODEC_H_
