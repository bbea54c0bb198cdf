// One controller process: connects the core to sockets, clocks and the log. The core
// decides and returns what to send; the node sends it and passes on what arrives.
#ifndef TROUTLINK_RUNTIME_NODE_H_
#define TROUTLINK_RUNTIME_NODE_H_

#include "config/settings.h"

namespace troutlink::runtime {

// Runs a controller until the process is killed; returns an exit code if it cannot start.
int RunNode(const Settings& settings);

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_NODE_H_
