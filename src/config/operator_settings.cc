#include "config/operator_settings.h"

#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <array>
#include <optional>
#include <sstream>
#include <string>

#include "base/result.h"
#include "config/operator.pb.h"
#include "config/settings_fault.h"

namespace troutlink {
namespace {

// Keeps the first error of the text format parser. Lines and columns count from 1.
class FirstErrorCollector : public google::protobuf::io::ErrorCollector {
 public:
  void AddError(int line, int column, const std::string& message) override {
    if (!text_.empty()) return;
    text_ = "line " + std::to_string(line + 1) + ", column " + std::to_string(column + 1) + ": " +
            message;
  }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// Value of a field and its range, both ends included.
struct CheckedField {
  const char* name;
  double value;
  double least;
  double most;
};

// Error text if `field` is out of its range.
std::optional<std::string> RangeError(const CheckedField& field) {
  if (field.value >= field.least && field.value <= field.most) return std::nullopt;
  std::ostringstream text;
  text << "operator settings: " << field.name << " must be from " << field.least << " to "
       << field.most << ", not " << field.value;
  return text.str();
}

// The first field that is out of its range, in the order of this table.
std::optional<std::string> FirstRangeError(const OperatorSettings& settings) {
  const auto fields = std::to_array<CheckedField>({
      {"tail_threshold", settings.tail_threshold(), 0.01, 1},
      {"credit_share", settings.credit_share(), 0, 10},
      {"progress_period_s", settings.progress_period_s(), 0.5, 600},
      {"overdue_margin", settings.overdue_margin(), 1, 100},
      {"claim_life_s", settings.claim_life_s(), 1, 120},
      {"hand_back_after_s", settings.hand_back_after_s(), 1, 3600},
      {"service_headroom_cpus", settings.service_headroom_cpus(), 0, 1e6},
      {"service_headroom_share", settings.service_headroom_share(), 0, 10},
      {"idle_return_boots", settings.idle_return_boots(), 0, 1000},
      {"rent_share", settings.rent_share(), 0, 10},
      {"refusal_pause_s", settings.refusal_pause_s(), 0.5, 3600},
      {"boot_patience", settings.boot_patience(), 1, 100},
      {"array_headroom_share", settings.array_headroom_share(), 0, 10},
      {"machine_failures", static_cast<double>(settings.machine_failures()), 1, 1000},
      {"job_failures", static_cast<double>(settings.job_failures()), 1, 1000},
      {"starve_s", settings.starve_s(), 0, 1e6},
      {"consolidate_after_s", settings.consolidate_after_s(), 0, 86400},
      {"team_headroom_cpus", settings.team_headroom_cpus(), 0, 1e6},
      {"image_headroom_cpus", settings.image_headroom_cpus(), 0, 1e6},
      {"batch", static_cast<double>(settings.batch()), 1, 100000},
      {"batch_most", static_cast<double>(settings.batch_most()),
       static_cast<double>(settings.batch()), 100000},
  });
  for (const CheckedField& field : fields) {
    if (std::optional<std::string> error = RangeError(field)) return error;
  }
  return std::nullopt;
}

}  // namespace

Result<OperatorSettings, SettingsFault> ParseOperatorSettings(const std::string& text) {
  OperatorSettings settings;
  google::protobuf::TextFormat::Parser parser;
  FirstErrorCollector errors;
  parser.RecordErrorsTo(&errors);
  if (!parser.ParseFromString(text, &settings)) {
    return Error<SettingsFault>{SettingsFault::kSyntax, "operator settings: " + errors.text()};
  }
  if (std::optional<std::string> error = FirstRangeError(settings)) {
    return Error<SettingsFault>{SettingsFault::kBadField, *std::move(error)};
  }
  return settings;
}

}  // namespace troutlink
