// Matchers for Result<Value, Code> of src/base.
#ifndef TROUTLINK_TESTS_RESULT_MATCHERS_H_
#define TROUTLINK_TESTS_RESULT_MATCHERS_H_

#include <gmock/gmock.h>

namespace troutlink {

// A result that holds a value; shows the error of any other.
MATCHER(HoldsValue, "holds a value") {
  if (arg) return true;
  *result_listener << "holds the error \"" << arg.error().text << "\"";
  return false;
}

// A result that holds an error with `code` whose text matches `text`.
MATCHER_P2(HoldsError, code, text, "holds an error of the code with the text") {
  if (arg) {
    *result_listener << "holds a value";
    return false;
  }
  if (arg.error().code != code) {
    *result_listener << "holds another code, with the text \"" << arg.error().text << "\"";
    return false;
  }
  return testing::ExplainMatchResult(text, arg.error().text, result_listener);
}

}  // namespace troutlink

#endif  // TROUTLINK_TESTS_RESULT_MATCHERS_H_
