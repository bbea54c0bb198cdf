// Users' side of the wire.
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

// Required: present, a number, finite, within [0, most].
bool ReadAmount(const Json& map, const char* key, double most, double* out, std::string* why) {
  std::optional<double> v = Number(map, key);
  if (!v || *v < 0 || *v > most) {
    *why = std::string(key) + " must be a number from 0 to " + std::to_string(most);
    return false;
  }
  *out = *v;
  return true;
}

bool ReadText(const Json& map, const char* key, std::string* out, std::string* why) {
  std::optional<std::string> v = Text(map, key);
  if (!v || v->empty() || v->size() > kMaxText) {
    *why = std::string(key) + " must be a text of 1 to 200 bytes";
    return false;
  }
  *out = *v;
  return true;
}

bool ReadFlag(const Json& map, const char* key, bool* out, std::string* why) {
  const Json* v = Find(map, key);
  if (v == nullptr || !v->is_boolean()) {
    *why = std::string(key) + " must be a boolean";
    return false;
  }
  *out = v->get<bool>();
  return true;
}

int64_t Milli(double v) { return std::llround(std::ceil(v * 1000.0 - 1e-6)); }

constexpr std::string_view kPhases[] = {"queued", "running", "done", "cancelled"};

std::string_view PhaseWord(JobPhase phase) { return kPhases[static_cast<size_t>(phase)]; }

std::optional<JobPhase> ParsePhase(std::string_view word) {
  for (size_t i = 0; i < std::size(kPhases); ++i) {
    if (kPhases[i] == word) return static_cast<JobPhase>(i);
  }
  return std::nullopt;
}

// Nothing, and why, when a field is missing or out of its range.
std::optional<JobSpec> ReadSpec(const Json& m, std::string* why) {
  JobSpec s;
  std::string kind, priority;
  double cpus = 0, gpus = 0, memory = 0, gb = 0, estimate = 0, checkpoint = 0, save = 0;
  if (!ReadText(m, "name_id", &s.id, why) || !ReadText(m, "docket", &s.job_class, why) ||
      !ReadText(m, "owner", &s.team, why) || !ReadText(m, "form", &kind, why) ||
      !ReadText(m, "rank", &priority, why) || !ReadText(m, "bundle", &s.image, why) ||
      !ReadAmount(m, "cpus", kMaxAmount, &cpus, why) ||
      !ReadAmount(m, "cards", kMaxAmount, &gpus, why) ||
      !ReadAmount(m, "memory_gb", kMaxAmount, &memory, why) ||
      !ReadAmount(m, "size_gb", kMaxAmount, &gb, why) ||
      !ReadAmount(m, "expect_s", kMaxSeconds, &estimate, why) ||
      !ReadAmount(m, "bookmark_s", kMaxSeconds, &checkpoint, why) ||
      !ReadAmount(m, "stash_s", kMaxSeconds, &save, why) ||
      !ReadFlag(m, "together", &s.one_zone, why) || !ReadFlag(m, "spread", &s.spread, why) ||
      !ReadFlag(m, "loaners", &s.spot, why)) {
    return std::nullopt;
  }
  if (!IsJobId(s.id)) {
    *why = "name_id must be job- and up to 32 digits";
    return std::nullopt;
  }
  if (kind == "array") {
    s.kind = JobKind::kArray;
  } else if (kind == "service") {
    s.kind = JobKind::kService;
  } else if (kind == "gang") {
    s.kind = JobKind::kGang;
  } else {
    *why = "form must be array, gang or service";
    return std::nullopt;
  }
  if (priority == "critical") {
    s.priority = Priority::kProduction;
  } else if (priority == "urgent") {
    s.priority = Priority::kHigh;
  } else if (priority == "standard") {
    s.priority = Priority::kNormal;
  } else if (priority == "low") {
    s.priority = Priority::kLow;
  } else {
    *why = "rank must be critical, urgent, standard or low";
    return std::nullopt;
  }
  std::optional<uint64_t> tasks = Count(m, "pieces");
  if (!tasks || *tasks < 1 || *tasks > kMaxTasks) {
    *why = "pieces must be an integer from 1 to 100000";
    return std::nullopt;
  }
  s.tasks = static_cast<int>(*tasks);
  s.each = {Milli(cpus), Milli(gpus), Milli(memory)};
  s.image_gb = gb;
  s.estimate = FromSeconds(estimate);
  s.checkpoint = FromSeconds(checkpoint);
  s.save = FromSeconds(save);
  if (const Json* types = Find(m, "builds")) {
    if (!types->is_array() || types->size() > 64) {
      *why = "builds must be a list of texts or null";
      return std::nullopt;
    }
    for (const Json& t : *types) {
      if (!t.is_string() || t.get_ref<const std::string&>().size() > kMaxText) {
        *why = "builds must be a list of texts or null";
        return std::nullopt;
      }
      s.types.push_back(t.get<std::string>());
    }
    // A list that allows nothing is not the same as null.
    if (s.types.empty()) s.types.push_back("");
  }
  if (Find(m, "room") != nullptr && !ReadText(m, "room", &s.zone, why)) return std::nullopt;
  if (Find(m, "due_s") != nullptr) {
    double due = 0;
    if (!ReadAmount(m, "due_s", kMaxSeconds, &due, why)) return std::nullopt;
    s.deadline = std::max<Micros>(1, FromSeconds(due));
  }
  return s;
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

Json EncodeSpec(const JobSpec& s) {
  static constexpr const char* kPriorities[] = {"low", "standard", "urgent", "critical"};
  Json m = {{"name_id", s.id},
            {"docket", s.job_class},
            {"owner", s.team},
            {"form", s.kind == JobKind::kArray     ? "array"
                     : s.kind == JobKind::kService ? "service"
                                                   : "gang"},
            {"rank", kPriorities[static_cast<int>(s.priority)]},
            {"pieces", s.tasks},
            {"cpus", static_cast<double>(s.each.cpus) / 1000.0},
            {"cards", static_cast<double>(s.each.gpus) / 1000.0},
            {"memory_gb", static_cast<double>(s.each.memory) / 1000.0},
            {"bundle", s.image},
            {"size_gb", s.image_gb},
            {"together", s.one_zone},
            {"spread", s.spread},
            {"loaners", s.spot},
            {"expect_s", ToSeconds(s.estimate)},
            {"bookmark_s", ToSeconds(s.checkpoint)},
            {"stash_s", ToSeconds(s.save)}};
  if (!s.types.empty()) m["builds"] = s.types;
  if (!s.zone.empty()) m["room"] = s.zone;
  if (s.deadline > 0) m["due_s"] = ToSeconds(s.deadline);
  return m;
}

std::string EncodeSubmission(const JobSpec& s) { return Pack(EncodeSpec(s)); }

std::string EncodeJobState(std::string_view id, JobPhase state) {
  return Pack(Json{{"name_id", id}, {"status", PhaseWord(state)}});
}

std::string EncodeJobStatus(const JobStatus& s) {
  return Pack(Json{
      {"name_id", s.id}, {"status", PhaseWord(s.state)}, {"done", s.done}, {"running", s.running}});
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
