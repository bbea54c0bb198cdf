// Unit tests of src/base: job ids, hashes, text varints, durations and results.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "base/digits.h"
#include "base/ids.h"
#include "base/micros.h"
#include "base/result.h"
#include "result_matchers.h"

namespace troutlink {
namespace {

using testing::AllOf;
using testing::Eq;
using testing::Ge;
using testing::IsEmpty;
using testing::Le;

TEST(JobIds, HaveAPrefixAndUpTo32Digits) {
  EXPECT_TRUE(IsJobId("job-000412"));
  EXPECT_TRUE(IsJobId("job-" + std::string(32, '7')));
}

TEST(JobIds, RefuseOtherForms) {
  for (const char* bad : {"", "job-", "job-1x", "Job-1", "job-1/2", "job--1", " job-1", "jo"}) {
    EXPECT_FALSE(IsJobId(bad)) << bad;
  }
  EXPECT_FALSE(IsJobId("job-" + std::string(33, '7')));
}

// Shards are chosen by the hash: a changed value would break a running cluster.
TEST(StableHash, HasStableValues) {
  EXPECT_EQ(StableHash(""), 0x8570E250FE4C2473ULL);
  EXPECT_EQ(StableHash("node-1"), 0x3E1BC7F083D68A9EULL);
}

TEST(StableHash, TreatsBytesAboveAsciiAsUnsigned) {
  EXPECT_EQ(StableHash("\xff"), 0x28FBDD7E7EB5EC33ULL);
}

constexpr uint64_t kDigitValues[] = {
    0, 1, 31, 32, 1023, 1024, 1ULL << 59, 1ULL << 60, std::numeric_limits<uint64_t>::max()};

TEST(Digits, RoundTrip) {
  for (const uint64_t value : kDigitValues) {
    std::string text;
    AppendTextVarint(&text, value);
    std::string_view rest = text;
    uint64_t read = 0;
    EXPECT_TRUE(ReadTextVarint(&rest, &read)) << value;
    EXPECT_EQ(read, value);
    EXPECT_THAT(rest, IsEmpty());
  }
}

TEST(Digits, HaveAStableStoredForm) {
  std::string text;
  for (const uint64_t value : {0, 31, 32, 412}) AppendTextVarint(&text, value);
  EXPECT_EQ(text, "AfgB8M");
}

TEST(Digits, AreSelfDelimiting) {
  std::string text;
  AppendTextVarint(&text, 412);
  std::string_view rest = text.append("tail");
  uint64_t read = 0;
  ASSERT_TRUE(ReadTextVarint(&rest, &read));
  EXPECT_EQ(rest, "tail");
}

TEST(Digits, RefuseInvalidText) {
  std::string largest;
  AppendTextVarint(&largest, std::numeric_limits<uint64_t>::max());
  ASSERT_EQ(largest, "____________P");
  for (const char* bad : {"", "g", "__", "!", "=", "____________Q", "_____________A"}) {
    std::string_view rest = bad;
    uint64_t read = 0;
    EXPECT_FALSE(ReadTextVarint(&rest, &read)) << bad;
  }
}

TEST(Digits, RoundTripSizedText) {
  std::string out;
  AppendSizedText(&out, "node-1");
  AppendSizedText(&out, "");
  std::string_view rest = out;
  std::string first;
  std::string second = "old";
  ASSERT_TRUE(ReadSizedText(&rest, &first));
  ASSERT_TRUE(ReadSizedText(&rest, &second));
  EXPECT_EQ(first, "node-1");
  EXPECT_THAT(second, IsEmpty());
  EXPECT_THAT(rest, IsEmpty());
}

TEST(Digits, RefuseALengthPastTheEnd) {
  std::string_view rest = "Gnode-";
  std::string text;
  EXPECT_FALSE(ReadSizedText(&rest, &text));
}

TEST(Micros, RoundFromSeconds) {
  EXPECT_EQ(FromSeconds(1.5), 1500 * kMillisecond);
  EXPECT_EQ(FromSeconds(0.0000006), 1);
  EXPECT_EQ(FromSeconds(-2), -2 * kSecond);
  EXPECT_DOUBLE_EQ(ToSeconds(1500 * kMillisecond), 1.5);
}

TEST(Micros, BoundTheDriftOfAnotherClock) {
  EXPECT_EQ(LongestOnOtherClock(10 * kSecond), 10 * kSecond + 5 * kMillisecond);
  EXPECT_EQ(ShortestOnOtherClock(10 * kSecond), 10 * kSecond - 5 * kMillisecond);
  EXPECT_THAT(Micros{1999}, AllOf(Ge(ShortestOnOtherClock(1999)), Le(LongestOnOtherClock(1999))));
}

enum class Fault { kFirst, kSecond };

TEST(Results, HoldAValue) {
  Result<std::string, Fault> result = std::string("value");
  ASSERT_THAT(result, HoldsValue());
  EXPECT_EQ(*result, "value");
  EXPECT_EQ(result->size(), 5U);
}

TEST(Results, HoldAnErrorWithItsCodeAndText) {
  const Result<std::string, Fault> result = Error<Fault>{Fault::kSecond, "wrong"};
  EXPECT_THAT(result, HoldsError(Fault::kSecond, Eq("wrong")));
}

}  // namespace
}  // namespace troutlink
