// One controller process: the core, its sockets and its timers.
#ifndef TROUTLINK_RUNTIME_NODE_H_
#define TROUTLINK_RUNTIME_NODE_H_

#include "config/settings.h"

namespace troutlink::runtime {

// Runs until the process is killed. Returns an exit code if it cannot start.
int RunNode(const Settings& settings);

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_NODE_H_
