// Workers' side of the wire.
#include <charconv>

#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::wire {
namespace {

bool SplitTask(std::string_view text, std::string* job, int* task) {
  size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) return false;
  *job = text.substr(0, slash);
  const char* end = text.data() + text.size();
  auto result = std::from_chars(text.data() + slash + 1, end, *task);
  return result.ec == std::errc() && result.ptr == end && *task >= 0;
}

Json OrderList(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& command : commands) {
    const char* verb = command.op == Command::Op::kStart  ? "start"
                       : command.op == Command::Op::kStop ? "stop"
                                                          : "reap";
    Json order = {{"verb", verb},
                  {"piece", command.job + "/" + std::to_string(command.task)},
                  {"try", command.attempt}};
    if (command.op == Command::Op::kStop) order["wind_down_s"] = ToSeconds(command.grace);
    list.push_back(std::move(order));
  }
  return list;
}

std::optional<TaskState> ParseTaskState(std::string_view word) {
  if (word == "pulling" || word == "gathering") return TaskState::kFetching;
  if (word == "running") return TaskState::kRunning;
  if (word == "flushing") return TaskState::kSaving;
  if (word == "ended") return TaskState::kExited;
  return std::nullopt;
}

ExitReason ParseExit(std::string_view word) {
  if (word == "done") return ExitReason::kDone;
  if (word == "halted") return ExitReason::kStopped;
  if (word == "no_room") return ExitReason::kNoRoom;
  if (word == "in_use") return ExitReason::kBusy;
  if (word == "no_such") return ExitReason::kUnknown;
  // Of gangs: a mate left, or the mates did not come in time.
  if (word == "mates_gone" || word == "alone") return ExitReason::kPeers;
  return ExitReason::kError;
}

}  // namespace

std::optional<Report> DecodeReport(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  if (!doc || !doc->is_object()) return std::nullopt;
  const Json& map = *doc;
  Report report;
  std::optional<std::string> machine = Text(map, "host");
  std::optional<uint64_t> session = Count(map, "shift"), seq = Count(map, "tally");
  if (!machine || machine->empty() || !session || !seq) return std::nullopt;
  report.machine = *machine;
  report.addr = Text(map, "address").value_or("");
  report.type = Text(map, "build").value_or("");
  report.zone = Text(map, "room").value_or("");
  report.spot = Flag(map, "loaners").value_or(false);
  report.session = *session;
  report.seq = *seq;
  report.token = Count(map, "baton").value_or(0);
  if (std::optional<double> notice = Number(map, "warning_s")) report.notice = FromSeconds(*notice);
  // Both names of the list were seen in descriptions; see docs/questions.md.
  const Json* tasks = Find(map, "pieces");
  if (tasks != nullptr) {
    if (!tasks->is_array()) return std::nullopt;
    for (const Json& item : *tasks) {
      TaskReport task;
      std::optional<std::string> name = Text(item, "piece");
      std::optional<uint64_t> attempt = Count(item, "try");
      std::optional<TaskState> state = ParseTaskState(Text(item, "status").value_or(""));
      // A report that we can read only in part must not prove an absence.
      if (!name || !attempt || !state || !SplitTask(*name, &task.job, &task.task)) {
        return std::nullopt;
      }
      task.attempt = *attempt;
      task.state = *state;
      if (task.state == TaskState::kExited) {
        std::optional<std::string> why = Text(item, "cause");
        if (!why) why = Text(item, "why");
        task.why = ParseExit(why.value_or("error"));
      }
      task.saved = Flag(item, "stored").value_or(false);
      report.tasks.push_back(std::move(task));
    }
  }
  return report;
}

std::string EncodeReport(const Report& report) {
  static constexpr const char* kStates[] = {"pulling", "running", "flushing", "ended"};
  static constexpr const char* kReasons[] = {"",        "done",   "halted",  "error",
                                             "no_room", "in_use", "no_such", "mates_gone"};
  Json tasks = Json::array();
  for (const TaskReport& task : report.tasks) {
    Json item = {{"piece", task.job + "/" + std::to_string(task.task)},
                 {"try", task.attempt},
                 {"status", kStates[static_cast<int>(task.state)]}};
    if (task.why != ExitReason::kNone) item["cause"] = kReasons[static_cast<int>(task.why)];
    if (task.saved) item["stored"] = true;
    tasks.push_back(std::move(item));
  }
  Json map = {{"host", report.machine}, {"address", report.addr}, {"build", report.type},
              {"room", report.zone},    {"loaners", report.spot}, {"shift", report.session},
              {"tally", report.seq},    {"baton", report.token},  {"pieces", std::move(tasks)}};
  if (report.notice) map["warning_s"] = ToSeconds(*report.notice);
  return Pack(map);
}

std::string EncodeReportReply(uint64_t token, const std::vector<Command>& commands) {
  return Pack(Json{{"baton", token}, {"orders", OrderList(commands)}});
}

std::string EncodeCommands(uint64_t token, uint64_t session, const std::vector<Command>& commands) {
  return Pack(Json{{"baton", token}, {"shift", session}, {"orders", OrderList(commands)}});
}

std::string EncodeReportTo(std::string_view label) {
  if (label.empty()) return Pack(Json::object());
  return Pack(Json{{"foreman", label}});
}

}  // namespace troutlink::wire
