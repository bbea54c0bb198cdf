// review_case CASE: plays one case; the environment says where.
#include <cstdlib>
#include <iostream>
#include <string>

#include "cases.h"

namespace {
std::string Variable(const char* name, const std::string& otherwise) {
  const char* value = std::getenv(name);
  return value == nullptr ? otherwise : value;
}
}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  review::WorldOptions options;
  options.run = Variable("REVIEW_RUN", "");
  options.directory = Variable("REVIEW_DIRECTORY", "");
  options.record = Variable("REVIEW_RECORD", "");
  const bool trouble = Variable("TROUBLE", "1") != "0";
  if (options.run.empty() || options.directory.empty() || options.record.empty()) return 2;
  const std::string name = argv[1];
  for (const auto& [known, play] : review::Cases()) {
    if (known != name) continue;
    const int code = play(options, trouble);
    std::cout << name << (trouble ? "" : " without the disruption") << ": "
              << (code == 0   ? "the rule held"
                  : code == 1 ? "THE RULE WAS BROKEN"
                              : "could not run")
              << std::endl;
    return code;
  }
  return 2;
}
