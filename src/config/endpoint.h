// Network addresses as they are written in settings files and in the reports of workers.
#ifndef TROUTLINK_CONFIG_ENDPOINT_H_
#define TROUTLINK_CONFIG_ENDPOINT_H_

#include <optional>
#include <string>

namespace troutlink {

// A TCP address to listen at or connect to.
struct Endpoint {
  std::string host;  // IPv4, dotted decimal
  int port = 0;      // 1 to 65535
  std::string text;  // as written
};

// The address in a text of the form IPv4:port, with a decimal port of at most five digits;
// nothing for any other text.
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_ENDPOINT_H_
