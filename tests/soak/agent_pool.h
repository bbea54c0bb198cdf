// Agents and the cloud over loopback, with faults.
#ifndef TROUTLINK_TESTS_SOAK_AGENT_POOL_H_
#define TROUTLINK_TESTS_SOAK_AGENT_POOL_H_

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_agent.h"
#include "fake_cloud.h"
#include "http_calls.h"
#include "runtime/http_server.h"

namespace troutlink::soak {

// Every agent listens on its own port and sends heartbeats to the controllers. Agents and the cloud
// are FakeAgent and FakeCloud.
class AgentPool {
 public:
  // `on_start`: called when a task starts to run.
  using OnStart = std::function<void(const test::FakeAgent& on, const std::string& job, int task)>;

  AgentPool(struct ev_loop* loop, uint64_t seed, std::vector<Endpoint> controllers,
            OnStart on_start, const std::function<void(const std::string&)>& report);

  bool ListenCloud(const Endpoint& at);
  // Adds a running machine. Returns false if no port is free.
  bool Add();
  // Sets the run time of a job's tasks; without one they run until stopped.
  void SetRunTime(const std::string& job, Micros time);
  // Advances tasks and leases, and sends due heartbeats.
  void Tick(Micros now);
  // Applies `change` to some running agents and returns their number.
  int ChangeSome(const std::function<bool(test::FakeAgent*)>& change);
  // Number of the job's tasks on all machines that have not ended.
  int CountTasks(const std::string& job) const;
  // Number of executed starts.
  uint64_t starts() const;

  test::Agents agents;
  std::set<std::pair<std::string, int>> results;
  test::FakeCloud cloud;

 private:
  test::FakeAgent& Make(const std::string& type, bool spot);
  void OnCommand(test::FakeAgent* agent, const Request& request);
  void AgentHeartbeat(Micros now, test::FakeAgent* agent);
  void OnReportAnswered(test::FakeAgent* agent, size_t node, Micros sent, uint64_t incarnation,
                        int status, const std::string& body);
  void ScheduleHeartbeat(test::FakeAgent* agent, size_t node, Micros wait);

  struct ev_loop* loop_;
  std::mt19937_64 rng_;
  std::vector<Endpoint> controllers_;
  OnStart on_start_;
  std::function<void(const std::string&)> report_;  // records a violated rule
  HttpCalls calls_;
  std::unique_ptr<runtime::HttpServer> cloud_server_;
  std::map<std::string, std::unique_ptr<runtime::HttpServer>> servers_;  // by agent
  std::map<std::string, Micros> run_time_;
  int next_machine_ = 1;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_AGENT_POOL_H_
