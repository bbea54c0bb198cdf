// The process's log: lines on stderr with time of day and level.
#ifndef TROUTLINK_DAEMON_LOG_SETUP_H_
#define TROUTLINK_DAEMON_LOG_SETUP_H_

#include <spdlog/common.h>

#include <string_view>

namespace troutlink::daemon {

// The level of a value of LOG_LEVEL: `error`, `debug`, and `info` for `info` and anything else.
[[nodiscard]] spdlog::level::level_enum LogLevelOf(std::string_view name);

// Makes the default logger write to stderr from the level that the environment variable
// LOG_LEVEL names. To be called once, before anything is logged or another thread started.
void SetUpLog();

}  // namespace troutlink::daemon

#endif  // TROUTLINK_DAEMON_LOG_SETUP_H_
