#include "wire/pack.h"

#include <cmath>
#include <set>
#include <vector>

namespace troutlink::wire {
namespace {

constexpr size_t kMaxDepth = 16;

// Walks a document without building it and says whether it keeps the rules.
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
  bool key(string_t& k) override { return keys_.back().insert(k).second; }
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
  Json v = Json::from_msgpack(body.begin(), body.end(), true, false);
  if (v.is_discarded()) return std::nullopt;
  return v;
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
  const Json* v = Find(map, key);
  if (v == nullptr || !v->is_string()) return std::nullopt;
  return v->get<std::string>();
}

std::optional<uint64_t> Count(const Json& map, const char* key) {
  const Json* v = Find(map, key);
  if (v == nullptr) return std::nullopt;
  if (v->is_number_unsigned()) return v->get<uint64_t>();
  if (v->is_number_integer() && v->get<int64_t>() >= 0) return v->get<uint64_t>();
  return std::nullopt;
}

std::optional<double> Number(const Json& map, const char* key) {
  const Json* v = Find(map, key);
  if (v == nullptr || !v->is_number()) return std::nullopt;
  double d = v->get<double>();
  if (!std::isfinite(d)) return std::nullopt;
  return d;
}

std::optional<bool> Flag(const Json& map, const char* key) {
  const Json* v = Find(map, key);
  if (v == nullptr || !v->is_boolean()) return std::nullopt;
  return v->get<bool>();
}

}  // namespace troutlink::wire
