// Which kinds of machines come up, as OfferHealth remembers it.
#include <gtest/gtest.h>

#include "core/fleet/offer_health.h"

namespace troutlink {
namespace {

TEST(OfferHealth, OneFailureSaysNothingAndMoreMakeAnOfferDearer) {
  OfferHealth offers;
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, "a"), 1);
  offers.NeverCameUp(kSecond, "a");
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, "a"), 1);
  offers.NeverCameUp(kSecond, "a");
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, "a"), 5);
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, "b"), 1);
  offers.CameUp(kSecond, "a");
  offers.CameUp(kSecond, "a");
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, "a"), 3);
}

TEST(OfferHealth, AnOfferThatFailedIsTriedAgainLater) {
  OfferHealth offers;
  for (int i = 0; i < 4; ++i) offers.NeverCameUp(kSecond, "a");
  EXPECT_GT(offers.PriceFactor(60 * kSecond, "a"), 1);
  EXPECT_DOUBLE_EQ(offers.PriceFactor(600 * kSecond, "a"), 1);
}

}  // namespace
}  // namespace troutlink
