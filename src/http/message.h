// HTTP/1.1 messages and an incremental parser for both directions.
#ifndef TROUTLINK_HTTP_MESSAGE_H_
#define TROUTLINK_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace troutlink::http {

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

struct Limits {
  size_t head = size_t{8} * 1024;
  size_t body = size_t{64} * 1024;
};

// Feeds on bytes in pieces of any size and yields one message at a time.
class Parser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kMore, kMessage, kError };

  Parser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Appends bytes. The caller bounds what it reads at a time.
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Tries to complete a message. After kError the connection is of no use;
  // `error_status()` is what a server should answer.
  State Next(Message* out);
  int error_status() const { return error_status_; }
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

std::string WriteRequest(std::string_view method, std::string_view target, std::string_view host,
                         std::string_view body);
std::string WriteResponse(int status, std::string_view body, bool close, int retry_after_s);

}  // namespace troutlink::http

#endif  // TROUTLINK_HTTP_MESSAGE_H_
