#include "config/endpoint.h"

#include <arpa/inet.h>

#include <optional>
#include <string>
#include <string_view>

namespace troutlink {
namespace {

constexpr size_t kMaxPortDigits = 5;
constexpr int kMaxPort = 65535;
constexpr int kDecimal = 10;

bool IsIpv4(const std::string& host) {
  in_addr address{};
  return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

// A port from 1 to kMaxPort, if `text` is one.
std::optional<int> ParsePort(std::string_view text) {
  if (text.size() > kMaxPortDigits) return std::nullopt;
  int port = 0;
  for (const char digit : text) {
    if (digit < '0' || digit > '9') return std::nullopt;
    port = port * kDecimal + (digit - '0');
  }
  if (port < 1 || port > kMaxPort) return std::nullopt;
  return port;
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const std::string host = text.substr(0, colon);
  const std::optional<int> port = ParsePort(std::string_view(text).substr(colon + 1));
  if (!port || !IsIpv4(host)) return std::nullopt;
  return Endpoint{.host = host, .port = *port, .text = text};
}

}  // namespace troutlink
