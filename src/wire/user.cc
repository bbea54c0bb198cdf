// Wire format for users: submissions, polls and aborts of jobs.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/micros.h"
#include "base/result.h"
#include "wire/field_checker.h"
#include "wire/messages.h"
#include "wire/pack.h"
#include "wire/types.h"
#include "wire/words.h"

namespace troutlink::wire {
namespace {

// Limits of a submission.
constexpr double kMaxAmount = 1e6;  // CPUs, GPUs or gigabytes per task
constexpr double kMaxSeconds = 1e8;
constexpr int kMaxTasks = 100000;
constexpr size_t kMaxMachineTypes = 64;

// Fields of a submission.
constexpr const char* kId = "name_id";
constexpr const char* kJobClass = "docket";
constexpr const char* kTeam = "owner";
constexpr const char* kKind = "form";
constexpr const char* kPriority = "rank";
constexpr const char* kTasks = "pieces";
constexpr const char* kCpus = "cpus";
constexpr const char* kGpus = "cards";
constexpr const char* kMemoryGb = "memory_gb";
constexpr const char* kImage = "bundle";
constexpr const char* kImageGb = "size_gb";
constexpr const char* kMachineTypes = "builds";
constexpr const char* kZone = "room";
constexpr const char* kOneZone = "together";
constexpr const char* kSpread = "spread";
constexpr const char* kSpot = "loaners";
constexpr const char* kEstimateSeconds = "expect_s";
constexpr const char* kCheckpointSeconds = "bookmark_s";
constexpr const char* kSaveSeconds = "stash_s";
constexpr const char* kDeadlineSeconds = "due_s";
constexpr const char* kDependencies = "awaits";
// Fields of answers, besides the id.
constexpr const char* kPhase = "status";
constexpr const char* kDoneTasks = "done";
constexpr const char* kRunningTasks = "running";
constexpr const char* kError = "error";

constexpr auto kKindWords = std::to_array<EnumWord<JobKind>>(
    {{JobKind::kArray, "array"}, {JobKind::kService, "service"}, {JobKind::kGang, "gang"}});
constexpr auto kPriorityWords =
    std::to_array<EnumWord<Priority>>({{Priority::kLow, "low"},
                                       {Priority::kNormal, "standard"},
                                       {Priority::kHigh, "urgent"},
                                       {Priority::kProduction, "critical"}});
constexpr auto kPhaseWords =
    std::to_array<EnumWord<JobPhase>>({{JobPhase::kQueued, "queued"},
                                       {JobPhase::kRunning, "running"},
                                       {JobPhase::kDone, "done"},
                                       {JobPhase::kCancelled, "cancelled"}});

constexpr double kThousandthsPerUnit = 1000;

// `value` in thousandths, rounded up except for representation errors.
int64_t ThousandthsUp(double value) {
  constexpr double kRepresentationError = 1e-6;
  return std::llround(std::ceil(value * kThousandthsPerUnit - kRepresentationError));
}

double FromThousandths(int64_t value) { return static_cast<double>(value) / kThousandthsPerUnit; }

// Enum words of the document, which are checked after all required fields have been read.
struct SpecWords {
  std::string kind;
  std::string priority;
};

// Reads the required strings, numbers and flags.
SpecWords ReadRequired(FieldChecker* fields, JobSpec* spec) {
  SpecWords words;
  spec->id = fields->RequiredText(kId);
  spec->job_class = fields->RequiredText(kJobClass);
  spec->team = fields->RequiredText(kTeam);
  words.kind = fields->RequiredText(kKind);
  words.priority = fields->RequiredText(kPriority);
  spec->image = fields->RequiredText(kImage);
  spec->task_resources.cpus = ThousandthsUp(fields->RequiredNumber(kCpus, kMaxAmount));
  spec->task_resources.gpus = ThousandthsUp(fields->RequiredNumber(kGpus, kMaxAmount));
  spec->task_resources.memory = ThousandthsUp(fields->RequiredNumber(kMemoryGb, kMaxAmount));
  spec->image_gb = fields->RequiredNumber(kImageGb, kMaxAmount);
  spec->estimate = FromSeconds(fields->RequiredNumber(kEstimateSeconds, kMaxSeconds));
  spec->checkpoint = FromSeconds(fields->RequiredNumber(kCheckpointSeconds, kMaxSeconds));
  spec->save = FromSeconds(fields->RequiredNumber(kSaveSeconds, kMaxSeconds));
  spec->one_zone = fields->RequiredFlag(kOneZone);
  spec->spread = fields->RequiredFlag(kSpread);
  spec->spot = fields->RequiredFlag(kSpot);
  return words;
}

// Checks the format of the id and parses the enum words.
void ReadWords(const SpecWords& words, FieldChecker* fields, JobSpec* spec) {
  if (!IsJobId(spec->id)) fields->FailField(kId, "must be job- and up to 32 digits");
  const std::optional<JobKind> kind = ParseWord(kKindWords, words.kind);
  if (!kind) fields->FailField(kKind, "must be array, gang or service");
  spec->kind = kind.value_or(spec->kind);
  const std::optional<Priority> priority = ParseWord(kPriorityWords, words.priority);
  if (!priority) fields->FailField(kPriority, "must be critical, urgent, standard or low");
  spec->priority = priority.value_or(spec->priority);
}

std::vector<std::string> ReadMachineTypes(FieldChecker* fields) {
  std::vector<std::string> types = fields->OptionalTexts(kMachineTypes);
  if (types.size() > kMaxMachineTypes) fields->FailTexts(kMachineTypes);
  // An empty list, which allows nothing, differs from null.
  if (types.empty() && fields->Has(kMachineTypes)) types.emplace_back();
  return types;
}

// The dependencies in order, without duplicates.
std::vector<std::string> ReadDependencies(FieldChecker* fields) {
  std::vector<std::string> jobs = fields->OptionalTexts(kDependencies);
  std::ranges::sort(jobs);
  jobs.erase(std::unique(jobs.begin(), jobs.end()), jobs.end());
  return jobs;
}

void ReadOptional(FieldChecker* fields, JobSpec* spec) {
  spec->types = ReadMachineTypes(fields);
  spec->dependencies = ReadDependencies(fields);
  if (fields->Has(kZone)) spec->zone = fields->RequiredText(kZone);
  if (fields->Has(kDeadlineSeconds)) {
    const Micros deadline = FromSeconds(fields->RequiredNumber(kDeadlineSeconds, kMaxSeconds));
    // 0: no deadline.
    spec->deadline = std::max<Micros>(1, deadline);
  }
}

}  // namespace

SpecResult DecodeSubmission(std::string_view body) {
  const std::optional<Json> doc = UnpackStrict(body);
  if (!doc || !doc->is_object()) {
    return Error<SubmissionFault>{SubmissionFault::kNotAMap,
                                  "body must be one MessagePack map keyed by text"};
  }
  return DecodeSpec(*doc);
}

SpecResult DecodeSpec(const Json& map) {
  FieldChecker fields(map);
  JobSpec spec;
  const SpecWords words = ReadRequired(&fields, &spec);
  ReadWords(words, &fields, &spec);
  spec.tasks = fields.RequiredCount(kTasks, kMaxTasks);
  ReadOptional(&fields, &spec);
  if (!fields.error().empty()) {
    return Error<SubmissionFault>{SubmissionFault::kBadField, fields.error()};
  }
  return spec;
}

Json EncodeSpec(const JobSpec& spec) {
  Json map = {{kId, spec.id},
              {kJobClass, spec.job_class},
              {kTeam, spec.team},
              {kKind, WordOf(kKindWords, spec.kind)},
              {kPriority, WordOf(kPriorityWords, spec.priority)},
              {kTasks, spec.tasks},
              {kCpus, FromThousandths(spec.task_resources.cpus)},
              {kGpus, FromThousandths(spec.task_resources.gpus)},
              {kMemoryGb, FromThousandths(spec.task_resources.memory)},
              {kImage, spec.image},
              {kImageGb, spec.image_gb},
              {kOneZone, spec.one_zone},
              {kSpread, spec.spread},
              {kSpot, spec.spot},
              {kEstimateSeconds, ToSeconds(spec.estimate)},
              {kCheckpointSeconds, ToSeconds(spec.checkpoint)},
              {kSaveSeconds, ToSeconds(spec.save)}};
  if (!spec.types.empty()) map[kMachineTypes] = spec.types;
  if (!spec.zone.empty()) map[kZone] = spec.zone;
  if (spec.deadline > 0) map[kDeadlineSeconds] = ToSeconds(spec.deadline);
  if (!spec.dependencies.empty()) map[kDependencies] = spec.dependencies;
  return map;
}

std::string EncodeSubmission(const JobSpec& spec) { return Pack(EncodeSpec(spec)); }

std::string EncodeJobState(std::string_view id, JobPhase state) {
  return Pack(Json{{kId, id}, {kPhase, WordOf(kPhaseWords, state)}});
}

std::string EncodeJobStatus(const JobStatus& status) {
  return Pack(Json{{kId, status.id},
                   {kPhase, WordOf(kPhaseWords, status.state)},
                   {kDoneTasks, status.done},
                   {kRunningTasks, status.running}});
}

std::optional<JobStatus> DecodeJobStatus(std::string_view body) {
  const std::optional<Json> doc = Unpack(body);
  if (!doc) return std::nullopt;
  std::string id = Text(*doc, kId).value_or("");
  const std::optional<JobPhase> phase = ParseWord(kPhaseWords, Text(*doc, kPhase).value_or(""));
  if (id.empty() || !phase) return std::nullopt;
  return JobStatus{.id = std::move(id),
                   .state = *phase,
                   .done = Integer(*doc, kDoneTasks).value_or(0),
                   .running = Integer(*doc, kRunningTasks).value_or(0)};
}

std::string EncodeError(std::string_view why) { return Pack(Json{{kError, why}}); }

std::optional<JobPath> ParseJobPath(std::string_view target) {
  if (!target.starts_with(kJobsPath)) return std::nullopt;
  std::string_view rest = target.substr(kJobsPath.size());
  if (!rest.starts_with('/')) return std::nullopt;
  rest.remove_prefix(1);
  const size_t id_end = rest.find('/');
  if (id_end == std::string_view::npos) return JobPath{.id = std::string(rest), .abort = false};
  if (rest.substr(id_end) != kAbortEnd) return std::nullopt;
  return JobPath{.id = std::string(rest.substr(0, id_end)), .abort = true};
}

}  // namespace troutlink::wire
