#include "config/settings.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/micros.h"
#include "base/result.h"
#include "config/json_reader.h"
#include "config/settings_fault.h"

namespace troutlink {
namespace {

using Json = nlohmann::json;

// Ranges of numbers in the settings, in the units of the document.
constexpr NumberRange kQuota = {0, 1e9};  // CPUs or GPUs of a team
constexpr NumberRange kReportSeconds = {0.01, 3600};
constexpr NumberRange kLeaseSeconds = {0.1, 36000};
constexpr NumberRange kCancelSeconds = {0.1, 360000};
constexpr NumberRange kStateRate = {1, 1e9};  // requests or writes per second
constexpr NumberRange kValueKilobytes = {1, 1e6};
constexpr NumberRange kTransactionOps = {4, 1e6};
constexpr NumberRange kCloudRate = {0.01, 1e9};  // requests per second
constexpr NumberRange kListLagSeconds = {0, 3600};
constexpr NumberRange kCores = {0.001, 1e6};
constexpr NumberRange kMemoryMegabytes = {1, 1e9};
constexpr NumberRange kFileDescriptors = {32, 1e8};
constexpr NumberRange kTimeBoundMillis = {0, 1e9};

constexpr double kBytesPerKilobyte = 1024;
constexpr double kMillisPerSecond = 1000;
constexpr double kThousandthsPerUnit = 1000;

int64_t Thousandths(double value) { return std::llround(value * kThousandthsPerUnit); }

Objective::Kind ParseObjectiveKind(std::string_view word) {
  if (word == "wait") return Objective::Kind::kWait;
  if (word == "finished") return Objective::Kind::kFinished;
  if (word == "deadline") return Objective::Kind::kDeadline;
  return Objective::Kind::kOther;
}

std::vector<PeerController> ReadSiblings(const JsonObjectReader& root, FirstError* error) {
  std::vector<PeerController> siblings;
  for (const Json& element : root.List("siblings")) {
    const JsonObjectReader fields(element, "siblings[]", error);
    siblings.push_back({.label = fields.Text("label"),
                        .zone = fields.Text("area"),
                        .mesh = fields.Address("endpoint")});
  }
  return siblings;
}

std::vector<std::string> ReadZones(const JsonObjectReader& facts) {
  std::vector<std::string> zones;
  for (const Json& zone : facts.List("zones")) {
    if (!zone.is_string()) {
      facts.Fail("facts.zones must hold texts");
      return {};
    }
    zones.push_back(zone.get<std::string>());
  }
  return zones;
}

std::vector<Team> ReadTeams(const JsonObjectReader& facts, FirstError* error) {
  std::vector<Team> teams;
  for (const Json& element : facts.List("teams")) {
    const JsonObjectReader fields(element, "teams[]", error);
    teams.push_back({.name = fields.Text("name"),
                     .cpus = Thousandths(fields.Number("cpus", kQuota)),
                     .cpus_max = Thousandths(fields.Number("cpus_max", kQuota)),
                     .gpus = Thousandths(fields.Number("gpus", kQuota)),
                     .gpus_max = Thousandths(fields.Number("gpus_max", kQuota))});
  }
  return teams;
}

// The field as a number, or `otherwise` if it is missing or of another type.
double NumberOr(const Json& map, const char* key, double otherwise) {
  const auto it = map.find(key);
  return it != map.end() && it->is_number() ? it->get<double>() : otherwise;
}

// Throws a JSON exception if the kind or the class is not a string.
Objective ReadObjective(const Json& map) {
  Objective objective;
  objective.kind = ParseObjectiveKind(map.value("kind", ""));
  objective.job_class = map.value("class", "");
  objective.within = FromSeconds(NumberOr(map, "within_s", 0));
  objective.times = NumberOr(map, "times", objective.times);
  objective.share = NumberOr(map, "share", objective.share);
  return objective;
}

// Objectives are optional; elements that are not objects are ignored.
std::vector<Objective> ReadObjectives(const JsonObjectReader& facts) {
  const Json* list = facts.Find("objectives");
  if (list == nullptr || !list->is_array()) return {};
  std::vector<Objective> objectives;
  try {
    for (const Json& map : *list) {
      if (map.is_object()) objectives.push_back(ReadObjective(map));
    }
  } catch (const Json::exception& exception) {
    // The JSON library's error text is part of the operators' interface.
    facts.Fail(exception.what());
  }
  return objectives;
}

void ReadWorkers(const JsonObjectReader& workers, Settings* settings) {
  settings->heartbeat_period = FromSeconds(workers.Number("report_s", kReportSeconds));
  settings->agent_lease = FromSeconds(workers.Number("lease_s", kLeaseSeconds));
  settings->cancellation_deadline = FromSeconds(workers.Number("cancel_s", kCancelSeconds));
  if (settings->cancellation_deadline <= settings->agent_lease) {
    workers.Fail("workers.cancel_s must be longer than workers.lease_s");
  }
}

StateLimits ReadStateLimits(const JsonObjectReader& state) {
  StateLimits limits;
  limits.write_rps = state.Number("write_rps", kStateRate);
  limits.value_bytes =
      static_cast<int64_t>(kBytesPerKilobyte * state.Number("value_kb", kValueKilobytes));
  limits.txn_ops = static_cast<int>(state.Number("txn_ops", kTransactionOps));
  return limits;
}

// Announced limits default to the present ones and cannot exceed them.
StateLimits ReadNextStateLimits(const JsonObjectReader& state, const StateLimits& present,
                                FirstError* error) {
  const Json* next = state.Find("next");
  if (next == nullptr || next->is_null()) return present;
  if (!next->is_object()) {
    state.Fail("state.next must be an object");
    return present;
  }
  Json merged = state.value();
  merged.merge_patch(*next);
  StateLimits limits = ReadStateLimits(JsonObjectReader(merged, "state.next", error));
  limits.write_rps = std::min(limits.write_rps, present.write_rps);
  limits.value_bytes = std::min(limits.value_bytes, present.value_bytes);
  limits.txn_ops = std::min(limits.txn_ops, present.txn_ops);
  return limits;
}

void ReadFacts(const JsonObjectReader& facts, Settings* settings, FirstError* error) {
  settings->zones = ReadZones(facts);
  settings->teams = ReadTeams(facts, error);
  settings->objectives = ReadObjectives(facts);
  ReadWorkers(facts.Object("workers", "workers"), settings);
  const JsonObjectReader state = facts.Object("state", "state");
  settings->state_rps = state.Number("rps", kStateRate);
  settings->state_limits = ReadStateLimits(state);
  settings->next_state_limits = ReadNextStateLimits(state, settings->state_limits, error);
  const JsonObjectReader cloud = facts.Object("cloud", "cloud");
  settings->cloud_rps = cloud.Number("rps", kCloudRate);
  settings->list_lag = FromSeconds(cloud.Number("list_lag_s", kListLagSeconds));
  const JsonObjectReader resources = facts.Object("resources", "resources");
  settings->cores = resources.Number("cores", kCores);
  settings->mem_mb = resources.Number("mem_mb", kMemoryMegabytes);
  settings->fd_limit = static_cast<int>(resources.Number("fd_limit", kFileDescriptors));
  settings->time_bound =
      FromSeconds(facts.Number("time_bound_ms", kTimeBoundMillis) / kMillisPerSecond);
}

// Shards are numbered by the order of the controllers' labels, which is the same on all
// controllers.
void AssignShards(const JsonObjectReader& root, Settings* settings) {
  std::vector<std::string>& labels = settings->labels;
  labels.push_back(settings->label);
  for (const PeerController& sibling : settings->peers) labels.push_back(sibling.label);
  std::ranges::sort(labels);
  if (std::ranges::adjacent_find(labels) != labels.end()) {
    root.Fail("settings.siblings: two controllers have the same label");
  }
  settings->home_shard =
      static_cast<int>(std::distance(labels.begin(), std::ranges::find(labels, settings->label)));
}

}  // namespace

const Team* Settings::FindTeam(const std::string& name) const {
  const auto found = std::find_if(teams.begin(), teams.end(),
                                  [&name](const Team& team) { return team.name == name; });
  return found == teams.end() ? nullptr : &*found;
}

Result<Settings, SettingsFault> ParseSettings(const std::string& json) {
  const Json document = Json::parse(json, nullptr, false);
  if (document.is_discarded()) {
    return Error<SettingsFault>{SettingsFault::kSyntax, "settings are not JSON"};
  }
  FirstError error;
  const JsonObjectReader root(document, "settings", &error);
  Settings settings;
  settings.label = root.Text("label");
  settings.zone = root.Text("area");
  settings.serve = root.Address("serve_on");
  settings.mesh = root.Address("mesh_addr");
  settings.peers = ReadSiblings(root, &error);
  const JsonObjectReader external = root.Object("external", "external");
  settings.cloud = external.Address("cloud");
  settings.state = external.Address("state");
  ReadFacts(root.Object("facts", "facts"), &settings, &error);
  AssignShards(root, &settings);
  if (error.any()) return Error<SettingsFault>{SettingsFault::kBadField, error.text()};
  return settings;
}

}  // namespace troutlink
