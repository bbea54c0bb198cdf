#include "daemon/log_setup.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <memory>

namespace troutlink::daemon {

spdlog::level::level_enum LogLevelOf(std::string_view name) {
  if (name == "error") return spdlog::level::err;
  if (name == "debug") return spdlog::level::debug;
  return spdlog::level::info;
}

void SetUpLog() {
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "troutlink", std::make_shared<spdlog::sinks::stderr_sink_st>()));
  spdlog::set_pattern("%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(LogLevelOf(level == nullptr ? "info" : level));
  // Flush every line, as the process is ended by a signal.
  spdlog::flush_on(spdlog::level::debug);
}

}  // namespace troutlink::daemon
