// Stand-ins for everything around the controllers, on loopback addresses and the real clock: state
// service, cloud, workers, users and the platform that starts and ends processes. They follow the
// users' pages; a case drives them by a script of timed steps.
#ifndef TROUTLINK_REVIEW_STANDIN_2_WORLD_H_
#define TROUTLINK_REVIEW_STANDIN_2_WORLD_H_

#include <ev.h>
#include <sys/types.h>

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/micros.h"
#include "config/endpoint.h"
#include "core/io/io.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "wire/pack.h"

namespace review {

using troutlink::Endpoint;
using troutlink::kMillisecond;
using troutlink::kSecond;
using troutlink::Micros;
using troutlink::wire::Json;

Endpoint LocalPort(int port);

// Writes record.txt: one line for each thing sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path);
  void Say(const std::string& text);
  double Seconds() const;

 private:
  std::ofstream out_;
  Micros started_;
};

struct StateLimits {
  double rps = 150;
  double write_rps = 30;
  double value_kb = 16;
  int txn_ops = 24;
};

// The state service.
class State {
 public:
  State(struct ev_loop* loop, Record* record, StateLimits limits);
  // One listener for each controller.
  Endpoint Listen();
  void Tick(Micros now);
  // Puts a record as an earlier transaction did.
  void Load(const std::string& key, Json value);
  const Json* Find(const std::string& key) const;
  void SetLimits(StateLimits limits) { limits_ = limits; }
  void SetOutage(Micros now, bool on);
  // Refuses one controller alone.
  void SetRefused(size_t node, bool on);
  size_t items() const { return items_.size(); }

  struct Counts {
    uint64_t requests = 0, lists = 0, rate_limited = 0, refused = 0, too_large = 0, commits = 0,
             conflicts = 0;
  };
  Counts counts;
  std::vector<uint64_t> lists_by_node;

 private:
  struct Item {
    Json value;
    size_t bytes = 0;
    uint64_t stamp = 0;
    uint64_t lease = 0;
  };
  struct Change {
    uint64_t revision = 0;
    std::string key;
    bool erase = false;
  };
  struct Lease {
    Micros life = 0, until = 0;
    std::set<std::string> keys;
  };
  struct Watch {
    size_t node = 0;
    uint64_t request = 0;
    uint64_t from = 0;
    std::string under;
    Micros until = 0;
  };
  struct Due {
    Micros at = 0;
    size_t node = 0;
    troutlink::Request request;
  };
  struct Bucket {
    double tokens = 0;
    Micros last = 0;
    bool Take(Micros now, double rate, double count);
  };

  void OnRequest(size_t node, troutlink::Request request);
  void CarryOut(Micros now, const Due& due);
  void Answer(size_t node, uint64_t request, int status, const Json& body);
  std::pair<int, Json> Commit(const Json& body);
  std::pair<int, Json> List(const std::string& target) const;
  void Put(const std::string& key, Json value, uint64_t lease);
  void Erase(const std::string& key);
  void Note(Change change);
  void Expire(Micros now);
  void AnswerWatches(Micros now);
  bool Unavailable(size_t node) const { return outage_ || refused_.count(node) != 0; }

  struct ev_loop* loop_;
  Record* record_;
  StateLimits limits_;
  std::vector<std::unique_ptr<troutlink::runtime::HttpServer>> servers_;
  std::map<std::string, Item> items_;
  std::deque<Change> changes_;
  uint64_t revision_ = 0;
  uint64_t compacted_ = 0;
  std::map<uint64_t, Lease> leases_;
  uint64_t next_lease_ = 1;
  std::vector<Watch> watches_;
  std::deque<Due> due_;
  Bucket requests_, writes_;
  bool outage_ = false;
  std::set<size_t> refused_;
};

struct Job {
  Json body;  // as submitted
  Micros run = 0;  // run time of a task; 0: until it is stopped
};

// What users, workers and the platform know of jobs.
struct Jobs {
  std::map<std::string, Job> all;
  std::set<std::pair<std::string, int>> done;
};

struct WorkerTimes {
  double report_s = 1, lease_s = 10;
};

// One machine with its worker.
class Worker {
 public:
  Worker(struct ev_loop* loop, Record* record, Jobs* jobs, WorkerTimes times, std::string name,
         std::string zone, double cpus, double memory_gb, std::vector<Endpoint> nodes,
         std::vector<std::string> labels, uint32_t seed);
  void Tick(Micros now);
  const std::string& name() const { return name_; }
  const std::string& address() const { return address_.text; }
  const std::string& zone() const { return zone_; }
  // Tasks of the job that run on this machine.
  int Running(const std::string& job) const;
  double FreeCpus() const;
  bool returned = false;  // to the cloud, or taken back by it: gone with all that is on it
  bool spot = false;
  Micros up_at = 0;  // a machine that boots says nothing before
  std::string type;
  std::function<void(const Worker&, const std::string& job, int task)> on_start;

 private:
  struct Task {
    std::string state, cause;
    Micros since = 0;
  };
  struct TaskId {
    std::string job;
    int task = 0;
    uint64_t attempt = 0;
    auto operator<=>(const TaskId&) const = default;
  };
  Json Report();
  void Send(Micros now);
  void OnAnswer(Micros now, int status, const std::string& body);
  std::pair<int, Json> Serve(Micros now, const troutlink::Request& request);
  void Execute(Micros now, const Json& orders);
  void Start(Micros now, const TaskId& id);
  void Advance(Micros now);
  void Changed() { changed_ = true; }
  void Next(Micros now, size_t node, Micros wait);

  Record* record_;
  Jobs* jobs_;
  WorkerTimes times_;
  std::string name_, zone_;
  double cpus_, memory_gb_;
  std::vector<Endpoint> nodes_;
  std::vector<std::string> labels_;
  std::minstd_rand rng_;
  Endpoint address_;
  std::unique_ptr<troutlink::runtime::HttpServer> server_;
  troutlink::runtime::HttpClient client_;
  std::map<TaskId, Task> tasks_;
  std::set<std::string> images_;
  uint64_t shift_ = 1, tally_ = 0, baton_ = 0;
  Micros lease_from_ = 0;
  size_t node_ = 0;
  bool in_flight_ = false, changed_ = false;
  uint64_t next_call_ = 1, call_ = 0, call_shift_ = 0;
  Micros sent_ = 0, last_sent_ = 0, next_report_ = 0;
  Micros token_reported_ = 0;
};

// The cloud. It has `capacity` further machines to rent, of its one type.
class Cloud {
 public:
  Cloud(struct ev_loop* loop, Json flavors);
  Endpoint Listen();
  void Tick(Micros now);
  std::vector<std::unique_ptr<Worker>> workers;
  std::string type;
  int capacity = 0;
  std::function<Worker*(const std::string& zone, bool spot)> make;

 private:
  void OnRequest(const troutlink::Request& request);
  Json Rent(const Json& body);
  struct ev_loop* loop_;
  Json flavors_;
  std::map<std::string, Json> rented_;  // answers by request name
  std::unique_ptr<troutlink::runtime::HttpServer> server_;
};

struct Answer {
  int status = 0;
  Json body;
};

class Users {
 public:
  using Done = std::function<void(const Answer& answer)>;
  Users(struct ev_loop* loop, Record* record, std::vector<Endpoint> nodes);
  void Send(size_t node, const std::string& method, const std::string& target, const Json& body,
            Micros timeout, const std::string& what, Done done);
  void Submit(size_t node, const Json& body, Done done);
  void Poll(size_t node, const std::string& id, Done done);
  void Tick(Micros now) { client_.Tick(now); }

 private:
  Record* record_;
  std::vector<Endpoint> nodes_;
  troutlink::runtime::HttpClient client_;
  uint64_t next_ = 1;
  std::map<uint64_t, std::pair<std::string, Done>> open_;
};

// One controller process.
class Controller {
 public:
  Controller(std::vector<std::string> command, std::string settings, std::string log)
      : command_(std::move(command)), settings_(std::move(settings)), log_(std::move(log)) {}
  ~Controller() { Kill(); }
  bool Start();
  void Kill();
  void Stop();
  void Continue();
  bool running() const { return pid_ > 0; }
  // Whether it ended without having been killed.
  bool EndedByItself();
  // Resident memory in KiB.
  long Memory() const;
  double CpuSeconds() const;

 private:
  std::vector<std::string> command_;
  std::string settings_, log_;
  pid_t pid_ = -1;
};

int FreePort();

// Everything together.
struct Options {
  std::string folder;   // of the case, for record.txt
  std::string scratch;  // temporary folder
  std::vector<std::string> command;
  bool trouble = true;
  int nodes = 3;
  StateLimits limits;
  Json next_limits;  // announced limits; null: none
  WorkerTimes times;
  double cancel_s = 22;
  int capacity = 0;  // machines that may be rented
  std::string type = "ikigega";
  double machine_cpus = 16, machine_memory_gb = 128, ready_s = 50;
  std::vector<std::string> zones = {"kigali-a", "kigali-b", "huye"};
  std::vector<std::string> teams = {"amortization"};
  double team_cpus_max = 512;
  double mem_mb = 104;
  int fd_limit = 2000;
};

class World {
 public:
  explicit World(Options options);
  ~World();
  // Adds a machine that is up.
  Worker* AddMachine(const std::string& zone, bool spot = false);
  // The number that the next machine gets in its name. Machines are named in order, with gaps.
  uint32_t next_machine = 1;
  bool StartController(size_t node);
  // The same for the limit of all teams.
  void SetTeamLimit(size_t node, double cpus_max);
  // Writes the announced limits into the settings that the controller reads at its next start.
  void Announce(size_t node, const Json& next_limits);
  // Calls `step` about every 10 ms until it returns false or `most` has passed.
  void Run(double most_seconds, const std::function<bool(Micros now)>& step);
  // Tasks of the job that run on all machines.
  int Running(const std::string& job) const;
  Json JobBody(const std::string& id, const std::string& form, int pieces, double cpus,
               double memory_gb, double expect_s) const;

  Options options;
  Record record;
  Jobs jobs;
  struct ev_loop* loop;
  std::unique_ptr<State> state;
  std::unique_ptr<Cloud> cloud;
  std::unique_ptr<Users> users;
  std::vector<std::unique_ptr<Controller>> controllers;
  std::vector<Endpoint> serve;
  std::vector<std::string> labels;

 private:
  void Tick();
  std::string SettingsPath(size_t node) const;
  void WriteSettings(size_t node) const;
  std::vector<Json> settings_;
  std::function<bool(Micros)> step_;
  Micros until_ = 0;
  ev_timer timer_{};
};

}  // namespace review

#endif  // TROUTLINK_REVIEW_STANDIN_2_WORLD_H_
