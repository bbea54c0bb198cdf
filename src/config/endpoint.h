// Network addresses in settings files and agent heartbeats.
#ifndef TROUTLINK_CONFIG_ENDPOINT_H_
#define TROUTLINK_CONFIG_ENDPOINT_H_

#include <optional>
#include <string>

namespace troutlink {

// TCP address to listen on or connect to.
struct Endpoint {
  std::string host;  // IPv4, dotted decimal
  int port = 0;      // 1 to 65535
  std::string text;  // as written
};

// Parses IPv4:port, with a decimal port of at most five digits.
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_ENDPOINT_H_
