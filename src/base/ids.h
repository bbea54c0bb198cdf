// Names used across packages: job ids and stable hashing of machine names.
#ifndef TROUTLINK_BASE_IDS_H_
#define TROUTLINK_BASE_IDS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace troutlink {

// FNV-1a: the same on every node and release, which std::hash is not.
inline uint64_t StableHash(std::string_view text) {
  uint64_t h = 14695981039346656037ull;
  for (unsigned char c : text) {
    h ^= c;
    h *= 1099511628211ull;
  }
  // FNV's low bits of short names are poorly mixed; fold the high ones in.
  h ^= h >> 32;
  h *= 0x9E3779B97F4A7C15ull;
  return h ^ (h >> 29);
}

inline constexpr std::string_view kJobPrefix = "job-";

// Job ids are `job-` and 1 to 32 decimal digits.
inline bool IsJobId(std::string_view id) {
  if (id.substr(0, kJobPrefix.size()) != kJobPrefix) return false;
  std::string_view digits = id.substr(kJobPrefix.size());
  if (digits.empty() || digits.size() > 32) return false;
  for (char c : digits) {
    if (c < '0' || c > '9') return false;
  }
  return true;
}

}  // namespace troutlink

#endif  // TROUTLINK_BASE_IDS_H_
