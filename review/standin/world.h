// Stand-ins for what surrounds the controllers: state service, cloud, workers and users, as the users'
// pages describe them, in one process and on loopback addresses; and the controllers as processes.
#ifndef REVIEW_STANDIN_WORLD_H_
#define REVIEW_STANDIN_WORLD_H_

#include <ev++.h>
#include <sys/types.h>

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http_calls.h"
#include "runtime/clock.h"
#include "runtime/http_server.h"
#include "wire/pack.h"

namespace review {

using troutlink::Endpoint;
using troutlink::kMillisecond;
using troutlink::kSecond;
using troutlink::Micros;
using troutlink::Request;
using troutlink::runtime::SteadyNow;
using troutlink::wire::Json;

inline constexpr size_t kNodes = 3;

// record.txt: what was sent, answered and run.
class Record {
 public:
  void Open(const std::string& path);
  void Say(const std::string& what);

 private:
  std::ofstream out_;
  Micros started_ = 0;
};

// The state service: keys, transactions, leases, watches and the limits of its page.
class StateService {
 public:
  StateService(struct ev_loop* loop, Record* record) : loop_(loop), record_(record) {}
  // One address for each controller, so that the requests of each are told apart.
  Endpoint Listen(const std::string& host);
  void Tick(Micros now);

  double rps = 150, write_rps = 30;
  size_t txn_ops = 24;
  size_t value_bytes = 16 * 1024;
  Micros latency = 3 * kMillisecond;
  bool down = false;
  std::set<size_t> refused;  // controllers that alone get 503
  // Additional delay of a request before it is carried out; unset: none.
  std::function<Micros(size_t node, const Request& request)> extra_delay;
  std::function<void(size_t node, const Request& request, int status)> on_answer;
  void EndOutage(Micros now);

  struct Item {
    std::string value;  // MessagePack
    uint64_t stamp = 0, lease = 0;
  };
  std::map<std::string, Item> items;
  uint64_t ledger = 0;
  uint64_t answered = 0, limited = 0;

 private:
  struct Bucket {
    double tokens = 0;
    Micros at = 0;
    bool Take(Micros now, double rate, double count);
  };
  struct Due {
    Micros at;
    size_t node;
    Request request;
  };
  struct Watch {
    size_t node;
    uint64_t request, from;
    std::string under;
    Micros until;
  };
  struct Change {
    uint64_t stamp;
    std::string key;
    bool erase;
  };
  struct Lease {
    Micros life, until;
  };
  void OnRequest(size_t node, const Request& request);
  void Answer(size_t node, const Request& request, int status, std::string body);
  void CarryOut(Micros now, size_t node, const Request& request);
  std::pair<int, std::string> Commit(Micros now, const Json& body);
  std::string List(const std::string& target) const;
  std::string Events(const Watch& watch) const;
  bool HasEvents(const Watch& watch) const;
  bool Refuses(size_t node) const { return down || refused.count(node) != 0; }
  void Changed(const std::string& key, bool erase);
  void Expire(Micros now);

  struct ev_loop* loop_;
  Record* record_;
  std::vector<std::unique_ptr<troutlink::runtime::HttpServer>> servers_;
  std::vector<Due> due_;
  std::vector<Watch> watches_;
  std::deque<Change> changes_;
  uint64_t dropped_up_to_ = 0;
  std::map<uint64_t, Lease> leases_;
  uint64_t next_lease_ = 1;
  Bucket requests_, writes_;
};

// A job as its user describes it; the workers fetch it from there.
struct Job {
  Json spec;
  std::string id, team;
  double cpus = 0, memory = 0;
  Micros run = 0;  // of a task; 0: until it is stopped
  // Tasks from this number on run for `slow_run` instead.
  int slow_from = 1 << 30;
  Micros slow_run = 0;
};

// One worker with its machine.
struct Worker {
  struct Task {
    std::string status = "pulling", cause;
    Micros next = 0;  // time of its next change; 0: none
  };
  std::string name, build, room;
  Endpoint at;
  double cpus = 16, memory = 128;
  bool spot = false;
  bool gone = false;
  uint64_t shift = 1, tally = 0, baton = 0;
  Micros lease_from = 0, next_report = 0, last_report = 0, raised_at = 0;
  bool reporting = false;
  size_t node = 0;
  std::map<std::pair<std::string, uint64_t>, Task> tasks;  // by "job/number" and attempt
  std::set<std::string> images;
};

struct WorldOptions {
  std::string run;        // the command of the deploy file
  std::string directory;  // for settings and logs
  std::string record;
  Json teams;
  // As announced by the settings: the limits of the state service from some moment on.
  Json next_limits;
  int workers = 9;
  int spot_workers = 0;
  double report_s = 3, lease_s = 26, cancel_s = 51;
};

struct Answer {
  int status = 0;
  Json body;
  std::string status_text() const { return body.is_object() ? body.value("status", "") : ""; }
};

class World {
 public:
  explicit World(WorldOptions options);
  ~World();

  void StartController(size_t node);
  void KillController(size_t node);
  // The cloud takes the machine back, without a notice.
  void TakeMachine(const std::string& name);
  // Runs everything until the time has passed, or `until` holds. Returns whether it holds.
  bool Run(Micros time, const std::function<bool()>& until = nullptr);

  Job& AddJob(Json spec, Micros run);
  // One request of a user.
  void Send(size_t node, const std::string& method, const std::string& target,
            const std::string& body, std::function<void(const Answer&)> done, Micros timeout);
  // A submission, repeated as the users' page says, at one node after the other. True: accepted.
  bool Submit(const std::string& id, size_t node, Micros patience = 60 * kSecond);
  void SubmitAsync(const std::string& id, size_t node);
  Answer Get(size_t node, const std::string& id);
  Answer Abort(const std::string& id, size_t node, Micros patience = 60 * kSecond);
  // Waits until /up of the controller is 200.
  bool WaitUp(size_t node, Micros time);

  // Tasks of a job that are on machines now, with their image.
  int Running(const std::string& job) const;
  double TeamCpus(const std::string& team) const;
  Micros now() const { return SteadyNow(); }

  Record record;
  std::unique_ptr<StateService> state;
  std::map<std::string, Job> jobs;
  std::set<std::string> accepted;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::vector<std::string> broken;  // rules found broken by the stand-ins
  std::vector<Endpoint> serve;
  std::function<void()> on_tick;
  int starts = 0;

 private:
  struct Controller {
    std::string settings, log;
    pid_t pid = -1;
  };
  void Tick();
  std::string Settings(size_t node) const;
  void AddWorker(const std::string& room, size_t part, bool spot);
  // The worker's task `piece` that has not ended, if any.
  static const Worker::Task* Active(const Worker& worker, const std::string& piece);
  void TickWorker(Micros now, Worker* worker);
  void Report(Micros now, Worker* worker);
  void OnReportAnswer(Worker* worker, size_t node, Micros sent, uint64_t shift, int status,
                      const std::string& body);
  void OnCommand(Worker* worker, const Request& request);
  void Execute(Micros now, Worker* worker, const Json& orders);
  void Raise(Micros now, Worker* worker, uint64_t baton);
  Json ReportOf(Worker* worker);
  void ChangeOf(Worker* worker);
  std::pair<int, Json> Cloud(const Request& request);

  WorldOptions options_;
  struct ev_loop* loop_;
  std::string host_;
  std::vector<Endpoint> mesh_, state_at_;
  Endpoint cloud_at_;
  std::vector<Controller> controllers_;
  std::unique_ptr<troutlink::runtime::HttpServer> cloud_;
  std::map<std::string, std::unique_ptr<troutlink::runtime::HttpServer>> worker_servers_;
  std::unique_ptr<troutlink::soak::HttpCalls> worker_calls_, user_calls_;
  std::set<std::string> results_;
  int next_worker_ = 1;
};

}  // namespace review

#endif  // REVIEW_STANDIN_WORLD_H_
