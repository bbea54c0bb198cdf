// Command line of the controller: `serve` runs it, `check` only reads both settings files. Exit
// codes: 0 if the files are valid, 1 if it cannot listen, 2 if the settings are invalid, and those
// of CLI11 for an invalid command line.
#include <CLI/CLI.hpp>
#include <iostream>
#include <utility>

#include "base/result.h"
#include "config/settings.h"
#include "daemon/log_setup.h"
#include "daemon/settings_files.h"
#include "runtime/node.h"

namespace {

constexpr const char* kVersion = "troutlink 0.1.0";
constexpr int kExitBadSettings = 2;

CLI::App* AddCommand(CLI::App& app, const char* name, const char* description,
                     troutlink::daemon::SettingsPaths& paths) {
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("--config", paths.platform, "the platform's settings file (JSON)")
      ->required();
  command->add_option("--operator", paths.operators, "operators' settings (protobuf text format)");
  return command;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"troutlink: a cluster scheduler that rents steady machines for the tail of a job"};
  app.set_version_flag("--version", kVersion);
  app.require_subcommand(1);
  troutlink::daemon::SettingsPaths paths;
  AddCommand(app, "serve", "run a controller until it is killed", paths);
  const CLI::App* check = AddCommand(app, "check", "check both settings files and exit", paths);
  CLI11_PARSE(app, argc, argv);

  const auto settings = troutlink::daemon::LoadSettings(paths);
  if (!settings) {
    std::cerr << "troutlink: " << settings.error().text << "\n";
    return kExitBadSettings;
  }
  if (check->parsed()) {
    std::cout << "settings of " << settings->label << " are good: " << settings->shard_count()
              << " controllers, " << settings->teams.size() << " teams\n";
    return 0;
  }
  troutlink::daemon::SetUpLog();
  return troutlink::runtime::RunNode(*settings);
}
