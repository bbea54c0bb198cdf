// Wire format for agents: heartbeats, commands and redirects.
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "base/micros.h"
#include "wire/messages.h"
#include "wire/pack.h"
#include "wire/types.h"
#include "wire/words.h"

namespace troutlink::wire {
namespace {

// Fields of a heartbeat, some of them also in answers and commands.
constexpr const char* kMachine = "host";
constexpr const char* kAddress = "address";
constexpr const char* kMachineType = "build";
constexpr const char* kZone = "room";
constexpr const char* kSpot = "loaners";
constexpr const char* kIncarnation = "shift";
constexpr const char* kSequence = "tally";
constexpr const char* kToken = "baton";
constexpr const char* kNoticeSeconds = "warning_s";
constexpr const char* kTasks = "pieces";
// Fields of a task in a heartbeat and of a command.
constexpr const char* kTask = "piece";
constexpr const char* kAttempt = "try";
constexpr const char* kState = "status";
constexpr const char* kExitReason = "cause";
constexpr const char* kExitReasonAlternative = "why";  // read only; see docs/questions.md
constexpr const char* kSaved = "stored";
constexpr const char* kOperation = "verb";
constexpr const char* kGraceSeconds = "wind_down_s";
// Fields of answers and commands.
constexpr const char* kCommands = "orders";
constexpr const char* kReportTo = "foreman";

constexpr auto kTaskStateWords =
    std::to_array<EnumWord<TaskState>>({{TaskState::kFetching, "pulling"},
                                        {TaskState::kFetching, "gathering"},  // a gang's tasks
                                        {TaskState::kRunning, "running"},
                                        {TaskState::kSaving, "flushing"},
                                        {TaskState::kExited, "ended"}});
constexpr auto kExitReasonWords =
    std::to_array<EnumWord<ExitReason>>({{ExitReason::kDone, "done"},
                                         {ExitReason::kStopped, "halted"},
                                         {ExitReason::kError, "error"},
                                         {ExitReason::kNoRoom, "no_room"},
                                         {ExitReason::kBusy, "in_use"},
                                         {ExitReason::kUnknown, "no_such"},
                                         // For gangs: a peer has left, or the peers did not arrive
                                         // in time.
                                         {ExitReason::kPeers, "mates_gone"},
                                         {ExitReason::kPeers, "alone"}});
constexpr auto kOperationWords = std::to_array<EnumWord<Command::Op>>(
    {{Command::Op::kStart, "start"}, {Command::Op::kStop, "stop"}, {Command::Op::kForget, "reap"}});

// Name of a task: `job/number`.
struct TaskName {
  std::string job;
  int number = 0;
};

std::string FormatTaskName(const std::string& job, int number) {
  return job + "/" + std::to_string(number);
}

std::optional<TaskName> ParseTaskName(std::string_view text) {
  const size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(slash + 1);
  const char* end = digits.data() + digits.size();
  TaskName name{.job = std::string(text.substr(0, slash))};
  const auto [parsed, error] = std::from_chars(digits.data(), end, name.number);
  if (error != std::errc() || parsed != end || name.number < 0) return std::nullopt;
  return name;
}

// Nothing for a partly readable element.
std::optional<TaskStatus> DecodeTaskReport(const Json& item) {
  const std::optional<TaskName> name = ParseTaskName(Text(item, kTask).value_or(""));
  const std::optional<uint64_t> attempt = Count(item, kAttempt);
  const std::optional<TaskState> state =
      ParseWord(kTaskStateWords, Text(item, kState).value_or(""));
  if (!name || !attempt || !state) return std::nullopt;
  TaskStatus task;
  task.job = name->job;
  task.task = name->number;
  task.attempt = *attempt;
  task.state = *state;
  if (task.state == TaskState::kExited) {
    std::optional<std::string> reason = Text(item, kExitReason);
    if (!reason) reason = Text(item, kExitReasonAlternative);
    // Unknown reasons count as errors.
    task.why = ParseWord(kExitReasonWords, reason.value_or("")).value_or(ExitReason::kError);
  }
  task.saved = Flag(item, kSaved).value_or(false);
  return task;
}

Json EncodeTaskReport(const TaskStatus& task) {
  Json item = {{kTask, FormatTaskName(task.job, task.task)},
               {kAttempt, task.attempt},
               {kState, WordOf(kTaskStateWords, task.state)}};
  if (task.why != ExitReason::kNone) item[kExitReason] = WordOf(kExitReasonWords, task.why);
  if (task.saved) item[kSaved] = true;
  return item;
}

Json EncodeCommandList(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& command : commands) {
    Json item = {{kOperation, WordOf(kOperationWords, command.op)},
                 {kTask, FormatTaskName(command.job, command.task)},
                 {kAttempt, command.attempt}};
    if (command.op == Command::Op::kStop) item[kGraceSeconds] = ToSeconds(command.grace);
    list.push_back(std::move(item));
  }
  return list;
}

}  // namespace

std::optional<AgentHeartbeat> DecodeAgentHeartbeat(std::string_view body) {
  const std::optional<Json> doc = Unpack(body);
  if (!doc) return std::nullopt;
  const Json& map = *doc;
  const std::optional<std::string> machine = Text(map, kMachine);
  const std::optional<uint64_t> incarnation = Count(map, kIncarnation);
  const std::optional<uint64_t> sequence = Count(map, kSequence);
  if (!machine || machine->empty() || !incarnation || !sequence) return std::nullopt;
  AgentHeartbeat heartbeat;
  heartbeat.machine = *machine;
  heartbeat.addr = Text(map, kAddress).value_or("");
  heartbeat.type = Text(map, kMachineType).value_or("");
  heartbeat.zone = Text(map, kZone).value_or("");
  heartbeat.spot = Flag(map, kSpot).value_or(false);
  heartbeat.incarnation = *incarnation;
  heartbeat.seq = *sequence;
  heartbeat.token = Count(map, kToken).value_or(0);
  if (const std::optional<double> notice = Number(map, kNoticeSeconds)) {
    heartbeat.notice = FromSeconds(*notice);
  }
  const Json* tasks = Find(map, kTasks);
  if (tasks == nullptr) return heartbeat;
  if (!tasks->is_array()) return std::nullopt;
  for (const Json& item : *tasks) {
    std::optional<TaskStatus> task = DecodeTaskReport(item);
    // A partly readable heartbeat must not prove an absence.
    if (!task) return std::nullopt;
    heartbeat.tasks.push_back(*std::move(task));
  }
  return heartbeat;
}

std::string EncodeAgentHeartbeat(const AgentHeartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const TaskStatus& task : heartbeat.tasks) tasks.push_back(EncodeTaskReport(task));
  Json map = {{kMachine, heartbeat.machine},  {kAddress, heartbeat.addr},
              {kMachineType, heartbeat.type}, {kZone, heartbeat.zone},
              {kSpot, heartbeat.spot},        {kIncarnation, heartbeat.incarnation},
              {kSequence, heartbeat.seq},     {kToken, heartbeat.token},
              {kTasks, std::move(tasks)}};
  if (heartbeat.notice) map[kNoticeSeconds] = ToSeconds(*heartbeat.notice);
  return Pack(map);
}

std::string EncodeHeartbeatReply(uint64_t token, const std::vector<Command>& commands) {
  return Pack(Json{{kToken, token}, {kCommands, EncodeCommandList(commands)}});
}

std::string EncodeCommands(uint64_t token, uint64_t incarnation,
                           const std::vector<Command>& commands) {
  return Pack(
      Json{{kToken, token}, {kIncarnation, incarnation}, {kCommands, EncodeCommandList(commands)}});
}

std::string EncodeRedirect(std::string_view label) {
  if (label.empty()) return Pack(Json::object());
  return Pack(Json{{kReportTo, label}});
}

}  // namespace troutlink::wire
