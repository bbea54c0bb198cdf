// A controller process: connects the core to sockets, clocks and the log.
#ifndef TROUTLINK_RUNTIME_NODE_H_
#define TROUTLINK_RUNTIME_NODE_H_

#include "config/settings.h"

namespace troutlink::runtime {

// Runs a controller on the calling thread until the process is killed. Returns an exit code only if
// it cannot listen on an address of `settings`; the log has the reason.
[[nodiscard]] int RunNode(const Settings& settings);

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_NODE_H_
