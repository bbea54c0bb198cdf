#include "http/message.h"

#include <algorithm>
#include <cctype>

namespace troutlink::http {
namespace {

bool EqualsNoCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

std::string_view Trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool IsToken(std::string_view s) {
  if (s.empty()) return false;
  return std::all_of(s.begin(), s.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

// Decimal digits only, at most nine of them: no sign, no overflow.
bool ParseNumber(std::string_view s, size_t* out) {
  if (s.empty() || s.size() > 9) return false;
  size_t n = 0;
  for (char c : s) {
    if (c < '0' || c > '9') return false;
    n = n * 10 + static_cast<size_t>(c - '0');
  }
  *out = n;
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
  size_t a = line.find(' ');
  if (a == std::string_view::npos) return false;
  if (kind_ == Kind::kRequest) {
    size_t b = line.find(' ', a + 1);
    if (b == std::string_view::npos) return false;
    std::string_view version = line.substr(b + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") {
      error_status_ = version.substr(0, 5) == "HTTP/" ? 505 : 400;
      return false;
    }
    head_.method = line.substr(0, a);
    head_.target = line.substr(a + 1, b - a - 1);
    head_.close = version == "HTTP/1.0";
    if (!IsToken(head_.method)) return false;
    if (head_.target.empty() || head_.target[0] != '/') return false;
    return std::all_of(head_.target.begin(), head_.target.end(),
                       [](char c) { return c > 0x20 && c < 0x7f; });
  }
  if (line.substr(0, 7) != "HTTP/1.") return false;
  size_t status = 0;
  if (!ParseNumber(line.substr(a + 1, 3), &status) || status < 100) return false;
  head_.status = static_cast<int>(status);
  head_.close = line.substr(0, a) == "HTTP/1.0";
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
      size_t n = 0;
      if (!ParseNumber(value, &n)) return Fail(400);
      // Two differing lengths are how requests get smuggled past a proxy.
      if (have_length && n != body_len_) return Fail(400);
      have_length = true;
      body_len_ = n;
    } else if (EqualsNoCase(name, "transfer-encoding")) {
      if (!EqualsNoCase(value, "chunked")) return Fail(501);
      chunked_ = true;
    } else if (EqualsNoCase(name, "connection")) {
      if (EqualsNoCase(value, "close")) head_.close = true;
      if (EqualsNoCase(value, "keep-alive")) head_.close = false;
    } else if (EqualsNoCase(name, "retry-after")) {
      size_t n = 0;
      if (ParseNumber(value, &n)) head_.retry_after_s = static_cast<int>(n);
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
    for (size_t i = pos; i < eol && buffer_[i] != ';'; ++i, ++digits) {
      unsigned char c = static_cast<unsigned char>(buffer_[i]);
      if (!std::isxdigit(c) || digits >= 7) return Fail(400);
      len = len * 16 + static_cast<size_t>(std::isdigit(c) ? c - '0' : std::tolower(c) - 'a' + 10);
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
