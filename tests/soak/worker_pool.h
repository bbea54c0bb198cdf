// Workers and the cloud over loopback, with their faults.
#ifndef TROUTLINK_TESTS_SOAK_WORKER_POOL_H_
#define TROUTLINK_TESTS_SOAK_WORKER_POOL_H_

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_cloud.h"
#include "fake_worker.h"
#include "http_calls.h"
#include "runtime/http_server.h"

namespace troutlink::soak {

// Every worker listens on a port of its own and reports to the controllers. What workers and the
// cloud do is what the fakes of the stories do.
class WorkerPool {
 public:
  // `on_start`: a task begins to run on a worker.
  using OnStart = std::function<void(const test::FakeWorker& on, const std::string& job, int task)>;

  WorkerPool(struct ev_loop* loop, uint64_t seed, std::vector<Endpoint> controllers,
             OnStart on_start, const std::function<void(const std::string&)>& report);

  bool ListenCloud(const Endpoint& at);
  // A machine that is up; false when no port is free.
  bool Add();
  // Sets the run time of a job's tasks; they run until stopped without one.
  void SetRunTime(const std::string& job, Micros time);
  // Lets tasks and leases end, and workers report, whose time has come.
  void Tick(Micros now);
  // Applies `change` to some workers that are up; how many.
  int ChangeSome(const std::function<bool(test::FakeWorker*)>& change);
  // Tasks of the job that have not ended, on all machines.
  int OnMachines(const std::string& job) const;
  // Starts that were carried out.
  uint64_t starts() const;

  test::Workers workers;
  std::set<std::pair<std::string, int>> results;
  test::FakeCloud cloud;

 private:
  test::FakeWorker& Make(const std::string& type, bool spot);
  void OnCommand(test::FakeWorker* worker, const Request& request);
  void AgentHeartbeat(Micros now, test::FakeWorker* worker);
  void OnReportAnswered(test::FakeWorker* worker, size_t node, Micros sent, uint64_t incarnation,
                        int status, const std::string& body);
  void ReportNext(test::FakeWorker* worker, size_t node, Micros wait);

  struct ev_loop* loop_;
  std::mt19937_64 rng_;
  std::vector<Endpoint> controllers_;
  OnStart on_start_;
  std::function<void(const std::string&)> report_;  // of a broken rule
  HttpCalls calls_;
  std::unique_ptr<runtime::HttpServer> cloud_server_;
  std::map<std::string, std::unique_ptr<runtime::HttpServer>> servers_;  // by worker
  std::map<std::string, Micros> run_time_;
  int next_machine_ = 1;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_WORKER_POOL_H_
