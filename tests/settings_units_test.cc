// Units of src/config and src/base.
#include <gtest/gtest.h>

#include "base/ids.h"
#include "config/settings.h"

namespace troutlink {
namespace {

TEST(Settings, OperatorsFileIsCheckedWithLineAndRange) {
  auto good = ParseOperatorSettings("tail_threshold: 0.8 # half");
  ASSERT_TRUE(good) << good.error().text;
  EXPECT_DOUBLE_EQ(good->tail_threshold(), 0.8);
  auto misspelt = ParseOperatorSettings("tail_treshold: 0.8");
  ASSERT_FALSE(misspelt);
  EXPECT_EQ(misspelt.error().code, SettingsFault::kSyntax);
  EXPECT_NE(misspelt.error().text.find("line 1"), std::string::npos);
  auto too_large = ParseOperatorSettings("tail_threshold: 7");
  ASSERT_FALSE(too_large);
  EXPECT_EQ(too_large.error().code, SettingsFault::kBadField);
  EXPECT_NE(too_large.error().text.find("tail_threshold must be from"), std::string::npos);
  auto empty = ParseSettings("{}");
  ASSERT_FALSE(empty);
  EXPECT_EQ(empty.error().code, SettingsFault::kBadField);
  EXPECT_NE(empty.error().text.find("label is missing"), std::string::npos);
  auto nonsense = ParseSettings("nonsense");
  ASSERT_FALSE(nonsense);
  EXPECT_EQ(nonsense.error().code, SettingsFault::kSyntax);
}

TEST(Ids, JobIdsHaveOneForm) {
  EXPECT_TRUE(IsJobId("job-000412"));
  for (const char* bad : {"", "job-", "job-1x", "Job-1", "job-1/2", "job--1"}) {
    EXPECT_FALSE(IsJobId(bad)) << bad;
  }
}

}  // namespace
}  // namespace troutlink
