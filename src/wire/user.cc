// Users' side of the wire.
#include <algorithm>
#include <cmath>

#include "base/ids.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::wire {
namespace {

constexpr double kMaxAmount = 1e6;
constexpr double kMaxSeconds = 1e8;
constexpr int kMaxTasks = 100000;
constexpr size_t kMaxText = 200;
constexpr size_t kMaxTypes = 64;

// Required: present, a number, finite, within [0, most].
bool ReadAmount(const Json& map, const char* key, double most, double* out, std::string* why) {
  std::optional<double> value = Number(map, key);
  if (!value || *value < 0 || *value > most) {
    *why = std::string(key) + " must be a number from 0 to " + std::to_string(most);
    return false;
  }
  *out = *value;
  return true;
}

bool ReadText(const Json& map, const char* key, std::string* out, std::string* why) {
  std::optional<std::string> value = Text(map, key);
  if (!value || value->empty() || value->size() > kMaxText) {
    *why = std::string(key) + " must be a text of 1 to 200 bytes";
    return false;
  }
  *out = *value;
  return true;
}

bool ReadFlag(const Json& map, const char* key, bool* out, std::string* why) {
  const Json* value = Find(map, key);
  if (value == nullptr || !value->is_boolean()) {
    *why = std::string(key) + " must be a boolean";
    return false;
  }
  *out = value->get<bool>();
  return true;
}

int64_t Milli(double value) { return std::llround(std::ceil(value * 1000.0 - 1e-6)); }

constexpr std::string_view kPhases[] = {"queued", "running", "done", "cancelled"};

std::string_view PhaseWord(JobPhase phase) { return kPhases[static_cast<size_t>(phase)]; }

std::optional<JobPhase> ParsePhase(std::string_view word) {
  for (size_t index = 0; index < std::size(kPhases); ++index) {
    if (kPhases[index] == word) return static_cast<JobPhase>(index);
  }
  return std::nullopt;
}

// Optional: a list of texts, or null.
bool ReadTexts(const Json& map, const char* key, std::vector<std::string>* out, std::string* why) {
  const Json* list = Find(map, key);
  if (list == nullptr) return true;
  *why = std::string(key) + " must be a list of texts or null";
  if (!list->is_array()) return false;
  for (const Json& text : *list) {
    if (!text.is_string() || text.get_ref<const std::string&>().size() > kMaxText) return false;
    out->push_back(text.get<std::string>());
  }
  why->clear();
  return true;
}

// Nothing, and why, when a field is missing or out of its range.
std::optional<JobSpec> ReadSpec(const Json& map, std::string* why) {
  JobSpec spec;
  std::string kind, priority;
  double cpus = 0, gpus = 0, memory = 0, gb = 0, estimate = 0, checkpoint = 0, save = 0;
  if (!ReadText(map, "name_id", &spec.id, why) || !ReadText(map, "docket", &spec.job_class, why) ||
      !ReadText(map, "owner", &spec.team, why) || !ReadText(map, "form", &kind, why) ||
      !ReadText(map, "rank", &priority, why) || !ReadText(map, "bundle", &spec.image, why) ||
      !ReadAmount(map, "cpus", kMaxAmount, &cpus, why) ||
      !ReadAmount(map, "cards", kMaxAmount, &gpus, why) ||
      !ReadAmount(map, "memory_gb", kMaxAmount, &memory, why) ||
      !ReadAmount(map, "size_gb", kMaxAmount, &gb, why) ||
      !ReadAmount(map, "expect_s", kMaxSeconds, &estimate, why) ||
      !ReadAmount(map, "bookmark_s", kMaxSeconds, &checkpoint, why) ||
      !ReadAmount(map, "stash_s", kMaxSeconds, &save, why) ||
      !ReadFlag(map, "together", &spec.one_zone, why) ||
      !ReadFlag(map, "spread", &spec.spread, why) || !ReadFlag(map, "loaners", &spec.spot, why)) {
    return std::nullopt;
  }
  if (!IsJobId(spec.id)) {
    *why = "name_id must be job- and up to 32 digits";
    return std::nullopt;
  }
  if (kind == "array") {
    spec.kind = JobKind::kArray;
  } else if (kind == "service") {
    spec.kind = JobKind::kService;
  } else if (kind == "gang") {
    spec.kind = JobKind::kGang;
  } else {
    *why = "form must be array, gang or service";
    return std::nullopt;
  }
  if (priority == "critical") {
    spec.priority = Priority::kProduction;
  } else if (priority == "urgent") {
    spec.priority = Priority::kHigh;
  } else if (priority == "standard") {
    spec.priority = Priority::kNormal;
  } else if (priority == "low") {
    spec.priority = Priority::kLow;
  } else {
    *why = "rank must be critical, urgent, standard or low";
    return std::nullopt;
  }
  std::optional<uint64_t> tasks = Count(map, "pieces");
  if (!tasks || *tasks < 1 || *tasks > kMaxTasks) {
    *why = "pieces must be an integer from 1 to 100000";
    return std::nullopt;
  }
  spec.tasks = static_cast<int>(*tasks);
  spec.each = {Milli(cpus), Milli(gpus), Milli(memory)};
  spec.image_gb = gb;
  spec.estimate = FromSeconds(estimate);
  spec.checkpoint = FromSeconds(checkpoint);
  spec.save = FromSeconds(save);
  if (!ReadTexts(map, "builds", &spec.types, why)) return std::nullopt;
  if (spec.types.size() > kMaxTypes) {
    *why = "builds must be a list of texts or null";
    return std::nullopt;
  }
  // A list that allows nothing is not the same as null.
  if (spec.types.empty() && Find(map, "builds") != nullptr) spec.types.push_back("");
  if (!ReadTexts(map, "awaits", &spec.dependencies, why)) return std::nullopt;
  std::sort(spec.dependencies.begin(), spec.dependencies.end());
  spec.dependencies.erase(std::unique(spec.dependencies.begin(), spec.dependencies.end()),
                          spec.dependencies.end());
  if (Find(map, "room") != nullptr && !ReadText(map, "room", &spec.zone, why)) return std::nullopt;
  if (Find(map, "due_s") != nullptr) {
    double due = 0;
    if (!ReadAmount(map, "due_s", kMaxSeconds, &due, why)) return std::nullopt;
    spec.deadline = std::max<Micros>(1, FromSeconds(due));
  }
  return spec;
}

}  // namespace

SpecResult DecodeSubmission(std::string_view body) {
  std::optional<Json> doc = UnpackStrict(body);
  if (!doc || !doc->is_object()) {
    return Error<SubmissionFault>{SubmissionFault::kNotAMap,
                                  "body must be one MessagePack map keyed by text"};
  }
  return DecodeSpec(*doc);
}

SpecResult DecodeSpec(const Json& map) {
  std::string why;
  std::optional<JobSpec> spec = ReadSpec(map, &why);
  if (!spec) return Error<SubmissionFault>{SubmissionFault::kBadField, std::move(why)};
  return std::move(*spec);
}

Json EncodeSpec(const JobSpec& spec) {
  static constexpr const char* kPriorities[] = {"low", "standard", "urgent", "critical"};
  Json map = {{"name_id", spec.id},
              {"docket", spec.job_class},
              {"owner", spec.team},
              {"form", spec.kind == JobKind::kArray     ? "array"
                       : spec.kind == JobKind::kService ? "service"
                                                        : "gang"},
              {"rank", kPriorities[static_cast<int>(spec.priority)]},
              {"pieces", spec.tasks},
              {"cpus", static_cast<double>(spec.each.cpus) / 1000.0},
              {"cards", static_cast<double>(spec.each.gpus) / 1000.0},
              {"memory_gb", static_cast<double>(spec.each.memory) / 1000.0},
              {"bundle", spec.image},
              {"size_gb", spec.image_gb},
              {"together", spec.one_zone},
              {"spread", spec.spread},
              {"loaners", spec.spot},
              {"expect_s", ToSeconds(spec.estimate)},
              {"bookmark_s", ToSeconds(spec.checkpoint)},
              {"stash_s", ToSeconds(spec.save)}};
  if (!spec.types.empty()) map["builds"] = spec.types;
  if (!spec.zone.empty()) map["room"] = spec.zone;
  if (spec.deadline > 0) map["due_s"] = ToSeconds(spec.deadline);
  if (!spec.dependencies.empty()) map["awaits"] = spec.dependencies;
  return map;
}

std::string EncodeSubmission(const JobSpec& spec) { return Pack(EncodeSpec(spec)); }

std::string EncodeJobState(std::string_view id, JobPhase state) {
  return Pack(Json{{"name_id", id}, {"status", PhaseWord(state)}});
}

std::string EncodeJobStatus(const JobStatus& status) {
  return Pack(Json{{"name_id", status.id},
                   {"status", PhaseWord(status.state)},
                   {"done", status.done},
                   {"running", status.running}});
}

std::optional<JobStatus> DecodeJobStatus(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  if (!doc || !doc->is_object()) return std::nullopt;
  auto text = [&doc](const char* name) {
    auto it = doc->find(name);
    return it != doc->end() && it->is_string() ? it->get<std::string>() : std::string();
  };
  auto count = [&doc](const char* name) {
    auto it = doc->find(name);
    return it != doc->end() && it->is_number_integer() ? it->get<int64_t>() : int64_t{0};
  };
  std::string id = text("name_id");
  std::optional<JobPhase> phase = ParsePhase(text("status"));
  if (id.empty() || !phase) return std::nullopt;
  return JobStatus{std::move(id), *phase, count("done"), count("running")};
}

std::string EncodeError(std::string_view why) { return Pack(Json{{"error", why}}); }

std::optional<JobPath> ParseJobPath(std::string_view target) {
  if (target.substr(0, kJobsPath.size()) != kJobsPath) return std::nullopt;
  std::string_view rest = target.substr(kJobsPath.size());
  if (rest.empty() || rest[0] != '/') return std::nullopt;
  rest.remove_prefix(1);
  JobPath out;
  size_t slash = rest.find('/');
  if (slash != std::string_view::npos) {
    if (rest.substr(slash) != kAbortEnd) return std::nullopt;
    out.abort = true;
    rest = rest.substr(0, slash);
  }
  out.id = rest;
  return out;
}

}  // namespace troutlink::wire
