// Unit tests of src/mesh: the encoding of peer messages.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "damage.h"
#include "mesh/codec.h"

namespace troutlink::mesh {
namespace {

using testing::ElementsAre;
using testing::Eq;
using testing::IsEmpty;
using testing::Optional;
using testing::VariantWith;

// Content of the only frame in `bytes`.
std::string ContentOf(const std::string& bytes) {
  Framer framer;
  framer.Feed(bytes);
  std::string content;
  bool bad = false;
  EXPECT_TRUE(framer.Next(&content, &bad));
  EXPECT_FALSE(bad);
  return content;
}

// A heartbeat with all fields set.
Heartbeat FullHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.seq = 300;
  heartbeat.state_age_us = 5;
  heartbeat.epochs = {{1, 300, "node-1"}, {2, 7, ""}};
  heartbeat.cancelled_jobs = {"job-1", "job-22"};
  heartbeat.cancellations_complete_above = 9;
  heartbeat.replica_revision = std::numeric_limits<uint64_t>::max();
  heartbeat.wanted_shards = {3, 4};
  heartbeat.cached_images = {{"n-1", {"a", "b"}}, {"n-2", {}}};
  heartbeat.silent_machines = {{"n-3", 1234567}};
  return heartbeat;
}

HeartbeatRequest FullPing() {
  HeartbeatRequest ping;
  static_cast<Heartbeat&>(ping) = FullHeartbeat();
  return ping;
}

TEST(MeshCodec, RoundTripsAHeartbeatRequest) {
  EXPECT_THAT(Decode(ContentOf(Encode(FullPing()))),
              Optional(VariantWith<HeartbeatRequest>(FullPing())));
}

TEST(MeshCodec, RoundTripsAHeartbeatReply) {
  HeartbeatReply pong;
  static_cast<Heartbeat&>(pong) = FullHeartbeat();
  EXPECT_THAT(Decode(ContentOf(Encode(pong))), Optional(VariantWith<HeartbeatReply>(pong)));
}

TEST(MeshCodec, RoundTripsARelayedHeartbeatAndItsReply) {
  const RelayedAgentHeartbeat relay{7, "report"};
  EXPECT_THAT(Decode(ContentOf(Encode(relay))),
              Optional(VariantWith<RelayedAgentHeartbeat>(relay)));
  const RelayedAgentHeartbeatReply reply{7, 200, "commands"};
  EXPECT_THAT(Decode(ContentOf(Encode(reply))),
              Optional(VariantWith<RelayedAgentHeartbeatReply>(reply)));
}

TEST(MeshCodec, RoundTripsAForwardedRequestAndItsResponse) {
  const ForwardedRequest forward{8, "POST", "/api/jobs", "job"};
  EXPECT_THAT(Decode(ContentOf(Encode(forward))), Optional(VariantWith<ForwardedRequest>(forward)));
  const ForwardedResponse reply{8, 503, 2, "error"};
  EXPECT_THAT(Decode(ContentOf(Encode(reply))), Optional(VariantWith<ForwardedResponse>(reply)));
}

TEST(MeshCodec, EncodesMessagesToTheExpectedBytes) {
  EXPECT_EQ(Encode(RelayedAgentHeartbeat{7, "ab"}), std::string("\x05\x02\x07\x02") + "ab");
  EXPECT_EQ(Encode(ForwardedResponse{8, 200, 0, "x"}),
            std::string("\x07\x05\x08\xc8\x01\x00\x01x", 8));
}

TEST(MeshCodec, SkipsMessagesOfUnknownKinds) {
  for (const char kind : {'\x00', '\x01', '\x08', '\x7f'}) {
    EXPECT_THAT(Decode(std::string(1, kind) + "rest"), Eq(std::nullopt));
  }
}

TEST(MeshCodec, RefusesTruncatedMessages) {
  const std::string content = ContentOf(Encode(FullPing()));
  for (size_t size = 0; size < content.size(); ++size) {
    EXPECT_THAT(Decode(std::string_view(content).substr(0, size)), Eq(std::nullopt)) << size;
  }
}

TEST(MeshCodec, IgnoresBytesAfterTheLastField) {
  EXPECT_THAT(Decode(ContentOf(Encode(RelayedAgentHeartbeat{7, "report"})) + "later field"),
              Optional(VariantWith<RelayedAgentHeartbeat>(RelayedAgentHeartbeat{7, "report"})));
}

TEST(MeshCodec, RefusesListsLongerThanTheirBytes) {
  // A ping whose list of leaders claims 100 elements in 3 bytes.
  const std::string content("\x06\x01\x01\x64zzz", 7);
  EXPECT_THAT(Decode(content), Eq(std::nullopt));
}

TEST(MeshCodec, DoesNotCrashOnDamagedMessages) {
  HeartbeatRequest ping;
  ping.cancelled_jobs = {"job-1", "job-22"};
  ping.epochs = {{1, 300, "node-1"}};
  for (const HeartbeatRequest& good : {ping, FullPing()}) {
    Damage(ContentOf(Encode(good)), [](const std::string& damaged) { (void)Decode(damaged); });
  }
}

TEST(MeshVarints, RoundTrip) {
  for (const uint64_t value : {uint64_t{0}, uint64_t{127}, uint64_t{128}, uint64_t{1} << 62,
                               std::numeric_limits<uint64_t>::max()}) {
    std::string text;
    PutVarint(&text, value);
    std::string_view rest = text;
    uint64_t read = 1;
    EXPECT_TRUE(GetVarint(&rest, &read)) << value;
    EXPECT_EQ(read, value);
    EXPECT_THAT(rest, IsEmpty());
  }
}

TEST(MeshVarints, RefuseTruncatedOrOversizedNumbers) {
  const std::string nine(9, '\xff');
  for (const std::string& bad :
       {std::string(), std::string("\x80"), nine, nine + "\x02", nine + "\x81\x01"}) {
    std::string_view rest = bad;
    uint64_t read = 0;
    EXPECT_FALSE(GetVarint(&rest, &read)) << testing::PrintToString(bad);
  }
}

TEST(MeshFramer, SplitsAStreamInPiecesOfAnySize) {
  const std::string stream = Encode(RelayedAgentHeartbeat{1, "first"}) +
                             Encode(RelayedAgentHeartbeat{2, std::string(200, 'x')});
  for (size_t step = 1; step <= stream.size(); ++step) {
    Framer framer;
    std::vector<uint64_t> ids;
    std::string content;
    bool bad = false;
    for (size_t at = 0; at < stream.size(); at += step) {
      framer.Feed(std::string_view(stream).substr(at, step));
      while (framer.Next(&content, &bad))
        ids.push_back(std::get<RelayedAgentHeartbeat>(*Decode(content)).id);
      ASSERT_FALSE(bad);
    }
    EXPECT_THAT(ids, ElementsAre(1, 2)) << "in pieces of " << step;
  }
}

// Whether the framer refuses a stream that starts with `bytes`.
bool Refused(const std::string& bytes) {
  Framer framer;
  framer.Feed(bytes);
  std::string content;
  bool bad = false;
  EXPECT_FALSE(framer.Next(&content, &bad));
  return bad;
}

TEST(MeshFramer, RefusesAMalformedLength) {
  EXPECT_TRUE(Refused(std::string(10, '\xff')));
  EXPECT_FALSE(Refused(std::string(9, '\xff')));
}

TEST(MeshFramer, RefusesFramesAboveTheLimit) {
  std::string longest;
  PutVarint(&longest, kMaxFrame);
  EXPECT_FALSE(Refused(longest));
  std::string too_long;
  PutVarint(&too_long, kMaxFrame + 1);
  EXPECT_TRUE(Refused(too_long));
}

}  // namespace
}  // namespace troutlink::mesh
