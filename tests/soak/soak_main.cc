// The soak test: see soak.h and docs/operating.md. Exit code 0: no violation; 1: violations; 2:
// invalid arguments, or the run could not start.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "soak.h"

namespace {

// Runs one seed and prints the result.
troutlink::soak::SoakResult RunSeed(const troutlink::soak::SoakOptions& options) {
  troutlink::soak::Soak soak(options);
  const troutlink::soak::SoakResult result = soak.Run();
  std::cout << soak.Summary() << std::endl;
  for (const std::string& finding : soak.findings()) std::cout << "  " << finding << std::endl;
  if (result == troutlink::soak::SoakResult::kBroken) {
    std::cout << "  logs, settings and timeline: " << options.directory << std::endl;
  }
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"troutlink_soak: real controllers over loopback among faults drawn from a seed"};
  troutlink::soak::SoakOptions options;
  uint64_t first = 1;
  uint64_t count = 1;
  std::string out = "soak";
  app.add_option("--binary", options.binary, "the controllers' program")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--seed", first, "the first seed");
  app.add_option("--count", count, "how many seeds, one after the other")
      ->check(CLI::Range(1, 100000));
  app.add_option("--seconds", options.seconds, "of faults in each run")
      ->check(CLI::Range(10, 3600));
  app.add_option("--workers", options.agents, "at the start")->check(CLI::Range(1, 1000));
  app.add_option("--out", out, "directory of logs; those of seeds that pass are deleted");
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp& help) {
    return app.exit(help);
  } catch (const CLI::ParseError& error) {
    std::cerr << "troutlink_soak: " << error.what() << std::endl;
    return 2;
  }
  int worst = 0;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    options.seed = seed;
    options.directory = out + "/seed-" + std::to_string(seed);
    const auto result = RunSeed(options);
    worst = std::max(worst, static_cast<int>(result));
    std::error_code ignored;
    if (result == troutlink::soak::SoakResult::kKept) {
      std::filesystem::remove_all(options.directory, ignored);
    }
    if (result == troutlink::soak::SoakResult::kNotRun) return 2;
  }
  return worst;
}
