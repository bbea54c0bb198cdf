// Unit tests of the peer transport, over loopback.
#include <gtest/gtest.h>

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "loopback.h"
#include "mesh/codec.h"
#include "runtime/clock.h"
#include "runtime/listener.h"
#include "runtime/outgoing_peer_connection.h"
#include "runtime/peer_transport.h"
#include "runtime/socket.h"
#include "runtime/unique_fd.h"

namespace troutlink::runtime {
namespace {

using test::AnyLoopbackPort;
using test::EventLoop;
using test::RawClient;

struct Received {
  std::string from;
  mesh::Message message;
};

// The transport of controller `b` with peer `a`, whose address is irrelevant.
class Receiver {
 public:
  explicit Receiver(EventLoop& loop)
      : transport(loop.ref(), "b", {{"a", "z", test::RefusingEndpoint()}},
                  [this](const std::string& from, const mesh::Message& message) {
                    received.push_back({from, message});
                  }) {
    const auto opened = transport.Open(AnyLoopbackPort());
    EXPECT_TRUE(opened);
    address = *opened;
  }

  PeerTransport transport;
  Endpoint address;
  std::vector<Received> received;
};

// A peer that accepts connections and reads only on request.
class AcceptingPeer {
 public:
  explicit AcceptingPeer(EventLoop& loop)
      : listener(loop.ref(), 1, [this](UniqueFd fd) { accepted.push_back(std::move(fd)); }) {
    const auto opened = listener.Open(AnyLoopbackPort());
    EXPECT_TRUE(opened);
    address = *opened;
  }

  std::vector<UniqueFd> accepted;
  Listener listener;
  Endpoint address;
};

mesh::Message MakeMessage(uint64_t id) { return mesh::RelayedAgentHeartbeat{id, "body"}; }

std::string LabelFrame(const std::string& label) {
  std::string frame;
  mesh::PutVarint(&frame, label.size());
  return frame + label;
}

TEST(PeerTransport, DeliversMessagesInOrderWithTheSendersLabel) {
  EventLoop loop;
  Receiver receiver(loop);
  PeerTransport sender(loop.ref(), "a", {{"b", "z", receiver.address}},
                       [](const std::string&, const mesh::Message&) {});
  for (uint64_t id = 1; id <= 3; ++id) sender.Send("b", MakeMessage(id));
  sender.Send("nobody", MakeMessage(4));
  ASSERT_TRUE(loop.RunUntil([&] { return receiver.received.size() == 3; }));
  sender.Send("b", MakeMessage(5));
  ASSERT_TRUE(loop.RunUntil([&] { return receiver.received.size() == 4; }));
  const std::vector<uint64_t> ids = {1, 2, 3, 5};
  for (size_t index = 0; index < ids.size(); ++index) {
    EXPECT_EQ(receiver.received[index].from, "a");
    EXPECT_EQ(receiver.received[index].message, MakeMessage(ids[index]));
  }
}

TEST(PeerTransport, ClosesUnknownAndMalformedConnections) {
  EventLoop loop;
  Receiver receiver(loop);
  RawClient stranger(loop, receiver.address);
  stranger.SendText(LabelFrame("stranger") + mesh::Encode(MakeMessage(1)));
  EXPECT_TRUE(stranger.IsClosed());
  RawClient malformed(loop, receiver.address);
  std::string too_long;
  mesh::PutVarint(&too_long, mesh::kMaxFrame + 1);
  malformed.SendText(LabelFrame("a") + too_long);
  EXPECT_TRUE(malformed.IsClosed());
  EXPECT_TRUE(receiver.received.empty());
}

TEST(PeerTransport, SkipsAMessageThatItCannotDecode) {
  EventLoop loop;
  Receiver receiver(loop);
  RawClient peer(loop, receiver.address);
  std::string unknown_kind;
  mesh::PutVarint(&unknown_kind, 1);
  unknown_kind.push_back('\x7f');
  peer.SendText(LabelFrame("a") + unknown_kind + mesh::Encode(MakeMessage(2)));
  ASSERT_TRUE(loop.RunUntil([&] { return receiver.received.size() == 1; }));
  EXPECT_EQ(receiver.received[0].message, MakeMessage(2));
}

TEST(OutgoingPeerConnection, SendsItsLabelBeforeTheFirstMessage) {
  EventLoop loop;
  AcceptingPeer peer(loop);
  OutgoingPeerConnection connection(loop.ref(), "a", peer.address);
  connection.Send(MakeMessage(1));
  const std::string expected = LabelFrame("a") + mesh::Encode(MakeMessage(1));
  std::string bytes;
  ASSERT_TRUE(loop.RunUntil([&] {
    std::array<char, kReadBytes> buffer{};
    if (peer.accepted.empty()) return false;
    if (const auto count = Receive(peer.accepted[0].get(), buffer))
      bytes.append(buffer.data(), *count);
    return bytes.size() >= expected.size();
  }));
  EXPECT_EQ(bytes, expected);
}

TEST(OutgoingPeerConnection, ClosesAStalledConnection) {
  EventLoop loop;
  AcceptingPeer peer(loop);
  OutgoingPeerConnection connection(loop.ref(), "a", peer.address);
  connection.Send(MakeMessage(1));
  ASSERT_TRUE(loop.RunUntil([&] { return peer.accepted.size() == 1; }));
  loop.RunReady();
  // More than the socket buffers of both sides hold; nothing is read.
  const mesh::Message large = mesh::RelayedAgentHeartbeat{2, std::string(size_t{200} * 1024, 'x')};
  for (int count = 0; count < 100; ++count) connection.Send(large);
  connection.Tick(SteadyNow() + kSecond);
  EXPECT_TRUE(peer.accepted.size() == 1);
  connection.Tick(SteadyNow() + 3 * kSecond);
  // Sent bytes can still be read; then the connection ends.
  SocketError error = SocketError::kWouldBlock;
  ASSERT_TRUE(loop.RunUntil([&] {
    std::array<char, kReadBytes> buffer{};
    auto count = Receive(peer.accepted[0].get(), buffer);
    while (count) count = Receive(peer.accepted[0].get(), buffer);
    error = count.error().code;
    return error != SocketError::kWouldBlock;
  }));
  EXPECT_EQ(NameOf(error), "closed");
}

}  // namespace
}  // namespace troutlink::runtime
