#include "config/json_reader.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "config/endpoint.h"

namespace troutlink {

const JsonObjectReader::Json* JsonObjectReader::Find(std::string_view key) const {
  if (!value_->is_object()) return nullptr;
  const auto it = value_->find(key);
  return it == value_->end() ? nullptr : &*it;
}

const JsonObjectReader::Json& JsonObjectReader::Get(std::string_view key) const {
  static const Json kNull;
  if (!value_->is_object()) {
    Fail(path_ + " must be an object");
    return kNull;
  }
  const Json* field = Find(key);
  if (field == nullptr) {
    FailField(key, "is missing");
    return kNull;
  }
  return *field;
}

void JsonObjectReader::FailField(std::string_view key, std::string_view problem) const {
  Fail(path_ + "." + std::string(key) + " " + std::string(problem));
}

std::string JsonObjectReader::Text(std::string_view key) const {
  const Json& value = Get(key);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    FailField(key, "must be a text");
    return {};
  }
  return value.get<std::string>();
}

double JsonObjectReader::Number(std::string_view key, NumberRange range) const {
  const Json& value = Get(key);
  // Written so that NaN is refused.
  if (!value.is_number() ||
      !(value.get<double>() >= range.least && value.get<double>() <= range.most)) {
    FailField(key, "must be a number from " + std::to_string(range.least) + " to " +
                       std::to_string(range.most));
    return 0;
  }
  return value.get<double>();
}

Endpoint JsonObjectReader::Address(std::string_view key) const {
  std::optional<Endpoint> endpoint = ParseEndpoint(Text(key));
  if (!endpoint) {
    FailField(key, "must be IPv4:port");
    return {};
  }
  return *std::move(endpoint);
}

std::span<const JsonObjectReader::Json> JsonObjectReader::List(std::string_view key) const {
  const Json& value = Get(key);
  if (!value.is_array()) {
    FailField(key, "must be a list");
    return {};
  }
  return value.get_ref<const Json::array_t&>();
}

JsonObjectReader JsonObjectReader::Object(std::string_view key, std::string_view path) const {
  return {Get(key), path, error_};
}

}  // namespace troutlink
