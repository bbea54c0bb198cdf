// Names used by several packages: the form of job ids, and a hash of machine names
// that every controller computes alike.
#ifndef TROUTLINK_BASE_IDS_H_
#define TROUTLINK_BASE_IDS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace troutlink {

// Hash of `text` (FNV-1a, mixed): equal on every node and release, unlike std::hash.
inline uint64_t StableHash(std::string_view text) {
  uint64_t hash = 14695981039346656037ull;
  for (unsigned char byte : text) {
    hash ^= byte;
    hash *= 1099511628211ull;
  }
  // FNV's low bits of short names are poorly mixed; fold the high ones in.
  hash ^= hash >> 32;
  hash *= 0x9E3779B97F4A7C15ull;
  return hash ^ (hash >> 29);
}

// Every job id starts with this.
inline constexpr std::string_view kJobPrefix = "job-";

// Whether `id` is a job id: `job-` and 1 to 32 decimal digits.
inline bool IsJobId(std::string_view id) {
  if (id.substr(0, kJobPrefix.size()) != kJobPrefix) return false;
  std::string_view digits = id.substr(kJobPrefix.size());
  if (digits.empty() || digits.size() > 32) return false;
  for (char digit : digits) {
    if (digit < '0' || digit > '9') return false;
  }
  return true;
}

}  // namespace troutlink

#endif  // TROUTLINK_BASE_IDS_H_
