// Reads fields of a user's document and records the first error.
#ifndef TROUTLINK_WIRE_FIELD_CHECKER_H_
#define TROUTLINK_WIRE_FIELD_CHECKER_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "wire/pack.h"

namespace troutlink::wire {

// Fields of one map. A missing or invalid field reads as an empty value, so that callers can read
// all fields in order and check for an error once. The map must outlive the checker.
class FieldChecker {
 public:
  // Reads the fields of `map`. If it is not a map, all required fields are missing.
  explicit FieldChecker(const Json& map) : map_(map) {}

  // Reads a string of 1 to 200 bytes.
  [[nodiscard]] std::string RequiredText(const char* key);
  // Reads a finite number from 0 to `most`.
  [[nodiscard]] double RequiredNumber(const char* key, double most);
  // Reads an integer from 1 to `most`.
  [[nodiscard]] int RequiredCount(const char* key, int most);
  // Reads a boolean.
  [[nodiscard]] bool RequiredFlag(const char* key);
  // Reads a list of strings of up to 200 bytes; empty if missing or null.
  [[nodiscard]] std::vector<std::string> OptionalTexts(const char* key);
  // Whether the map has the field, and it is not null.
  [[nodiscard]] bool Has(const char* key) const { return Find(map_, key) != nullptr; }

  // Records `text` unless there is an error already.
  void Fail(std::string text) {
    if (error_.empty()) error_ = std::move(text);
  }
  // Records an error about the field `key`.
  void FailField(const char* key, const std::string& problem) {
    Fail(std::string(key) + " " + problem);
  }
  // Records that the field `key` is not a list of strings.
  void FailTexts(const char* key) { FailField(key, "must be a list of texts or null"); }
  // The first error, as one line for the user; empty if there is none.
  [[nodiscard]] const std::string& error() const { return error_; }

 private:
  const Json& map_;
  std::string error_;
};

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_FIELD_CHECKER_H_
