// Result of an operation that may fail: a value, or a typed error with one line of text.
#ifndef TROUTLINK_BASE_RESULT_H_
#define TROUTLINK_BASE_RESULT_H_

#include <string>
#include <utility>
#include <variant>

namespace troutlink {

// `code` for the program, `text` for the person who caused the error.
template <typename Code>
struct Error {
  Code code;
  std::string text;
};

// Holds either a value or an error. Reading the one that is not held is undefined behaviour.
template <typename Value, typename Code>
class [[nodiscard]] Result {
 public:
  // Implicit, so that functions can return a value or an error directly, as with std::optional.
  Result(Value value)  // NOLINT(google-explicit-constructor): see above
      : state_(std::in_place_index<0>, std::move(value)) {}
  Result(Error<Code> error)  // NOLINT(google-explicit-constructor): see above
      : state_(std::in_place_index<1>, std::move(error)) {}

  // Whether it holds a value.
  [[nodiscard]] explicit operator bool() const { return state_.index() == 0; }
  // The value.
  [[nodiscard]] Value& operator*() { return *std::get_if<0>(&state_); }
  [[nodiscard]] const Value& operator*() const { return *std::get_if<0>(&state_); }
  Value* operator->() { return std::get_if<0>(&state_); }
  const Value* operator->() const { return std::get_if<0>(&state_); }
  // The error.
  [[nodiscard]] const Error<Code>& error() const { return *std::get_if<1>(&state_); }

 private:
  std::variant<Value, Error<Code>> state_;
};

}  // namespace troutlink

#endif  // TROUTLINK_BASE_RESULT_H_
