// One outgoing HTTP connection: the socket, its watcher and the call that it carries.
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

// Carries one call at a time. It is created for a call, which Send() gives it at once, and
// may carry others after it. To be used on the loop's thread.
class HttpClientConnection {
 public:
  // What it is occupied with.
  enum class State {
    kConnecting,  // its first call waits until the connection is open
    kBusy,        // the call is being sent or its answer awaited
    kIdle,        // ready for another call
  };

  // How a call, or an idle connection, ended.
  struct Outcome {
    int status = kNoAnswer;  // an HTTP status, kNoAnswer or kNotSent
    std::string body;
    bool reusable = false;  // whether the connection can carry another call
  };

  // Is told what happens on its connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    // The call of `connection` ended or, if it was idle, the connection itself. Must call
    // Release() on a connection that can be reused and destroy any other.
    virtual void OnOutcome(HttpClientConnection& connection, Outcome outcome) = 0;
  };

  // Takes a socket that is connecting to `host`. `owner` must outlive it.
  HttpClientConnection(ev::loop_ref loop, UniqueFd socket, std::string_view host, Owner& owner);
  ~HttpClientConnection() = default;
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  // Sends `call`, to be answered until `deadline`; requires that it carries none.
  void Send(const Call& call, Micros deadline);
  // Ends the present call and makes the connection idle as of `now`. Only for the owner, after
  // an outcome that lets it be reused.
  void Release(Micros now);

  [[nodiscard]] State state() const { return state_; }
  // The id of the present call, or of the last one.
  [[nodiscard]] uint64_t call_id() const { return call_id_; }
  // Whether its call has run out of time, or connecting has.
  [[nodiscard]] bool IsOverdue(Micros now) const;
  // Whether it has been idle for so long that it is to be closed.
  [[nodiscard]] bool IsExpired(Micros now) const;

 private:
  // These may end with a call of the owner, which may destroy the connection.
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
  ev::io watcher_;  // after `socket_`: stopped before it is closed
};

// The state's name in logs and test messages.
[[nodiscard]] std::string_view NameOf(HttpClientConnection::State state);

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_HTTP_CLIENT_CONNECTION_H_
