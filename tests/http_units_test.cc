// Unit tests of src/http.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "damage.h"
#include "http/message.h"

namespace troutlink::http {
namespace {

using testing::ElementsAre;
using testing::Field;
using testing::IsEmpty;

// All messages in `text`, parsed in pieces of `step` bytes.
std::vector<Message> ParseAll(Parser::Kind kind, std::string_view text, size_t step) {
  Parser parser(kind, {});
  std::vector<Message> messages;
  for (size_t at = 0; at < text.size(); at += step) {
    parser.Feed(text.substr(at, step));
    Message message;
    while (parser.Next(&message) == Parser::State::kMessage) messages.push_back(message);
  }
  EXPECT_TRUE(parser.idle());
  return messages;
}

std::vector<Message> Requests(std::string_view text) {
  return ParseAll(Parser::Kind::kRequest, text, text.size());
}

std::vector<Message> Responses(std::string_view text) {
  return ParseAll(Parser::Kind::kResponse, text, text.size());
}

// Status for the refused `text`; 0 if it is accepted.
int Refusal(std::string_view text, Parser::Kind kind = Parser::Kind::kRequest) {
  Parser parser(kind, {});
  parser.Feed(text);
  Message message;
  return parser.Next(&message) == Parser::State::kError ? parser.error_status() : 0;
}

// Status for a refused request with these fields.
int RefusalOfFields(const std::string& fields) {
  return Refusal("GET / HTTP/1.1\r\n" + fields + "\r\n\r\n");
}

// Status for a refused request with this chunked body.
int RefusalOfChunks(const std::string& body) {
  return Refusal("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
}

TEST(HttpParser, ReadsMessagesInPiecesOfAnySize) {
  const std::string text =
      "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /y HTTP/1.1\r\n\r\n"
      "POST /z HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n1\r\nd\r\nA;x=1\r\n0123456789\r\n"
      "0\r\n\r\n";
  for (size_t step = 1; step <= text.size(); ++step) {
    EXPECT_THAT(
        ParseAll(Parser::Kind::kRequest, text, step),
        ElementsAre(AllOf(Field(&Message::method, "POST"), Field(&Message::target, "/x"),
                          Field(&Message::body, "abc")),
                    AllOf(Field(&Message::method, "GET"), Field(&Message::target, "/y"),
                          Field(&Message::body, IsEmpty())),
                    AllOf(Field(&Message::target, "/z"), Field(&Message::body, "d0123456789"))))
        << "in pieces of " << step;
  }
}

TEST(HttpParser, RefusesMalformedRequestLines) {
  for (const char* line :
       {"nonsense", "", "GET /", "GET  / HTTP/1.1", "G(T / HTTP/1.1", "GET x HTTP/1.1",
        "GET /\x7f HTTP/1.1", "GET /\xc3 HTTP/1.1", "GET / / HTTP/1.1", "GET / FTP/1.1"}) {
    EXPECT_EQ(Refusal(std::string(line) + "\r\n\r\n"), 400) << line;
  }
}

TEST(HttpParser, RefusesOtherHttpVersions) {
  EXPECT_EQ(Refusal("GET / HTTP/2.0\r\n\r\n"), 505);
  EXPECT_EQ(Refusal("GET / HTTP/1.11\r\n\r\n"), 505);
}

TEST(HttpParser, RefusesMalformedFields) {
  for (const char* fields : {"no colon", ": no name", "spaced name: x", "Name : x"}) {
    EXPECT_EQ(RefusalOfFields(fields), 400) << fields;
  }
}

TEST(HttpParser, RefusesInvalidContentLengths) {
  for (const char* length : {"-1", "+1", "", "1x", "0x1", "1234567890"}) {
    EXPECT_EQ(RefusalOfFields(std::string("Content-Length: ") + length), 400) << length;
  }
}

TEST(HttpParser, RefusesConflictingBodyLengths) {
  EXPECT_EQ(RefusalOfFields("Content-Length: 1\r\nContent-Length: 2"), 400);
  EXPECT_EQ(RefusalOfFields("Content-Length: 1\r\nTransfer-Encoding: chunked"), 400);
}

TEST(HttpParser, AcceptsARepeatedEqualContentLength) {
  EXPECT_THAT(Requests("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx"),
              ElementsAre(Field(&Message::body, "x")));
}

TEST(HttpParser, RefusesTransferCodingsOtherThanChunked) {
  EXPECT_EQ(RefusalOfFields("Transfer-Encoding: gzip, chunked"), 501);
}

TEST(HttpParser, RefusesBodiesAboveTheLimit) {
  EXPECT_EQ(RefusalOfFields("Content-Length: 70000"), 413);
  EXPECT_EQ(RefusalOfFields("Content-Length: 65537"), 413);
  EXPECT_EQ(RefusalOfFields("Content-Length: 65536"), 0);
  EXPECT_EQ(RefusalOfChunks("10001\r\n"), 413);
  EXPECT_EQ(RefusalOfChunks("10000\r\n"), 0);
}

TEST(HttpParser, RefusesHeadsAboveTheLimit) {
  const std::string head = "GET / HTTP/1.1\r\nX: ";
  EXPECT_EQ(Refusal(head + std::string(9000, 'a')), 431);
  EXPECT_EQ(Refusal(head + std::string(9000, 'a') + "\r\n\r\n"), 431);
  EXPECT_EQ(Refusal(head + std::string(8192 - head.size(), 'a') + "\r\n\r\n"), 0);
  EXPECT_EQ(Refusal(head + std::string(8193 - head.size(), 'a') + "\r\n\r\n"), 431);
}

TEST(HttpParser, RefusesMalformedChunks) {
  for (const char* body : {"\r\n", "x\r\n", "-1\r\n", "0x1\r\na\r\n", ";x\r\n", "00000001\r\n",
                           "1\r\nabc\r\n", " 1\r\na\r\n"}) {
    EXPECT_EQ(RefusalOfChunks(body), 400) << body;
  }
  EXPECT_EQ(RefusalOfChunks("1;" + std::string(63, 'a')), 400);
}

TEST(HttpParser, WaitsForTheRestOfAChunk) {
  EXPECT_EQ(RefusalOfChunks("3\r\nab"), 0);
  EXPECT_EQ(RefusalOfChunks("1;" + std::string(62, 'a')), 0);
}

TEST(HttpParser, DetectsConnectionClose) {
  EXPECT_THAT(Requests("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.0\r\n\r\n"
                       "GET / HTTP/1.1\r\nConnection: Close\r\n\r\n"
                       "GET / HTTP/1.0\r\nconnection:\tkeep-alive \r\n\r\n"),
              ElementsAre(Field(&Message::close, false), Field(&Message::close, true),
                          Field(&Message::close, true), Field(&Message::close, false)));
}

TEST(HttpParser, ReadsStatusAndRetryAfterOfResponses) {
  EXPECT_THAT(Responses("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 7\r\n\r\n"
                        "HTTP/1.0 200 \r\nRetry-After: Wed, 21 Oct 2015 07:28:00 GMT\r\n\r\n"),
              ElementsAre(AllOf(Field(&Message::status, 503), Field(&Message::retry_after_s, 7),
                                Field(&Message::close, false)),
                          AllOf(Field(&Message::status, 200), Field(&Message::retry_after_s, 0),
                                Field(&Message::close, true))));
}

TEST(HttpParser, RefusesMalformedStatusLines) {
  for (const char* line : {"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 099",
                           "HTTP/1.1 2x0", "HTTP/2.0 200 OK", "GET / HTTP/1.1"}) {
    EXPECT_EQ(Refusal(std::string(line) + "\r\n\r\n", Parser::Kind::kResponse), 400) << line;
  }
}

TEST(HttpParser, IsIdleBetweenMessagesOnly) {
  Parser parser(Parser::Kind::kRequest, {});
  EXPECT_TRUE(parser.idle());
  parser.Feed("GET / HTTP/1.1\r\n");
  Message message;
  EXPECT_EQ(parser.Next(&message), Parser::State::kMore);
  EXPECT_FALSE(parser.idle());
  parser.Feed("\r\n");
  EXPECT_EQ(parser.Next(&message), Parser::State::kMessage);
  EXPECT_TRUE(parser.idle());
}

TEST(HttpParser, DoesNotCrashOnDamagedMessages) {
  Damage("POST /api/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         [](const std::string& damaged) {
           Parser parser(Parser::Kind::kRequest, {});
           parser.Feed(damaged);
           Message message;
           for (int i = 0; i < 5 && parser.Next(&message) == Parser::State::kMessage; ++i) {
           }
         });
}

TEST(HttpWriter, WritesTheExpectedRequestBytes) {
  EXPECT_EQ(WriteRequest("POST", "/api/jobs", "10.0.0.1:80", "abc"),
            "POST /api/jobs HTTP/1.1\r\nHost: 10.0.0.1:80\r\nContent-Type: application/msgpack\r\n"
            "Content-Length: 3\r\n\r\nabc");
}

TEST(HttpWriter, WritesTheExpectedResponseBytes) {
  EXPECT_EQ(WriteResponse(503, "abc", true, 2),
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/msgpack\r\n"
            "Content-Length: 3\r\nRetry-After: 2\r\nConnection: close\r\n\r\nabc");
  EXPECT_EQ(WriteResponse(200, "", false, 0),
            "HTTP/1.1 200 OK\r\nContent-Type: application/msgpack\r\nContent-Length: 0\r\n\r\n");
}

TEST(HttpWriter, WritesStatusesWithoutAReasonPhrase) {
  EXPECT_EQ(WriteResponse(418, "", false, 0),
            "HTTP/1.1 418 Status\r\nContent-Type: application/msgpack\r\n"
            "Content-Length: 0\r\n\r\n");
}

TEST(HttpWriter, OutputIsReadableByTheParser) {
  EXPECT_THAT(Requests(WriteRequest("POST", "/x?y=1", "h", "body")),
              ElementsAre(AllOf(Field(&Message::method, "POST"), Field(&Message::target, "/x?y=1"),
                                Field(&Message::body, "body"))));
  EXPECT_THAT(Responses(WriteResponse(429, "body", true, 3)),
              ElementsAre(AllOf(Field(&Message::status, 429), Field(&Message::body, "body"),
                                Field(&Message::close, true), Field(&Message::retry_after_s, 3))));
}

}  // namespace
}  // namespace troutlink::http
