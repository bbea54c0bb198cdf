// Reads required fields of JSON documents with checks of their types and ranges.
#ifndef TROUTLINK_CONFIG_JSON_READER_H_
#define TROUTLINK_CONFIG_JSON_READER_H_

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "config/endpoint.h"

namespace troutlink {

// The first error found in a document; later ones are dropped.
class FirstError {
 public:
  // Keeps `text` unless there is an error already.
  void Add(std::string text) {
    if (text_.empty()) text_ = std::move(text);
  }
  // Whether there is an error.
  [[nodiscard]] bool any() const { return !text_.empty(); }
  // One line for whoever wrote the document; empty without an error.
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// The numbers that a field may have, both ends included.
struct NumberRange {
  double least = 0;
  double most = 0;
};

// The fields of one object of a document. A field that is missing or wrong is told to the
// document's FirstError and reads as an empty value, so that callers read all fields in order
// and check for an error once, at the end.
//
// Does not own the JSON value and the error, which must live longer.
class JsonObjectReader {
 public:
  using Json = nlohmann::json;

  // Reads the fields of `value`; `path` is its name in error texts. A value that is not an
  // object is an error as soon as a field of it is read.
  JsonObjectReader(const Json& value, std::string_view path, FirstError* error)
      : value_(&value), path_(path), error_(error) {}

  // A text that is not empty.
  [[nodiscard]] std::string Text(std::string_view key) const;
  // A number in `range`.
  [[nodiscard]] double Number(std::string_view key, NumberRange range) const;
  // An address in the form IPv4:port.
  [[nodiscard]] Endpoint Address(std::string_view key) const;
  // The elements of a list.
  [[nodiscard]] std::span<const Json> List(std::string_view key) const;
  // A value of any type, to be read as an object whose name in error texts is `path`.
  [[nodiscard]] JsonObjectReader Object(std::string_view key, std::string_view path) const;
  // A field that may be missing: null when it is, or when this is not an object.
  [[nodiscard]] const Json* Find(std::string_view key) const;

  // Tells an error.
  void Fail(std::string text) const { error_->Add(std::move(text)); }
  // The value that this reads.
  [[nodiscard]] const Json& value() const { return *value_; }

 private:
  // A required field; null with an error when it is missing.
  [[nodiscard]] const Json& Get(std::string_view key) const;
  // Tells that the field `key` is wrong.
  void FailField(std::string_view key, std::string_view problem) const;

  const Json* value_;
  std::string path_;
  FirstError* error_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_JSON_READER_H_
