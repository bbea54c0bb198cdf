// One outgoing HTTP connection: its socket, watcher and current call.
#ifndef TROUTLINK_RUNTIME_HTTP_CLIENT_CONNECTION_H_
#define TROUTLINK_RUNTIME_HTTP_CLIENT_CONNECTION_H_

#include <ev++.h>

#include <cstdint>
#include <string>
#include <string_view>

#include "base/micros.h"
#include "core/io/io.h"
#include "http/message.h"
#include "runtime/unique_fd.h"
#include "runtime/write_buffer.h"

namespace troutlink::runtime {

// Carries one call at a time. It is created for a call, and may carry others after it. Use on the
// loop's thread only.
class HttpClientConnection {
 public:
  // State of the connection.
  enum class State {
    kConnecting,  // waits for the connection to open before its first call
    kBusy,        // sending the call or awaiting its answer
    kIdle,        // ready for another call
  };

  // How a call or an idle connection ended.
  struct Outcome {
    int status = kNoAnswer;  // an HTTP status, kNoAnswer or kNotSent
    std::string body;
    bool reusable = false;  // whether the connection can carry another call
  };

  // Receives the events of its connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    // The call of `connection`, or the connection itself if it was idle, has ended. Must call
    // Release() on a reusable connection and destroy any other.
    virtual void OnOutcome(HttpClientConnection& connection, Outcome outcome) = 0;
  };

  // Takes a socket that is connecting to `host`. `owner` must outlive the connection.
  HttpClientConnection(ev::loop_ref loop, UniqueFd socket, std::string_view host, Owner& owner);
  ~HttpClientConnection() = default;
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  // Sends `call` with the given `deadline`. Requires that no call is in progress.
  void Send(const Call& call, Micros deadline);
  // Ends the current call and makes the connection idle. Only for the owner, after a reusable
  // outcome.
  void Release(Micros now);

  [[nodiscard]] State state() const { return state_; }
  // Id of the current or last call.
  [[nodiscard]] uint64_t call_id() const { return call_id_; }
  // Whether the call, or connecting, has timed out.
  [[nodiscard]] bool IsOverdue(Micros now) const;
  // Whether it has been idle for too long.
  [[nodiscard]] bool IsExpired(Micros now) const;

 private:
  // These may end in a callback that destroys the connection.
  void OnReady(ev::io& watcher, int events);
  void FinishConnecting();
  void Read(bool writable);
  void Write();
  void Fail(int status) { owner_.OnOutcome(*this, {status, "", false}); }

  std::string host_;
  Owner& owner_;
  State state_ = State::kConnecting;
  uint64_t call_id_ = 0;
  Micros deadline_ = 0;
  Micros opened_;
  Micros idle_since_ = 0;
  WriteBuffer output_;
  http::Parser parser_;
  UniqueFd socket_;
  ev::io watcher_;  // declared after `socket_`: stopped before it is closed
};

// Name of the state for logs and test messages.
[[nodiscard]] std::string_view NameOf(HttpClientConnection::State state);

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_HTTP_CLIENT_CONNECTION_H_
