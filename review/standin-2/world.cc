#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <utility>

#include "runtime/clock.h"

namespace review {

using troutlink::Call;
using troutlink::Request;
using troutlink::runtime::CallResult;
using troutlink::runtime::HttpServer;
using troutlink::runtime::SteadyNow;
using troutlink::wire::Pack;
using troutlink::wire::Unpack;

namespace {

constexpr Micros kLatency = 3 * kMillisecond;
constexpr size_t kKeptChanges = 10000;
constexpr size_t kMostListed = 1000;
constexpr size_t kMostListedBytes = size_t{512} * 1024;
constexpr size_t kMostTransactionBytes = size_t{64} * 1024;
constexpr Micros kReportTimeout = 4 * kSecond;
constexpr Micros kFetch = 300 * kMillisecond;

std::string Parameter(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
    at = end;
  }
  return "";
}

uint64_t Number(const std::string& text, uint64_t otherwise) {
  return text.empty() ? otherwise : std::stoull(text);
}

Json Body(const std::string& bytes) { return Unpack(bytes).value_or(Json()); }

}  // namespace

// Each run has a loopback address of its own, so that runs side by side do not take each other's
// ports.
Endpoint LocalPort(int port) {
  const int pid = getpid();
  const std::string host = "127." + std::to_string(1 + pid % 250) + "." +
                           std::to_string(pid / 250 % 250) + ".1";
  return {host, port, host + ":" + std::to_string(port)};
}

int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, LocalPort(0).host.c_str(), &address.sin_addr);
  socklen_t size = sizeof address;
  int port = 0;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    port = ntohs(address.sin_port);
  }
  close(fd);
  return port;
}

// --- record ----------------------------------------------------------------------------

Record::Record(const std::string& path) : out_(path), started_(SteadyNow()) {}

double Record::Seconds() const { return troutlink::ToSeconds(SteadyNow() - started_); }

void Record::Say(const std::string& text) {
  char at[32];
  std::snprintf(at, sizeof at, "%8.3f ", Seconds());
  out_ << at << text << "\n";
  out_.flush();
}

// --- state service -----------------------------------------------------------------------

bool State::Bucket::Take(Micros now, double rate, double count) {
  // A burst of one second's worth.
  tokens = last == 0 ? rate : std::min(rate, tokens + rate * troutlink::ToSeconds(now - last));
  last = now;
  if (tokens < count) return false;
  tokens -= count;
  return true;
}

State::State(struct ev_loop* loop, Record* record, StateLimits limits)
    : loop_(loop), record_(record), limits_(limits) {}

Endpoint State::Listen() {
  const size_t node = servers_.size();
  lists_by_node.push_back(0);
  servers_.push_back(std::make_unique<HttpServer>(
      loop_, 64, [this, node](Request request) { OnRequest(node, std::move(request)); }));
  return *servers_.back()->Open(LocalPort(0));
}

void State::Load(const std::string& key, Json value) { Put(key, std::move(value), 0); }

const Json* State::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second.value;
}

void State::SetOutage(Micros now, bool on) {
  outage_ = on;
  if (on) return;
  // After an outage every lease has its full time again.
  for (auto& [id, lease] : leases_) lease.until = now + lease.life;
}

void State::SetRefused(size_t node, bool on) {
  if (on) {
    refused_.insert(node);
  } else {
    refused_.erase(node);
  }
}

void State::Note(Change change) {
  changes_.push_back(std::move(change));
  if (changes_.size() <= kKeptChanges) return;
  compacted_ = changes_.front().revision;
  changes_.pop_front();
}

void State::Put(const std::string& key, Json value, uint64_t lease) {
  Item& item = items_[key];
  if (item.lease != 0 && leases_.count(item.lease) != 0) leases_[item.lease].keys.erase(key);
  item.bytes = value.dump().size();
  item.value = std::move(value);
  item.stamp = revision_ == 0 ? ++revision_ : revision_;
  item.lease = lease;
  if (lease != 0) leases_[lease].keys.insert(key);
  Note({item.stamp, key, false});
}

void State::Erase(const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end()) return;
  if (found->second.lease != 0 && leases_.count(found->second.lease) != 0) {
    leases_[found->second.lease].keys.erase(key);
  }
  items_.erase(found);
  Note({revision_, key, true});
}

void State::Answer(size_t node, uint64_t request, int status, const Json& body) {
  servers_[node]->Send({request, status, Pack(body), 0});
}

void State::OnRequest(size_t node, Request request) {
  const Micros now = SteadyNow();
  ++counts.requests;
  if (Unavailable(node)) {
    ++counts.refused;
    Answer(node, request.id, 503, {{"error", "unavailable"}});
    return;
  }
  if (!requests_.Take(now, limits_.rps, 1)) {
    ++counts.rate_limited;
    Answer(node, request.id, 429, {{"error", "too many requests"}});
    return;
  }
  if (request.target.rfind("/follow?", 0) == 0) {
    const uint64_t from = Number(Parameter(request.target, "from"), 0);
    if (from < compacted_) {
      Answer(node, request.id, 410, {{"error", "too old"}});
      return;
    }
    const uint64_t hold = std::min<uint64_t>(60000, Number(Parameter(request.target, "hold_ms"), 0));
    watches_.push_back({node, request.id, from, Parameter(request.target, "under"),
                        now + static_cast<Micros>(hold) * kMillisecond});
    return;
  }
  due_.push_back({now + kLatency, node, std::move(request)});
}

void State::CarryOut(Micros now, const Due& due) {
  const Request& request = due.request;
  if (Unavailable(due.node)) {
    ++counts.refused;
    Answer(due.node, request.id, 503, {{"error", "unavailable"}});
    return;
  }
  if (request.method == "POST" && request.target == "/commit") {
    const Json body = Body(request.body);
    const size_t writes = body.contains("writes") ? body.at("writes").size() : 0;
    if (writes > 0 && !writes_.Take(now, limits_.write_rps, static_cast<double>(writes))) {
      ++counts.rate_limited;
      Answer(due.node, request.id, 429, {{"error", "too many changes"}});
      return;
    }
    auto [status, answer] = Commit(body);
    Answer(due.node, request.id, status, answer);
  } else if (request.method == "POST" && request.target == "/grants") {
    const Micros life = Body(request.body).at("life_ms").get<Micros>() * kMillisecond;
    leases_[next_lease_] = {life, now + life, {}};
    Answer(due.node, request.id, 200, {{"permit", next_lease_++}});
  } else if (request.method == "POST" && request.target.rfind("/grants/", 0) == 0) {
    const auto lease = leases_.find(std::stoull(request.target.substr(8)));
    if (lease == leases_.end()) {
      Answer(due.node, request.id, 404, Json::object());
      return;
    }
    lease->second.until = now + lease->second.life;
    Answer(due.node, request.id, 200, {{"permit", lease->first}});
  } else if (request.method == "GET" && request.target.rfind("/store?", 0) == 0) {
    ++counts.lists;
    ++lists_by_node[due.node];
    auto [status, answer] = List(request.target);
    Answer(due.node, request.id, status, answer);
  } else {
    Answer(due.node, request.id, 400, {{"error", "malformed"}});
  }
}

std::pair<int, Json> State::Commit(const Json& body) {
  ++counts.commits;
  const Json& conditions = body.at("if");
  const Json writes = body.value("writes", Json::array());
  bool too_large = static_cast<int>(writes.size()) > limits_.txn_ops ||
                   static_cast<int>(conditions.size()) > 4 * limits_.txn_ops ||
                   body.dump().size() > kMostTransactionBytes;
  for (const Json& write : writes) {
    if (write.contains("v") &&
        static_cast<double>(write.at("v").dump().size()) > limits_.value_kb * 1024) {
      too_large = true;
    }
  }
  if (too_large) {
    ++counts.too_large;
    record_->Say("state service: a transaction is above the limits, 400");
    return {400, {{"error", "too large"}}};
  }
  Json failed = Json::array();
  for (const Json& condition : conditions) {
    const auto found = items_.find(condition.at("key").get<std::string>());
    const uint64_t stamp = found == items_.end() ? 0 : found->second.stamp;
    if (stamp != condition.at("stamp").get<uint64_t>()) failed.push_back(condition.at("key"));
  }
  if (!failed.empty()) {
    ++counts.conflicts;
    return {409, {{"failed", failed}, {"ledger", revision_}}};
  }
  for (const Json& write : writes) {
    if (write.contains("permit") && leases_.count(write.at("permit").get<uint64_t>()) == 0) {
      return {400, {{"error", "no such lease"}}};
    }
  }
  if (writes.empty()) return {200, {{"ledger", revision_}}};
  ++revision_;
  for (const Json& write : writes) {
    if (write.contains("put")) {
      Put(write.at("put").get<std::string>(), write.at("v"), write.value("permit", uint64_t{0}));
    } else {
      Erase(write.at("delete").get<std::string>());
    }
  }
  return {200, {{"ledger", revision_}}};
}

std::pair<int, Json> State::List(const std::string& target) const {
  const std::string under = Parameter(target, "under"), from = Parameter(target, "from");
  const size_t limit = std::min<size_t>(kMostListed, Number(Parameter(target, "limit"), kMostListed));
  Json list = Json::array();
  size_t bytes = 0;
  bool more = false;
  auto item = from.empty() ? items_.lower_bound(under) : items_.upper_bound(std::max(from, under));
  for (; item != items_.end() && item->first.rfind(under, 0) == 0; ++item) {
    bytes += item->second.bytes + item->first.size() + 40;
    if (list.size() >= limit || (bytes > kMostListedBytes && !list.empty())) {
      more = true;
      break;
    }
    list.push_back({{"key", item->first}, {"v", item->second.value}, {"stamp", item->second.stamp}});
  }
  return {200, {{"items", std::move(list)}, {"truncated", more}, {"ledger", revision_}}};
}

void State::Expire(Micros now) {
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (now > lease.until) ended.push_back(id);
  }
  for (const uint64_t id : ended) {
    const std::set<std::string> keys = leases_[id].keys;
    leases_.erase(id);
    if (keys.empty()) continue;
    ++revision_;
    for (const std::string& key : keys) Erase(key);
  }
}

void State::AnswerWatches(Micros now) {
  std::vector<Watch> open;
  for (const Watch& watch : watches_) {
    // Open watches wait during an outage.
    if (Unavailable(watch.node) || (watch.from >= revision_ && now < watch.until)) {
      open.push_back(watch);
      continue;
    }
    if (watch.from < compacted_) {
      Answer(watch.node, watch.request, 410, {{"error", "too old"}});
      continue;
    }
    Json events = Json::array();
    auto change = std::upper_bound(
        changes_.begin(), changes_.end(), watch.from,
        [](uint64_t revision, const Change& entry) { return revision < entry.revision; });
    for (; change != changes_.end(); ++change) {
      if (change->key.rfind(watch.under, 0) != 0) continue;
      if (change->erase) {
        events.push_back({{"delete", change->key}, {"stamp", change->revision}});
        continue;
      }
      const auto item = items_.find(change->key);
      if (item == items_.end() || item->second.stamp != change->revision) continue;
      events.push_back(
          {{"put", change->key}, {"v", item->second.value}, {"stamp", change->revision}});
    }
    if (events.empty() && now < watch.until) {
      open.push_back(watch);
      continue;
    }
    Answer(watch.node, watch.request, 200, {{"ledger", revision_}, {"events", std::move(events)}});
  }
  watches_ = std::move(open);
}

void State::Tick(Micros now) {
  if (!outage_) Expire(now);
  while (!due_.empty() && due_.front().at <= now) {
    const Due due = std::move(due_.front());
    due_.pop_front();
    CarryOut(now, due);
  }
  AnswerWatches(now);
  for (auto& server : servers_) server->Tick(now);
}

// --- worker --------------------------------------------------------------------------------

Worker::Worker(struct ev_loop* loop, Record* record, Jobs* jobs, WorkerTimes times,
               std::string name, std::string zone, double cpus, double memory_gb,
               std::vector<Endpoint> nodes, std::vector<std::string> labels, uint32_t seed)
    : record_(record),
      jobs_(jobs),
      times_(times),
      name_(std::move(name)),
      zone_(std::move(zone)),
      cpus_(cpus),
      memory_gb_(memory_gb),
      nodes_(std::move(nodes)),
      labels_(std::move(labels)),
      rng_(seed),
      client_(loop, 16, [this](const CallResult& result) {
        if (result.call_id == call_) OnAnswer(SteadyNow(), result.status, result.body);
      }) {
  server_ = std::make_unique<HttpServer>(loop, 16, [this](const Request& request) {
    if (returned || SteadyNow() < up_at) return;  // nobody there to answer
    auto [status, body] = Serve(SteadyNow(), request);
    server_->Send({request.id, status, Pack(body), 0});
  });
  address_ = *server_->Open(LocalPort(0));
  lease_from_ = SteadyNow();
  node_ = seed % nodes_.size();
}

Json Worker::Report() {
  Json pieces = Json::array();
  for (const auto& [id, task] : tasks_) {
    Json piece = {{"piece", id.job + "/" + std::to_string(id.task)},
                  {"try", id.attempt},
                  {"status", task.state}};
    if (task.state == "ended") piece["cause"] = task.cause;
    pieces.push_back(std::move(piece));
  }
  return {{"host", name_},         {"address", address_.text}, {"room", zone_},
          {"loaners", spot},       {"shift", shift_},          {"tally", ++tally_},
          {"baton", baton_},       {"warning_s", nullptr},     {"pieces", std::move(pieces)}};
}

void Worker::Next(Micros now, size_t node, Micros wait) {
  node_ = node;
  next_report_ = now + wait;
}

void Worker::Send(Micros now) {
  in_flight_ = true;
  changed_ = false;
  sent_ = last_sent_ = now;
  call_ = next_call_++;
  call_shift_ = shift_;
  Json report = Report();
  report["build"] = type;
  Call call;
  call.id = call_;
  call.method = "POST";
  call.target = "/v1/report";
  call.body = Pack(report);
  call.timeout = kReportTimeout;
  client_.Send(nodes_[node_], {.max_connections = 2, .shares_limit = true}, call);
}

void Worker::OnAnswer(Micros now, int status, const std::string& bytes) {
  in_flight_ = false;
  const size_t next = (node_ + 1) % nodes_.size();
  const Json body = Body(bytes);
  if (status == 421) {
    const std::string leader = body.is_object() ? body.value("foreman", "") : "";
    const auto found = std::find(labels_.begin(), labels_.end(), leader);
    const size_t other = static_cast<size_t>(found - labels_.begin());
    if (found == labels_.end() || other == node_) {
      Next(now, next, kSecond);
    } else {
      Next(now, other, 0);
    }
    return;
  }
  if (status != 200) {
    Next(now, next, kSecond);
    return;
  }
  std::uniform_real_distribution<double> spread(0.75, 1.25);
  Next(now, node_, std::max<Micros>(0, sent_ + troutlink::FromSeconds(times_.report_s * spread(rng_)) - now));
  const uint64_t baton = body.is_object() ? body.value("baton", uint64_t{0}) : 0;
  if (call_shift_ != shift_ || !body.contains("baton") || baton < baton_) return;  // dropped
  if (baton > baton_ && now - token_reported_ > troutlink::FromSeconds(times_.lease_s / 2)) {
    token_reported_ = now;
    Changed();
  }
  baton_ = baton;
  lease_from_ = std::max(lease_from_, sent_);
  Execute(now, body.value("orders", Json::array()));
}

std::pair<int, Json> Worker::Serve(Micros now, const Request& request) {
  Advance(now);
  auto report = [this] {
    Json body = Report();
    body["build"] = type;
    return body;
  };
  if (request.target == "/show") return {200, report()};
  if (request.target != "/commands") return {404, Json::object()};
  const Json body = Body(request.body);
  if (!body.is_object() || !body.contains("baton") || !body.contains("shift")) {
    return {400, Json::object()};
  }
  const uint64_t baton = body.at("baton").get<uint64_t>();
  if (baton < baton_ || body.at("shift").get<uint64_t>() != shift_) return {409, report()};
  if (baton > baton_) Changed();
  baton_ = baton;
  Execute(now, body.value("orders", Json::array()));
  return {200, report()};
}

int Worker::Running(const std::string& job) const {
  int count = 0;
  if (returned) return count;
  for (const auto& [id, task] : tasks_) count += id.job == job && task.state == "running" ? 1 : 0;
  return count;
}

double Worker::FreeCpus() const {
  double free = cpus_;
  for (const auto& [id, task] : tasks_) {
    if (task.state != "ended") free -= jobs_->all.at(id.job).body.at("cpus").get<double>();
  }
  return free;
}

void Worker::Start(Micros now, const TaskId& id) {
  if (tasks_.count(id) != 0) return;
  Task& task = tasks_[id];
  task.since = now;
  Changed();
  const auto job = jobs_->all.find(id.job);
  if (job == jobs_->all.end() || id.task >= job->second.body.at("pieces").get<int>()) {
    task.state = "ended";
    task.cause = "no_such";
    return;
  }
  double cpus = 0, memory = 0;
  for (const auto& [other, known] : tasks_) {
    if (other == id || known.state == "ended") continue;
    if (other.job == id.job && other.task == id.task) {
      task.state = "ended";
      task.cause = "in_use";
      return;
    }
    cpus += jobs_->all.at(other.job).body.at("cpus").get<double>();
    memory += jobs_->all.at(other.job).body.at("memory_gb").get<double>();
  }
  const Json& body = job->second.body;
  if (cpus + body.at("cpus").get<double>() > cpus_ + 1e-6 ||
      memory + body.at("memory_gb").get<double>() > memory_gb_ + 1e-6) {
    task.state = "ended";
    task.cause = "no_room";
    return;
  }
  task.state = "pulling";
}

void Worker::Execute(Micros now, const Json& orders) {
  for (const Json& order : orders) {
    const std::string verb = order.at("verb").get<std::string>();
    const std::string piece = order.at("piece").get<std::string>();
    const size_t slash = piece.rfind('/');
    const TaskId id{piece.substr(0, slash), std::stoi(piece.substr(slash + 1)),
                    order.at("try").get<uint64_t>()};
    record_->Say(name_ + " " + verb + " " + piece + " try " + std::to_string(id.attempt));
    if (verb == "start") {
      Start(now, id);
      continue;
    }
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) continue;
    if (verb == "stop" && found->second.state != "ended") {
      found->second.state = "ended";
      found->second.cause = "halted";
      Changed();
    } else if (verb == "reap" && found->second.state == "ended") {
      tasks_.erase(found);
      Changed();
    }
  }
  Advance(now);
}

void Worker::Advance(Micros now) {
  if (now - lease_from_ > troutlink::FromSeconds(times_.lease_s)) {
    record_->Say(name_ + " its lease has ended with " + std::to_string(tasks_.size()) + " tasks");
    tasks_.clear();
    ++shift_;
    lease_from_ = now;
    Changed();
  }
  for (auto& [id, task] : tasks_) {
    const Job& job = jobs_->all.at(id.job);
    const std::string image = job.body.at("bundle").get<std::string>();
    if (task.state == "pulling" && (images_.count(image) != 0 || now - task.since >= kFetch)) {
      images_.insert(image);
      task.since = now;
      Changed();
      if (jobs_->done.count({id.job, id.task}) != 0) {
        task.state = "ended";
        task.cause = "done";
        continue;
      }
      task.state = "running";
      record_->Say(name_ + " runs " + id.job + "/" + std::to_string(id.task) + " try " +
                   std::to_string(id.attempt));
      if (on_start) on_start(*this, id.job, id.task);
    }
    if (task.state == "running" && job.run > 0 && now - task.since >= job.run) {
      task.state = "ended";
      task.cause = "done";
      jobs_->done.insert({id.job, id.task});
      record_->Say(name_ + " has done " + id.job + "/" + std::to_string(id.task));
      Changed();
    }
  }
}

void Worker::Tick(Micros now) {
  if (returned || now < up_at) return;
  if (up_at != 0) {
    up_at = 0;
    lease_from_ = now;
  }
  Advance(now);
  const bool due = now >= next_report_ || (changed_ && now - last_sent_ >= kSecond / 2);
  if (!in_flight_ && due) Send(now);
  client_.Tick(now);
  server_->Tick(now);
}

// --- cloud ------------------------------------------------------------------------------------

Cloud::Cloud(struct ev_loop* loop, Json flavors) : loop_(loop), flavors_(std::move(flavors)) {}

Endpoint Cloud::Listen() {
  server_ = std::make_unique<HttpServer>(loop_, 64,
                                         [this](const Request& request) { OnRequest(request); });
  return *server_->Open(LocalPort(0));
}

void Cloud::OnRequest(const Request& request) {
  auto answer = [&](int status, const Json& body) {
    server_->Send({request.id, status, Pack(body), 0});
  };
  if (request.target == "/flavors") {
    answer(200, {{"builds", flavors_}});
  } else if (request.method == "GET") {
    const std::string from = Parameter(request.target, "from");
    Json hosts = Json::array();
    for (const auto& worker : workers) {
      if (worker->returned || (!from.empty() && worker->name() <= from)) continue;
      hosts.push_back({{"name_id", worker->name()},
                       {"address", worker->address()},
                       {"build", type},
                       {"room", worker->zone()},
                       {"loaners", worker->spot},
                       {"status", worker->up_at == 0 ? "running" : "booting"},
                       {"age_s", 600.0}});
    }
    answer(200, {{"hosts", hosts}, {"truncated", false}});
  } else if (request.target == "/rentals") {
    const Json rented = Rent(Body(request.body));
    answer(rented.contains("hosts") ? 200 : 503, rented);
  } else if (request.target == "/rentals/return") {
    const Json body = Body(request.body);
    for (const Json& host : body.at("hosts")) {
      for (auto& worker : workers) {
        if (worker->name() == host.get<std::string>()) worker->returned = true;
      }
    }
    answer(200, Json::object());
  } else {
    answer(400, {{"error", "malformed"}});
  }
}

Json Cloud::Rent(const Json& body) {
  const std::string hire = body.at("hire").get<std::string>();
  const auto known = rented_.find(hire);
  if (known != rented_.end()) return known->second;
  const int count = std::min(capacity, body.at("number").get<int>());
  if (count <= 0) return {{"error", "no capacity"}};
  capacity -= count;
  Json hosts = Json::array();
  for (int i = 0; i < count; ++i) {
    Worker* worker = make(body.at("room").get<std::string>(), body.at("loaners").get<bool>());
    worker->up_at = SteadyNow() + troutlink::FromSeconds(flavors_[0].at("ready_s").get<double>());
    hosts.push_back(worker->name());
  }
  return rented_[hire] = {{"hosts", hosts}};
}

void Cloud::Tick(Micros now) {
  if (server_) server_->Tick(now);
}

// --- users --------------------------------------------------------------------------------------

Users::Users(struct ev_loop* loop, Record* record, std::vector<Endpoint> nodes)
    : record_(record), nodes_(std::move(nodes)), client_(loop, 400, [this](const CallResult& result) {
        const auto found = open_.find(result.call_id);
        if (found == open_.end()) return;
        auto [what, done] = std::move(found->second);
        open_.erase(found);
        const Answer answer{result.status, Body(result.body)};
        if (!what.empty()) {
          record_->Say("answer to " + what + ": " +
                       (result.status > 0 ? std::to_string(result.status) + " " + answer.body.dump()
                                          : "none"));
        }
        if (done) done(answer);
      }) {}

void Users::Send(size_t node, const std::string& method, const std::string& target,
                 const Json& body, Micros timeout, const std::string& what, Done done) {
  Call call;
  call.id = next_++;
  call.method = method;
  call.target = target;
  if (!body.is_null()) call.body = Pack(body);
  call.timeout = timeout;
  const std::string named = what.empty() ? "" : what + " at node " + std::to_string(node);
  if (!named.empty()) record_->Say("send " + named);
  open_[call.id] = {named, std::move(done)};
  client_.Send(nodes_[node], {.max_connections = 100, .shares_limit = true}, call);
}

void Users::Submit(size_t node, const Json& body, Done done) {
  Send(node, "POST", "/api/jobs", body, 5 * kSecond,
       "submission of " + body.at("name_id").get<std::string>(), std::move(done));
}

void Users::Poll(size_t node, const std::string& id, Done done) {
  Send(node, "GET", "/api/jobs/" + id, Json(), 2 * kSecond, "question about " + id,
       std::move(done));
}

// --- platform -------------------------------------------------------------------------------------

bool Controller::Start() {
  const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) return false;
  std::vector<char*> words;
  for (std::string& word : command_) words.push_back(word.data());
  words.push_back(settings_.data());
  words.push_back(nullptr);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it must not outlive the stand-ins
    dup2(log, STDERR_FILENO);
    setenv("LOG_LEVEL", "info", 1);
    execv(words[0], words.data());
    _exit(127);
  }
  close(log);
  return pid_ > 0;
}

void Controller::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

void Controller::Stop() {
  if (pid_ > 0) kill(pid_, SIGSTOP);
}

void Controller::Continue() {
  if (pid_ > 0) kill(pid_, SIGCONT);
}

bool Controller::EndedByItself() {
  if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = -1;
  return true;
}

long Controller::Memory() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stol(line.substr(6));
  }
  return 0;
}

double Controller::CpuSeconds() const {
  std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
  std::string word;
  double ticks = 0;
  for (int field = 1; stat >> word; ++field) {
    if (field == 14 || field == 15) ticks += std::stod(word);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

World::World(Options given)
    : options(std::move(given)),
      record(options.folder + "/record.txt"),
      loop(ev_loop_new(EVFLAG_AUTO)) {
  std::filesystem::create_directories(options.scratch);
  state = std::make_unique<State>(loop, &record, options.limits);
  Json flavor = {{"sku", options.type},
                 {"cpus", options.machine_cpus},
                 {"cards", 0},
                 {"memory_gb", options.machine_memory_gb},
                 {"local_gb", 25},
                 {"fetch_gb_per_s", 1.0},
                 {"price", 1.06},
                 {"spot_price", 0.4},
                 {"ready_s", options.ready_s},
                 {"rooms", options.zones}};
  cloud = std::make_unique<Cloud>(loop, Json::array({flavor}));
  cloud->type = options.type;
  cloud->capacity = options.capacity;
  cloud->make = [this](const std::string& zone, bool spot) { return AddMachine(zone, spot); };
  const Endpoint cloud_at = cloud->Listen();
  std::vector<Endpoint> mesh, state_at;
  for (int node = 0; node < options.nodes; ++node) {
    labels.push_back("worker-" + std::to_string(node));
    serve.push_back(LocalPort(FreePort()));
    mesh.push_back(LocalPort(FreePort()));
    state_at.push_back(state->Listen());
  }
  Json teams = Json::array();
  for (const std::string& team : options.teams) {
    teams.push_back({{"name", team},
                     {"cpus", 16.0},
                     {"cpus_max", options.team_cpus_max},
                     {"gpus", 0.0},
                     {"gpus_max", 0.0}});
  }
  Json state_facts = {{"rps", options.limits.rps},
                      {"write_rps", options.limits.write_rps},
                      {"value_kb", options.limits.value_kb},
                      {"txn_ops", options.limits.txn_ops}};
  if (!options.next_limits.is_null()) state_facts["next"] = options.next_limits;
  for (size_t node = 0; node < serve.size(); ++node) {
    Json settings = {
        {"label", labels[node]},
        {"area", options.zones[node % options.zones.size()]},
        {"serve_on", serve[node].text},
        {"mesh_addr", mesh[node].text},
        {"siblings", Json::array()},
        {"external", {{"cloud", cloud_at.text}, {"state", state_at[node].text}}},
        {"facts",
         {{"size", options.nodes},
          {"zones", options.zones},
          {"teams", teams},
          {"objectives", Json::array()},
          {"workers",
           {{"report_s", options.times.report_s},
            {"lease_s", options.times.lease_s},
            {"gang_wait_s", 45.0},
            {"gang_peer_s", 6.0},
            {"cancel_s", options.cancel_s}}},
          {"state", state_facts},
          {"cloud", {{"rps", 8.0}, {"list_lag_s", 6.0}}},
          {"resources",
           {{"cores", 0.16}, {"mem_mb", options.mem_mb}, {"fd_limit", options.fd_limit}}},
          {"time_bound_ms", 1000.0}}}};
    for (size_t other = 0; other < serve.size(); ++other) {
      if (other == node) continue;
      settings["siblings"].push_back({{"label", labels[other]},
                                      {"area", options.zones[other % options.zones.size()]},
                                      {"endpoint", mesh[other].text}});
    }
    controllers.push_back(std::make_unique<Controller>(options.command, SettingsPath(node),
                                                       options.scratch + "/" + labels[node] + ".log"));
    settings_.push_back(std::move(settings));
    WriteSettings(node);
  }
  users = std::make_unique<Users>(loop, &record, serve);
}

World::~World() { controllers.clear(); }

std::string World::SettingsPath(size_t node) const {
  return options.scratch + "/" + labels[node] + ".json";
}

void World::WriteSettings(size_t node) const {
  std::ofstream(SettingsPath(node)) << settings_[node].dump(2);
}

void World::SetTeamLimit(size_t node, double cpus_max) {
  for (Json& team : settings_[node]["facts"]["teams"]) team["cpus_max"] = cpus_max;
  WriteSettings(node);
}

void World::Announce(size_t node, const Json& next_limits) {
  settings_[node]["facts"]["state"]["next"] = next_limits;
  WriteSettings(node);
}

Worker* World::AddMachine(const std::string& zone, bool spot) {
  char name[16];
  std::snprintf(name, sizeof name, "n-%06u", next_machine);
  auto worker = std::make_unique<Worker>(loop, &record, &jobs, options.times, name, zone,
                                         options.machine_cpus, options.machine_memory_gb, serve,
                                         labels, next_machine);
  ++next_machine;
  worker->type = options.type;
  worker->spot = spot;
  cloud->workers.push_back(std::move(worker));
  return cloud->workers.back().get();
}

bool World::StartController(size_t node) {
  record.Say("platform starts " + labels[node]);
  return controllers[node]->Start();
}

void World::Tick() {
  const Micros now = SteadyNow();
  state->Tick(now);
  cloud->Tick(now);
  for (size_t i = 0; i < cloud->workers.size(); ++i) cloud->workers[i]->Tick(now);
  users->Tick(now);
  if (now >= until_ || !step_(now)) ev_break(loop, EVBREAK_ALL);
}

void World::Run(double most_seconds, const std::function<bool(Micros now)>& step) {
  until_ = SteadyNow() + troutlink::FromSeconds(most_seconds);
  step_ = step;
  timer_.data = this;
  ev_timer_init(
      &timer_,
      [](struct ev_loop*, ev_timer* timer, int) { static_cast<World*>(timer->data)->Tick(); }, 0,
      0.001);
  ev_timer_start(loop, &timer_);
  ev_run(loop, 0);
  ev_timer_stop(loop, &timer_);
}

int World::Running(const std::string& job) const {
  int count = 0;
  for (const auto& worker : cloud->workers) count += worker->Running(job);
  return count;
}

Json World::JobBody(const std::string& id, const std::string& form, int pieces, double cpus,
                    double memory_gb, double expect_s) const {
  return {{"name_id", id},
          {"docket", form == "service" ? "quote-api" : "quote-batch"},
          {"owner", options.teams[0]},
          {"form", form},
          {"rank", form == "service" ? "critical" : "urgent"},
          {"pieces", pieces},
          {"cpus", cpus},
          {"cards", 0.0},
          {"memory_gb", memory_gb},
          {"bundle", "img-01"},
          {"size_gb", 0.3},
          {"builds", nullptr},
          {"room", nullptr},
          {"together", false},
          {"spread", false},
          {"loaners", false},
          {"expect_s", expect_s},
          {"bookmark_s", 0.0},
          {"stash_s", 0.0},
          {"due_s", nullptr}};
}

}  // namespace review
