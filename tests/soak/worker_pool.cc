#include "worker_pool.h"

#include <cstdio>

#include "controllers.h"
#include "runtime/clock.h"
#include "wire/messages.h"

namespace troutlink::soak {

namespace {
constexpr size_t kReportConnections = 2000;
constexpr size_t kCommandConnections = 16;  // of one worker
constexpr size_t kCloudConnections = 64;
constexpr Micros kReport = 1 * kSecond;
constexpr Micros kReportTimeout = 4 * kSecond;
constexpr Micros kNextNode = 500 * kMillisecond;
constexpr uint64_t kSomeOf = 4;  // one worker in so many is changed
}  // namespace

WorkerPool::WorkerPool(struct ev_loop* loop, uint64_t seed, std::vector<Endpoint> controllers,
                       OnStart on_start, const std::function<void(const std::string&)>& report)
    : cloud(
          &workers,
          [this](const std::string& type, bool spot) -> test::FakeWorker& {
            return Make(type, spot);
          },
          report),
      loop_(loop),
      rng_(seed),
      controllers_(std::move(controllers)),
      on_start_(std::move(on_start)),
      report_(report),
      calls_(loop, kReportConnections) {}

bool WorkerPool::ListenCloud(const Endpoint& at) {
  cloud_server_ = std::make_unique<runtime::HttpServer>(
      loop_, kCloudConnections, [this](const Request& request) {
        auto [status, reply] =
            cloud.Handle(runtime::SteadyNow(), request.method, request.target,
                         wire::Unpack(request.body).value_or(wire::Json::object()));
        cloud_server_->Send({request.id, status, wire::Pack(reply), 0});
      });
  return static_cast<bool>(cloud_server_->Open(at));
}

bool WorkerPool::Add() {
  const bool spot = next_machine_ % 3 == 0;
  test::FakeWorker& worker = Make("small", spot);
  worker.zone = next_machine_ % 2 == 0 ? "z1" : "z2";
  return servers_.count(worker.name) != 0;
}

test::FakeWorker& WorkerPool::Make(const std::string& type, bool spot) {
  auto made = std::make_unique<test::FakeWorker>();
  test::FakeWorker* worker = made.get();
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", next_machine_++);
  const Micros now = runtime::SteadyNow();
  worker->name = name;
  worker->type = type;
  worker->spot = spot;
  worker->zone = "z1";
  worker->lease_from = worker->next_report = now;
  worker->node = rng_() % controllers_.size();
  worker->run_time = run_time_;
  worker->results = &results;
  worker->on_start = [this, worker](const std::string& job, int task) {
    on_start_(*worker, job, task);
  };
  const Endpoint at = Loopback(FreePort());
  worker->addr = at.text;
  auto server = std::make_unique<runtime::HttpServer>(
      loop_, kCommandConnections,
      [this, worker](const Request& request) { OnCommand(worker, request); });
  if (server->Open(at)) servers_[name] = std::move(server);
  return *(workers[name] = std::move(made));
}

void WorkerPool::OnCommand(test::FakeWorker* worker, const Request& request) {
  const Micros now = runtime::SteadyNow();
  if (worker->dead || worker->hung || worker->unhearing || worker->lease_from > now) return;
  auto [status, body] =
      worker->Serve(now, request.target, wire::Unpack(request.body).value_or(wire::Json::object()));
  servers_.at(worker->name)->Send({request.id, status, std::move(body), 0});
}

void WorkerPool::SetRunTime(const std::string& job, Micros time) {
  run_time_[job] = time;
  for (auto& [name, worker] : workers) worker->run_time[job] = time;
}

void WorkerPool::ReportNext(test::FakeWorker* worker, size_t node, Micros wait) {
  worker->reporting = false;
  worker->node = node;
  worker->next_report = runtime::SteadyNow() + wait;
}

void WorkerPool::AgentHeartbeat(Micros now, test::FakeWorker* worker) {
  worker->reporting = true;
  const size_t node = worker->node;
  calls_.Send(controllers_[node], "POST", std::string(wire::kHeartbeatPath),
              wire::EncodeAgentHeartbeat(worker->MakeReport()), kReportTimeout,
              [this, worker, node, now, incarnation = worker->incarnation](
                  int status, const std::string& body) {
                OnReportAnswered(worker, node, now, incarnation, status, body);
              });
}

void WorkerPool::OnReportAnswered(test::FakeWorker* worker, size_t node, Micros sent,
                                  uint64_t incarnation, int status, const std::string& body) {
  const size_t next = (node + 1) % controllers_.size();
  const Micros now = runtime::SteadyNow();
  if (worker->hung || worker->unhearing || now - sent > kReportTimeout) {
    ReportNext(worker, worker->hung ? node : next, kReport);
    return;
  }
  const wire::Json answer = wire::Unpack(body).value_or(wire::Json::object());
  if (status == 200 && !answer.contains("orders")) report_("an answer to a report has no orders");
  if (status == 200 && answer.contains("orders")) {
    ReportNext(worker, node, kReport);
    worker->TakeAnswer(now, sent, incarnation, answer);
    return;
  }
  const std::string leader = status == 421 ? answer.value("foreman", "") : "";
  if (leader.empty()) {
    ReportNext(worker, next, kNextNode);
  } else {
    ReportNext(worker, static_cast<size_t>(leader.back() - '0'), 0);
  }
}

void WorkerPool::Tick(Micros now) {
  for (auto& [name, worker] : workers) {
    if (worker->dead || worker->hung || worker->lease_from > now) continue;
    worker->Advance(now);
    if (!worker->mute && !worker->reporting && now >= worker->next_report) {
      AgentHeartbeat(now, worker.get());
    }
  }
  calls_.Tick(now);
  for (auto& [name, server] : servers_) server->Tick(now);
  if (cloud_server_) cloud_server_->Tick(now);
}

int WorkerPool::ChangeSome(const std::function<bool(test::FakeWorker*)>& change) {
  int changed = 0;
  for (auto& [name, worker] : workers) {
    if (worker->dead || rng_() % kSomeOf != 0) continue;
    if (change(worker.get())) ++changed;
  }
  return changed;
}

int WorkerPool::OnMachines(const std::string& job) const {
  int count = 0;
  for (const auto& [name, worker] : workers) {
    for (auto it = worker->tasks.lower_bound({job, 0});
         !worker->dead && it != worker->tasks.end() && it->first.first == job; ++it) {
      if (it->second.state != TaskState::kExited) ++count;
    }
  }
  return count;
}

uint64_t WorkerPool::starts() const {
  uint64_t starts = 0;
  for (const auto& [name, worker] : workers) starts += static_cast<uint64_t>(worker->starts);
  return starts;
}

}  // namespace troutlink::soak
