#include "http/message.h"

#include <algorithm>
#include <cctype>

namespace troutlink::http {
namespace {

bool EqualsNoCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](char left_char, char right_char) {
           return std::tolower(static_cast<unsigned char>(left_char)) ==
                  std::tolower(static_cast<unsigned char>(right_char));
         });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool IsToken(std::string_view text) {
  if (text.empty()) return false;
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return std::isalnum(static_cast<unsigned char>(letter)) ||
           std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
  });
}

// Decimal digits only, at most nine of them: no sign, no overflow.
bool ParseNumber(std::string_view text, size_t* out) {
  if (text.empty() || text.size() > 9) return false;
  size_t number = 0;
  for (char digit : text) {
    if (digit < '0' || digit > '9') return false;
    number = number * 10 + static_cast<size_t>(digit - '0');
  }
  *out = number;
  return true;
}

std::string_view Reason(int status) {
  switch (status) {
    case 200: return "OK";
    case 201: return "Created";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 421: return "Misdirected Request";
    case 422: return "Unprocessable Content";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 501: return "Not Implemented";
    case 503: return "Service Unavailable";
    case 505: return "HTTP Version Not Supported";
    default: return "Status";
  }
}

}  // namespace

bool Parser::ParseStartLine(std::string_view line) {
  size_t first_space = line.find(' ');
  if (first_space == std::string_view::npos) return false;
  if (kind_ == Kind::kRequest) {
    size_t second_space = line.find(' ', first_space + 1);
    if (second_space == std::string_view::npos) return false;
    std::string_view version = line.substr(second_space + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
      error_status_ = version.substr(0, 5) == "HTTP/" ? 505 : 400;
      return false;
    }
    head_.method = line.substr(0, first_space);
    head_.target = line.substr(first_space + 1, second_space - first_space - 1);
    head_.close = version == "HTTP/1.0";
    if (!IsToken(head_.method)) return false;
    if (head_.target.empty() || head_.target[0] != '/') return false;
    return std::all_of(head_.target.begin(), head_.target.end(),
                       [](char letter) { return letter > 0x20 && letter < 0x7f; });
  }
  if (line.substr(0, 7) != "HTTP/1.") return false;
  size_t status = 0;
  if (!ParseNumber(line.substr(first_space + 1, 3), &status) || status < 100) return false;
  head_.status = static_cast<int>(status);
  head_.close = line.substr(0, first_space) == "HTTP/1.0";
  return true;
}

Parser::State Parser::ParseHead(size_t head_end) {
  head_ = Message();
  error_status_ = 400;
  std::string_view head(buffer_.data(), head_end);
  size_t eol = head.find("\r\n");
  std::string_view first = head.substr(0, eol);
  if (!ParseStartLine(first)) return State::kError;
  bool have_length = false;
  chunked_ = false;
  body_len_ = 0;
  size_t pos = eol == std::string_view::npos ? head.size() : eol + 2;
  while (pos < head.size()) {
    size_t end = head.find("\r\n", pos);
    if (end == std::string_view::npos) end = head.size();
    std::string_view line = head.substr(pos, end - pos);
    pos = end + 2;
    size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) return Fail(400);
    std::string_view name = line.substr(0, colon);
    std::string_view value = Trim(line.substr(colon + 1));
    if (EqualsNoCase(name, "content-length")) {
      size_t number = 0;
      if (!ParseNumber(value, &number)) return Fail(400);
      // Two differing lengths are how requests get smuggled past a proxy.
      if (have_length && number != body_len_) return Fail(400);
      have_length = true;
      body_len_ = number;
    } else if (EqualsNoCase(name, "transfer-encoding")) {
      if (!EqualsNoCase(value, "chunked")) return Fail(501);
      chunked_ = true;
    } else if (EqualsNoCase(name, "connection")) {
      if (EqualsNoCase(value, "close")) head_.close = true;
      if (EqualsNoCase(value, "keep-alive")) head_.close = false;
    } else if (EqualsNoCase(name, "retry-after")) {
      size_t number = 0;
      if (ParseNumber(value, &number)) head_.retry_after_s = static_cast<int>(number);
    }
  }
  if (chunked_ && have_length) return Fail(400);
  if (body_len_ > limits_.body) return Fail(413);
  return State::kMessage;
}

Parser::State Parser::Next(Message* out) {
  if (!have_head_) {
    size_t end = buffer_.find("\r\n\r\n");
    if (end == std::string::npos) {
      return buffer_.size() > limits_.head ? Fail(431) : State::kMore;
    }
    if (end > limits_.head) return Fail(431);
    if (ParseHead(end) == State::kError) return State::kError;
    have_head_ = true;
    body_start_ = end + 4;
  }
  if (!chunked_) {
    if (buffer_.size() - body_start_ < body_len_) return State::kMore;
    *out = std::move(head_);
    out->body = buffer_.substr(body_start_, body_len_);
    buffer_.erase(0, body_start_ + body_len_);
    have_head_ = false;
    return State::kMessage;
  }
  std::string body;
  size_t pos = body_start_;
  while (true) {
    size_t eol = buffer_.find("\r\n", pos);
    if (eol == std::string::npos) {
      return buffer_.size() - pos > 64 ? Fail(400) : State::kMore;
    }
    size_t len = 0;
    size_t digits = 0;
    for (size_t index = pos; index < eol && buffer_[index] != ';'; ++index, ++digits) {
      unsigned char digit = static_cast<unsigned char>(buffer_[index]);
      if (!std::isxdigit(digit) || digits >= 7) return Fail(400);
      len = len * 16 +
            static_cast<size_t>(std::isdigit(digit) ? digit - '0' : std::tolower(digit) - 'a' + 10);
    }
    if (digits == 0) return Fail(400);
    if (body.size() + len > limits_.body) return Fail(413);
    if (buffer_.size() < eol + 2 + len + 2) return State::kMore;
    if (buffer_.compare(eol + 2 + len, 2, "\r\n") != 0) return Fail(400);
    body.append(buffer_, eol + 2, len);
    pos = eol + 2 + len + 2;
    if (len == 0) break;
  }
  *out = std::move(head_);
  out->body = std::move(body);
  buffer_.erase(0, pos);
  have_head_ = false;
  return State::kMessage;
}

std::string WriteRequest(std::string_view method, std::string_view target, std::string_view host,
                         std::string_view body) {
  std::string out;
  out.reserve(128 + target.size() + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
  out.append("\r\nContent-Type: application/msgpack\r\nContent-Length: ");
  out.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return out;
}

std::string WriteResponse(int status, std::string_view body, bool close, int retry_after_s) {
  std::string out;
  out.reserve(128 + body.size());
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(Reason(status));
  out.append("\r\nContent-Type: application/msgpack\r\nContent-Length: ");
  out.append(std::to_string(body.size()));
  if (retry_after_s > 0) out.append("\r\nRetry-After: ").append(std::to_string(retry_after_s));
  if (close) out.append("\r\nConnection: close");
  out.append("\r\n\r\n").append(body);
  return out;
}

}  // namespace troutlink::http
