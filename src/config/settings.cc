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
  const Json& v = Get(map, where, key);
  if (!v.is_string() || v.get_ref<const std::string&>().empty()) {
    throw Bad(where + "." + key + " must be a text");
  }
  return v.get<std::string>();
}

double GetNumber(const Json& map, const std::string& where, const char* key, double least,
                 double most) {
  const Json& v = Get(map, where, key);
  if (!v.is_number() || !(v.get<double>() >= least) || !(v.get<double>() <= most)) {
    throw Bad(where + "." + key + " must be a number from " + std::to_string(least) + " to " +
              std::to_string(most));
  }
  return v.get<double>();
}

Endpoint GetEndpoint(const Json& map, const std::string& where, const char* key) {
  std::optional<Endpoint> e = ParseEndpoint(GetText(map, where, key));
  if (!e) throw Bad(where + "." + key + " must be IPv4:port");
  return *e;
}

const Json& GetList(const Json& map, const std::string& where, const char* key) {
  const Json& v = Get(map, where, key);
  if (!v.is_array()) throw Bad(where + "." + key + " must be a list");
  return v;
}

Objective::Kind ParseObjectiveKind(const std::string& word) {
  if (word == "wait") return Objective::Kind::kWait;
  if (word == "finished") return Objective::Kind::kFinished;
  if (word == "deadline") return Objective::Kind::kDeadline;
  return Objective::Kind::kOther;
}

int64_t Milli(double v) { return std::llround(v * 1000); }

Settings Read(const Json& doc) {
  Settings s;
  s.label = GetText(doc, "settings", "label");
  s.zone = GetText(doc, "settings", "area");
  s.serve = GetEndpoint(doc, "settings", "serve_on");
  s.mesh = GetEndpoint(doc, "settings", "mesh_addr");
  for (const Json& j : GetList(doc, "settings", "siblings")) {
    s.siblings.push_back({GetText(j, "siblings[]", "label"), GetText(j, "siblings[]", "area"),
                          GetEndpoint(j, "siblings[]", "endpoint")});
  }
  const Json& external = Get(doc, "settings", "external");
  s.cloud = GetEndpoint(external, "external", "cloud");
  s.state = GetEndpoint(external, "external", "state");
  const Json& facts = Get(doc, "settings", "facts");
  for (const Json& z : GetList(facts, "facts", "zones")) {
    if (!z.is_string()) throw Bad("facts.zones must hold texts");
    s.zones.push_back(z.get<std::string>());
  }
  for (const Json& t : GetList(facts, "facts", "teams")) {
    Team team;
    team.name = GetText(t, "teams[]", "name");
    team.cpus = Milli(GetNumber(t, "teams[]", "cpus", 0, 1e9));
    team.cpus_max = Milli(GetNumber(t, "teams[]", "cpus_max", 0, 1e9));
    team.gpus = Milli(GetNumber(t, "teams[]", "gpus", 0, 1e9));
    team.gpus_max = Milli(GetNumber(t, "teams[]", "gpus_max", 0, 1e9));
    s.teams.push_back(std::move(team));
  }
  if (auto it = facts.find("objectives"); it != facts.end() && it->is_array()) {
    for (const Json& o : *it) {
      if (!o.is_object()) continue;
      Objective objective;
      objective.kind = ParseObjectiveKind(o.value("kind", ""));
      objective.job_class = o.value("class", "");
      if (auto w = o.find("within_s"); w != o.end() && w->is_number()) {
        objective.within = FromSeconds(w->get<double>());
      }
      if (auto w = o.find("times"); w != o.end() && w->is_number()) {
        objective.times = w->get<double>();
      }
      if (auto w = o.find("share"); w != o.end() && w->is_number()) {
        objective.share = w->get<double>();
      }
      s.objectives.push_back(std::move(objective));
    }
  }
  const Json& workers = Get(facts, "facts", "workers");
  s.report = FromSeconds(GetNumber(workers, "workers", "report_s", 0.01, 3600));
  s.lease = FromSeconds(GetNumber(workers, "workers", "lease_s", 0.1, 36000));
  s.cancel = FromSeconds(GetNumber(workers, "workers", "cancel_s", 0.1, 360000));
  if (s.cancel <= s.lease) throw Bad("workers.cancel_s must be longer than workers.lease_s");
  const Json& state = Get(facts, "facts", "state");
  s.state_rps = GetNumber(state, "state", "rps", 1, 1e9);
  s.write_rps = GetNumber(state, "state", "write_rps", 1, 1e9);
  s.value_bytes = static_cast<int64_t>(1024 * GetNumber(state, "state", "value_kb", 1, 1e6));
  s.txn_ops = static_cast<int>(GetNumber(state, "state", "txn_ops", 4, 1e6));
  const Json& cloud = Get(facts, "facts", "cloud");
  s.cloud_rps = GetNumber(cloud, "cloud", "rps", 0.01, 1e9);
  s.list_lag = FromSeconds(GetNumber(cloud, "cloud", "list_lag_s", 0, 3600));
  const Json& resources = Get(facts, "facts", "resources");
  s.cores = GetNumber(resources, "resources", "cores", 0.001, 1e6);
  s.mem_mb = GetNumber(resources, "resources", "mem_mb", 1, 1e9);
  s.fd_limit = static_cast<int>(GetNumber(resources, "resources", "fd_limit", 32, 1e8));
  s.time_bound = FromSeconds(GetNumber(facts, "facts", "time_bound_ms", 0, 1e9) / 1000);

  s.labels.push_back(s.label);
  for (const Sibling& sibling : s.siblings) s.labels.push_back(sibling.label);
  std::sort(s.labels.begin(), s.labels.end());
  if (std::adjacent_find(s.labels.begin(), s.labels.end()) != s.labels.end()) {
    throw Bad("settings.siblings: two controllers have the same label");
  }
  s.own_shard =
      static_cast<int>(std::find(s.labels.begin(), s.labels.end(), s.label) - s.labels.begin());
  return s;
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
  Endpoint e;
  e.text = text;
  e.host = text.substr(0, colon);
  in_addr addr;
  if (inet_pton(AF_INET, e.host.c_str(), &addr) != 1) return std::nullopt;
  for (size_t i = colon + 1; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9') return std::nullopt;
    e.port = e.port * 10 + (text[i] - '0');
  }
  if (e.port < 1 || e.port > 65535) return std::nullopt;
  return e;
}

Result<Settings, SettingsFault> ParseSettings(const std::string& json) {
  Json doc = Json::parse(json, nullptr, false);
  if (doc.is_discarded()) {
    return Error<SettingsFault>{SettingsFault::kSyntax, "settings are not JSON"};
  }
  try {
    return Read(doc);
  } catch (const std::exception& e) {
    return Error<SettingsFault>{SettingsFault::kBadField, e.what()};
  }
}

Result<OperatorSettings, SettingsFault> ParseOperatorSettings(const std::string& text) {
  OperatorSettings o;
  google::protobuf::TextFormat::Parser parser;
  FirstError first;
  parser.RecordErrorsTo(&first);
  if (!parser.ParseFromString(text, &o)) {
    return Error<SettingsFault>{SettingsFault::kSyntax, "operator settings: " + first.text};
  }
  std::string error;
  auto range = [&error](const char* name, double v, double least, double most) {
    if (v >= least && v <= most) return true;
    char buf[200];
    std::snprintf(buf, sizeof buf, "operator settings: %s must be from %g to %g, not %g", name,
                  least, most, v);
    error = buf;
    return false;
  };
  const bool good = range("tail_threshold", o.tail_threshold(), 0.01, 1) &&
                    range("credit_share", o.credit_share(), 0, 10) &&
                    range("progress_period_s", o.progress_period_s(), 0.5, 600) &&
                    range("overdue_margin", o.overdue_margin(), 1, 100) &&
                    range("claim_life_s", o.claim_life_s(), 1, 120) &&
                    range("hand_back_after_s", o.hand_back_after_s(), 1, 3600) &&
                    range("service_headroom_cpus", o.service_headroom_cpus(), 0, 1e6) &&
                    range("service_headroom_share", o.service_headroom_share(), 0, 10) &&
                    range("idle_return_boots", o.idle_return_boots(), 0, 1000) &&
                    range("rent_share", o.rent_share(), 0, 10) &&
                    range("refusal_pause_s", o.refusal_pause_s(), 0.5, 3600) &&
                    range("boot_patience", o.boot_patience(), 1, 100) &&
                    range("array_headroom_share", o.array_headroom_share(), 0, 10) &&
                    range("machine_failures", o.machine_failures(), 1, 1000) &&
                    range("job_failures", o.job_failures(), 1, 1000) &&
                    range("starve_s", o.starve_s(), 0, 1e6) &&
                    range("consolidate_after_s", o.consolidate_after_s(), 0, 86400) &&
                    range("team_headroom_cpus", o.team_headroom_cpus(), 0, 1e6) &&
                    range("image_headroom_cpus", o.image_headroom_cpus(), 0, 1e6) &&
                    range("batch", o.batch(), 1, 100000) &&
                    range("batch_most", o.batch_most(), o.batch(), 100000);
  if (!good) return Error<SettingsFault>{SettingsFault::kBadField, std::move(error)};
  return o;
}

}  // namespace troutlink
