// Varints as printable text, for values that are stored as text: each character
// holds five bits of the number, least significant first, and a sixth bit that says
// whether more follow.
#ifndef TROUTLINK_BASE_DIGITS_H_
#define TROUTLINK_BASE_DIGITS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace troutlink {

// The character for each value from 0 to 63.
inline constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

// Appends `value` to `out`.
inline void PutDigits(std::string* out, uint64_t value) {
  while (value >= 32) {
    out->push_back(kDigits[(value & 31) | 32]);
    value >>= 5;
  }
  out->push_back(kDigits[value]);
}

// Reads a number from the front of `in` and advances it; false when `in` ends early
// or does not hold a number of 64 bits.
inline bool GetDigits(std::string_view* in, uint64_t* value) {
  *value = 0;
  for (int shift = 0; !in->empty(); shift += 5) {
    char letter = in->front();
    in->remove_prefix(1);
    uint64_t digit;
    if (letter >= 'A' && letter <= 'Z') {
      digit = static_cast<uint64_t>(letter - 'A');
    } else if (letter >= 'a' && letter <= 'z') {
      digit = static_cast<uint64_t>(letter - 'a') + 26;
    } else if (letter >= '0' && letter <= '9') {
      digit = static_cast<uint64_t>(letter - '0') + 52;
    } else if (letter == '-' || letter == '_') {
      digit = letter == '-' ? 62 : 63;
    } else {
      return false;
    }
    if (shift >= 65 || (shift == 60 && (digit & 31) > 15)) return false;
    *value |= (digit & 31) << shift;
    if ((digit & 32) == 0) return true;
  }
  return false;
}

// Appends the length of `text` and `text` itself to `out`.
inline void PutTextDigits(std::string* out, std::string_view text) {
  PutDigits(out, text.size());
  out->append(text);
}

// Reads what PutTextDigits() wrote and advances `in`; false when `in` ends early.
inline bool GetTextDigits(std::string_view* in, std::string* text) {
  uint64_t size = 0;
  if (!GetDigits(in, &size) || size > in->size()) return false;
  text->assign(in->substr(0, size));
  in->remove_prefix(size);
  return true;
}

}  // namespace troutlink

#endif  // TROUTLINK_BASE_DIGITS_H_
