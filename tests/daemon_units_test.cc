// Unit tests of src/daemon.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <string_view>

#include "daemon/log_setup.h"
#include "daemon/settings_files.h"

namespace troutlink::daemon {
namespace {

// A temporary file.
class TemporaryFile {
 public:
  explicit TemporaryFile(std::string_view content)
      : path_(testing::TempDir() + "troutlink-" + std::to_string(getpid())) {
    std::ofstream(path_) << content;
  }
  ~TemporaryFile() { std::remove(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

TEST(SettingsFiles, NamesTheFileThatCannotBeRead) {
  const auto missing = LoadSettings({"/nonexistent/settings.json", ""});
  ASSERT_FALSE(missing);
  EXPECT_EQ(NameOf(missing.error().code), "unreadable");
  EXPECT_EQ(missing.error().text, "cannot read /nonexistent/settings.json");
}

TEST(SettingsFiles, NamesTheInvalidFile) {
  const TemporaryFile file("{}");
  const auto refused = LoadSettings({file.path(), ""});
  ASSERT_FALSE(refused);
  EXPECT_EQ(NameOf(refused.error().code), "invalid");
  EXPECT_EQ(refused.error().text.rfind(file.path() + ": ", 0), 0U) << refused.error().text;
  EXPECT_NE(refused.error().text.find("label is missing"), std::string::npos);
}

TEST(LogSetup, MapsLevelNames) {
  EXPECT_EQ(LogLevelOf("error"), spdlog::level::err);
  EXPECT_EQ(LogLevelOf("debug"), spdlog::level::debug);
  EXPECT_EQ(LogLevelOf("info"), spdlog::level::info);
  EXPECT_EQ(LogLevelOf("no such level"), spdlog::level::info);
}

}  // namespace
}  // namespace troutlink::daemon
