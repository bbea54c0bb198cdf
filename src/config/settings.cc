#include "config/settings.h"

#include <arpa/inet.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace troutlink {
namespace {

using Json = nlohmann::json;

struct Bad : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const Json& Get(const Json& map, const std::string& where, const char* key) {
  if (!map.is_object()) throw Bad(where + " must be an object");
  auto it = map.find(key);
  if (it == map.end()) throw Bad(where + "." + key + " is missing");
  return *it;
}

std::string GetText(const Json& map, const std::string& where, const char* key) {
  const Json& value = Get(map, where, key);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    throw Bad(where + "." + key + " must be a text");
  }
  return value.get<std::string>();
}

double GetNumber(const Json& map, const std::string& where, const char* key, double least,
                 double most) {
  const Json& value = Get(map, where, key);
  if (!value.is_number() || !(value.get<double>() >= least) || !(value.get<double>() <= most)) {
    throw Bad(where + "." + key + " must be a number from " + std::to_string(least) + " to " +
              std::to_string(most));
  }
  return value.get<double>();
}

Endpoint GetEndpoint(const Json& map, const std::string& where, const char* key) {
  std::optional<Endpoint> endpoint = ParseEndpoint(GetText(map, where, key));
  if (!endpoint) throw Bad(where + "." + key + " must be IPv4:port");
  return *endpoint;
}

const Json& GetList(const Json& map, const std::string& where, const char* key) {
  const Json& value = Get(map, where, key);
  if (!value.is_array()) throw Bad(where + "." + key + " must be a list");
  return value;
}

Objective::Kind ParseObjectiveKind(const std::string& word) {
  if (word == "wait") return Objective::Kind::kWait;
  if (word == "finished") return Objective::Kind::kFinished;
  if (word == "deadline") return Objective::Kind::kDeadline;
  return Objective::Kind::kOther;
}

int64_t Milli(double value) { return std::llround(value * 1000); }

StateLimits ReadLimits(const Json& state, const std::string& where) {
  StateLimits limits;
  limits.write_rps = GetNumber(state, where, "write_rps", 1, 1e9);
  limits.value_bytes = static_cast<int64_t>(1024 * GetNumber(state, where, "value_kb", 1, 1e6));
  limits.txn_ops = static_cast<int>(GetNumber(state, where, "txn_ops", 4, 1e6));
  return limits;
}

// The announced limits; what they do not name stays as it is, and none of them is larger.
StateLimits ReadNextLimits(const Json& state, const StateLimits& present) {
  auto next = state.find("next");
  if (next == state.end() || next->is_null()) return present;
  if (!next->is_object()) throw Bad("state.next must be an object");
  Json merged = state;
  merged.merge_patch(*next);
  StateLimits limits = ReadLimits(merged, "state.next");
  limits.write_rps = std::min(limits.write_rps, present.write_rps);
  limits.value_bytes = std::min(limits.value_bytes, present.value_bytes);
  limits.txn_ops = std::min(limits.txn_ops, present.txn_ops);
  return limits;
}

Settings Read(const Json& doc) {
  Settings settings;
  settings.label = GetText(doc, "settings", "label");
  settings.zone = GetText(doc, "settings", "area");
  settings.serve = GetEndpoint(doc, "settings", "serve_on");
  settings.mesh = GetEndpoint(doc, "settings", "mesh_addr");
  for (const Json& sibling : GetList(doc, "settings", "siblings")) {
    settings.siblings.push_back({GetText(sibling, "siblings[]", "label"),
                                 GetText(sibling, "siblings[]", "area"),
                                 GetEndpoint(sibling, "siblings[]", "endpoint")});
  }
  const Json& external = Get(doc, "settings", "external");
  settings.cloud = GetEndpoint(external, "external", "cloud");
  settings.state = GetEndpoint(external, "external", "state");
  const Json& facts = Get(doc, "settings", "facts");
  for (const Json& zone : GetList(facts, "facts", "zones")) {
    if (!zone.is_string()) throw Bad("facts.zones must hold texts");
    settings.zones.push_back(zone.get<std::string>());
  }
  for (const Json& map : GetList(facts, "facts", "teams")) {
    Team team;
    team.name = GetText(map, "teams[]", "name");
    team.cpus = Milli(GetNumber(map, "teams[]", "cpus", 0, 1e9));
    team.cpus_max = Milli(GetNumber(map, "teams[]", "cpus_max", 0, 1e9));
    team.gpus = Milli(GetNumber(map, "teams[]", "gpus", 0, 1e9));
    team.gpus_max = Milli(GetNumber(map, "teams[]", "gpus_max", 0, 1e9));
    settings.teams.push_back(std::move(team));
  }
  if (auto it = facts.find("objectives"); it != facts.end() && it->is_array()) {
    for (const Json& map : *it) {
      if (!map.is_object()) continue;
      Objective objective;
      objective.kind = ParseObjectiveKind(map.value("kind", ""));
      objective.job_class = map.value("class", "");
      if (auto number = map.find("within_s"); number != map.end() && number->is_number()) {
        objective.within = FromSeconds(number->get<double>());
      }
      if (auto number = map.find("times"); number != map.end() && number->is_number()) {
        objective.times = number->get<double>();
      }
      if (auto number = map.find("share"); number != map.end() && number->is_number()) {
        objective.share = number->get<double>();
      }
      settings.objectives.push_back(std::move(objective));
    }
  }
  const Json& workers = Get(facts, "facts", "workers");
  settings.report = FromSeconds(GetNumber(workers, "workers", "report_s", 0.01, 3600));
  settings.lease = FromSeconds(GetNumber(workers, "workers", "lease_s", 0.1, 36000));
  settings.cancel = FromSeconds(GetNumber(workers, "workers", "cancel_s", 0.1, 360000));
  if (settings.cancel <= settings.lease) {
    throw Bad("workers.cancel_s must be longer than workers.lease_s");
  }
  const Json& state = Get(facts, "facts", "state");
  settings.state_rps = GetNumber(state, "state", "rps", 1, 1e9);
  settings.state_limits = ReadLimits(state, "state");
  settings.next_state_limits = ReadNextLimits(state, settings.state_limits);
  const Json& cloud = Get(facts, "facts", "cloud");
  settings.cloud_rps = GetNumber(cloud, "cloud", "rps", 0.01, 1e9);
  settings.list_lag = FromSeconds(GetNumber(cloud, "cloud", "list_lag_s", 0, 3600));
  const Json& resources = Get(facts, "facts", "resources");
  settings.cores = GetNumber(resources, "resources", "cores", 0.001, 1e6);
  settings.mem_mb = GetNumber(resources, "resources", "mem_mb", 1, 1e9);
  settings.fd_limit = static_cast<int>(GetNumber(resources, "resources", "fd_limit", 32, 1e8));
  settings.time_bound = FromSeconds(GetNumber(facts, "facts", "time_bound_ms", 0, 1e9) / 1000);

  settings.labels.push_back(settings.label);
  for (const Sibling& sibling : settings.siblings) settings.labels.push_back(sibling.label);
  std::sort(settings.labels.begin(), settings.labels.end());
  if (std::adjacent_find(settings.labels.begin(), settings.labels.end()) != settings.labels.end()) {
    throw Bad("settings.siblings: two controllers have the same label");
  }
  settings.own_shard =
      static_cast<int>(std::find(settings.labels.begin(), settings.labels.end(), settings.label) -
                       settings.labels.begin());
  return settings;
}

class FirstError : public google::protobuf::io::ErrorCollector {
 public:
  void AddError(int line, int column, const std::string& message) override {
    if (text.empty()) {
      text = "line " + std::to_string(line + 1) + ", column " + std::to_string(column + 1) + ": " +
             message;
    }
  }
  std::string text;
};

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos || text.size() - colon > 6) return std::nullopt;
  Endpoint endpoint;
  endpoint.text = text;
  endpoint.host = text.substr(0, colon);
  in_addr addr;
  if (inet_pton(AF_INET, endpoint.host.c_str(), &addr) != 1) return std::nullopt;
  for (size_t index = colon + 1; index < text.size(); ++index) {
    if (text[index] < '0' || text[index] > '9') return std::nullopt;
    endpoint.port = endpoint.port * 10 + (text[index] - '0');
  }
  if (endpoint.port < 1 || endpoint.port > 65535) return std::nullopt;
  return endpoint;
}

Result<Settings, SettingsFault> ParseSettings(const std::string& json) {
  Json doc = Json::parse(json, nullptr, false);
  if (doc.is_discarded()) {
    return Error<SettingsFault>{SettingsFault::kSyntax, "settings are not JSON"};
  }
  try {
    return Read(doc);
  } catch (const std::exception& exception) {
    return Error<SettingsFault>{SettingsFault::kBadField, exception.what()};
  }
}

Result<OperatorSettings, SettingsFault> ParseOperatorSettings(const std::string& text) {
  OperatorSettings settings;
  google::protobuf::TextFormat::Parser parser;
  FirstError first;
  parser.RecordErrorsTo(&first);
  if (!parser.ParseFromString(text, &settings)) {
    return Error<SettingsFault>{SettingsFault::kSyntax, "operator settings: " + first.text};
  }
  std::string error;
  auto range = [&error](const char* name, double value, double least, double most) {
    if (value >= least && value <= most) return true;
    char buf[200];
    std::snprintf(buf, sizeof buf, "operator settings: %s must be from %g to %g, not %g", name,
                  least, most, value);
    error = buf;
    return false;
  };
  const bool good = range("tail_threshold", settings.tail_threshold(), 0.01, 1) &&
                    range("credit_share", settings.credit_share(), 0, 10) &&
                    range("progress_period_s", settings.progress_period_s(), 0.5, 600) &&
                    range("overdue_margin", settings.overdue_margin(), 1, 100) &&
                    range("claim_life_s", settings.claim_life_s(), 1, 120) &&
                    range("hand_back_after_s", settings.hand_back_after_s(), 1, 3600) &&
                    range("service_headroom_cpus", settings.service_headroom_cpus(), 0, 1e6) &&
                    range("service_headroom_share", settings.service_headroom_share(), 0, 10) &&
                    range("idle_return_boots", settings.idle_return_boots(), 0, 1000) &&
                    range("rent_share", settings.rent_share(), 0, 10) &&
                    range("refusal_pause_s", settings.refusal_pause_s(), 0.5, 3600) &&
                    range("boot_patience", settings.boot_patience(), 1, 100) &&
                    range("array_headroom_share", settings.array_headroom_share(), 0, 10) &&
                    range("machine_failures", settings.machine_failures(), 1, 1000) &&
                    range("job_failures", settings.job_failures(), 1, 1000) &&
                    range("starve_s", settings.starve_s(), 0, 1e6) &&
                    range("consolidate_after_s", settings.consolidate_after_s(), 0, 86400) &&
                    range("team_headroom_cpus", settings.team_headroom_cpus(), 0, 1e6) &&
                    range("image_headroom_cpus", settings.image_headroom_cpus(), 0, 1e6) &&
                    range("batch", settings.batch(), 1, 100000) &&
                    range("batch_most", settings.batch_most(), settings.batch(), 100000);
  if (!good) return Error<SettingsFault>{SettingsFault::kBadField, std::move(error)};
  return settings;
}

}  // namespace troutlink
