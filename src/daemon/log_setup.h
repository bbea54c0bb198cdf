// Log of the process: lines on stderr with time of day and level.
#ifndef TROUTLINK_DAEMON_LOG_SETUP_H_
#define TROUTLINK_DAEMON_LOG_SETUP_H_

#include <spdlog/common.h>

#include <string_view>

namespace troutlink::daemon {

// Level for a value of LOG_LEVEL: `error` or `debug`; `info` for anything else.
[[nodiscard]] spdlog::level::level_enum LogLevelOf(std::string_view name);

// Makes the default logger write to stderr at the level in the environment variable LOG_LEVEL. Call
// once, before logging and before starting threads.
void SetUpLog();

}  // namespace troutlink::daemon

#endif  // TROUTLINK_DAEMON_LOG_SETUP_H_
