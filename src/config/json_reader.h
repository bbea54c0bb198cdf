// Reads required fields of JSON documents and checks their types and ranges.
#ifndef TROUTLINK_CONFIG_JSON_READER_H_
#define TROUTLINK_CONFIG_JSON_READER_H_

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "config/endpoint.h"

namespace troutlink {

// Keeps the first error of a document.
class FirstError {
 public:
  // Records `text` unless there is an error already.
  void Add(std::string text) {
    if (text_.empty()) text_ = std::move(text);
  }
  // Whether there is an error.
  [[nodiscard]] bool any() const { return !text_.empty(); }
  // One line for the author of the document; empty without an error.
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// Range of a number, both ends included.
struct NumberRange {
  double least = 0;
  double most = 0;
};

// Reads the fields of a JSON object. A missing or invalid field is recorded in the document's
// FirstError and reads as an empty value, so that callers can read all fields in order and check
// for an error once.
//
// The JSON value and the error must outlive the reader.
class JsonObjectReader {
 public:
  using Json = nlohmann::json;

  // Reads the fields of `value`, whose name in error texts is `path`. If it is not an object,
  // reading any field is an error.
  JsonObjectReader(const Json& value, std::string_view path, FirstError* error)
      : value_(&value), path_(path), error_(error) {}

  // Reads a non-empty string.
  [[nodiscard]] std::string Text(std::string_view key) const;
  // Reads a number in `range`.
  [[nodiscard]] double Number(std::string_view key, NumberRange range) const;
  // Reads an address of the form IPv4:port.
  [[nodiscard]] Endpoint Address(std::string_view key) const;
  // Reads the elements of a list.
  [[nodiscard]] std::span<const Json> List(std::string_view key) const;
  // Reads a value of any type as an object whose name in error texts is `path`.
  [[nodiscard]] JsonObjectReader Object(std::string_view key, std::string_view path) const;
  // Returns an optional field, or null.
  [[nodiscard]] const Json* Find(std::string_view key) const;

  // Records an error.
  void Fail(std::string text) const { error_->Add(std::move(text)); }
  // The value being read.
  [[nodiscard]] const Json& value() const { return *value_; }

 private:
  // Returns a required field, or records an error and returns null.
  [[nodiscard]] const Json& Get(std::string_view key) const;
  // Records an error about the field `key`.
  void FailField(std::string_view key, std::string_view problem) const;

  const Json* value_;
  std::string path_;
  FirstError* error_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CONFIG_JSON_READER_H_
