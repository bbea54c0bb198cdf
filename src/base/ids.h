// Format of job ids, and a hash that is the same on every controller.
#ifndef TROUTLINK_BASE_IDS_H_
#define TROUTLINK_BASE_IDS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace troutlink {

// Hash of `text` (FNV-1a, then mixed). Unlike std::hash, it is equal on every node and in every
// release.
constexpr uint64_t StableHash(std::string_view text) {
  constexpr uint64_t kFnvOffsetBasis = 14695981039346656037ULL;
  constexpr uint64_t kFnvPrime = 1099511628211ULL;
  constexpr uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;  // of 2^64, for Fibonacci hashing
  uint64_t hash = kFnvOffsetBasis;
  for (const char letter : text) {
    hash ^= static_cast<unsigned char>(letter);
    hash *= kFnvPrime;
  }
  // FNV mixes the low bits of short names poorly: fold in the high bits, twice.
  constexpr int kFirstFold = 32;
  constexpr int kSecondFold = 29;
  hash ^= hash >> kFirstFold;
  hash *= kGoldenRatio;
  return hash ^ (hash >> kSecondFold);
}

// Prefix of every job id.
inline constexpr std::string_view kJobPrefix = "job-";
// Maximum number of decimal digits after the prefix.
inline constexpr size_t kMaxJobDigits = 32;

// Whether `id` is a job id: `job-` and 1 to 32 decimal digits.
constexpr bool IsJobId(std::string_view id) {
  if (!id.starts_with(kJobPrefix)) return false;
  const std::string_view digits = id.substr(kJobPrefix.size());
  return !digits.empty() && digits.size() <= kMaxJobDigits &&
         digits.find_first_not_of("0123456789") == std::string_view::npos;
}

}  // namespace troutlink

#endif  // TROUTLINK_BASE_IDS_H_
