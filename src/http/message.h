// HTTP/1.1 messages, an incremental parser for requests and responses, and writers
// for both. Nothing here does I/O: callers pass bytes in and out.
#ifndef TROUTLINK_HTTP_MESSAGE_H_
#define TROUTLINK_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace troutlink::http {

// One request or response; fields of the other direction keep their defaults.
struct Message {
  // Requests.
  std::string method;
  std::string target;  // path and query as sent
  // Responses.
  int status = 0;
  // Both.
  std::string body;
  bool close = false;     // the sender asked for the connection to be closed
  int retry_after_s = 0;  // responses: Retry-After
};

// The longest head and body that a parser accepts, in bytes.
struct Limits {
  size_t head = size_t{8} * 1024;
  size_t body = size_t{64} * 1024;
};

// Takes bytes in pieces of any size and gives one message at a time.
class Parser {
 public:
  // Which direction the bytes are of.
  enum class Kind { kRequest, kResponse };
  // More bytes are needed; a message is complete; the bytes are not acceptable.
  enum class State { kMore, kMessage, kError };

  // Accepts messages of `kind` up to `limits`.
  Parser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Appends bytes to parse. The caller bounds what it reads at a time.
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Tries to complete a message and writes it to `out` for kMessage. After kError the
  // connection must be closed.
  State Next(Message* out);
  // After kError: the status that a server should answer.
  int error_status() const { return error_status_; }
  // Whether no bytes wait to be parsed.
  bool idle() const { return buffer_.empty(); }

 private:
  State Fail(int status) {
    error_status_ = status;
    return State::kError;
  }
  State ParseHead(size_t head_end);
  bool ParseStartLine(std::string_view line);

  Kind kind_;
  Limits limits_;
  std::string buffer_;
  bool have_head_ = false;
  bool chunked_ = false;
  size_t body_start_ = 0;
  size_t body_len_ = 0;
  Message head_;
  int error_status_ = 400;
};

// A request with a MessagePack body, ready to send.
std::string WriteRequest(std::string_view method, std::string_view target, std::string_view host,
                         std::string_view body);
// A response with a MessagePack body, ready to send; `retry_after_s` 0 leaves out
// Retry-After.
std::string WriteResponse(int status, std::string_view body, bool close, int retry_after_s);

}  // namespace troutlink::http

#endif  // TROUTLINK_HTTP_MESSAGE_H_
