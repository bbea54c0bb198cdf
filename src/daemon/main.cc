// The command line of the controller: `serve` runs it, `check` only reads both settings
// files.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "config/settings.h"
#include "runtime/node.h"

namespace {

constexpr const char* kVersion = "troutlink 0.1.0";

bool ReadFile(const std::string& path, std::string* out) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return false;
  std::ostringstream text;
  text << in.rdbuf();
  *out = text.str();
  return true;
}

void SetUpLog() {
  auto logger = std::make_shared<spdlog::logger>("troutlink",
                                                 std::make_shared<spdlog::sinks::stderr_sink_st>());
  spdlog::set_default_logger(logger);
  spdlog::set_pattern("%H:%M:%S.%e %l %v");
  const char* level = std::getenv("LOG_LEVEL");
  std::string wanted = level == nullptr ? "info" : level;
  if (wanted == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (wanted == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else {
    spdlog::set_level(spdlog::level::info);
  }
  spdlog::flush_on(spdlog::level::debug);
}

// Reads and checks both files; says in one line what is wrong.
bool Load(const std::string& config, const std::string& op, troutlink::Settings* out) {
  std::string text;
  if (!ReadFile(config, &text)) {
    std::cerr << "troutlink: cannot read " << config << "\n";
    return false;
  }
  auto settings = troutlink::ParseSettings(text);
  if (!settings) {
    std::cerr << "troutlink: " << config << ": " << settings.error().text << "\n";
    return false;
  }
  if (!op.empty()) {
    if (!ReadFile(op, &text)) {
      std::cerr << "troutlink: cannot read " << op << "\n";
      return false;
    }
    auto operators = troutlink::ParseOperatorSettings(text);
    if (!operators) {
      std::cerr << "troutlink: " << op << ": " << operators.error().text << "\n";
      return false;
    }
    settings->op = std::move(*operators);
  }
  *out = std::move(*settings);
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"troutlink: a cluster scheduler that rents steady machines for the tail of a job"};
  app.set_version_flag("--version", kVersion);
  app.require_subcommand(1);
  std::string config, op;
  auto add = [&](const char* name, const char* what) {
    CLI::App* sub = app.add_subcommand(name, what);
    sub->add_option("--config", config, "the platform's settings file (JSON)")->required();
    sub->add_option("--operator", op, "operators' settings (protobuf text format)");
    return sub;
  };
  CLI::App* serve = add("serve", "run a controller until it is killed");
  CLI::App* check = add("check", "check both settings files and exit");
  CLI11_PARSE(app, argc, argv);

  troutlink::Settings settings;
  if (!Load(config, op, &settings)) return 2;
  if (check->parsed()) {
    std::cout << "settings of " << settings.label << " are good: " << settings.shard_count()
              << " controllers, " << settings.teams.size() << " teams\n";
    return 0;
  }
  (void)serve;
  SetUpLog();
  return troutlink::runtime::RunNode(settings);
}
