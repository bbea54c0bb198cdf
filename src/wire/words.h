// Tables of the words by which an interface names the values of an enum.
#ifndef TROUTLINK_WIRE_WORDS_H_
#define TROUTLINK_WIRE_WORDS_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace troutlink::wire {

// A value and a word for it.
template <typename Enum>
struct EnumWord {
  Enum value;
  std::string_view word;
};

// The words of an enum. A value may have several: the first is the one that is written.
template <typename Enum, size_t Size>
using WordTable = std::array<EnumWord<Enum>, Size>;

// The value that `word` names; nothing for an unknown word.
template <typename Enum, size_t Size>
constexpr std::optional<Enum> ParseWord(const WordTable<Enum, Size>& table, std::string_view word) {
  for (const EnumWord<Enum>& entry : table) {
    if (entry.word == word) return entry.value;
  }
  return std::nullopt;
}

// The word that is written for `value`; empty for one that the table does not have.
template <typename Enum, size_t Size>
constexpr std::string_view WordOf(const WordTable<Enum, Size>& table, Enum value) {
  for (const EnumWord<Enum>& entry : table) {
    if (entry.value == value) return entry.word;
  }
  return {};
}

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_WORDS_H_
