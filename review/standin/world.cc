#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <sstream>

#include "base/ids.h"

namespace review {

using troutlink::wire::Pack;
using troutlink::wire::Unpack;

namespace {
constexpr double kTickSeconds = 0.0005;
constexpr Micros kReportTimeout = 4 * kSecond;
constexpr Micros kFetch = 300 * kMillisecond;
constexpr Micros kSoonest = 500 * kMillisecond;  // between reports of a worker
const char* const kZones[] = {"kigali-a", "kigali-b", "huye"};

// A free port below those that the system gives out by itself, as it must still be free when the
// controller is started again.
Endpoint FreeEndpoint(const std::string& host) {
  static int next = 10000 + getpid() * 37 % 15000;
  while (next < 32000) {
    const int port = next++;
    const Endpoint at{host, port, host + ":" + std::to_string(port)};
    if (troutlink::runtime::Listen(at)) return at;
  }
  return {};
}

std::string JobOf(const std::string& piece) { return piece.substr(0, piece.rfind('/')); }

std::string Text(const Json& map, const char* key) {
  return map.is_object() && map.contains(key) && map[key].is_string() ? map[key] : "";
}
}  // namespace

World::World(WorldOptions options) : options_(std::move(options)), loop_(ev_loop_new(0)) {
  const int pid = getpid();
  host_ = "127." + std::to_string(1 + pid % 250) + "." + std::to_string(pid / 250 % 250) + ".1";
  std::filesystem::create_directories(options_.directory);
  record.Open(options_.record);
  state = std::make_unique<StateService>(loop_, &record);
  worker_calls_ = std::make_unique<troutlink::soak::HttpCalls>(loop_, 500);
  user_calls_ = std::make_unique<troutlink::soak::HttpCalls>(loop_, 500);
  cloud_ = std::make_unique<troutlink::runtime::HttpServer>(loop_, 64, [this](const Request& in) {
    auto [status, body] = Cloud(in);
    cloud_->Send({in.id, status, Pack(body), 0});
  });
  cloud_at_ = *cloud_->Open({host_, 0, host_ + ":0"});
  for (size_t node = 0; node < kNodes; ++node) {
    state_at_.push_back(state->Listen(host_));
    serve.push_back(FreeEndpoint(host_));
    mesh_.push_back(FreeEndpoint(host_));
  }
  for (size_t node = 0; node < kNodes; ++node) {
    Controller controller;
    controller.settings = options_.directory + "/worker-" + std::to_string(node) + ".json";
    controller.log = options_.directory + "/worker-" + std::to_string(node) + ".log";
    std::ofstream(controller.settings) << Settings(node);
    controllers_.push_back(controller);
  }
  for (int i = 0; i < options_.workers; ++i) {
    AddWorker(kZones[i / 3 % 3], static_cast<size_t>(i) % kNodes, false);
  }
  for (int i = 0; i < options_.spot_workers; ++i) {
    AddWorker(kZones[i % 3], static_cast<size_t>(i) % kNodes, true);
  }
}

World::~World() {
  for (size_t node = 0; node < controllers_.size(); ++node) KillController(node);
}

std::string World::Settings(size_t node) const {
  Json doc = {{"label", "worker-" + std::to_string(node)},
              {"area", kZones[node]},
              {"serve_on", serve[node].text},
              {"mesh_addr", mesh_[node].text},
              {"siblings", Json::array()},
              {"external", {{"cloud", cloud_at_.text}, {"state", state_at_[node].text}}}};
  for (size_t other = 0; other < kNodes; ++other) {
    if (other == node) continue;
    doc["siblings"].push_back({{"label", "worker-" + std::to_string(other)},
                               {"area", kZones[other]},
                               {"endpoint", mesh_[other].text}});
  }
  // Those of the users' smaller deployment in Kigali.
  doc["facts"] = {{"size", 3},
                  {"zones", {kZones[0], kZones[1], kZones[2]}},
                  {"teams", options_.teams},
                  {"objectives", Json::array()},
                  {"workers",
                   {{"report_s", options_.report_s},
                    {"lease_s", options_.lease_s},
                    {"gang_wait_s", 45.0},
                    {"gang_peer_s", 6.0},
                    {"cancel_s", options_.cancel_s}}},
                  {"state",
                   {{"rps", state->rps},
                    {"write_rps", state->write_rps},
                    {"value_kb", 16.0},
                    {"txn_ops", state->txn_ops}}},
                  {"cloud", {{"rps", 8.0}, {"list_lag_s", 6.0}}},
                  {"resources", {{"cores", 0.16}, {"mem_mb", 104.0}, {"fd_limit", 2000}}},
                  {"time_bound_ms", 1000.0}};
  if (!options_.next_limits.is_null()) doc["facts"]["state"]["next"] = options_.next_limits;
  return doc.dump(1);
}

// --- controllers -------------------------------------------------------------------------------

void World::StartController(size_t node) {
  Controller& controller = controllers_[node];
  std::vector<std::string> words;
  std::istringstream run(options_.run);
  for (std::string word; run >> word;) words.push_back(word);
  words.push_back(controller.settings);
  const int log = open(controller.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  controller.pid = fork();
  if (controller.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it must not outlive the script
    dup2(log, STDERR_FILENO);
    std::vector<char*> arguments;
    for (std::string& word : words) arguments.push_back(word.data());
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  close(log);
  record.Say("controller worker-" + std::to_string(node) + " is started");
}

void World::KillController(size_t node) {
  Controller& controller = controllers_[node];
  if (controller.pid <= 0) return;
  kill(controller.pid, SIGKILL);
  waitpid(controller.pid, nullptr, 0);
  controller.pid = -1;
  record.Say("controller worker-" + std::to_string(node) + " is killed");
}

void World::TakeMachine(const std::string& name) {
  Worker& worker = *workers.at(name);
  record.Say("the cloud takes the machine " + name + " with " +
             std::to_string(worker.tasks.size()) + " tasks");
  worker.gone = true;
  worker.tasks.clear();
}

bool World::Run(Micros time, const std::function<bool()>& until) {
  const Micros end = SteadyNow() + time;
  ev::timer timer(loop_);
  timer.set<World, &World::Tick>(this);
  timer.start(0, kTickSeconds);
  while (true) {
    if (until && until()) return true;
    if (SteadyNow() >= end) return false;
    ev_run(loop_, EVRUN_ONCE);
  }
}

void World::Tick() {
  const Micros now = SteadyNow();
  state->Tick(now);
  cloud_->Tick(now);
  for (auto& [name, worker] : workers) TickWorker(now, worker.get());
  for (auto& [name, server] : worker_servers_) server->Tick(now);
  worker_calls_->Tick(now);
  user_calls_->Tick(now);
  for (size_t node = 0; node < controllers_.size(); ++node) {
    Controller& controller = controllers_[node];
    if (controller.pid > 0 && waitpid(controller.pid, nullptr, WNOHANG) == controller.pid) {
      controller.pid = -1;
      record.Say("controller worker-" + std::to_string(node) + " ended by itself");
      broken.push_back("controller worker-" + std::to_string(node) + " ended by itself");
    }
  }
  if (on_tick) on_tick();
}

// --- users -------------------------------------------------------------------------------------

Job& World::AddJob(Json spec, Micros run) {
  Job job;
  job.id = spec["name_id"];
  job.team = spec["owner"];
  job.cpus = spec["cpus"];
  job.memory = spec["memory_gb"];
  job.run = run;
  job.spec = std::move(spec);
  return jobs[job.id] = std::move(job);
}

void World::Send(size_t node, const std::string& method, const std::string& target,
                 const std::string& body, std::function<void(const Answer&)> done,
                 Micros timeout) {
  user_calls_->Send(serve[node], method, target, body, timeout,
                    [done = std::move(done)](int status, const std::string& reply) {
                      Answer answer;
                      answer.status = status;
                      answer.body = Unpack(reply).value_or(Json());
                      done(answer);
                    });
}

void World::SubmitAsync(const std::string& id, size_t node) {
  record.Say("user submits " + id + " at worker-" + std::to_string(node));
  Send(
      node, "POST", "/api/jobs", Pack(jobs.at(id).spec),
      [this, id, node](const Answer& answer) {
        record.Say("worker-" + std::to_string(node) + " answers the submission of " + id + ": " +
                   std::to_string(answer.status) + " " + answer.status_text());
        if (answer.status == 200 || answer.status == 201) {
          accepted.insert(id);
        } else if (answer.status != 400 && answer.status != 422) {
          // Repeated after a second, at the next tick that finds it due.
          auto due = SteadyNow() + kSecond;
          auto before = on_tick;
          auto sent = std::make_shared<bool>(false);
          on_tick = [this, id, node, due, before, sent] {
            if (before) before();
            if (*sent || SteadyNow() < due) return;
            *sent = true;
            SubmitAsync(id, (node + 1) % kNodes);
          };
        }
      },
      5 * kSecond);
}

bool World::Submit(const std::string& id, size_t node, Micros patience) {
  const Micros end = SteadyNow() + patience;
  while (SteadyNow() < end) {
    bool answered = false;
    Answer got;
    Send(
        node, "POST", "/api/jobs", Pack(jobs.at(id).spec),
        [&](const Answer& answer) {
          answered = true;
          got = answer;
        },
        5 * kSecond);
    Run(6 * kSecond, [&] { return answered; });
    if (got.status == 200 || got.status == 201) {
      record.Say("worker-" + std::to_string(node) + " accepts " + id);
      accepted.insert(id);
      return true;
    }
    if (got.status == 400 || got.status == 422) return false;
    node = (node + 1) % kNodes;
    Run(kSecond);
  }
  return false;
}

Answer World::Get(size_t node, const std::string& id) {
  bool answered = false;
  Answer got;
  Send(
      node, "GET", "/api/jobs/" + id, "",
      [&](const Answer& answer) {
        answered = true;
        got = answer;
      },
      2 * kSecond);
  Run(3 * kSecond, [&] { return answered; });
  return got;
}

Answer World::Abort(const std::string& id, size_t node, Micros patience) {
  const Micros end = SteadyNow() + patience;
  Answer got;
  while (SteadyNow() < end) {
    bool answered = false;
    Send(
        node, "POST", "/api/jobs/" + id + "/abort", "",
        [&](const Answer& answer) {
          answered = true;
          got = answer;
        },
        5 * kSecond);
    Run(6 * kSecond, [&] { return answered; });
    if (got.status == 200) break;
    node = (node + 1) % kNodes;
    Run(kSecond);
  }
  record.Say("abort of " + id + ": " + std::to_string(got.status) + " " + got.status_text());
  return got;
}

bool World::WaitUp(size_t node, Micros time) {
  const Micros end = SteadyNow() + time;
  while (SteadyNow() < end) {
    bool answered = false;
    int status = 0;
    Send(
        node, "GET", "/up", "",
        [&](const Answer& answer) {
          answered = true;
          status = answer.status;
        },
        kSecond);
    Run(2 * kSecond, [&] { return answered; });
    if (status == 200) return true;
    Run(100 * kMillisecond);
  }
  return false;
}

int World::Running(const std::string& job) const {
  int running = 0;
  for (const auto& [name, worker] : workers) {
    if (worker->gone) continue;
    for (const auto& [key, task] : worker->tasks) {
      if (key.first.rfind(job + "/", 0) != 0) continue;
      if (task.status == "running" || task.status == "flushing") ++running;
    }
  }
  return running;
}

double World::TeamCpus(const std::string& team) const {
  double cpus = 0;
  for (const auto& [name, worker] : workers) {
    if (worker->gone) continue;
    for (const auto& [key, task] : worker->tasks) {
      if (task.status != "running" && task.status != "flushing") continue;
      const Job& job = jobs.at(JobOf(key.first));
      if (job.team == team) cpus += job.cpus;
    }
  }
  return cpus;
}

// --- workers -----------------------------------------------------------------------------------

void World::AddWorker(const std::string& room, size_t part, bool spot) {
  auto made = std::make_unique<Worker>();
  Worker* worker = made.get();
  // Machines of the start go to the controllers by the hashes of their names.
  char name[16];
  do {
    std::snprintf(name, sizeof name, "n-%06d", next_worker_++);
  } while (troutlink::StableHash(name) % kNodes != part);
  worker->name = name;
  worker->build = "ikigega";
  worker->room = room;
  worker->spot = spot;
  worker->lease_from = worker->next_report = SteadyNow();
  worker->node = static_cast<size_t>(next_worker_) % kNodes;
  auto server = std::make_unique<troutlink::runtime::HttpServer>(
      loop_, 32, [this, worker](const Request& request) { OnCommand(worker, request); });
  worker->at = *server->Open({host_, 0, host_ + ":0"});
  worker_servers_[name] = std::move(server);
  workers[name] = std::move(made);
}

Json World::ReportOf(Worker* worker) {
  Json pieces = Json::array();
  for (const auto& [key, task] : worker->tasks) {
    Json entry = {{"piece", key.first}, {"try", key.second}, {"status", task.status}};
    if (!task.cause.empty()) entry["cause"] = task.cause;
    pieces.push_back(std::move(entry));
  }
  return {{"host", worker->name},   {"address", worker->at.text}, {"build", worker->build},
          {"room", worker->room},   {"loaners", worker->spot},    {"shift", worker->shift},
          {"tally", ++worker->tally}, {"baton", worker->baton},   {"warning_s", nullptr},
          {"pieces", pieces}};
}

// Something changed: the next report comes soon, but not more often than every half second.
void World::ChangeOf(Worker* worker) {
  worker->next_report =
      std::min(worker->next_report, std::max(SteadyNow(), worker->last_report + kSoonest));
}

void World::Raise(Micros now, Worker* worker, uint64_t baton) {
  if (baton <= worker->baton) return;
  worker->baton = baton;
  if (worker->raised_at != 0 &&
      static_cast<double>(now - worker->raised_at) < options_.lease_s / 2 * 1e6) {
    return;
  }
  worker->raised_at = now;
  ChangeOf(worker);
}

const Worker::Task* World::Active(const Worker& worker, const std::string& piece) {
  for (auto at = worker.tasks.lower_bound({piece, 0});
       at != worker.tasks.end() && at->first.first == piece; ++at) {
    if (at->second.status != "ended") return &at->second;
  }
  return nullptr;
}

void World::Execute(Micros now, Worker* worker, const Json& orders) {
  for (const Json& order : orders) {
    const std::string verb = Text(order, "verb"), piece = Text(order, "piece");
    const uint64_t attempt = order.at("try");
    auto task = worker->tasks.find({piece, attempt});
    const std::string name = piece + " try " + std::to_string(attempt);
    if (verb == "start") {
      if (task != worker->tasks.end()) continue;
      auto job = jobs.find(JobOf(piece));
      Worker::Task made;
      double cpus = 0, memory = 0;
      for (const auto& [key, other] : worker->tasks) {
        if (other.status == "ended") continue;
        cpus += jobs.at(JobOf(key.first)).cpus;
        memory += jobs.at(JobOf(key.first)).memory;
      }
      if (job == jobs.end()) {
        made.cause = "no_such";
      } else if (Active(*worker, piece) != nullptr) {
        made.cause = "in_use";
      } else if (cpus + job->second.cpus > worker->cpus + 1e-6 ||
                 memory + job->second.memory > worker->memory + 1e-6) {
        made.cause = "no_room";
      }
      if (!made.cause.empty()) {
        made.status = "ended";
      } else {
        const bool cached = worker->images.count(Text(job->second.spec, "bundle")) != 0;
        made.next = now + (cached ? 0 : kFetch);
      }
      record.Say(worker->name + " start " + name +
                 (made.cause.empty() ? "" : " refused: " + made.cause));
      worker->tasks[{piece, attempt}] = made;
      ChangeOf(worker);
    } else if (task != worker->tasks.end()) {
      if (verb == "stop" && task->second.status != "ended") {
        record.Say(worker->name + " stop " + name);
        task->second.status = "ended";
        task->second.cause = "halted";
        task->second.next = 0;
        ChangeOf(worker);
      } else if (verb == "reap" && task->second.status == "ended") {
        worker->tasks.erase(task);
      }
    }
  }
}

void World::OnCommand(Worker* worker, const Request& request) {
  if (worker->gone) return;
  const Micros now = SteadyNow();
  auto answer = [&](int status, const Json& body) {
    worker_servers_.at(worker->name)->Send({request.id, status, Pack(body), 0});
  };
  if (request.target == "/show") {
    answer(200, ReportOf(worker));
    return;
  }
  const Json body = Unpack(request.body).value_or(Json::object());
  if (!body.contains("baton") || !body.contains("shift")) {
    answer(400, Json::object());
    return;
  }
  const uint64_t baton = body["baton"];
  if (baton < worker->baton || body["shift"].get<uint64_t>() != worker->shift) {
    answer(409, ReportOf(worker));
    return;
  }
  Raise(now, worker, baton);
  if (body.contains("orders")) Execute(now, worker, body["orders"]);
  answer(200, ReportOf(worker));
}

void World::TickWorker(Micros now, Worker* worker) {
  if (worker->gone) return;
  if (static_cast<double>(now - worker->lease_from) > options_.lease_s * 1e6) {
    record.Say(worker->name + " lease of session " + std::to_string(worker->shift) + " ends, " +
               std::to_string(worker->tasks.size()) + " tasks are killed");
    worker->tasks.clear();
    ++worker->shift;
    worker->lease_from = now;
    ChangeOf(worker);
  }
  for (auto& [key, task] : worker->tasks) {
    if (task.next == 0 || now < task.next) continue;
    const std::string& piece = key.first;
    const Job& job = jobs.at(JobOf(piece));
    const std::string name = piece + " try " + std::to_string(key.second);
    if (task.status == "pulling") {
      worker->images.insert(Text(job.spec, "bundle"));
      task.status = "running";
      const bool slow = std::stoi(piece.substr(piece.rfind('/') + 1)) >= job.slow_from;
      const Micros run = slow ? job.slow_run : job.run;
      task.next = run == 0 ? 0 : now + run;
      ++starts;
      for (const auto& [other_name, other] : workers) {
        if (other.get() == worker || other->gone) continue;
        const Worker::Task* twin = Active(*other, piece);
        if (twin != nullptr && twin->status != "pulling") {
          broken.push_back("ran_twice: " + piece + " on " + worker->name + " and " + other_name);
          record.Say("BROKEN " + broken.back());
        }
      }
      if (results_.count(piece) != 0) task.next = now;  // its result is kept
      record.Say(worker->name + " runs " + name);
    } else if (task.status == "running") {
      task.status = "ended";
      task.cause = "done";
      task.next = 0;
      results_.insert(piece);
      record.Say(worker->name + " done " + name);
    }
    ChangeOf(worker);
  }
  if (!worker->reporting && now >= worker->next_report) Report(now, worker);
}

void World::Report(Micros now, Worker* worker) {
  worker->reporting = true;
  worker->last_report = now;
  // Every period, a quarter more or less.
  const double share = 0.75 + 0.5 * static_cast<double>(std::rand()) / RAND_MAX;
  worker->next_report = now + static_cast<Micros>(options_.report_s * share * 1e6);
  const size_t node = worker->node;
  worker_calls_->Send(serve[node], "POST", "/v1/report", Pack(ReportOf(worker)), kReportTimeout,
                      [this, worker, node, now, shift = worker->shift](int status,
                                                                       const std::string& body) {
                        OnReportAnswer(worker, node, now, shift, status, body);
                      });
}

void World::OnReportAnswer(Worker* worker, size_t node, Micros sent, uint64_t shift, int status,
                           const std::string& body) {
  const Micros now = SteadyNow();
  worker->reporting = false;
  if (worker->gone) return;
  const Json answer = Unpack(body).value_or(Json::object());
  if (status == 200) {
    const uint64_t baton = answer.value("baton", uint64_t{0});
    if (shift != worker->shift || baton < worker->baton || baton == 0) return;
    worker->lease_from = std::max(worker->lease_from, sent);
    Raise(now, worker, baton);
    if (answer.contains("orders")) Execute(now, worker, answer["orders"]);
    return;
  }
  const std::string foreman = status == 421 ? Text(answer, "foreman") : "";
  const size_t named = foreman.empty() ? node : static_cast<size_t>(foreman.back() - '0');
  if (named != node && named < kNodes) {
    worker->node = named;
    worker->next_report = now;
  } else {
    worker->node = (node + 1) % kNodes;
    worker->next_report = now + kSecond;
  }
}

// --- the cloud ---------------------------------------------------------------------------------

std::pair<int, Json> World::Cloud(const Request& request) {
  if (request.target == "/flavors") {
    const Json type = {{"sku", "ikigega"},  {"cpus", 16.0},       {"cards", 0.0},
                       {"memory_gb", 128.0}, {"local_gb", 25.0},  {"fetch_gb_per_s", 0.3},
                       {"price", 1.06},      {"spot_price", 0.4}, {"ready_s", 50.0},
                       {"rooms", {kZones[0], kZones[1], kZones[2]}}};
    return {200, {{"builds", Json::array({type})}}};
  }
  const Json body = Unpack(request.body).value_or(Json::object());
  if (request.target == "/rentals/return") {
    for (const Json& host : body.at("hosts")) {
      auto worker = workers.find(host.get<std::string>());
      if (worker == workers.end() || worker->second->gone) continue;
      record.Say("the cloud takes " + worker->first + " back");
      worker->second->gone = true;
      worker->second->tasks.clear();
    }
    return {200, Json::object()};
  }
  // All machines that there are were up at the start.
  if (request.method == "POST") return {503, {{"error", "no capacity"}}};
  Json hosts = Json::array();
  for (const auto& [name, worker] : workers) {
    if (worker->gone) continue;
    hosts.push_back({{"name_id", name},
                     {"address", worker->at.text},
                     {"build", worker->build},
                     {"room", worker->room},
                     {"loaners", worker->spot},
                     {"status", "running"},
                     {"age_s", 600.0}});
  }
  return {200, {{"hosts", hosts}, {"truncated", false}}};
}

}  // namespace review
