#include "runtime/http_client_connection.h"

#include <array>
#include <cstddef>
#include <utility>

#include "runtime/clock.h"
#include "runtime/socket.h"

namespace troutlink::runtime {

namespace {
constexpr Micros kConnectTimeout = kSecond;
constexpr Micros kIdleTimeout = 30 * kSecond;
// Maximum size of an answer's head and body in bytes.
constexpr http::Limits kAnswerLimits{size_t{16} * 1024, size_t{64} * 1024 * 1024};
}  // namespace

std::string_view NameOf(HttpClientConnection::State state) {
  switch (state) {
    case HttpClientConnection::State::kConnecting: return "connecting";
    case HttpClientConnection::State::kBusy: return "busy";
    case HttpClientConnection::State::kIdle: return "idle";
  }
  return "unknown";
}

HttpClientConnection::HttpClientConnection(ev::loop_ref loop, UniqueFd socket,
                                           std::string_view host, Owner& owner)
    : host_(host),
      owner_(owner),
      opened_(SteadyNow()),
      parser_(http::Parser::Kind::kResponse, kAnswerLimits),
      socket_(std::move(socket)),
      watcher_(loop) {
  watcher_.set<HttpClientConnection, &HttpClientConnection::OnReady>(this);
  watcher_.start(socket_.get(), ev::WRITE);
}

void HttpClientConnection::Send(const Call& call, Micros deadline) {
  call_id_ = call.id;
  deadline_ = deadline;
  output_.Assign(http::WriteRequest(call.method, call.target, host_, call.body));
  if (state_ == State::kConnecting) return;  // sent once the connection is open
  state_ = State::kBusy;
  watcher_.set(socket_.get(), ev::READ | ev::WRITE);
}

void HttpClientConnection::Release(Micros now) {
  state_ = State::kIdle;
  idle_since_ = now;
  // Readable while idle: the peer has closed the connection.
  watcher_.set(socket_.get(), ev::READ);
}

bool HttpClientConnection::IsOverdue(Micros now) const {
  if (state_ == State::kIdle) return false;
  return now >= deadline_ || (state_ == State::kConnecting && now - opened_ > kConnectTimeout);
}

bool HttpClientConnection::IsExpired(Micros now) const {
  return state_ == State::kIdle && now - idle_since_ > kIdleTimeout;
}

void HttpClientConnection::OnReady(ev::io& /*watcher*/, int events) {
  if (state_ == State::kConnecting) {
    FinishConnecting();
    return;
  }
  const bool writable = (events & ev::WRITE) != 0;
  if ((events & ev::READ) != 0) {
    Read(writable);
  } else if (writable && state_ == State::kBusy && !output_.empty()) {
    Write();
  }
}

void HttpClientConnection::FinishConnecting() {
  if (ConnectOutcome(socket_.get())) {
    Fail(kNotSent);
    return;
  }
  state_ = State::kBusy;
  Write();
}

void HttpClientConnection::Read(bool writable) {
  std::array<char, kReadBytes> buffer;  // NOLINT(*-member-init): filled by Receive()
  const Result<size_t, SocketError> count = Receive(socket_.get(), buffer);
  if (!count && count.error().code == SocketError::kWouldBlock) return;
  // Unexpected data without a call.
  if (!count || state_ == State::kIdle) {
    Fail(kNoAnswer);
    return;
  }
  parser_.Feed({buffer.data(), *count});
  http::Message message;
  switch (parser_.Next(&message)) {
    case http::Parser::State::kMore:
      if (writable && !output_.empty()) Write();
      return;
    case http::Parser::State::kError: Fail(kNoAnswer); return;
    case http::Parser::State::kMessage:
      owner_.OnOutcome(*this,
                       {message.status, std::move(message.body), !message.close && parser_.idle()});
      return;
  }
}

void HttpClientConnection::Write() {
  if (!output_.Flush(socket_.get())) {
    Fail(kNoAnswer);
    return;
  }
  if (output_.empty()) watcher_.set(socket_.get(), ev::READ);
}

}  // namespace troutlink::runtime
