// Structured log line: `event=NAME key=value ...`.
#ifndef TROUTLINK_CORE_IO_EVENT_H_
#define TROUTLINK_CORE_IO_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/micros.h"

namespace troutlink {

// Builds the line field by field. Values contain no spaces, except that of the last field.
class Event {
 public:
  explicit Event(std::string_view name) { text_.append("event=").append(name); }

  Event& With(std::string_view key, std::string_view value) {
    text_.append(" ").append(key).append("=").append(value);
    return *this;
  }
  Event& With(std::string_view key, uint64_t value) { return With(key, std::to_string(value)); }
  Event& With(std::string_view key, int value) { return With(key, std::to_string(value)); }
  // Adds a duration in milliseconds.
  Event& WithSpan(std::string_view key, Micros span) {
    return With(key, std::to_string(span / kMillisecond));
  }

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_IO_EVENT_H_
