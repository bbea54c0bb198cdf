// Distribution of a controller's file descriptors.
#ifndef TROUTLINK_RUNTIME_SOCKET_BUDGET_H_
#define TROUTLINK_RUNTIME_SOCKET_BUDGET_H_

#include <algorithm>
#include <cstddef>

namespace troutlink::runtime {

// Maximum numbers of connections. Together they stay within the limit of file descriptors unless it
// is below the minimum of each.
struct SocketBudget {
  size_t incoming = 0;    // from users and agents, to the HTTP server
  size_t to_workers = 0;  // from the HTTP client
};

// Descriptors reserved for the key-value store, the cloud, the peers and the event loop.
inline constexpr int kReservedDescriptors = 64;

// The budget of a process that may open `descriptor_limit` file descriptors. Most are for incoming
// connections, as all agents may come to one controller when the others are down; commands to
// agents are short and share a sixth.
[[nodiscard]] constexpr SocketBudget BudgetOf(int descriptor_limit) {
  constexpr int kWorkerFraction = 6;
  constexpr int kMinToWorkers = 4;
  constexpr int kMinIncoming = 16;
  const int to_workers = std::max(kMinToWorkers, descriptor_limit / kWorkerFraction);
  const int incoming = std::max(kMinIncoming, descriptor_limit - to_workers - kReservedDescriptors);
  return {static_cast<size_t>(incoming), static_cast<size_t>(to_workers)};
}

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_SOCKET_BUDGET_H_
