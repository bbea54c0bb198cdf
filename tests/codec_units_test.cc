// Units of src/http, src/mesh and src/wire: parsers and codecs, also on damaged input.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "http/message.h"
#include "mesh/codec.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink {
namespace {

using wire::Json;

JobSpec Spec(int tasks) {
  JobSpec s;
  s.id = "job-1";
  s.tasks = tasks;
  s.each = {8000, 0, 1000};
  s.image = "i";
  s.image_gb = 2;
  return s;
}

TEST(Http, ParsesInAnyPiecesAndRefusesTricks) {
  std::string text = "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /y HTTP/1.1\r\n\r\n";
  for (size_t step = 1; step < text.size(); ++step) {
    http::Parser parser(http::Parser::Kind::kRequest, {});
    std::vector<http::Message> got;
    for (size_t i = 0; i < text.size(); i += step) {
      parser.Feed(std::string_view(text).substr(i, step));
      http::Message m;
      while (parser.Next(&m) == http::Parser::State::kMessage) got.push_back(m);
    }
    ASSERT_EQ(got.size(), 2u);
    EXPECT_EQ(got[0].body, "abc");
    EXPECT_EQ(got[1].target, "/y");
  }
  auto status = [](const std::string& head) {
    http::Parser parser(http::Parser::Kind::kRequest, {});
    parser.Feed(head);
    http::Message m;
    return parser.Next(&m) == http::Parser::State::kError ? parser.error_status() : 0;
  };
  EXPECT_EQ(status("nonsense\r\n\r\n"), 400);
  EXPECT_EQ(status("GET / HTTP/2.0\r\n\r\n"), 505);
  EXPECT_EQ(status("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"), 400);
  EXPECT_EQ(status("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"), 400);
  EXPECT_EQ(status("GET / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"), 413);
  EXPECT_EQ(status("GET / HTTP/1.1\r\nX: " + std::string(9000, 'a')), 431);
}

// Damages bytes of good inputs; decoders may refuse them but must not fall over.
template <typename F>
void Damage(const std::string& good, F decode) {
  std::mt19937 rng(7);
  for (int i = 0; i < 4000; ++i) {
    std::string s = good;
    int n = 1 + static_cast<int>(rng() % 4);
    for (int k = 0; k < n && !s.empty(); ++k) {
      switch (rng() % 3) {
        case 0: s[rng() % s.size()] = static_cast<char>(rng()); break;
        case 1: s.erase(rng() % s.size(), 1 + rng() % 3); break;
        default: s.insert(rng() % s.size(), 1, static_cast<char>(rng())); break;
      }
    }
    decode(s);
  }
}

TEST(Fuzz, DamagedInputsAreRefusedNotCrashedOn) {
  JobSpec spec = Spec(3);
  spec.job_class = "c";
  spec.team = "t";
  auto decoded = wire::DecodeSubmission(wire::EncodeSubmission(spec));
  ASSERT_TRUE(decoded) << decoded.error().text;
  Damage(wire::EncodeSubmission(spec), [](const std::string& s) { wire::DecodeSubmission(s); });
  Report report;
  report.machine = "n-1";
  report.session = report.seq = 1;
  report.tasks.push_back({"job-1", 2, 3, TaskState::kExited, ExitReason::kDone, true});
  Damage(wire::EncodeReport(report), [](const std::string& s) { wire::DecodeReport(s); });
  mesh::Ping ping;
  ping.cancels = {"job-1", "job-22"};
  ping.epochs = {{1, 300, "node-1"}};
  std::string frame = mesh::Encode(ping);
  mesh::Framer framer;
  framer.Feed(frame);
  std::string body;
  bool bad = false;
  ASSERT_TRUE(framer.Next(&body, &bad));
  ASSERT_TRUE(mesh::Decode(body).has_value());
  EXPECT_EQ(std::get<mesh::Ping>(*mesh::Decode(body)), ping);
  Damage(body, [](const std::string& s) { mesh::Decode(s); });
  Damage("POST /api/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         [](const std::string& s) {
           http::Parser parser(http::Parser::Kind::kRequest, {});
           parser.Feed(s);
           http::Message m;
           for (int i = 0; i < 5 && parser.Next(&m) == http::Parser::State::kMessage; ++i) {
           }
         });
}

TEST(Wire, SubmissionsAreCheckedFieldByField) {
  JobSpec spec = Spec(3);
  spec.job_class = "c";
  spec.team = "t";
  Json good = *wire::Unpack(wire::EncodeSubmission(spec));
  auto refused_with = [](const std::string& body, wire::SubmissionFault fault) {
    auto decoded = wire::DecodeSubmission(body);
    return !decoded && decoded.error().code == fault && !decoded.error().text.empty();
  };
  auto refused = [&refused_with](const Json& j) {
    return refused_with(wire::Pack(j), wire::SubmissionFault::kBadField);
  };
  EXPECT_FALSE(refused(good));
  for (const auto& [key, value] : good.items()) {
    Json j = good;
    j.erase(key);
    EXPECT_TRUE(refused(j)) << key;
    j[key] = Json::array({1});
    EXPECT_TRUE(refused(j)) << key;
  }
  Json j = good;
  for (const Json& bad : {Json(0), Json(100001), Json(-1), Json(1.5)}) {
    j["pieces"] = bad;
    EXPECT_TRUE(refused(j));
  }
  j = good;
  j["cpus"] = std::nan("");
  EXPECT_TRUE(refused(j));
  j["cpus"] = -1.0;
  EXPECT_TRUE(refused(j));
  j = good;
  j["surprise"] = 1;  // unknown fields are ignored
  EXPECT_FALSE(refused(j));
  auto not_a_map = [&refused_with](const std::string& body) {
    return refused_with(body, wire::SubmissionFault::kNotAMap);
  };
  std::string packed = wire::Pack(good);
  EXPECT_TRUE(not_a_map(packed + "x"));         // trailing bytes
  EXPECT_TRUE(not_a_map(wire::Pack(Json(3))));  // not a map
  EXPECT_TRUE(not_a_map(std::string("\x82\xa1") + "a\x01\xa1" + "a\x02"));
  EXPECT_TRUE(not_a_map(std::string("\x81\x01\x02")));  // key is no text
  j = good;
  j["extra"] = Json::binary({1, 2});
  EXPECT_TRUE(not_a_map(wire::Pack(j)));
}

}  // namespace
}  // namespace troutlink
