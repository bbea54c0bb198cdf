// Unit tests of src/runtime without a protocol: descriptors, sockets, buffers, the listener,
// budgets.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "loopback.h"
#include "runtime/clock.h"
#include "runtime/listener.h"
#include "runtime/socket.h"
#include "runtime/socket_budget.h"
#include "runtime/unique_fd.h"
#include "runtime/write_buffer.h"

namespace troutlink::runtime {
namespace {

using test::AnyLoopbackPort;
using test::EventLoop;
using test::RawClient;
using test::RefusingEndpoint;

bool IsOpen(int fd) { return fcntl(fd, F_GETFD) >= 0; }

// Two connected non-blocking sockets.
std::pair<UniqueFd, UniqueFd> SocketPair() {
  std::array<int, 2> fds{};
  EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds.data()), 0);
  return {UniqueFd(fds[0]), UniqueFd(fds[1])};
}

// All bytes available on `fd`.
std::string ReadAll(int fd) {
  std::string bytes;
  std::array<char, kReadBytes> buffer{};
  while (const auto count = Receive(fd, buffer)) bytes.append(buffer.data(), *count);
  return bytes;
}

// Records when a descriptor becomes writable.
class WritableWatch {
 public:
  WritableWatch(EventLoop& loop, int fd) : watcher_(loop.ref()) {
    watcher_.set<WritableWatch, &WritableWatch::OnWritable>(this);
    watcher_.start(fd, ev::WRITE);
  }
  bool writable() const { return writable_; }

 private:
  void OnWritable(ev::io& watcher, int /*events*/) {
    writable_ = true;
    watcher.stop();
  }

  bool writable_ = false;
  ev::io watcher_;
};

TEST(UniqueFd, ClosesOnlyWhatItOwns) {
  auto [first, second] = SocketPair();
  const int first_fd = first.get();
  const int second_fd = second.get();
  UniqueFd taken = std::move(first);
  EXPECT_FALSE(first);  // NOLINT(bugprone-use-after-move): a moved-from one owns none
  EXPECT_EQ(taken.get(), first_fd);
  taken = std::move(second);
  EXPECT_FALSE(IsOpen(first_fd));
  EXPECT_TRUE(IsOpen(second_fd));
  const UniqueFd released(taken.release());
  taken.reset();
  EXPECT_TRUE(IsOpen(second_fd));
  EXPECT_FALSE(taken);
}

TEST(Socket, ListensOnAChosenPortOnlyOnce) {
  const auto listener = Listen(AnyLoopbackPort());
  ASSERT_TRUE(listener) << listener.error().text;
  const auto address = LocalEndpoint(listener->get());
  ASSERT_TRUE(address);
  EXPECT_EQ(address->host, "127.0.0.1");
  EXPECT_GT(address->port, 0);
  EXPECT_EQ(address->text, "127.0.0.1:" + std::to_string(address->port));
  const auto second = Listen(*address);
  ASSERT_FALSE(second);
  EXPECT_EQ(NameOf(second.error().code), "failed");
  EXPECT_EQ(second.error().text, "Address already in use");
}

TEST(Socket, IsNonBlockingAndClosedOnExec) {
  const auto listener = Listen(AnyLoopbackPort());
  ASSERT_TRUE(listener);
  EXPECT_NE(fcntl(listener->get(), F_GETFL) & O_NONBLOCK, 0);
  EXPECT_NE(fcntl(listener->get(), F_GETFD) & FD_CLOEXEC, 0);
  const auto none = Accept(listener->get());
  ASSERT_FALSE(none);
  EXPECT_EQ(NameOf(none.error().code), "would_block");
}

TEST(Socket, ReceivesSentBytesThenTheEnd) {
  auto [sender, receiver] = SocketPair();
  std::array<char, 16> buffer{};
  const auto nothing = Receive(receiver.get(), buffer);
  ASSERT_FALSE(nothing);
  EXPECT_EQ(nothing.error().code, SocketError::kWouldBlock);
  const auto sent = Send(sender.get(), "hello");
  ASSERT_TRUE(sent);
  EXPECT_EQ(*sent, 5U);
  const auto count = Receive(receiver.get(), buffer);
  ASSERT_TRUE(count);
  EXPECT_EQ(std::string(buffer.data(), *count), "hello");
  sender.reset();
  const auto end = Receive(receiver.get(), buffer);
  ASSERT_FALSE(end);
  EXPECT_EQ(NameOf(end.error().code), "closed");
  // No SIGPIPE ends the test.
  const auto violations = Send(receiver.get(), "late");
  ASSERT_FALSE(violations);
  EXPECT_EQ(violations.error().code, SocketError::kFailed);
}

TEST(Socket, OutcomeOfConnecting) {
  EventLoop loop;
  const auto listener = Listen(AnyLoopbackPort());
  ASSERT_TRUE(listener);
  const RawClient client(loop, *LocalEndpoint(listener->get()));
  EXPECT_TRUE(Accept(listener->get()));

  const auto refused = Connect(RefusingEndpoint());
  ASSERT_TRUE(refused) << "a non-blocking socket learns of it later";
  WritableWatch watch(loop, refused->get());
  ASSERT_TRUE(loop.RunUntil([&] { return watch.writable(); }));
  EXPECT_EQ(ConnectOutcome(refused->get()), std::errc::connection_refused);
}

TEST(WriteBuffer, KeepsUnsentBytes) {
  auto [sender, receiver] = SocketPair();
  const std::string large(size_t{4} * 1024 * 1024, 'x');
  WriteBuffer buffer;
  EXPECT_TRUE(buffer.empty());
  buffer.Append(large);
  const auto first = buffer.Flush(sender.get());
  ASSERT_TRUE(first);
  EXPECT_GT(*first, 0U);
  EXPECT_EQ(buffer.size(), large.size() - *first);
  const auto full = buffer.Flush(sender.get());
  ASSERT_TRUE(full);
  EXPECT_EQ(*full, 0U);
  buffer.Append("end");
  std::string received = ReadAll(receiver.get());
  while (!buffer.empty()) {
    ASSERT_TRUE(buffer.Flush(sender.get()));
    received += ReadAll(receiver.get());
  }
  EXPECT_EQ(received, large + "end");
}

TEST(WriteBuffer, AssignReplacesAndClearDropsTheContent) {
  auto [sender, receiver] = SocketPair();
  WriteBuffer buffer;
  buffer.Append("first");
  buffer.Assign("second");
  EXPECT_EQ(buffer.size(), 6U);
  ASSERT_TRUE(buffer.Flush(sender.get()));
  EXPECT_EQ(ReadAll(receiver.get()), "second");
  buffer.Append("third");
  buffer.Clear();
  EXPECT_TRUE(buffer.empty());
  receiver.reset();
  buffer.Append("lost");
  const auto failed = buffer.Flush(sender.get());
  ASSERT_FALSE(failed);
  EXPECT_EQ(failed.error().code, SocketError::kFailed);
}

TEST(Listener, HandsOverEachConnection) {
  EventLoop loop;
  std::vector<UniqueFd> accepted;
  Listener listener(loop.ref(), 1, [&](UniqueFd fd) { accepted.push_back(std::move(fd)); });
  const auto address = listener.Open(AnyLoopbackPort());
  ASSERT_TRUE(address);
  RawClient first(loop, *address);
  RawClient second(loop, *address);
  ASSERT_TRUE(loop.RunUntil([&] { return accepted.size() == 2; }));
  ASSERT_TRUE(Send(accepted[0].get(), "a"));
  ASSERT_TRUE(Send(accepted[1].get(), "b"));
  EXPECT_TRUE(first.Receives("a"));
  EXPECT_TRUE(second.Receives("b"));

  Listener other(loop.ref(), 1, [](UniqueFd) {});
  EXPECT_FALSE(other.Open(*address));
}

TEST(SocketBudget, DistributesTheDescriptors) {
  const SocketBudget usual = BudgetOf(1024);
  EXPECT_EQ(usual.to_workers, 170U);
  EXPECT_EQ(usual.incoming, 1024U - 170U - 64U);
  const SocketBudget least = BudgetOf(0);
  EXPECT_EQ(least.to_workers, 4U);
  EXPECT_EQ(least.incoming, 16U);
}

TEST(Clock, SteadyTimeIsMonotonic) {
  const Micros before = SteadyNow();
  EXPECT_GE(SteadyNow(), before);
  // 2020: the wall clock counts from 1970.
  EXPECT_GT(WallNow(), int64_t{1577836800} * kSecond);
}

}  // namespace
}  // namespace troutlink::runtime
