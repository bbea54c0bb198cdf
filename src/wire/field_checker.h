// Reads required fields of a document from a user and keeps a text on the first that is
// missing or wrong.
#ifndef TROUTLINK_WIRE_FIELD_CHECKER_H_
#define TROUTLINK_WIRE_FIELD_CHECKER_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "wire/pack.h"

namespace troutlink::wire {

// The fields of one map. A field that is missing or wrong reads as an empty value, so that
// callers read all fields in order and check for an error once, at the end. Refers to the
// map, which must live longer.
class FieldChecker {
 public:
  // Reads the fields of `map`. All required ones of a value that is not a map are missing.
  explicit FieldChecker(const Json& map) : map_(map) {}

  // A text of 1 to 200 bytes.
  [[nodiscard]] std::string RequiredText(const char* key);
  // A finite number from 0 to `most`.
  [[nodiscard]] double RequiredNumber(const char* key, double most);
  // An integer from 1 to `most`.
  [[nodiscard]] int RequiredCount(const char* key, int most);
  // A boolean.
  [[nodiscard]] bool RequiredFlag(const char* key);
  // A list of texts of up to 200 bytes; empty when it is missing or null.
  [[nodiscard]] std::vector<std::string> OptionalTexts(const char* key);
  // Whether the map has the field, and it is not null.
  [[nodiscard]] bool Has(const char* key) const { return Find(map_, key) != nullptr; }

  // Keeps `text` as the error unless there is one already.
  void Fail(std::string text) {
    if (error_.empty()) error_ = std::move(text);
  }
  // Tells that the field `key` is wrong.
  void FailField(const char* key, const std::string& problem) {
    Fail(std::string(key) + " " + problem);
  }
  // Tells that the field `key` is no list of texts.
  void FailTexts(const char* key) { FailField(key, "must be a list of texts or null"); }
  // The first error, as one line for the user; empty when there is none.
  [[nodiscard]] const std::string& error() const { return error_; }

 private:
  const Json& map_;
  std::string error_;
};

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_FIELD_CHECKER_H_
