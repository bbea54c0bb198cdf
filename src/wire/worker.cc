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
  auto r = std::from_chars(text.data() + slash + 1, end, *task);
  return r.ec == std::errc() && r.ptr == end && *task >= 0;
}

Json OrderList(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& c : commands) {
    const char* verb = c.op == Command::Op::kStart  ? "start"
                       : c.op == Command::Op::kStop ? "stop"
                                                    : "reap";
    Json o = {{"verb", verb}, {"piece", c.job + "/" + std::to_string(c.task)}, {"try", c.attempt}};
    if (c.op == Command::Op::kStop) o["wind_down_s"] = ToSeconds(c.grace);
    list.push_back(std::move(o));
  }
  return list;
}

std::optional<TaskState> ParseTaskState(std::string_view s) {
  if (s == "pulling" || s == "gathering") return TaskState::kFetching;
  if (s == "running") return TaskState::kRunning;
  if (s == "flushing") return TaskState::kSaving;
  if (s == "ended") return TaskState::kExited;
  return std::nullopt;
}

ExitReason ParseExit(std::string_view s) {
  if (s == "done") return ExitReason::kDone;
  if (s == "halted") return ExitReason::kStopped;
  if (s == "no_room") return ExitReason::kNoRoom;
  if (s == "in_use") return ExitReason::kBusy;
  if (s == "no_such") return ExitReason::kUnknown;
  // Of gangs: a mate left, or the mates did not come in time.
  if (s == "mates_gone" || s == "alone") return ExitReason::kPeers;
  return ExitReason::kError;
}

}  // namespace

std::optional<Report> DecodeReport(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  if (!doc || !doc->is_object()) return std::nullopt;
  const Json& m = *doc;
  Report r;
  std::optional<std::string> machine = Text(m, "host");
  std::optional<uint64_t> session = Count(m, "shift"), seq = Count(m, "tally");
  if (!machine || machine->empty() || !session || !seq) return std::nullopt;
  r.machine = *machine;
  r.addr = Text(m, "address").value_or("");
  r.type = Text(m, "build").value_or("");
  r.zone = Text(m, "room").value_or("");
  r.spot = Flag(m, "loaners").value_or(false);
  r.session = *session;
  r.seq = *seq;
  r.token = Count(m, "baton").value_or(0);
  if (std::optional<double> n = Number(m, "warning_s")) r.notice = FromSeconds(*n);
  // Both names of the list were seen in descriptions; see docs/questions.md.
  const Json* tasks = Find(m, "pieces");
  if (tasks != nullptr) {
    if (!tasks->is_array()) return std::nullopt;
    for (const Json& t : *tasks) {
      TaskReport task;
      std::optional<std::string> name = Text(t, "piece");
      std::optional<uint64_t> attempt = Count(t, "try");
      std::optional<TaskState> state = ParseTaskState(Text(t, "status").value_or(""));
      // A report that we can read only in part must not prove an absence.
      if (!name || !attempt || !state || !SplitTask(*name, &task.job, &task.task)) {
        return std::nullopt;
      }
      task.attempt = *attempt;
      task.state = *state;
      if (task.state == TaskState::kExited) {
        std::optional<std::string> why = Text(t, "cause");
        if (!why) why = Text(t, "why");
        task.why = ParseExit(why.value_or("error"));
      }
      task.saved = Flag(t, "stored").value_or(false);
      r.tasks.push_back(std::move(task));
    }
  }
  return r;
}

std::string EncodeReport(const Report& r) {
  static constexpr const char* kStates[] = {"pulling", "running", "flushing", "ended"};
  static constexpr const char* kReasons[] = {"",        "done",   "halted",  "error",
                                             "no_room", "in_use", "no_such", "mates_gone"};
  Json tasks = Json::array();
  for (const TaskReport& t : r.tasks) {
    Json o = {{"piece", t.job + "/" + std::to_string(t.task)},
              {"try", t.attempt},
              {"status", kStates[static_cast<int>(t.state)]}};
    if (t.why != ExitReason::kNone) o["cause"] = kReasons[static_cast<int>(t.why)];
    if (t.saved) o["stored"] = true;
    tasks.push_back(std::move(o));
  }
  Json m = {{"host", r.machine}, {"address", r.addr}, {"build", r.type},
            {"room", r.zone},    {"loaners", r.spot}, {"shift", r.session},
            {"tally", r.seq},    {"baton", r.token},  {"pieces", std::move(tasks)}};
  if (r.notice) m["warning_s"] = ToSeconds(*r.notice);
  return Pack(m);
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
