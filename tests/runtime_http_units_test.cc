// Unit tests of src/runtime over HTTP: the server, the client and the dispatcher. Time passes
// through the argument of Tick().
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "loopback.h"
#include "runtime/clock.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/outbox_dispatcher.h"
#include "runtime/peer_transport.h"

namespace troutlink::runtime {
namespace {

using test::AnyLoopbackPort;
using test::EventLoop;
using test::RawClient;
using test::RefusingEndpoint;

constexpr Micros kCallTimeout = 5 * kSecond;

// A server that keeps its requests and replies on demand or at once.
class TestServer {
 public:
  explicit TestServer(EventLoop& loop, size_t max_connections = 100)
      : server(loop.ref(), max_connections, [this](Request request) {
          requests.push_back(std::move(request));
          if (answer_at_once) Answer(requests.size() - 1);
        }) {
    auto opened = server.Open(AnyLoopbackPort());
    EXPECT_TRUE(opened);
    address = *opened;
  }
  // Echoes the request with this index.
  void Answer(size_t index) {
    server.Send({requests[index].id, 200, "re:" + requests[index].body, 0});
  }

  HttpServer server;
  Endpoint address;
  bool answer_at_once = true;
  std::vector<Request> requests;
};

// A client that keeps the results of its calls.
class TestClient {
 public:
  explicit TestClient(EventLoop& loop, size_t max_connections = 100)
      : client(loop.ref(), max_connections,
               [this](CallResult result) { results.push_back(std::move(result)); }) {}
  void Send(const Endpoint& to, uint64_t id, const PoolOptions& options = {}) {
    Call call;
    call.id = id;
    call.method = "POST";
    call.target = "/x";
    call.body = std::to_string(id);
    call.timeout = kCallTimeout;
    client.Send(to, options, call);
  }

  HttpClient client;
  std::vector<CallResult> results;
};

TEST(HttpServer, AnswersOneRequestAfterAnother) {
  EventLoop loop;
  TestServer server(loop);
  RawClient client(loop, server.address);
  client.SendText("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n");
  client.SendText("hi");
  ASSERT_TRUE(client.Receives("re:hi"));
  EXPECT_EQ(client.received().rfind("HTTP/1.1 200", 0), 0U);
  ASSERT_EQ(server.requests.size(), 1U);
  EXPECT_EQ(server.requests[0].method, "POST");
  EXPECT_EQ(server.requests[0].target, "/a");
  client.SendText("GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(client.IsClosed());
  EXPECT_EQ(server.requests.size(), 2U);
  EXPECT_EQ(server.server.connections(), 0U);
}

TEST(HttpServer, RefusesInvalidHttp) {
  EventLoop loop;
  TestServer server(loop);
  RawClient client(loop, server.address);
  client.SendText("nonsense\r\n\r\n");
  EXPECT_TRUE(client.IsClosed());
  EXPECT_EQ(client.received().rfind("HTTP/1.1 400", 0), 0U) << client.received();
  EXPECT_TRUE(server.requests.empty());
}

TEST(HttpServer, RefusesExcessConnectionsWith503) {
  EventLoop loop;
  TestServer server(loop, 1);
  server.answer_at_once = false;
  RawClient first(loop, server.address);
  first.SendText("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop.RunUntil([&] { return server.requests.size() == 1; }));
  RawClient second(loop, server.address);
  EXPECT_TRUE(second.IsClosed());
  EXPECT_EQ(second.received().rfind("HTTP/1.1 503", 0), 0U) << second.received();
  EXPECT_NE(second.received().find("Retry-After: 1"), std::string::npos) << second.received();
  // The first gets its reply. More than nine tenths of the connections are used, so it is closed.
  server.Answer(0);
  EXPECT_TRUE(first.Receives("re:"));
  EXPECT_TRUE(first.IsClosed());
}

TEST(HttpServer, IgnoresTheReplyToADisconnectedClient) {
  EventLoop loop;
  TestServer server(loop);
  server.answer_at_once = false;
  {
    RawClient client(loop, server.address);
    client.SendText("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(loop.RunUntil([&] { return server.requests.size() == 1; }));
  }
  ASSERT_TRUE(loop.RunUntil([&] { return server.server.connections() == 0; }));
  server.Answer(0);
}

TEST(HttpServer, ClosesConnectionsThatIdleOrStall) {
  EventLoop loop;
  TestServer server(loop);
  server.answer_at_once = false;
  RawClient idle(loop, server.address);
  RawClient stalled(loop, server.address);
  RawClient answered(loop, server.address);
  stalled.SendText("GET /a HT");
  answered.SendText("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop.RunUntil(
      [&] { return server.server.connections() == 3 && server.requests.size() == 1; }));
  const Micros now = SteadyNow();
  server.server.Tick(now + 9 * kSecond);
  EXPECT_EQ(server.server.connections(), 3U);
  server.server.Tick(now + 11 * kSecond);
  EXPECT_EQ(server.server.connections(), 2U);
  EXPECT_TRUE(stalled.IsClosed());
  server.server.Tick(now + 91 * kSecond);
  EXPECT_EQ(server.server.connections(), 1U) << "a request that is being answered has no limit";
  EXPECT_TRUE(idle.IsClosed());
}

TEST(HttpClient, SendsCallsOneAfterAnotherOnOneConnection) {
  EventLoop loop;
  TestServer server(loop);
  TestClient client(loop);
  for (uint64_t id = 1; id <= 3; ++id) client.Send(server.address, id);
  EXPECT_TRUE(client.results.empty());
  ASSERT_TRUE(loop.RunUntil([&] { return client.results.size() == 3; }));
  for (uint64_t id = 1; id <= 3; ++id) {
    EXPECT_EQ(client.results[id - 1].call_id, id);
    EXPECT_EQ(client.results[id - 1].status, 200);
    EXPECT_EQ(client.results[id - 1].body, "re:" + std::to_string(id));
  }
  EXPECT_EQ(client.client.connections(), 1U);
  EXPECT_EQ(server.server.connections(), 1U);
  // Kept for thirty seconds.
  client.client.Tick(SteadyNow() + 29 * kSecond);
  EXPECT_EQ(client.client.connections(), 1U);
  client.client.Tick(SteadyNow() + 31 * kSecond);
  EXPECT_EQ(client.client.connections(), 0U);
}

TEST(HttpClient, OpensConnectionsUpToThePoolLimit) {
  EventLoop loop;
  TestServer server(loop);
  server.answer_at_once = false;
  TestClient client(loop);
  for (uint64_t id = 1; id <= 4; ++id) client.Send(server.address, id, {.max_connections = 2});
  ASSERT_TRUE(loop.RunUntil([&] { return server.requests.size() == 2; }));
  EXPECT_EQ(client.client.connections(), 2U);
  server.Answer(0);
  ASSERT_TRUE(loop.RunUntil([&] { return server.requests.size() == 3; }));
  EXPECT_EQ(client.results.size(), 1U);
}

TEST(HttpClient, SharesTheLimitOverAllEndpointsExceptExemptOnes) {
  EventLoop loop;
  TestServer first(loop);
  TestServer second(loop);
  TestServer exempt(loop);
  TestClient client(loop, 1);
  client.Send(first.address, 1);
  client.Send(second.address, 2);
  client.Send(exempt.address, 3, {.max_connections = 1, .shares_limit = false});
  EXPECT_EQ(client.client.connections(), 2U) << "the second endpoint waits";
  ASSERT_TRUE(loop.RunUntil([&] { return client.results.size() == 2; }));
  EXPECT_TRUE(second.requests.empty());
  // Closes the first endpoint's idle connection to open one for the second.
  client.client.Tick(SteadyNow());
  ASSERT_TRUE(loop.RunUntil([&] { return client.results.size() == 3; }));
  EXPECT_EQ(client.results[2].call_id, 2U);
  EXPECT_EQ(client.client.connections(), 2U);
}

TEST(HttpClient, DistinguishesUnsentFromUnansweredCalls) {
  EventLoop loop;
  TestServer server(loop);
  server.answer_at_once = false;
  TestClient client(loop);
  client.Send(RefusingEndpoint(), 1);
  ASSERT_TRUE(loop.RunUntil([&] { return client.results.size() == 1; }));
  EXPECT_EQ(client.results[0].status, kNotSent);

  client.Send(server.address, 2);
  client.Send(server.address, 3);  // waits for the connection
  ASSERT_TRUE(loop.RunUntil([&] { return server.requests.size() == 1; }));
  const Micros late = SteadyNow() + kCallTimeout;
  client.client.Tick(late);
  ASSERT_EQ(client.results.size(), 2U);
  EXPECT_EQ(client.results[1].call_id, 2U);
  EXPECT_EQ(client.results[1].status, kNoAnswer);
  // The other call has a new connection meanwhile, which is not open yet.
  client.client.Tick(late);
  ASSERT_EQ(client.results.size(), 3U);
  EXPECT_EQ(client.results[2].call_id, 3U);
  EXPECT_EQ(client.results[2].status, kNotSent);
}

TEST(HttpClient, ReportsNoAnswerWhenTheServerDisconnects) {
  EventLoop loop;
  TestClient client(loop);
  auto server = std::make_unique<TestServer>(loop);
  server->answer_at_once = false;
  client.Send(server->address, 1);
  ASSERT_TRUE(loop.RunUntil([&] { return server->requests.size() == 1; }));
  server.reset();
  ASSERT_TRUE(loop.RunUntil([&] { return client.results.size() == 1; }));
  EXPECT_EQ(client.results[0].status, kNoAnswer);
  EXPECT_EQ(client.client.connections(), 0U);
}

TEST(HttpClient, FailsTheOldestOfTooManyQueuedCalls) {
  EventLoop loop;
  TestServer server(loop);
  server.answer_at_once = false;
  TestClient client(loop);
  // One is sent, 256 may wait, and two are too many.
  for (uint64_t id = 1; id <= 259; ++id) client.Send(server.address, id);
  client.client.Tick(SteadyNow());
  ASSERT_EQ(client.results.size(), 2U);
  EXPECT_EQ(client.results[0].call_id, 2U);
  EXPECT_EQ(client.results[1].call_id, 3U);
  EXPECT_EQ(client.results[1].status, kNotSent);
}

// The dispatcher and its destinations.
struct DispatcherTest : testing::Test {
  EventLoop loop;
  TestServer state{loop};
  TestServer cloud{loop};
  TestServer agent{loop};
  TestServer own{loop};
  TestClient client{loop};
  PeerTransport peers{loop.ref(), "a", {}, [](const std::string&, const mesh::Message&) {}};
  Settings settings;
  std::unique_ptr<OutboxDispatcher> dispatcher;

  void SetUp() override {
    settings.state = state.address;
    settings.cloud = cloud.address;
    dispatcher = std::make_unique<OutboxDispatcher>(
        settings, own.server, client.client, peers,
        [this](CallResult result) { client.results.push_back(std::move(result)); });
  }
  static Call MakeCall(uint64_t id, Dest dest, std::string address = "") {
    return {id, dest, std::move(address), "POST", "/x", std::to_string(id), kCallTimeout};
  }
};

TEST_F(DispatcherTest, SendsCallsToTheirDestinations) {
  Outbox outbox;
  outbox.calls = {MakeCall(1, Dest::kState), MakeCall(2, Dest::kWatch), MakeCall(3, Dest::kCloud),
                  MakeCall(4, Dest::kAgent, agent.address.text)};
  dispatcher->Dispatch(outbox);
  ASSERT_TRUE(loop.RunUntil([&] { return client.results.size() == 4; }));
  EXPECT_EQ(state.requests.size(), 2U);
  ASSERT_EQ(cloud.requests.size(), 1U);
  EXPECT_EQ(cloud.requests[0].body, "3");
  ASSERT_EQ(agent.requests.size(), 1U);
  EXPECT_EQ(agent.requests[0].body, "4");
}

TEST_F(DispatcherTest, ReportsACallToAnInvalidAddress) {
  Outbox outbox;
  outbox.calls = {MakeCall(7, Dest::kAgent, "nowhere")};
  dispatcher->Dispatch(outbox);
  ASSERT_EQ(client.results.size(), 1U);
  EXPECT_EQ(client.results[0].call_id, 7U);
  EXPECT_EQ(client.results[0].status, kNotSent);
}

TEST_F(DispatcherTest, SendsReplies) {
  own.answer_at_once = false;
  RawClient user(loop, own.address);
  user.SendText("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop.RunUntil([&] { return own.requests.size() == 1; }));
  Outbox outbox;
  outbox.replies = {{own.requests[0].id, 429, "wait", 3}};
  dispatcher->Dispatch(outbox);
  EXPECT_TRUE(user.Receives("wait"));
  EXPECT_EQ(user.received().rfind("HTTP/1.1 429", 0), 0U) << user.received();
  EXPECT_NE(user.received().find("Retry-After: 3"), std::string::npos) << user.received();
}

}  // namespace
}  // namespace troutlink::runtime
