// Text of a metric with one label.
#ifndef TROUTLINK_CORE_IO_LABELLED_METRIC_H_
#define TROUTLINK_CORE_IO_LABELLED_METRIC_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace troutlink {

struct MetricLabel {
  std::string_view name;
  std::string_view value;
};

// Appends the line `troutlink_NAME{LABEL="VALUE"} NUMBER`.
inline void AppendMetric(std::string_view name, const MetricLabel& label, uint64_t number,
                         std::string* out) {
  out->append("troutlink_").append(name).append("{").append(label.name);
  out->append("=\"").append(label.value).append("\"} ");
  out->append(std::to_string(number)).append("\n");
}

}  // namespace troutlink

#endif  // TROUTLINK_CORE_IO_LABELLED_METRIC_H_
