// HTTP/1.1 messages (RFC 9112): an incremental parser for requests and responses, and writers. Does
// no I/O.
#ifndef TROUTLINK_HTTP_MESSAGE_H_
#define TROUTLINK_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace troutlink::http {

// A request or response. Fields of the other kind keep their defaults.
struct Message {
  // Requests.
  std::string method;
  std::string target;  // path and query as sent
  // Responses.
  int status = 0;
  // Both.
  std::string body;
  bool close = false;     // the sender requested to close the connection
  int retry_after_s = 0;  // responses: Retry-After
};

// Maximum length in bytes of the head (without the empty line) and of the body.
struct Limits {
  static constexpr size_t kDefaultHead = size_t{8} * 1024;
  static constexpr size_t kDefaultBody = size_t{64} * 1024;
  size_t head = kDefaultHead;
  size_t body = kDefaultBody;
};

// Accepts bytes in pieces of any size and returns one message at a time. A body has the length of
// Content-Length or is chunked without trailers; a message without either has no body.
class Parser {
 public:
  // Kind of messages to parse.
  enum class Kind : uint8_t { kRequest, kResponse };
  // Result of Parse().
  enum class State : uint8_t {
    kMore,     // incomplete
    kMessage,  // complete
    kError,    // malformed, too long or unsupported
  };

  // Accepts messages of `kind` up to `limits`.
  Parser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Appends bytes to parse. The caller limits how much it reads at a time.
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Tries to complete a message; sets `out` for kMessage. After kError the connection must be
  // closed.
  [[nodiscard]] State Next(Message* out);
  // After kError: the HTTP status for a server to answer.
  [[nodiscard]] int error_status() const { return error_status_; }
  // Whether no unparsed bytes are buffered.
  [[nodiscard]] bool idle() const { return buffer_.empty(); }

 private:
  static constexpr int kDefaultErrorStatus = 400;

  // Set the status for a refused message.
  State Fail(int status) {
    error_status_ = status;
    return State::kError;
  }
  bool Refuse(int status) {
    error_status_ = status;
    return false;
  }

  // Parse parts of the head into `head_`, `content_length_` and `chunked_`. Return false if the
  // part is refused.
  bool ParseHead(std::string_view head);
  bool ParseStartLine(std::string_view line);
  bool ParseRequestLine(std::string_view line);
  bool ParseStatusLine(std::string_view line);
  bool ParseField(std::string_view line);

  // Returns kMessage if the head is complete and valid.
  State NextHead();
  // Complete the message whose head was parsed.
  State NextSizedBody(Message* out);
  State NextChunkedBody(Message* out);
  // Returns the message with `body` and drops its bytes, which end at `end`.
  void Complete(std::string body, size_t end, Message* out);

  Kind kind_;
  Limits limits_;
  std::string buffer_;  // starts with the current message
  bool have_head_ = false;
  // Set once the head was parsed.
  Message head_;
  std::optional<size_t> content_length_;
  bool chunked_ = false;
  size_t body_start_ = 0;  // start of the body in `buffer_`
  int error_status_ = kDefaultErrorStatus;
};

// Formats a request with a MessagePack body.
[[nodiscard]] std::string WriteRequest(std::string_view method, std::string_view target,
                                       std::string_view host, std::string_view body);
// Formats a response with a MessagePack body. `close` announces that the connection will be closed
// after it. No Retry-After if `retry_after_s` is 0.
[[nodiscard]] std::string WriteResponse(int status, std::string_view body, bool close,
                                        int retry_after_s);

}  // namespace troutlink::http

#endif  // TROUTLINK_HTTP_MESSAGE_H_
