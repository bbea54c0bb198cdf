#include "wire/pack.h"

#include <cmath>
#include <set>
#include <vector>

namespace troutlink::wire {
namespace {

constexpr size_t kMaxDepth = 16;

// Validates a document while parsing, without building it.
class Inspector : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override {
    keys_.emplace_back();
    return keys_.size() <= kMaxDepth;
  }
  bool key(string_t& name) override { return keys_.back().insert(name).second; }
  bool end_object() override {
    keys_.pop_back();
    return true;
  }
  bool start_array(std::size_t) override {
    keys_.emplace_back();
    return keys_.size() <= kMaxDepth;
  }
  bool end_array() override {
    keys_.pop_back();
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  std::vector<std::set<std::string>> keys_;
};

}  // namespace

std::string Pack(const Json& value) {
  std::string out;
  Json::to_msgpack(value, nlohmann::detail::output_adapter<char>(out));
  return out;
}

std::optional<Json> Unpack(std::string_view body) {
  Json value = Json::from_msgpack(body.begin(), body.end(), true, false);
  if (value.is_discarded()) return std::nullopt;
  return value;
}

std::optional<Json> UnpackStrict(std::string_view body) {
  Inspector inspector;
  if (!Json::sax_parse(body.begin(), body.end(), &inspector, Json::input_format_t::msgpack, true)) {
    return std::nullopt;
  }
  return Unpack(body);
}

const Json* Find(const Json& map, const char* key) {
  if (!map.is_object()) return nullptr;
  auto it = map.find(key);
  return it == map.end() || it->is_null() ? nullptr : &*it;
}

std::optional<std::string> Text(const Json& map, const char* key) {
  const Json* value = Find(map, key);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return value->get<std::string>();
}

std::optional<uint64_t> Count(const Json& map, const char* key) {
  const Json* value = Find(map, key);
  if (value == nullptr) return std::nullopt;
  if (value->is_number_unsigned()) return value->get<uint64_t>();
  if (value->is_number_integer() && value->get<int64_t>() >= 0) return value->get<uint64_t>();
  return std::nullopt;
}

std::optional<int64_t> Integer(const Json& map, const char* key) {
  const Json* value = Find(map, key);
  if (value == nullptr || !value->is_number_integer()) return std::nullopt;
  return value->get<int64_t>();
}

std::optional<double> Number(const Json& map, const char* key) {
  const Json* value = Find(map, key);
  if (value == nullptr || !value->is_number()) return std::nullopt;
  double number = value->get<double>();
  if (!std::isfinite(number)) return std::nullopt;
  return number;
}

std::optional<bool> Flag(const Json& map, const char* key) {
  const Json* value = Find(map, key);
  if (value == nullptr || !value->is_boolean()) return std::nullopt;
  return value->get<bool>();
}

}  // namespace troutlink::wire
