// Unit tests of src/config.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/endpoint.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "result_matchers.h"

namespace troutlink {
namespace {

using Json = nlohmann::json;
using testing::AllOf;
using testing::DoubleEq;
using testing::ElementsAre;
using testing::Eq;
using testing::Field;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Optional;

// A valid settings file with all fields.
Json PlatformDocument() {
  return Json::parse(R"({
    "label": "node-2", "area": "z1", "serve_on": "10.0.0.2:8080", "mesh_addr": "10.0.0.2:8081",
    "siblings": [{"label": "node-3", "area": "z2", "endpoint": "10.0.0.3:8081"},
                 {"label": "node-1", "area": "z1", "endpoint": "10.0.0.1:8081"}],
    "external": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"},
    "facts": {
      "zones": ["z1", "z2"],
      "teams": [{"name": "blue", "cpus": 100, "cpus_max": 200.5, "gpus": 0, "gpus_max": 4}],
      "objectives": [{"kind": "wait", "class": "batch", "within_s": 30, "share": 0.9},
                     {"kind": "deadline", "class": "train", "times": 1.5},
                     {"kind": "finished"}, {"kind": "price"}, 7],
      "workers": {"report_s": 2, "lease_s": 10, "cancel_s": 30},
      "state": {"rps": 50, "write_rps": 20, "value_kb": 64, "txn_ops": 32},
      "cloud": {"rps": 2, "list_lag_s": 5},
      "resources": {"cores": 2, "mem_mb": 512, "fd_limit": 1024},
      "time_bound_ms": 5
    }})");
}

// Parses the valid settings file with the value at `pointer` replaced.
Result<Settings, SettingsFault> ParsedWith(const char* pointer, const Json& value) {
  Json document = PlatformDocument();
  document[Json::json_pointer(pointer)] = value;
  return ParseSettings(document.dump());
}

auto BadField(const std::string& text) { return HoldsError(SettingsFault::kBadField, Eq(text)); }

TEST(PlatformSettings, FindATeamByItsName) {
  const auto parsed = ParseSettings(PlatformDocument().dump());
  ASSERT_THAT(parsed, HoldsValue());
  EXPECT_EQ(parsed->FindTeam("blue"), &parsed->teams[0]);
  EXPECT_EQ(parsed->FindTeam("green"), nullptr);
}

TEST(PlatformSettings, ReadAllFields) {
  const auto parsed = ParseSettings(PlatformDocument().dump());
  ASSERT_THAT(parsed, HoldsValue());
  EXPECT_THAT(*parsed, AllOf(Field(&Settings::label, "node-2"), Field(&Settings::zone, "z1"),
                             Field(&Settings::zones, ElementsAre("z1", "z2")),
                             Field(&Settings::heartbeat_period, 2 * kSecond),
                             Field(&Settings::agent_lease, 10 * kSecond),
                             Field(&Settings::cancellation_deadline, 30 * kSecond),
                             Field(&Settings::state_rps, 50), Field(&Settings::cloud_rps, 2),
                             Field(&Settings::list_lag, 5 * kSecond), Field(&Settings::cores, 2),
                             Field(&Settings::mem_mb, 512), Field(&Settings::fd_limit, 1024),
                             Field(&Settings::time_bound, 5 * kMillisecond)));
  EXPECT_EQ(parsed->serve.text, "10.0.0.2:8080");
  EXPECT_EQ(parsed->mesh.text, "10.0.0.2:8081");
  EXPECT_EQ(parsed->cloud.text, "10.2.0.2:1");
  EXPECT_EQ(parsed->state.text, "10.2.0.1:1");
  EXPECT_EQ(parsed->peers.at(0).mesh.text, "10.0.0.3:8081");
  EXPECT_EQ(parsed->peers.at(0).zone, "z2");
}

TEST(PlatformSettings, ConvertQuotasToThousandths) {
  const auto parsed = ParseSettings(PlatformDocument().dump());
  ASSERT_THAT(parsed, HoldsValue());
  EXPECT_THAT(parsed->teams,
              ElementsAre(AllOf(Field(&Team::name, "blue"), Field(&Team::cpus, 100000),
                                Field(&Team::cpus_max, 200500), Field(&Team::gpus, 0),
                                Field(&Team::gpus_max, 4000))));
}

TEST(PlatformSettings, IgnoreObjectivesThatAreNotObjects) {
  const auto parsed = ParseSettings(PlatformDocument().dump());
  ASSERT_THAT(parsed, HoldsValue());
  using Kind = Objective::Kind;
  EXPECT_THAT(
      parsed->objectives,
      ElementsAre(AllOf(Field(&Objective::kind, Kind::kWait), Field(&Objective::job_class, "batch"),
                        Field(&Objective::within, 30 * kSecond), Field(&Objective::share, 0.9)),
                  AllOf(Field(&Objective::kind, Kind::kDeadline), Field(&Objective::times, 1.5)),
                  AllOf(Field(&Objective::kind, Kind::kFinished), Field(&Objective::times, 1),
                        Field(&Objective::within, 0)),
                  Field(&Objective::kind, Kind::kOther)));
}

TEST(PlatformSettings, AllowMissingObjectives) {
  Json document = PlatformDocument();
  document["facts"].erase("objectives");
  EXPECT_THAT(ParseSettings(document.dump())->objectives, IsEmpty());
  EXPECT_THAT(ParsedWith("/facts/objectives", "none")->objectives, IsEmpty());
}

TEST(PlatformSettings, RefuseAnObjectiveWhoseKindIsNotAString) {
  EXPECT_THAT(
      ParsedWith("/facts/objectives/0/kind", 3),
      HoldsError(SettingsFault::kBadField, HasSubstr("type must be string, but is number")));
}

TEST(PlatformSettings, NumberShardsInTheOrderOfLabels) {
  const auto parsed = ParseSettings(PlatformDocument().dump());
  ASSERT_THAT(parsed, HoldsValue());
  EXPECT_THAT(parsed->labels, ElementsAre("node-1", "node-2", "node-3"));
  EXPECT_EQ(parsed->home_shard, 1);
  EXPECT_EQ(parsed->shard_count(), 3);
}

TEST(PlatformSettings, RefuseDuplicateLabels) {
  EXPECT_THAT(ParsedWith("/siblings/0/label", "node-2"),
              BadField("settings.siblings: two controllers have the same label"));
}

TEST(PlatformSettings, DefaultAnnouncedLimitsToThePresentOnes) {
  const auto parsed = ParseSettings(PlatformDocument().dump());
  ASSERT_THAT(parsed, HoldsValue());
  for (const StateLimits& limits : {parsed->state_limits, parsed->next_state_limits}) {
    EXPECT_THAT(limits, AllOf(Field(&StateLimits::write_rps, 20),
                              Field(&StateLimits::value_bytes, 64 * 1024),
                              Field(&StateLimits::txn_ops, 32)));
    EXPECT_EQ(limits.conditions(), 128);
  }
}

TEST(PlatformSettings, UseAnnouncedLimitsThatAreSmaller) {
  const auto parsed = ParsedWith("/facts/state/next", {{"txn_ops", 8}, {"value_kb", 128}});
  ASSERT_THAT(parsed, HoldsValue());
  EXPECT_THAT(parsed->next_state_limits,
              AllOf(Field(&StateLimits::write_rps, 20), Field(&StateLimits::value_bytes, 64 * 1024),
                    Field(&StateLimits::txn_ops, 8)));
  EXPECT_EQ(parsed->state_limits.txn_ops, 32);
}

TEST(PlatformSettings, RefuseInvalidAnnouncedLimits) {
  EXPECT_THAT(ParsedWith("/facts/state/next", 1), BadField("state.next must be an object"));
  EXPECT_THAT(ParsedWith("/facts/state/next", {{"txn_ops", 1}}),
              BadField("state.next.txn_ops must be a number from 4.000000 to 1000000.000000"));
}

TEST(PlatformSettings, RefuseInvalidJson) {
  EXPECT_THAT(ParseSettings("nonsense"),
              HoldsError(SettingsFault::kSyntax, Eq("settings are not JSON")));
}

TEST(PlatformSettings, RefuseADocumentThatIsNotAnObject) {
  EXPECT_THAT(ParseSettings("[]"), BadField("settings must be an object"));
  EXPECT_THAT(ParsedWith("/external", 1), BadField("external must be an object"));
  EXPECT_THAT(ParsedWith("/siblings/0", 1), BadField("siblings[] must be an object"));
  EXPECT_THAT(ParsedWith("/facts", nullptr), BadField("facts must be an object"));
}

TEST(PlatformSettings, NameThePathOfAMissingField) {
  EXPECT_THAT(ParseSettings("{}"), BadField("settings.label is missing"));
  Json document = PlatformDocument();
  document["facts"]["workers"].erase("lease_s");
  EXPECT_THAT(ParseSettings(document.dump()), BadField("workers.lease_s is missing"));
}

TEST(PlatformSettings, NameThePathOfAFieldOfTheWrongType) {
  EXPECT_THAT(ParsedWith("/label", ""), BadField("settings.label must be a text"));
  EXPECT_THAT(ParsedWith("/label", 3), BadField("settings.label must be a text"));
  EXPECT_THAT(ParsedWith("/serve_on", "10.0.0.1"), BadField("settings.serve_on must be IPv4:port"));
  EXPECT_THAT(ParsedWith("/siblings", Json::object()),
              BadField("settings.siblings must be a list"));
  EXPECT_THAT(ParsedWith("/facts/zones", {"z1", 2}), BadField("facts.zones must hold texts"));
  EXPECT_THAT(ParsedWith("/facts/teams/0/cpus", "4"),
              BadField("teams[].cpus must be a number from 0.000000 to 1000000000.000000"));
}

TEST(PlatformSettings, NameTheRangeOfANumberOutOfRange) {
  EXPECT_THAT(ParsedWith("/facts/resources/fd_limit", 31),
              BadField("resources.fd_limit must be a number from 32.000000 to 100000000.000000"));
  EXPECT_THAT(ParsedWith("/facts/workers/report_s", 3601),
              BadField("workers.report_s must be a number from 0.010000 to 3600.000000"));
}

TEST(PlatformSettings, RefuseACancellationDeadlineWithinTheLease) {
  EXPECT_THAT(ParsedWith("/facts/workers/cancel_s", 10),
              BadField("workers.cancel_s must be longer than workers.lease_s"));
}

TEST(PlatformSettings, ReportTheFirstOfSeveralErrors) {
  Json document = PlatformDocument();
  document["facts"]["time_bound_ms"] = -1;
  document["facts"]["zones"] = 1;
  EXPECT_THAT(ParseSettings(document.dump()), BadField("facts.zones must be a list"));
}

TEST(OperatorSettings, DefaultOmittedFields) {
  const auto parsed = ParseOperatorSettings("tail_threshold: 0.8 # half");
  ASSERT_THAT(parsed, HoldsValue());
  EXPECT_DOUBLE_EQ(parsed->tail_threshold(), 0.8);
  EXPECT_DOUBLE_EQ(parsed->claim_life_s(), 3);
}

TEST(OperatorSettings, HaveValidDefaults) { EXPECT_THAT(ParseOperatorSettings(""), HoldsValue()); }

TEST(OperatorSettings, LocateAMisspeltField) {
  EXPECT_THAT(
      ParseOperatorSettings("\n  tail_treshold: 0.8"),
      HoldsError(SettingsFault::kSyntax, AllOf(HasSubstr("operator settings: line 2, column "),
                                               HasSubstr("tail_treshold"))));
  EXPECT_THAT(ParseOperatorSettings("tail_treshold: 0.8"),
              HoldsError(SettingsFault::kSyntax, HasSubstr("line 1")));
}

TEST(OperatorSettings, NameTheRangeOfAFieldOutOfRange) {
  EXPECT_THAT(ParseOperatorSettings("tail_threshold: 7"),
              BadField("operator settings: tail_threshold must be from 0.01 to 1, not 7"));
  EXPECT_THAT(ParseOperatorSettings("starve_s: 1234567.5"),
              BadField("operator settings: starve_s must be from 0 to 1e+06, not 1.23457e+06"));
  EXPECT_THAT(ParseOperatorSettings("claim_life_s: nan"),
              BadField("operator settings: claim_life_s must be from 1 to 120, not nan"));
  EXPECT_THAT(ParseOperatorSettings("batch: 64 batch_most: 32"),
              BadField("operator settings: batch_most must be from 64 to 100000, not 32"));
}

TEST(Endpoints, ParseIpv4AndPort) {
  EXPECT_THAT(ParseEndpoint("10.0.0.1:08080"),
              Optional(AllOf(Field(&Endpoint::host, "10.0.0.1"), Field(&Endpoint::port, 8080),
                             Field(&Endpoint::text, "10.0.0.1:08080"))));
  EXPECT_THAT(ParseEndpoint("10.0.0.1:65535"), Optional(Field(&Endpoint::port, 65535)));
}

TEST(Endpoints, RefuseOtherForms) {
  for (const char* text :
       {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:080800",
        "10.0.0.1:-1", "10.0.0.1:1x", "10.0.0:1", "10.0.0.256:1", "host:1", ":1", "::1:1"}) {
    EXPECT_THAT(ParseEndpoint(text).has_value(), Eq(false)) << text;
  }
}

}  // namespace
}  // namespace troutlink
