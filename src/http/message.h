// HTTP/1.1 messages (RFC 9112), an incremental parser for requests and responses, and
// writers for both. Nothing here does I/O: callers pass bytes in and out.
#ifndef TROUTLINK_HTTP_MESSAGE_H_
#define TROUTLINK_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
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

// The longest head (without the empty line that ends it) and body that a parser accepts, in
// bytes.
struct Limits {
  static constexpr size_t kDefaultHead = size_t{8} * 1024;
  static constexpr size_t kDefaultBody = size_t{64} * 1024;
  size_t head = kDefaultHead;
  size_t body = kDefaultBody;
};

// Takes bytes in pieces of any size and gives one message at a time. Bodies are as long as
// Content-Length says, or chunked without trailers; a message without either has no body.
class Parser {
 public:
  // Which direction the bytes are of.
  enum class Kind : uint8_t { kRequest, kResponse };
  // What the bytes so far hold.
  enum class State : uint8_t {
    kMore,     // not yet a whole message
    kMessage,  // a whole message
    kError,    // what is malformed, too long or not supported
  };

  // Accepts messages of `kind` up to `limits`.
  Parser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Appends bytes to parse. The caller bounds what it reads at a time.
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Tries to complete a message and writes it to `out` for kMessage. After kError the
  // connection must be closed.
  [[nodiscard]] State Next(Message* out);
  // After kError: the HTTP status that a server should answer.
  [[nodiscard]] int error_status() const { return error_status_; }
  // Whether no bytes wait to be parsed.
  [[nodiscard]] bool idle() const { return buffer_.empty(); }

 private:
  static constexpr int kDefaultErrorStatus = 400;

  // Each refuses what it reads with the status that a server should answer.
  State Fail(int status) {
    error_status_ = status;
    return State::kError;
  }
  bool Refuse(int status) {
    error_status_ = status;
    return false;
  }

  // Read parts of the head into `head_`, `content_length_` and `chunked_`; false when the part
  // is refused.
  bool ParseHead(std::string_view head);
  bool ParseStartLine(std::string_view line);
  bool ParseRequestLine(std::string_view line);
  bool ParseStatusLine(std::string_view line);
  bool ParseField(std::string_view line);

  // kMessage when the head is complete, and good.
  State NextHead();
  // Complete the message whose head was read.
  State NextSizedBody(Message* out);
  State NextChunkedBody(Message* out);
  // Gives the message with `body` and drops its bytes, which end at `end`.
  void Complete(std::string body, size_t end, Message* out);

  Kind kind_;
  Limits limits_;
  std::string buffer_;  // bytes from the start of the message in progress
  bool have_head_ = false;
  // Of the head, once it was read.
  Message head_;
  std::optional<size_t> content_length_;
  bool chunked_ = false;
  size_t body_start_ = 0;  // where the body begins in `buffer_`
  int error_status_ = kDefaultErrorStatus;
};

// A request with a MessagePack body, ready to send.
[[nodiscard]] std::string WriteRequest(std::string_view method, std::string_view target,
                                       std::string_view host, std::string_view body);
// A response with a MessagePack body, ready to send. `close` announces that the connection
// will be closed after it; `retry_after_s` 0 leaves out Retry-After.
[[nodiscard]] std::string WriteResponse(int status, std::string_view body, bool close,
                                        int retry_after_s);

}  // namespace troutlink::http

#endif  // TROUTLINK_HTTP_MESSAGE_H_
