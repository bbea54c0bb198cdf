// Varints as printable text, for records stored as text: each character holds five bits of the
// number, least significant first, and a continuation bit.
#ifndef TROUTLINK_BASE_DIGITS_H_
#define TROUTLINK_BASE_DIGITS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace troutlink {

// Character for each value from 0 to 63: the alphabet of base64url (RFC 4648).
inline constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
// Payload bits per character.
inline constexpr int kDigitBits = 5;
// Payload of a character's value.
inline constexpr uint64_t kDigitMask = 31;
// Continuation bit of a character's value.
inline constexpr uint64_t kMoreDigits = 32;

// Appends `value` to `out`.
inline void AppendTextVarint(std::string* out, uint64_t value) {
  while (value > kDigitMask) {
    out->push_back(kDigits[(value & kDigitMask) | kMoreDigits]);
    value >>= kDigitBits;
  }
  out->push_back(kDigits[value]);
}

// Index of `letter` in kDigits, if any.
constexpr std::optional<uint64_t> DigitValue(char letter) {
  if (letter >= 'A' && letter <= 'Z') return static_cast<uint64_t>(letter - 'A');
  if (letter >= 'a' && letter <= 'z') return static_cast<uint64_t>(letter - 'a') + 26;
  if (letter >= '0' && letter <= '9') return static_cast<uint64_t>(letter - '0') + 52;
  if (letter == '-') return 62;
  if (letter == '_') return 63;
  return std::nullopt;
}

// Reads a number from the front of `in` and advances it. Returns false if `in` ends early or the
// number exceeds 64 bits.
inline bool ReadTextVarint(std::string_view* in, uint64_t* value) {
  // The thirteenth character holds the last four of the 64 bits.
  constexpr int kLastShift = 60;
  constexpr uint64_t kMaxLast = 15;
  *value = 0;
  for (int shift = 0; !in->empty(); shift += kDigitBits) {
    const std::optional<uint64_t> digit = DigitValue(in->front());
    in->remove_prefix(1);
    if (!digit || shift > kLastShift) return false;
    const uint64_t bits = *digit & kDigitMask;
    if (shift == kLastShift && bits > kMaxLast) return false;
    *value |= bits << shift;
    if ((*digit & kMoreDigits) == 0) return true;
  }
  return false;
}

// Appends the length of `text` and `text` itself to `out`.
inline void AppendSizedText(std::string* out, std::string_view text) {
  AppendTextVarint(out, text.size());
  out->append(text);
}

// Reads the output of AppendSizedText() and advances `in`. Returns false if `in` ends early.
inline bool ReadSizedText(std::string_view* in, std::string* text) {
  uint64_t size = 0;
  if (!ReadTextVarint(in, &size) || size > in->size()) return false;
  text->assign(in->substr(0, size));
  in->remove_prefix(size);
  return true;
}

}  // namespace troutlink

#endif  // TROUTLINK_BASE_DIGITS_H_
