// Tables of the words for the values of an enum on the wire.
#ifndef TROUTLINK_WIRE_WORDS_H_
#define TROUTLINK_WIRE_WORDS_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace troutlink::wire {

// A value and its word.
template <typename Enum>
struct EnumWord {
  Enum value;
  std::string_view word;
};

// Words of an enum. A value may have several; the first one is written.
template <typename Enum, size_t Size>
using WordTable = std::array<EnumWord<Enum>, Size>;

// Value for `word`, if any.
template <typename Enum, size_t Size>
constexpr std::optional<Enum> ParseWord(const WordTable<Enum, Size>& table, std::string_view word) {
  for (const EnumWord<Enum>& entry : table) {
    if (entry.word == word) return entry.value;
  }
  return std::nullopt;
}

// Word to write for `value`; empty if the table lacks it.
template <typename Enum, size_t Size>
constexpr std::string_view WordOf(const WordTable<Enum, Size>& table, Enum value) {
  for (const EnumWord<Enum>& entry : table) {
    if (entry.value == value) return entry.word;
  }
  return {};
}

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_WORDS_H_
