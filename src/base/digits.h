// Varints as printable text, for values that a store counts as text: five bits
// a character, the sixth says that more follow.
#ifndef TROUTLINK_BASE_DIGITS_H_
#define TROUTLINK_BASE_DIGITS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace troutlink {

inline constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

inline void PutDigits(std::string* out, uint64_t v) {
  while (v >= 32) {
    out->push_back(kDigits[(v & 31) | 32]);
    v >>= 5;
  }
  out->push_back(kDigits[v]);
}

// Advances `in`; false when it ends early or is no number of 64 bits.
inline bool GetDigits(std::string_view* in, uint64_t* v) {
  *v = 0;
  for (int shift = 0; !in->empty(); shift += 5) {
    char c = in->front();
    in->remove_prefix(1);
    uint64_t d;
    if (c >= 'A' && c <= 'Z') {
      d = static_cast<uint64_t>(c - 'A');
    } else if (c >= 'a' && c <= 'z') {
      d = static_cast<uint64_t>(c - 'a') + 26;
    } else if (c >= '0' && c <= '9') {
      d = static_cast<uint64_t>(c - '0') + 52;
    } else if (c == '-' || c == '_') {
      d = c == '-' ? 62 : 63;
    } else {
      return false;
    }
    if (shift >= 65 || (shift == 60 && (d & 31) > 15)) return false;
    *v |= (d & 31) << shift;
    if ((d & 32) == 0) return true;
  }
  return false;
}

inline void PutTextDigits(std::string* out, std::string_view s) {
  PutDigits(out, s.size());
  out->append(s);
}
inline bool GetTextDigits(std::string_view* in, std::string* s) {
  uint64_t n = 0;
  if (!GetDigits(in, &n) || n > in->size()) return false;
  s->assign(in->substr(0, n));
  in->remove_prefix(n);
  return true;
}

}  // namespace troutlink

#endif  // TROUTLINK_BASE_DIGITS_H_
