#include "runtime/http_server_connection.h"

#include <array>
#include <cstddef>
#include <utility>

#include "runtime/clock.h"
#include "runtime/socket.h"

namespace troutlink::runtime {

namespace {
constexpr Micros kStallTimeout = 10 * kSecond;  // within a request or reply
constexpr Micros kIdleTimeout = 90 * kSecond;   // between requests
// Maximum size of a request's head and body in bytes.
constexpr http::Limits kRequestLimits{size_t{8} * 1024, size_t{64} * 1024};
}  // namespace

HttpServerConnection::HttpServerConnection(ev::loop_ref loop, UniqueFd socket, Owner& owner)
    : owner_(owner),
      last_activity_(SteadyNow()),
      parser_(http::Parser::Kind::kRequest, kRequestLimits),
      socket_(std::move(socket)),
      watcher_(loop) {
  watcher_.set<HttpServerConnection, &HttpServerConnection::OnReady>(this);
  watcher_.start(socket_.get(), ev::READ);
}

void HttpServerConnection::Respond(const Reply& reply, bool close) {
  answering_ = false;
  close_after_reply_ = close_after_reply_ || close;
  output_.Assign(
      http::WriteResponse(reply.status, reply.body, close_after_reply_, reply.retry_after_s));
  if (Write() == Liveness::kOpen) Watch();
}

bool HttpServerConnection::IsExpired(Micros now) const {
  if (answering_) return false;
  const bool in_message = !parser_.idle() || !output_.empty();
  return now - last_activity_ > (in_message ? kStallTimeout : kIdleTimeout);
}

void HttpServerConnection::Watch() {
  int events = 0;
  if (!answering_ && !close_after_reply_) events |= ev::READ;
  if (!output_.empty()) events |= ev::WRITE;
  // During a request, watch for the client closing the connection.
  if (events == 0) events = ev::READ;
  watcher_.set(socket_.get(), events);
}

void HttpServerConnection::OnReady(ev::io& /*watcher*/, int events) {
  if ((events & ev::WRITE) != 0 && !output_.empty()) {
    if (Write() == Liveness::kClosed) return;
    if (output_.empty()) {
      Watch();
      if (!answering_) ParseRequest();
      return;
    }
  }
  if ((events & ev::READ) != 0) Read();
}

void HttpServerConnection::Read() {
  std::array<char, kReadBytes> buffer;  // NOLINT(*-member-init): filled by Receive()
  const Result<size_t, SocketError> count = Receive(socket_.get(), buffer);
  if (!count && count.error().code == SocketError::kWouldBlock) return;
  // During a request this is a client that closes the connection or pipelines, which is not
  // supported.
  if (!count || answering_) {
    owner_.OnClosed(*this);
    return;
  }
  last_activity_ = SteadyNow();
  owner_.OnActive(*this);
  parser_.Feed({buffer.data(), *count});
  ParseRequest();
}

void HttpServerConnection::ParseRequest() {
  http::Message request;
  switch (parser_.Next(&request)) {
    case http::Parser::State::kMore: return;
    case http::Parser::State::kError:
      close_after_reply_ = true;
      output_.Assign(http::WriteResponse(parser_.error_status(), "", true, 0));
      if (Write() == Liveness::kOpen) Watch();
      return;
    case http::Parser::State::kMessage: break;
  }
  answering_ = true;
  close_after_reply_ = request.close;
  owner_.OnRequest(*this, std::move(request));
}

HttpServerConnection::Liveness HttpServerConnection::Write() {
  const Result<size_t, SocketError> count = output_.Flush(socket_.get());
  if (!count) {
    owner_.OnClosed(*this);
    return Liveness::kClosed;
  }
  if (*count > 0) last_activity_ = SteadyNow();
  if (!output_.empty()) return Liveness::kOpen;
  if (close_after_reply_) {
    owner_.OnClosed(*this);
    return Liveness::kClosed;
  }
  if (!answering_ && parser_.idle()) owner_.OnIdle(*this);
  return Liveness::kOpen;
}

}  // namespace troutlink::runtime
