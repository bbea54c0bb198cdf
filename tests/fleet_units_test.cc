// Unit tests of src/core/fleet: the cloud's answers, machine types, the list of instances, offers,
// rental requests and returns.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/fleet/cloud_answers.h"
#include "core/fleet/instance_lister.h"
#include "core/fleet/instance_returns.h"
#include "core/fleet/machine_type_catalog.h"
#include "core/fleet/offer_backoff.h"
#include "core/fleet/offer_health.h"
#include "core/fleet/offer_selector.h"
#include "core/fleet/rental_requests.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink {
namespace {

using ::testing::ElementsAre;
using ::testing::Field;
using ::testing::IsEmpty;
using ::testing::Pair;
using ::testing::SizeIs;
using wire::Json;
using wire::Pack;

using Names = std::vector<std::string>;

const OfferKey kOffer{"a", "z1", true};
const OfferKey kOther{"b", "z1", true};

// Effects and an ample call budget for the classes under test.
class FleetTest : public ::testing::Test {
 protected:
  // Calls sent since the last call.
  std::vector<Call> Sent() { return effects_.TakeOutbox().calls; }
  // Answers the only call sent since the last call.
  void Answer(Micros now, int status, const std::string& body) {
    const std::vector<Call> calls = Sent();
    ASSERT_THAT(calls, SizeIs(1));
    effects_.HandleAnswer(now, calls.front().id, status, body);
  }

  TokenBucket state_calls_{1000, 1000};
  TokenBucket cloud_calls_{1000, 1000};
  Effects effects_{&state_calls_};
};

Json TypeNamed(const std::string& name, double price, const Names& zones) {
  return {{"sku", name},    {"cpus", 4},      {"memory_gb", 16},
          {"price", price}, {"rooms", zones}, {"spot_price", price / 4},
          {"ready_s", 20}};
}

std::string TypesBody(const std::vector<Json>& types) { return Pack(Json{{"builds", types}}); }

// --- answers -----------------------------------------------------------------------------

TEST(CloudAnswers, RentalIsFilledPartiallyFilledRefusedOrUnknown) {
  const std::string two = Pack(Json{{"hosts", Names{"m1", "m2"}}});
  EXPECT_EQ(DecodeRentalAnswer(200, two, 2).outcome, RentalOutcome::kRented);
  EXPECT_THAT(DecodeRentalAnswer(200, two, 2).instances, ElementsAre("m1", "m2"));
  EXPECT_EQ(DecodeRentalAnswer(200, two, 3).outcome, RentalOutcome::kPartiallyFilled);
  EXPECT_EQ(DecodeRentalAnswer(400, "", 1).outcome, RentalOutcome::kRefused);
  EXPECT_EQ(DecodeRentalAnswer(503, "no capacity", 1).outcome, RentalOutcome::kRefused);
  EXPECT_EQ(DecodeRentalAnswer(503, "", 1).outcome, RentalOutcome::kUnknown);
  EXPECT_EQ(DecodeRentalAnswer(200, "not MessagePack", 1).outcome, RentalOutcome::kUnknown);
  EXPECT_EQ(DecodeRentalAnswer(kNoAnswer, "", 1).outcome, RentalOutcome::kUnknown);
  EXPECT_EQ(DecodeRentalAnswer(kNotSent, "", 1).outcome, RentalOutcome::kUnknown);
}

TEST(CloudAnswers, OnlyAnUnknownOutcomeIsNotDefinite) {
  for (const RentalOutcome outcome :
       {RentalOutcome::kRented, RentalOutcome::kPartiallyFilled, RentalOutcome::kRefused}) {
    EXPECT_TRUE((RentalAnswer{outcome, {}}).definite()) << NameOf(outcome);
  }
  EXPECT_FALSE((RentalAnswer{RentalOutcome::kUnknown, {}}).definite());
}

TEST(CloudAnswers, ReturnIsConfirmedOnlyByStatus200) {
  EXPECT_EQ(DecodeReturnAnswer(200), ReturnOutcome::kConfirmed);
  for (const int status : {kNoAnswer, kNotSent, 404, 429, 503}) {
    EXPECT_EQ(DecodeReturnAnswer(status), ReturnOutcome::kUnknown) << status;
  }
}

// --- machine types -----------------------------------------------------------------------

class MachineTypeCatalogTest : public FleetTest {
 protected:
  bool may_write_ = false;
  MachineTypeCatalog types_{&effects_, &cloud_calls_, [this](Micros) { return may_write_; }};
  const std::string body_ = TypesBody({TypeNamed("a", 1, {"z1"}), TypeNamed("b", 2, {"z1"})});
};

TEST_F(MachineTypeCatalogTest, RefreshesEveryMinuteAndRetriesSoonAfterAFailure) {
  types_.Refresh(kSecond);
  types_.Refresh(kSecond);  // one is in flight
  Answer(kSecond, 503, "");
  EXPECT_TRUE(types_.empty());
  types_.Refresh(3 * kSecond - 1);
  EXPECT_THAT(Sent(), IsEmpty());
  types_.Refresh(3 * kSecond);
  Answer(3 * kSecond, 200, body_);
  EXPECT_THAT(types_.types(),
              ElementsAre(Field(&MachineType::name, "a"), Field(&MachineType::name, "b")));
  types_.Refresh(63 * kSecond - 1);
  EXPECT_THAT(Sent(), IsEmpty());
  types_.Refresh(63 * kSecond);
  EXPECT_THAT(Sent(), ElementsAre(Field(&Call::target, wire::MachineTypesTarget())));
}

TEST_F(MachineTypeCatalogTest, FindsATypeByItsName) {
  types_.LoadStored(body_);
  ASSERT_NE(types_.Find("b"), nullptr);
  EXPECT_DOUBLE_EQ(types_.Find("b")->price, 2);
  EXPECT_EQ(types_.Find("c"), nullptr);
}

TEST_F(MachineTypeCatalogTest, StoredCopyIsUsedUntilTheCloudAnswers) {
  types_.LoadStored(TypesBody({TypeNamed("old", 1, {"z1"})}));
  EXPECT_NE(types_.Find("old"), nullptr);
  types_.Refresh(kSecond);
  Answer(kSecond, 200, body_);
  EXPECT_EQ(types_.Find("old"), nullptr);
  // A copy read later is older than the cloud's answer.
  types_.LoadStored(TypesBody({TypeNamed("old", 1, {"z1"})}));
  EXPECT_EQ(types_.Find("old"), nullptr);
}

TEST_F(MachineTypeCatalogTest, StoresOneCopyWhenTheWriteBudgetAllowsIt) {
  types_.Refresh(kSecond);
  Answer(kSecond, 200, body_);
  EXPECT_THAT(Sent(), IsEmpty());
  may_write_ = true;
  types_.Refresh(61 * kSecond);
  Answer(61 * kSecond, 200, body_);
  Answer(61 * kSecond, 503, "");  // the write of the copy
  types_.Refresh(121 * kSecond);
  Answer(121 * kSecond, 200, body_);
  const std::vector<Call> write = Sent();
  ASSERT_THAT(write, ElementsAre(Field(&Call::dest, Dest::kState)));
  effects_.HandleAnswer(121 * kSecond, write.front().id, 200, "");
  types_.Refresh(181 * kSecond);
  Answer(181 * kSecond, 200, body_);
  EXPECT_THAT(Sent(), IsEmpty());
}

TEST_F(MachineTypeCatalogTest, AnswerWithoutTypesIsIgnored) {
  types_.LoadStored(body_);
  types_.Refresh(kSecond);
  Answer(kSecond, 200, TypesBody({}));
  EXPECT_THAT(types_.types(), SizeIs(2));
}

// --- list of instances -------------------------------------------------------------------

class InstanceListerTest : public FleetTest {
 protected:
  struct List {
    Micros requested_at;
    Names names;
  };
  static std::string Page(const Names& names, bool more) {
    Json hosts = Json::array();
    for (const std::string& name : names) hosts.push_back({{"name_id", name}});
    return Pack(Json{{"hosts", hosts}, {"truncated", more}});
  }

  bool hurry_ = false;
  std::vector<List> lists_;
  InstanceLister lister_{
      {3, 60, 4 * kSecond},
      &effects_,
      &cloud_calls_,
      [this] { return hurry_; },
      [this](Micros, Micros requested_at, const std::vector<ListedMachine>& instances) {
        List list{requested_at, {}};
        for (const ListedMachine& instance : instances) {
          list.names.push_back(instance.name);
        }
        lists_.push_back(std::move(list));
      }};
};

TEST_F(InstanceListerTest, DeliversAListAfterItsLastPage) {
  lister_.Advance(kSecond);
  Answer(2 * kSecond, 200, Page({"m1", "m2"}, true));
  EXPECT_THAT(lists_, IsEmpty());
  EXPECT_THAT(lister_.instances(), SizeIs(2));
  lister_.Advance(2 * kSecond);
  const std::vector<Call> calls = Sent();
  ASSERT_THAT(calls, ElementsAre(Field(&Call::target, wire::MachinesTarget("m2", 500))));
  effects_.HandleAnswer(3 * kSecond, calls.front().id, 200, Page({"m3"}, false));
  ASSERT_THAT(lists_, SizeIs(1));
  EXPECT_EQ(lists_.front().requested_at, kSecond);
  EXPECT_THAT(lists_.front().names, ElementsAre("m1", "m2", "m3"));
}

TEST_F(InstanceListerTest, FailedPageRestartsTheList) {
  lister_.Advance(kSecond);
  Answer(kSecond, 200, Page({"m1"}, true));
  lister_.Advance(kSecond);
  Answer(kSecond, 503, "");
  EXPECT_THAT(lister_.instances(), IsEmpty());
  lister_.Advance(4 * kSecond - 1);
  EXPECT_THAT(Sent(), IsEmpty());
  lister_.Advance(4 * kSecond);
  EXPECT_THAT(Sent(), ElementsAre(Field(&Call::target, wire::MachinesTarget("", 500))));
}

TEST_F(InstanceListerTest, PageWaitsForTheCallBudgetAndASlowListIsDropped) {
  lister_.Advance(kSecond);
  Answer(kSecond, 200, Page({"m1"}, true));
  cloud_calls_.Force(kSecond, 1999);
  cloud_calls_.SetRate(kSecond, 0);
  lister_.Advance(31 * kSecond);
  EXPECT_THAT(Sent(), IsEmpty());
  EXPECT_THAT(lister_.instances(), SizeIs(1));
  lister_.Advance(31 * kSecond + 1);
  cloud_calls_ = TokenBucket(1000, 1000);
  lister_.Advance(31 * kSecond + 2);
  EXPECT_THAT(Sent(), ElementsAre(Field(&Call::target, wire::MachinesTarget("", 500))));
}

TEST_F(InstanceListerTest, ListsMoreOftenWhileAnInstanceIsSilent) {
  lister_.Advance(kSecond);
  Answer(2 * kSecond, 200, Page({}, false));
  // Half of the lag and one second after its start.
  lister_.Advance(4 * kSecond - 1);
  EXPECT_THAT(Sent(), IsEmpty());
  lister_.Advance(4 * kSecond);
  hurry_ = true;
  Answer(4 * kSecond, 200, Page({}, false));
  lister_.Advance(5500 * kMillisecond - 1);
  EXPECT_THAT(Sent(), IsEmpty());
  lister_.Advance(5500 * kMillisecond);
  EXPECT_THAT(Sent(), SizeIs(1));
}

TEST_F(InstanceListerTest, LeavesTheLastCallToRentalsAndReturns) {
  cloud_calls_ = TokenBucket(0, 1000);
  ASSERT_TRUE(cloud_calls_.Take(kSecond, 999));
  lister_.Advance(kSecond);
  EXPECT_THAT(Sent(), IsEmpty());
  EXPECT_TRUE(cloud_calls_.Take(kSecond, 1));
}

// --- offers ------------------------------------------------------------------------------

TEST(OfferHealth, SeveralFailuresRaiseThePriceFactorButOneDoesNot) {
  OfferHealth offers;
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, kOffer), 1);
  offers.NeverCameUp(kSecond, kOffer);
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, kOffer), 1);
  offers.NeverCameUp(kSecond, kOffer);
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, kOffer), 5);
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, kOther), 1);
  offers.CameUp(kSecond, kOffer);
  offers.CameUp(kSecond, kOffer);
  EXPECT_DOUBLE_EQ(offers.PriceFactor(kSecond, kOffer), 3);
}

TEST(OfferHealth, FailuresDecayWithTime) {
  OfferHealth offers;
  for (int i = 0; i < 4; ++i) offers.NeverCameUp(kSecond, kOffer);
  EXPECT_GT(offers.PriceFactor(60 * kSecond, kOffer), 1);
  EXPECT_DOUBLE_EQ(offers.PriceFactor(600 * kSecond, kOffer), 1);
}

TEST(OfferBackoff, EachRefusalDoublesTheBackoffUpToFourfold) {
  OfferBackoff backoff(10 * kSecond);
  EXPECT_FALSE(backoff.Paused(0, kOffer));
  for (const Micros times : {1, 2, 4, 4}) {
    backoff.Refused(0, kOffer);
    EXPECT_TRUE(backoff.Paused(times * 10 * kSecond - 1, kOffer)) << times;
    EXPECT_FALSE(backoff.Paused(times * 10 * kSecond, kOffer)) << times;
  }
  EXPECT_FALSE(backoff.Paused(0, kOther));
}

TEST(OfferBackoff, FilledRequestEndsTheBackoffAndAPartiallyFilledOneCountsAsOneRefusal) {
  OfferBackoff backoff(10 * kSecond);
  for (int i = 0; i < 3; ++i) backoff.Refused(0, kOffer);
  backoff.PartiallyFilled(0, kOffer);
  EXPECT_FALSE(backoff.Paused(10 * kSecond, kOffer));
  backoff.Refused(0, kOffer);
  EXPECT_TRUE(backoff.Paused(20 * kSecond - 1, kOffer));
  EXPECT_FALSE(backoff.Paused(20 * kSecond, kOffer));
  backoff.Filled(kOffer);
  EXPECT_FALSE(backoff.Paused(0, kOffer));
}

TEST(OfferKey, IsFormattedAsTypeZoneAndKind) {
  EXPECT_EQ((OfferKey{"a", "z1", true}).Text(), "a/z1/spot");
  EXPECT_EQ((OfferKey{"a", "z1", false}).Text(), "a/z1/steady");
}

class OfferSelectorTest : public FleetTest {
 protected:
  OfferSelectorTest() {
    types_.LoadStored(TypesBody({TypeNamed("a", 1, {"z1", "z2"}), TypeNamed("b", 2, {"z1"})}));
    spec_.task_resources.cpus = kMillisecond;
    spec_.spot = true;
  }
  // The key of the selected offer as text, or empty.
  std::string Choice(bool spot = true, const JobSpread& spread = {}) const {
    const std::optional<Offer> offer =
        offers_.Cheapest(kSecond, {spec_, spread, spot, instances_by_zone_});
    return offer ? offer->key().Text() : "";
  }

  MachineTypeCatalog types_{&effects_, &cloud_calls_, [](Micros) { return false; }};
  OfferHealth health_;
  OfferBackoff backoff_{10 * kSecond};
  OfferSelector offers_{&types_, &health_, &backoff_};
  JobSpec spec_;
  std::map<std::string, int> instances_by_zone_;
};

TEST_F(OfferSelectorTest, SelectsTheCheapestOfferOfTheKind) {
  EXPECT_EQ(Choice(true), "a/z1/spot");
  EXPECT_EQ(Choice(false), "a/z1/steady");
  spec_.spot = false;
  EXPECT_EQ(Choice(true), "");
}

TEST_F(OfferSelectorTest, PrefersTheZoneWithFewerInstancesAtTheSamePrice) {
  instances_by_zone_ = {{"z1", 3}, {"z2", 2}};
  EXPECT_EQ(Choice(), "a/z2/spot");
}

TEST_F(OfferSelectorTest, SkipsOffersInBackoff) {
  backoff_.Refused(kSecond, {"a", "z1", true});
  EXPECT_EQ(Choice(), "a/z2/spot");
  backoff_.Refused(kSecond, {"a", "z2", true});
  EXPECT_EQ(Choice(), "b/z1/spot");
  EXPECT_EQ(Choice(false), "a/z1/steady");
}

TEST_F(OfferSelectorTest, PrefersADearerOfferWhoseInstancesBoot) {
  for (const char* zone : {"z1", "z2"}) {
    for (int i = 0; i < 2; ++i) health_.NeverCameUp(kSecond, {"a", zone, true});
  }
  EXPECT_EQ(Choice(), "b/z1/spot");
}

TEST_F(OfferSelectorTest, RespectsTheJobsTypesZonesAndSizes) {
  spec_.types = {"b"};
  EXPECT_EQ(Choice(), "b/z1/spot");
  spec_.types.clear();
  spec_.zone = "z2";
  EXPECT_EQ(Choice(), "a/z2/spot");
  spec_.zone.clear();
  spec_.spread = true;
  spec_.tasks = 2;
  EXPECT_EQ(Choice(true, {{{"z1", 1}}}), "a/z2/spot");
  spec_.task_resources.cpus = 5 * kMillisecond;
  EXPECT_EQ(Choice(), "");
}

// --- rental requests ---------------------------------------------------------------------

class RentalRequestsTest : public FleetTest {
 protected:
  const RentRequest request_{"troutlink-0-1", "a", "z1", true, 2};
  const std::string rented_ = Pack(Json{{"hosts", Names{"m1", "m2"}}});
  OfferBackoff backoff_{10 * kSecond};
  std::vector<std::pair<int, RentalOutcome>> answers_;  // by shard
  RentalRequests requests_{&effects_, &cloud_calls_, &backoff_,
                           [this](int shard_id, const RentalAnswer& answer) {
                             answers_.emplace_back(shard_id, answer.outcome);
                           }};
};

TEST_F(RentalRequestsTest, SendsARequestOnceAndKeepsItsInstances) {
  requests_.Send(kSecond, 3, request_);
  requests_.Send(kSecond, 3, request_);
  EXPECT_EQ(requests_.InstancesOf(request_.id), nullptr);
  Answer(2 * kSecond, 200, rented_);
  EXPECT_THAT(answers_, ElementsAre(Pair(3, RentalOutcome::kRented)));
  ASSERT_NE(requests_.InstancesOf(request_.id), nullptr);
  EXPECT_THAT(*requests_.InstancesOf(request_.id), ElementsAre("m1", "m2"));
  requests_.Send(60 * kSecond, 3, request_);
  EXPECT_THAT(Sent(), IsEmpty());
}

TEST_F(RentalRequestsTest, RetriesAnUnknownOutcomeWithTheSameRequest) {
  requests_.Send(kSecond, 0, request_);
  Answer(kSecond, kNoAnswer, "");
  EXPECT_THAT(answers_, ElementsAre(Pair(0, RentalOutcome::kUnknown)));
  EXPECT_EQ(requests_.InstancesOf(request_.id), nullptr);
  requests_.Send(2500 * kMillisecond - 1, 0, request_);
  EXPECT_THAT(Sent(), IsEmpty());
  requests_.Send(2500 * kMillisecond, 0, request_);
  EXPECT_THAT(Sent(), ElementsAre(Field(&Call::body, wire::EncodeRent(request_))));
}

TEST_F(RentalRequestsTest, RefusalIsFinalAndStartsTheBackoff) {
  requests_.Send(kSecond, 0, request_);
  Answer(kSecond, 503, "no capacity");
  ASSERT_NE(requests_.InstancesOf(request_.id), nullptr);
  EXPECT_THAT(*requests_.InstancesOf(request_.id), IsEmpty());
  EXPECT_TRUE(backoff_.Paused(11 * kSecond - 1, kOffer));
  requests_.Send(60 * kSecond, 0, request_);
  EXPECT_THAT(Sent(), IsEmpty());
}

TEST_F(RentalRequestsTest, PartiallyFilledRequestStartsTheBackoffAndAFilledOneDoesNot) {
  requests_.Send(kSecond, 0, request_);
  Answer(kSecond, 200, Pack(Json{{"hosts", Names{"m1"}}}));
  EXPECT_THAT(answers_, ElementsAre(Pair(0, RentalOutcome::kPartiallyFilled)));
  EXPECT_TRUE(backoff_.Paused(11 * kSecond - 1, kOffer));
  RentRequest next = request_;
  next.id = "troutlink-0-2";
  requests_.Send(2 * kSecond, 0, next);
  Answer(2 * kSecond, 200, rented_);
  EXPECT_FALSE(backoff_.Paused(2 * kSecond, kOffer));
}

TEST_F(RentalRequestsTest, ForgottenRequestIsSentAgain) {
  requests_.Send(kSecond, 0, request_);
  Answer(kSecond, 200, rented_);
  requests_.Forget(request_.id);
  EXPECT_EQ(requests_.InstancesOf(request_.id), nullptr);
  requests_.Send(2 * kSecond, 0, request_);
  EXPECT_THAT(Sent(), SizeIs(1));
}

TEST_F(RentalRequestsTest, RequestWaitsForTheCallBudget) {
  cloud_calls_ = TokenBucket(0, 1);
  ASSERT_TRUE(cloud_calls_.Take(kSecond, 1));
  requests_.Send(kSecond, 0, request_);
  EXPECT_THAT(Sent(), IsEmpty());
  cloud_calls_ = TokenBucket(0, 1);
  requests_.Send(kSecond, 0, request_);
  EXPECT_THAT(Sent(), SizeIs(1));
}

// --- returns -----------------------------------------------------------------------------

class InstanceReturnsTest : public FleetTest {
 protected:
  InstanceReturnsTest() {
    for (const char* name : {"m1", "m2", "m3"}) {
      instances_[name].name = name;
      instances_[name].draining = true;
    }
    instances_["m2"].draining = false;
  }

  std::map<std::string, AssignedMachine> instances_;
  bool ours_ = true;
  Names gone_;
  int answered_ = 0;
  InstanceReturns returns_{&effects_, &cloud_calls_,
                           [this](int, const std::string& name) {
                             if (ours_) gone_.push_back(name);
                             return ours_;
                           },
                           [this](int) { ++answered_; }};
};

TEST_F(InstanceReturnsTest, DrainingInstancesAreReturnedTogetherAndOnce) {
  returns_.Send(kSecond, 0, instances_);
  returns_.Send(kSecond, 0, instances_);
  const std::vector<Call> calls = Sent();
  ASSERT_THAT(calls, ElementsAre(Field(&Call::body, wire::EncodeReturn({"m1", "m3"}))));
  effects_.HandleAnswer(kSecond, calls.front().id, 200, "");
  EXPECT_THAT(gone_, ElementsAre("m1", "m3"));
  EXPECT_EQ(answered_, 1);
  EXPECT_TRUE(returns_.Confirmed("m1"));
  EXPECT_FALSE(returns_.Confirmed("m2"));
  returns_.Send(60 * kSecond, 0, instances_);
  EXPECT_THAT(Sent(), IsEmpty());
}

TEST_F(InstanceReturnsTest, UnconfirmedReturnIsRetriedAfterASecond) {
  returns_.Send(kSecond, 0, instances_);
  Answer(2 * kSecond, kNoAnswer, "");
  EXPECT_THAT(gone_, IsEmpty());
  EXPECT_EQ(answered_, 1);
  EXPECT_FALSE(returns_.Confirmed("m1"));
  returns_.Send(3 * kSecond - 1, 0, instances_);
  EXPECT_THAT(Sent(), IsEmpty());
  returns_.Send(3 * kSecond, 0, instances_);
  EXPECT_THAT(Sent(), SizeIs(1));
}

TEST_F(InstanceReturnsTest, ConfirmationForALostShardIsDiscarded) {
  returns_.Send(kSecond, 0, instances_);
  ours_ = false;
  Answer(2 * kSecond, 200, "");
  EXPECT_FALSE(returns_.Confirmed("m1"));
  EXPECT_EQ(answered_, 1);
}

TEST_F(InstanceReturnsTest, ConfirmationIsKeptUntilNoTableContainsTheInstance) {
  returns_.Send(kSecond, 0, instances_);
  Answer(kSecond, 200, "");
  returns_.DropConfirmed([](const std::string& name) { return name == "m1"; });
  EXPECT_TRUE(returns_.Confirmed("m1"));
  EXPECT_FALSE(returns_.Confirmed("m3"));
}

TEST_F(InstanceReturnsTest, ReturnInFlightIsRepeatedUnderAnotherLeadership) {
  returns_.Send(kSecond, 0, instances_);
  returns_.ForgetInFlight("m3");
  EXPECT_THAT(Sent(), SizeIs(1));
  returns_.Send(kSecond, 0, instances_);
  EXPECT_THAT(Sent(), ElementsAre(Field(&Call::body, wire::EncodeReturn({"m3"}))));
}

TEST_F(InstanceReturnsTest, ForgottenInstanceNeedNotWaitForARetry) {
  returns_.Send(kSecond, 0, instances_);
  Answer(kSecond, kNoAnswer, "");
  returns_.Forget("m1");
  returns_.Send(kSecond, 0, instances_);
  EXPECT_THAT(Sent(), ElementsAre(Field(&Call::body, wire::EncodeReturn({"m1"}))));
}

TEST_F(InstanceReturnsTest, OneRequestReturnsAtMostAHundredInstances) {
  for (int i = 0; i < 150; ++i) {
    const std::string name = "n" + std::to_string(1000 + i);
    instances_[name].name = name;
    instances_[name].draining = true;
  }
  returns_.Send(kSecond, 0, instances_);
  returns_.Send(kSecond, 0, instances_);
  EXPECT_THAT(Sent(), SizeIs(2));
}

}  // namespace
}  // namespace troutlink
