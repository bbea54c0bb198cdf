// One controller process: connects the core to sockets, clocks and the log. The core decides
// and returns what to send; the node sends it and passes on what arrives.
#ifndef TROUTLINK_RUNTIME_NODE_H_
#define TROUTLINK_RUNTIME_NODE_H_

#include "config/settings.h"

namespace troutlink::runtime {

// Runs a controller on the calling thread until the process is killed. Returns only when it
// cannot listen at an address of `settings`: the exit code of the process, with the reason in
// the log.
[[nodiscard]] int RunNode(const Settings& settings);

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_NODE_H_
