#include "http/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace troutlink::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kVersion10 = "HTTP/1.0";
constexpr std::string_view kVersion11 = "HTTP/1.1";
// Statuses for refused messages.
constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;
// Maximum number of decimal digits; fits 32 bits.
constexpr size_t kMaxNumberDigits = 9;
// Maximum number of hexadecimal digits of a chunk size; fits 32 bits.
constexpr size_t kMaxChunkSizeDigits = 7;
// Maximum length of a chunk size line with its extensions.
constexpr size_t kMaxChunkLine = 64;
constexpr size_t kDecimal = 10;
constexpr int kHexadecimal = 16;
// Reserved for the head of a written message.
constexpr size_t kUsualHead = 128;

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, [](unsigned char left_char, unsigned char right_char) {
    return std::tolower(left_char) == std::tolower(right_char);
  });
}

// `text` without blanks and tabs at its ends.
std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// Whether `text` is a token (RFC 9110): a method or field name.
bool IsToken(std::string_view text) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::ranges::all_of(text, [&](char letter) {
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
           kPunctuation.find(letter) != std::string_view::npos;
  });
}

// Whether `target` is a path with an optional query, in visible ASCII only.
bool IsTarget(std::string_view target) {
  return target.starts_with('/') &&
         std::ranges::all_of(target, [](char letter) { return letter > ' ' && letter < '\x7f'; });
}

// Parses at most nine decimal digits: no sign, no overflow.
std::optional<size_t> ParseNumber(std::string_view text) {
  if (text.empty() || text.size() > kMaxNumberDigits) return std::nullopt;
  size_t number = 0;
  for (const char digit : text) {
    if (digit < '0' || digit > '9') return std::nullopt;
    number = number * kDecimal + static_cast<size_t>(digit - '0');
  }
  return number;
}

// Parses the hexadecimal chunk size, up to the end of the line or an extension.
std::optional<size_t> ParseChunkSize(std::string_view line) {
  const std::string_view digits = line.substr(0, line.find(';'));
  if (digits.empty() || digits.size() > kMaxChunkSizeDigits) return std::nullopt;
  size_t size = 0;
  const char* end = digits.data() + digits.size();
  const auto [parsed, error] = std::from_chars(digits.data(), end, size, kHexadecimal);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return size;
}

struct StatusPhrase {
  int status = 0;
  std::string_view phrase;
};

// Reason phrases of the statuses used by this program.
constexpr auto kReasonPhrases =
    std::to_array<StatusPhrase>({{200, "OK"},
                                 {201, "Created"},
                                 {400, "Bad Request"},
                                 {404, "Not Found"},
                                 {405, "Method Not Allowed"},
                                 {408, "Request Timeout"},
                                 {409, "Conflict"},
                                 {413, "Content Too Large"},
                                 {421, "Misdirected Request"},
                                 {422, "Unprocessable Content"},
                                 {429, "Too Many Requests"},
                                 {431, "Request Header Fields Too Large"},
                                 {501, "Not Implemented"},
                                 {503, "Service Unavailable"},
                                 {505, "HTTP Version Not Supported"}});

std::string_view ReasonPhrase(int status) {
  const auto* entry = std::ranges::find(kReasonPhrases, status, &StatusPhrase::status);
  return entry == kReasonPhrases.end() ? "Status" : entry->phrase;
}

}  // namespace

bool Parser::ParseStartLine(std::string_view line) {
  return kind_ == Kind::kRequest ? ParseRequestLine(line) : ParseStatusLine(line);
}

bool Parser::ParseRequestLine(std::string_view line) {
  const size_t method_end = line.find(' ');
  if (method_end == std::string_view::npos) return Refuse(kBadRequest);
  const size_t target_end = line.find(' ', method_end + 1);
  if (target_end == std::string_view::npos) return Refuse(kBadRequest);
  const std::string_view version = line.substr(target_end + 1);
  if (version != kVersion11 && version != kVersion10) {
    return Refuse(version.starts_with("HTTP/") ? kVersionNotSupported : kBadRequest);
  }
  head_.method = line.substr(0, method_end);
  head_.target = line.substr(method_end + 1, target_end - method_end - 1);
  head_.close = version == kVersion10;
  if (!IsToken(head_.method) || !IsTarget(head_.target)) return Refuse(kBadRequest);
  return true;
}

bool Parser::ParseStatusLine(std::string_view line) {
  constexpr size_t kStatusDigits = 3;
  constexpr size_t kLeastStatus = 100;
  const size_t version_end = line.find(' ');
  if (version_end == std::string_view::npos) return Refuse(kBadRequest);
  if (!line.starts_with("HTTP/1.")) return Refuse(kBadRequest);
  const std::optional<size_t> status = ParseNumber(line.substr(version_end + 1, kStatusDigits));
  if (!status || *status < kLeastStatus) return Refuse(kBadRequest);
  head_.status = static_cast<int>(*status);
  head_.close = line.substr(0, version_end) == kVersion10;
  return true;
}

bool Parser::ParseField(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return Refuse(kBadRequest);
  const std::string_view name = line.substr(0, colon);
  if (!IsToken(name)) return Refuse(kBadRequest);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (EqualsIgnoringCase(name, "content-length")) {
    const std::optional<size_t> length = ParseNumber(value);
    if (!length) return Refuse(kBadRequest);
    // Conflicting lengths allow request smuggling.
    if (content_length_ && *content_length_ != *length) return Refuse(kBadRequest);
    content_length_ = length;
  } else if (EqualsIgnoringCase(name, "transfer-encoding")) {
    if (!EqualsIgnoringCase(value, "chunked")) return Refuse(kNotImplemented);
    chunked_ = true;
  } else if (EqualsIgnoringCase(name, "connection")) {
    if (EqualsIgnoringCase(value, "close")) head_.close = true;
    if (EqualsIgnoringCase(value, "keep-alive")) head_.close = false;
  } else if (EqualsIgnoringCase(name, "retry-after")) {
    // The other form of this field, a date, is ignored.
    if (const std::optional<size_t> seconds = ParseNumber(value)) {
      head_.retry_after_s = static_cast<int>(*seconds);
    }
  }
  return true;
}

bool Parser::ParseHead(std::string_view head) {
  head_ = Message();
  chunked_ = false;
  content_length_.reset();
  size_t end = std::min(head.find(kLineEnd), head.size());
  if (!ParseStartLine(head.substr(0, end))) return false;
  while (end < head.size()) {
    head.remove_prefix(end + kLineEnd.size());
    end = std::min(head.find(kLineEnd), head.size());
    if (!ParseField(head.substr(0, end))) return false;
  }
  if (chunked_ && content_length_) return Refuse(kBadRequest);
  if (content_length_.value_or(0) > limits_.body) return Refuse(kContentTooLarge);
  return true;
}

Parser::State Parser::NextHead() {
  const size_t end = buffer_.find(kHeadEnd);
  if (end == std::string::npos && buffer_.size() <= limits_.head) return State::kMore;
  if (end == std::string::npos || end > limits_.head) return Fail(kHeadTooLarge);
  if (!ParseHead(std::string_view(buffer_).substr(0, end))) return State::kError;
  have_head_ = true;
  body_start_ = end + kHeadEnd.size();
  return State::kMessage;
}

Parser::State Parser::NextSizedBody(Message* out) {
  const size_t length = content_length_.value_or(0);
  if (buffer_.size() - body_start_ < length) return State::kMore;
  Complete(buffer_.substr(body_start_, length), body_start_ + length, out);
  return State::kMessage;
}

Parser::State Parser::NextChunkedBody(Message* out) {
  const std::string_view bytes = buffer_;
  std::string body;
  size_t position = body_start_;
  while (true) {
    const size_t line_end = bytes.find(kLineEnd, position);
    if (line_end == std::string_view::npos) {
      return bytes.size() - position > kMaxChunkLine ? Fail(kBadRequest) : State::kMore;
    }
    const std::optional<size_t> size = ParseChunkSize(bytes.substr(position, line_end - position));
    if (!size) return Fail(kBadRequest);
    if (body.size() + *size > limits_.body) return Fail(kContentTooLarge);
    const size_t data = line_end + kLineEnd.size();
    const size_t data_end = data + *size;
    if (bytes.size() < data_end + kLineEnd.size()) return State::kMore;
    if (bytes.substr(data_end, kLineEnd.size()) != kLineEnd) return Fail(kBadRequest);
    body.append(bytes.substr(data, *size));
    position = data_end + kLineEnd.size();
    if (*size == 0) break;
  }
  Complete(std::move(body), position, out);
  return State::kMessage;
}

void Parser::Complete(std::string body, size_t end, Message* out) {
  *out = std::move(head_);
  out->body = std::move(body);
  buffer_.erase(0, end);
  have_head_ = false;
}

Parser::State Parser::Next(Message* out) {
  if (!have_head_) {
    const State state = NextHead();
    if (state != State::kMessage) return state;
  }
  return chunked_ ? NextChunkedBody(out) : NextSizedBody(out);
}

std::string WriteRequest(std::string_view method, std::string_view target, std::string_view host,
                         std::string_view body) {
  std::string out;
  out.reserve(kUsualHead + target.size() + body.size());
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
  out.append("\r\nContent-Type: application/msgpack\r\nContent-Length: ");
  out.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return out;
}

std::string WriteResponse(int status, std::string_view body, bool close, int retry_after_s) {
  std::string out;
  out.reserve(kUsualHead + body.size());
  out.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(ReasonPhrase(status));
  out.append("\r\nContent-Type: application/msgpack\r\nContent-Length: ");
  out.append(std::to_string(body.size()));
  if (retry_after_s > 0) out.append("\r\nRetry-After: ").append(std::to_string(retry_after_s));
  if (close) out.append("\r\nConnection: close");
  out.append("\r\n\r\n").append(body);
  return out;
}

}  // namespace troutlink::http
