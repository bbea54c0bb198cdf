#include "fake_agent.h"

#include <algorithm>

#include "wire/messages.h"

namespace troutlink::test {

AgentHeartbeat FakeAgent::MakeHeartbeat() {
  AgentHeartbeat report;
  report.machine = name;
  report.addr = addr;
  report.type = type;
  report.zone = zone;
  report.spot = spot;
  report.incarnation = incarnation;
  report.seq = ++seq;
  report.token = token;
  for (const auto& [key, task] : tasks) {
    TaskStatus line;
    line.job = key.first;
    line.task = key.second;
    line.attempt = task.attempt;
    line.state = task.state;
    line.why = task.why;
    report.tasks.push_back(line);
  }
  return report;
}

void FakeAgent::Apply(Micros now, const Json& orders) {
  for (const Json& order : orders) {
    const std::string piece = order.at("piece").get<std::string>();
    const std::string verb = order.at("verb").get<std::string>();
    const uint64_t attempt = order.at("try").get<uint64_t>();
    const size_t slash = piece.rfind('/');
    const std::string job = piece.substr(0, slash);
    const int task_index = std::stoi(piece.substr(slash + 1));
    auto it = tasks.find({job, task_index});
    if (verb == "start") {
      if (it == tasks.end()) StartTask(now, job, task_index, attempt);
    } else if (it != tasks.end() && it->second.attempt == attempt) {
      if (verb == "stop" && it->second.state != TaskState::kExited) {
        Stop(now, FromSeconds(order.value("wind_down_s", 0.0)), &it->second);
      } else if (verb == "reap" && it->second.state == TaskState::kExited) {
        tasks.erase(it);
      }
    }
  }
}

void FakeAgent::Stop(Micros now, Micros grace, Task* task) {
  const bool saves = save_time > 0 && grace >= save_time;
  if (saves && task->state == TaskState::kSaving) return;
  if (saves && task->state == TaskState::kRunning) {
    task->state = TaskState::kSaving;
    task->ends = now + save_time;
  } else {
    task->state = TaskState::kExited;
    task->why = ExitReason::kStopped;
  }
  next_heartbeat = now;
}

void FakeAgent::StartTask(Micros now, const std::string& job, int task_index, uint64_t attempt) {
  ++starts;
  Task task;
  task.attempt = attempt;
  if (results != nullptr && results->count({job, task_index}) != 0) {
    task.state = TaskState::kExited;
    task.why = ExitReason::kDone;
  } else if (fetch_time > 0 && !fails_all_tasks) {
    task.state = TaskState::kFetching;
    task.ends = now + fetch_time;
  } else {
    BeginRunning(now, job, task_index, &task);
    if (fails_all_tasks || (failing_jobs != nullptr && failing_jobs->count(job) != 0)) {
      task.state = TaskState::kExited;
      task.why = ExitReason::kError;
    }
  }
  tasks[{job, task_index}] = task;
}

void FakeAgent::BeginRunning(Micros now, const std::string& job, int task_index, Task* task) {
  if (on_start) on_start(job, task_index);
  const Micros run = run_time.count(job) != 0 ? run_time[job] : 0;
  task->state = TaskState::kRunning;
  task->ends = run > 0 ? now + run : 0;
}

std::pair<int, std::string> FakeAgent::Serve(Micros now, const std::string& target,
                                             const Json& body) {
  Advance(now);
  if (target == "/show") return {200, wire::EncodeAgentHeartbeat(MakeHeartbeat())};
  const uint64_t their_token = body.at("baton").get<uint64_t>();
  if (their_token < token || body.at("shift").get<uint64_t>() != incarnation) {
    return {409, wire::EncodeAgentHeartbeat(MakeHeartbeat())};
  }
  if (their_token > token) {
    token = their_token;
    next_heartbeat = std::min(next_heartbeat, now + 100 * kMillisecond);
  }
  Apply(now, body.at("orders"));
  return {200, wire::EncodeAgentHeartbeat(MakeHeartbeat())};
}

void FakeAgent::HandleReply(Micros now, Micros sent, uint64_t sent_incarnation,
                            const Json& answer) {
  const uint64_t their_token = answer.value("baton", uint64_t{0});
  if (dead || silent || their_token < token || sent_incarnation != incarnation) return;
  if (their_token > token) next_heartbeat = std::min(next_heartbeat, now + 500 * kMillisecond);
  token = their_token;
  lease_from = std::max(lease_from, sent);
  Apply(now, answer.at("orders"));
}

void FakeAgent::Advance(Micros now) {
  for (auto& [key, task] : tasks) {
    if (task.state == TaskState::kFetching && now >= task.ends && now - lease_from <= kAgentLease) {
      BeginRunning(now, key.first, key.second, &task);
    }
    if (task.state == TaskState::kSaving && now >= task.ends) {
      task.state = TaskState::kExited;
      task.why = ExitReason::kStopped;
      next_heartbeat = std::min(next_heartbeat, now);
    }
    if (task.state == TaskState::kRunning && task.ends != 0 && now >= task.ends) {
      task.state = TaskState::kExited;
      task.why = ExitReason::kDone;
      if (results != nullptr) results->insert(key);
      next_heartbeat = std::min(next_heartbeat, now);
    }
  }
  if (now - lease_from > kAgentLease) {
    tasks.clear();
    ++incarnation;
    lease_from = now;
  }
}

bool FakeAgent::Has(const std::string& job) const {
  for (const auto& [key, task] : tasks) {
    if (key.first == job && task.state != TaskState::kExited) return true;
  }
  return false;
}

}  // namespace troutlink::test
