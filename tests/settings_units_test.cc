// Units of src/config and src/base.
#include <gtest/gtest.h>

#include "base/ids.h"
#include "config/settings.h"

namespace troutlink {
namespace {

TEST(Settings, OperatorsFileIsCheckedWithLineAndRange) {
  OperatorSettings op;
  std::string error;
  EXPECT_TRUE(ParseOperatorSettings("tail_threshold: 0.8 # half", &op, &error));
  EXPECT_DOUBLE_EQ(op.tail_threshold(), 0.8);
  EXPECT_FALSE(ParseOperatorSettings("tail_treshold: 0.8", &op, &error));
  EXPECT_NE(error.find("line 1"), std::string::npos);
  EXPECT_FALSE(ParseOperatorSettings("tail_threshold: 7", &op, &error));
  EXPECT_NE(error.find("tail_threshold must be from"), std::string::npos);
  EXPECT_FALSE(ParseSettings("{}", &error));
  EXPECT_NE(error.find("label is missing"), std::string::npos);
  EXPECT_FALSE(ParseSettings("nonsense", &error));
}

TEST(Ids, JobIdsHaveOneForm) {
  EXPECT_TRUE(IsJobId("job-000412"));
  for (const char* bad : {"", "job-", "job-1x", "Job-1", "job-1/2", "job--1"}) {
    EXPECT_FALSE(IsJobId(bad)) << bad;
  }
}

}  // namespace
}  // namespace troutlink
