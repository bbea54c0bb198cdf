#include "wire/field_checker.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/pack.h"

namespace troutlink::wire {
namespace {

// Maximum length of a string in a user's document, in bytes.
constexpr size_t kMaxTextBytes = 200;

}  // namespace

std::string FieldChecker::RequiredText(const char* key) {
  std::optional<std::string> value = Text(map_, key);
  if (!value || value->empty() || value->size() > kMaxTextBytes) {
    FailField(key, "must be a text of 1 to " + std::to_string(kMaxTextBytes) + " bytes");
    return {};
  }
  return *std::move(value);
}

double FieldChecker::RequiredNumber(const char* key, double most) {
  const std::optional<double> value = Number(map_, key);
  if (!value || *value < 0 || *value > most) {
    FailField(key, "must be a number from 0 to " + std::to_string(most));
    return 0;
  }
  return *value;
}

int FieldChecker::RequiredCount(const char* key, int most) {
  const std::optional<uint64_t> value = Count(map_, key);
  if (!value || *value < 1 || *value > static_cast<uint64_t>(most)) {
    FailField(key, "must be an integer from 1 to " + std::to_string(most));
    return 0;
  }
  return static_cast<int>(*value);
}

bool FieldChecker::RequiredFlag(const char* key) {
  const std::optional<bool> value = Flag(map_, key);
  if (!value) FailField(key, "must be a boolean");
  return value.value_or(false);
}

std::vector<std::string> FieldChecker::OptionalTexts(const char* key) {
  const Json* list = Find(map_, key);
  if (list == nullptr) return {};
  if (!list->is_array()) {
    FailTexts(key);
    return {};
  }
  std::vector<std::string> texts;
  for (const Json& text : *list) {
    if (!text.is_string() || text.get_ref<const std::string&>().size() > kMaxTextBytes) {
      FailTexts(key);
      return {};
    }
    texts.push_back(text.get<std::string>());
  }
  return texts;
}

}  // namespace troutlink::wire
