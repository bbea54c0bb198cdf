#include "world.h"

#include <algorithm>

namespace troutlink::test {
namespace {

constexpr Micros kLatency = 2 * kMilli;
constexpr Micros kTick = 50 * kMilli;
constexpr Micros kCheck = 20 * kMilli;
constexpr Micros kLease = 10 * kSecond;
constexpr Micros kReport = 2 * kSecond;

std::string Param(const std::string& target, const std::string& name) {
  size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

std::string TaskName(const std::string& job, int task) { return job + "/" + std::to_string(task); }

}  // namespace

// --- state service -----------------------------------------------------------

void FakeState::Expire(Micros now) {
  std::vector<uint64_t> ended;
  for (const auto& [id, l] : leases) {
    if (now > l.until) ended.push_back(id);
  }
  for (uint64_t id : ended) {
    leases.erase(id);
    for (auto it = items.begin(); it != items.end();) {
      if (it->second.lease == id) {
        changes.push_back({++revision, it->first, true});
        it = items.erase(it);
      } else {
        ++it;
      }
    }
  }
}

void FakeState::Refresh(Micros now) {
  for (auto& [id, l] : leases) l.until = now + l.life;
}

std::pair<int, Json> FakeState::Handle(Micros now, const std::string& method,
                                       const std::string& target, const Json& body) {
  if (target == "/commit") {
    ++commits;
    Json failed = Json::array();
    for (const Json& c : body.at("if")) {
      auto it = items.find(c.at("key").get<std::string>());
      uint64_t have = it == items.end() ? 0 : it->second.version;
      if (have != c.at("stamp").get<uint64_t>()) failed.push_back(c.at("key"));
    }
    if (!failed.empty()) return {409, {{"failed", failed}, {"ledger", revision}}};
    for (const Json& w : body.at("writes")) {
      if (w.contains("permit") && leases.count(w.at("permit").get<uint64_t>()) == 0) {
        return {400, {{"error", "no such lease"}}};
      }
    }
    if (body.at("writes").empty()) return {200, {{"ledger", revision}}};
    ++revision;
    for (const Json& w : body.at("writes")) {
      if (w.contains("put")) {
        std::string key = w.at("put").get<std::string>();
        items[key] = {w.at("v"), revision, w.value("permit", uint64_t{0})};
        changes.push_back({revision, key, false});
      } else {
        std::string key = w.at("delete").get<std::string>();
        if (items.erase(key) != 0) changes.push_back({revision, key, true});
      }
    }
    return {200, {{"ledger", revision}}};
  }
  if (target == "/grants") {
    uint64_t id = next_lease++;
    Micros life = body.at("life_ms").get<Micros>() * kMilli;
    leases[id] = {life, now + life};
    return {200, {{"permit", id}}};
  }
  if (target.rfind("/grants/", 0) == 0) {
    uint64_t id = std::stoull(target.substr(8));
    auto it = leases.find(id);
    if (it == leases.end()) return {404, Json::object()};
    it->second.until = now + it->second.life;
    return {200, Json::object()};
  }
  if (method == "GET" && target.rfind("/store?", 0) == 0) {
    std::string prefix = Param(target, "under"), after = Param(target, "from");
    size_t limit = std::stoul(Param(target, "limit"));
    Json list = Json::array();
    bool more = false;
    for (const auto& [key, item] : items) {
      if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) continue;
      if (list.size() >= limit) {
        more = true;
        break;
      }
      list.push_back({{"key", key}, {"v", item.value}, {"stamp", item.version}});
    }
    return {200, {{"items", list}, {"truncated", more}, {"ledger", revision}}};
  }
  return {400, Json::object()};
}

// --- workers --------------------------------------------------------------------

Report FakeWorker::MakeReport() {
  Report r;
  r.machine = name;
  r.addr = addr;
  r.type = type;
  r.zone = zone;
  r.spot = spot;
  r.session = session;
  r.seq = ++seq;
  r.token = token;
  for (const auto& [key, t] : tasks) {
    TaskReport task;
    task.job = key.first;
    task.task = key.second;
    task.attempt = t.attempt;
    task.state = t.state;
    task.why = t.why;
    r.tasks.push_back(task);
  }
  return r;
}

void FakeWorker::Apply(Micros now, const Json& orders) {
  for (const Json& o : orders) {
    std::string piece = o.at("piece").get<std::string>(), verb = o.at("verb").get<std::string>();
    uint64_t attempt = o.at("try").get<uint64_t>();
    size_t slash = piece.rfind('/');
    std::string job = piece.substr(0, slash);
    int task = std::stoi(piece.substr(slash + 1));
    auto it = tasks.find({job, task});
    if (verb == "start") {
      if (it != tasks.end()) continue;
      ++starts;
      Task t;
      t.attempt = attempt;
      if (results != nullptr && results->count({job, task}) != 0) {
        t.state = TaskState::kExited;
        t.why = ExitReason::kDone;
        tasks[{job, task}] = t;
        continue;
      }
      if (fetch_time > 0 && !fails_all) {
        t.state = TaskState::kFetching;
        t.ends = now + fetch_time;
        tasks[{job, task}] = t;
        continue;
      }
      Begin(now, job, task, &t);
      if (fails_all || (mistaken != nullptr && mistaken->count(job) != 0)) {
        t.state = TaskState::kExited;
        t.why = ExitReason::kError;
      }
      tasks[{job, task}] = t;
    } else if (it != tasks.end() && it->second.attempt == attempt) {
      if (verb == "stop" && it->second.state != TaskState::kExited) {
        it->second.state = TaskState::kExited;
        it->second.why = ExitReason::kStopped;
        next_report = now;
      } else if (verb == "reap" && it->second.state == TaskState::kExited) {
        tasks.erase(it);
      }
    }
  }
}

void FakeWorker::Begin(Micros now, const std::string& job, int task, Task* t) {
  if (on_start) on_start(job, task);
  const Micros run = run_time.count(job) != 0 ? run_time[job] : 0;
  t->state = TaskState::kRunning;
  t->ends = run > 0 ? now + run : 0;
}

void FakeWorker::Advance(Micros now) {
  for (auto& [key, t] : tasks) {
    if (t.state == TaskState::kFetching && now >= t.ends && now - lease_from <= kLease) {
      Begin(now, key.first, key.second, &t);
    }
    if (t.state == TaskState::kRunning && t.ends != 0 && now >= t.ends) {
      t.state = TaskState::kExited;
      t.why = ExitReason::kDone;
      if (results != nullptr) results->insert(key);
      next_report = std::min(next_report, now);
    }
  }
  if (now - lease_from > kLease) {
    tasks.clear();
    ++session;
    lease_from = now;
  }
}

bool FakeWorker::Has(const std::string& job) const {
  for (const auto& [key, t] : tasks) {
    if (key.first == job && t.state != TaskState::kExited) return true;
  }
  return false;
}

// --- world ----------------------------------------------------------------------

World::World(int n, const std::function<void(Json* facts)>& change) {
  Json doc = {
      {"label", "node-0"},
      {"area", "z1"},
      {"serve_on", "10.0.0.1:8080"},
      {"mesh_addr", "10.0.0.1:8081"},
      {"siblings", Json::array()},
      {"external", {{"cloud", "10.2.0.2:1"}, {"state", "10.2.0.1:1"}}},
      {"facts",
       {{"zones", {"z1", "z2"}},
        {"teams",
         {{{"name", "red"}, {"cpus", 16.0}, {"cpus_max", 64.0}, {"gpus", 0.0}, {"gpus_max", 0.0}},
          {{"name", "blue"}, {"cpus", 0.0}, {"cpus_max", 0.0}, {"gpus", 0.0}, {"gpus_max", 0.0}}}},
        {"workers", {{"report_s", 2.0}, {"lease_s", 10.0}, {"cancel_s", 30.0}}},
        {"state", {{"rps", 200.0}, {"write_rps", 60.0}, {"value_kb", 16.0}, {"txn_ops", 12}}},
        {"cloud", {{"rps", 6.0}, {"list_lag_s", 2.0}}},
        {"resources", {{"cores", 1.0}, {"mem_mb", 64.0}, {"fd_limit", 500}}},
        {"time_bound_ms", 5.0}}}};
  if (change) change(&doc["facts"]);
  nodes_.resize(static_cast<size_t>(n));
  for (int i = 0; i < n; ++i) {
    doc["label"] = "node-" + std::to_string(i);
    doc["siblings"] = Json::array();
    for (int j = 0; j < n; ++j) {
      if (j == i) continue;
      doc["siblings"].push_back({{"label", "node-" + std::to_string(j)},
                                 {"area", "z1"},
                                 {"endpoint", "10.0.0." + std::to_string(j + 1) + ":8081"}});
    }
    std::string error;
    nodes_[static_cast<size_t>(i)].settings = *ParseSettings(doc.dump(), &error);
  }
  settings = nodes_[0].settings;
  for (int i = 0; i < n; ++i) Start(static_cast<size_t>(i));
}

JobSpec World::Array(const std::string& id, int tasks) {
  JobSpec s;
  s.id = id;
  s.job_class = "batch";
  s.team = "blue";
  s.tasks = tasks;
  s.each = {4000, 0, 8000};
  s.image = "img";
  s.image_gb = 1;
  s.spot = true;
  s.estimate = 5 * kSecond;
  return s;
}

JobSpec World::Service(const std::string& id, int tasks) {
  JobSpec s = Array(id, tasks);
  s.kind = JobKind::kService;
  s.priority = Priority::kProduction;
  s.each = {2000, 0, 4000};
  s.spot = false;
  s.estimate = 0;
  return s;
}

void World::At(Micros when, std::function<void()> run) {
  events_.push_back({when, ++order_, std::move(run)});
  std::push_heap(events_.begin(), events_.end(), std::greater<>());
}

void World::Start(size_t node) {
  Node& n = nodes_[node];
  n.boot = next_boot_++;
  n.core = std::make_unique<Core>(n.settings, n.boot, now, now + 1'700'000'000 * kSecond);
  n.next_tick = now;
  n.waiting.clear();
}

void World::Kill(size_t node) {
  nodes_[node].core.reset();
  nodes_[node].frozen = false;
  nodes_[node].delayed.clear();
  for (auto& [id, reply] : nodes_[node].waiting) reply({id, -1, "", 0});
  nodes_[node].waiting.clear();
}

FakeWorker& World::AddWorker(const std::string& type, bool spot) {
  auto w = std::make_unique<FakeWorker>();
  char name[16];
  std::snprintf(name, sizeof name, "n-%06d", next_machine_++);
  w->name = name;
  w->addr = "10.1.0." + std::to_string(next_machine_) + ":9000";
  w->type = type;
  w->zone = "z1";
  w->spot = spot;
  w->lease_from = now;
  w->next_report = now;
  w->node = static_cast<size_t>(next_machine_) % nodes_.size();
  w->run_time = run_time;
  w->results = &results;
  w->mistaken = &mistaken;
  FakeWorker* raw = w.get();
  w->on_start = [this, raw](const std::string& job, int task) { OnStart(*raw, job, task); };
  return *(workers[name] = std::move(w));
}

void World::Break(const std::string& what) {
  // The same thing is noticed at many steps: once is enough.
  if (std::find(broken.begin(), broken.end(), what) == broken.end()) broken.push_back(what);
}

void World::OnStart(const FakeWorker& on, const std::string& job, int task) {
  int of_job = 0, in_zone = 0;
  for (const auto& [other, o] : workers) {
    if (o->dead) continue;
    for (auto it = o->tasks.lower_bound({job, 0}); it != o->tasks.end() && it->first.first == job;
         ++it) {
      if (it->second.state == TaskState::kExited) continue;
      if (o.get() != &on && it->first.second == task) Break("ran_twice " + TaskName(job, task));
      ++of_job;
      in_zone += o->zone == on.zone ? 1 : 0;
    }
  }
  auto known = jobs_.find(job);
  if (known == jobs_.end()) return;
  const JobSpec& spec = known->second.spec;
  if ((on.spot && !spec.spot) || (!spec.zone.empty() && spec.zone != on.zone) ||
      (!spec.types.empty() &&
       std::find(spec.types.begin(), spec.types.end(), on.type) == spec.types.end()) ||
      (spec.spread && in_zone + 1 > (spec.tasks + 1) / 2) || (spec.one_zone && of_job != in_zone)) {
    Break("wrong_place " + TaskName(job, task) + " on " + on.name);
  }
  const Micros told = known->second.cancelled;
  if (told != 0) {
    ++starts_after_cancel;
    if (now > told + settings.cancel) Break("ran_cancelled: started " + TaskName(job, task));
  }
}

// What users may be told, given what they were told before they asked.
void World::NoteAnswer(Micros asked, const std::string& target, const std::string& method,
                       const std::string& body, const Reply& reply) {
  const bool submission = target == "/api/jobs";
  std::string id;
  JobSpec spec;
  if (submission) {
    std::string why;
    auto decoded = wire::DecodeSubmission(body, &why);
    if (!decoded) return;
    spec = *decoded;
    id = spec.id;
  } else if (auto path = wire::ParseJobPath(target)) {
    id = path->id;
  } else {
    return;
  }
  auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    if (!submission && reply.status == 200) Break("invented " + id);
    return;
  }
  Known& known = it->second;
  const bool was_known = known.accepted != 0 && known.accepted < asked;
  if (was_known && (reply.status == 404 || reply.status == 400 || reply.status == 422)) {
    Break("forgotten " + id + ": " + method + " gave " + std::to_string(reply.status));
  }
  if (reply.status != 200 && reply.status != 201) return;
  if (known.accepted == 0) known.accepted = now;
  const std::string status =
      wire::Unpack(reply.body).value_or(Json::object()).value("status", std::string());
  if (status == "cancelled" && !known.asked_cancel) Break("went_back " + id + ": not cancelled");
  if ((known.done != 0 && known.done < asked && status != "done") ||
      (known.cancelled != 0 && known.cancelled < asked && status != "cancelled")) {
    Break("went_back " + id + " to " + status);
  }
  if (status == "done") {
    for (int i = 0; i < known.spec.tasks; ++i) {
      if (results.count({id, i}) == 0) Break("not_done " + TaskName(id, i));
    }
    if (known.done == 0) known.done = now;
  }
  if (status == "cancelled" && known.cancelled == 0) known.cancelled = now;
}

void World::CheckRules() {
  std::map<std::string, Amount> used;
  for (const auto& [name, w] : workers) {
    // One that hangs past its lease ends its tasks before it does anything else.
    if (w->dead || (w->hung && now - w->lease_from > kLease)) continue;
    for (const auto& [key, t] : w->tasks) {
      if (t.state == TaskState::kExited) continue;
      auto job = jobs_.find(key.first);
      if (job == jobs_.end()) continue;
      used[job->second.spec.team] += job->second.spec.each;
      const Micros told = job->second.cancelled;
      if (told != 0 && now > told + settings.cancel) {
        Break("ran_cancelled " + TaskName(key.first, key.second) + " on " + name);
      }
    }
  }
  for (const Team& team : settings.teams) {
    if (team.cpus_max > 0 && used[team.name].cpus > team.cpus_max) Break("quota " + team.name);
  }
}

void World::AnswerCall(size_t node, uint64_t boot, uint64_t call, int status, std::string body) {
  At(now + kLatency, [this, node, boot, call, status, body = std::move(body)] {
    Deliver(node, [this, node, boot, call, status, body] {
      Node& n = nodes_[node];
      if (n.core == nullptr || n.boot != boot) return;
      Dispatch(node, n.core->HandleAnswer(now, call, status, body));
    });
  });
}

void World::Deliver(size_t node, std::function<void()> run) {
  if (nodes_[node].frozen) {
    nodes_[node].delayed.push_back(std::move(run));
  } else {
    run();
  }
}

void World::Freeze(size_t node) { nodes_[node].frozen = true; }

void World::Thaw(size_t node) {
  nodes_[node].frozen = false;
  auto delayed = std::move(nodes_[node].delayed);
  nodes_[node].delayed.clear();
  for (auto& run : delayed) run();
}

void World::RepeatCarried() {
  auto again = carried;
  keep_calls = false;
  for (auto& [node, call] : again) {
    bool hang = false;
    Serve(node, call, &hang);
  }
}

std::pair<int, Json> World::Cloud(const std::string& method, const std::string& target,
                                  const Json& body) {
  if (cloud_down) return {503, {{"error", "trouble"}}};
  if (target == "/flavors") {
    Json types = Json::array();
    types.push_back({{"sku", "small"},
                     {"cpus", 16},
                     {"cards", 0},
                     {"memory_gb", 64},
                     {"local_gb", 40},
                     {"fetch_gb_per_s", 1.0},
                     {"price", 1.0},
                     {"spot_price", 0.3},
                     {"ready_s", 5},
                     {"rooms", {"z1", "z2"}}});
    return {200, {{"builds", types}}};
  }
  if (target == "/rentals/return") {
    for (const Json& h : body.at("hosts")) {
      auto it = workers.find(h.get<std::string>());
      if (it == workers.end()) continue;
      if (!it->second->dead && rented_names_.count(it->first) != 0) ++capacity;
      it->second->dead = true;
      it->second->tasks.clear();
      ++returns;
    }
    return {200, Json::object()};
  }
  if (method == "POST") {
    // A repeated request gets the same answer and rents nothing.
    auto known = rented.find(body.at("hire").get<std::string>());
    if (known != rented.end()) {
      if (known->second.first != body)
        broken.push_back("a request name was used for another rental");
      return {200, known->second.second};
    }
    int count = std::min(body.at("number").get<int>(), capacity);
    if (count == 0) return {503, {{"error", "no capacity"}}};
    capacity -= count;
    rentals += count;
    Json hosts = Json::array();
    for (int i = 0; i < count; ++i) {
      FakeWorker& w =
          AddWorker(body.at("build").get<std::string>(), body.at("loaners").get<bool>());
      w.zone = body.at("room").get<std::string>();
      w.next_report = w.lease_from = now + (boot_time ? boot_time() : 5 * kSecond);
      hosts.push_back(w.name);
      rented_names_.insert(w.name);
    }
    Json answer = {{"hosts", hosts}};
    rented[body.at("hire").get<std::string>()] = {body, answer};
    return {200, answer};
  }
  Json list = Json::array();
  for (const auto& [name, w] : workers) {
    if (w->dead) continue;
    list.push_back({{"name_id", name},
                    {"address", w->addr},
                    {"build", w->type},
                    {"room", w->zone},
                    {"loaners", w->spot},
                    {"status", w->lease_from > now ? "booting" : "running"},
                    {"age_s", 60.0}});
  }
  return {200, {{"hosts", list}, {"truncated", false}}};
}

std::pair<int, std::string> World::Serve(size_t node, const Call& call, bool* hang) {
  Json body = wire::Unpack(call.body).value_or(Json::object());
  switch (call.dest) {
    case Dest::kWatch:
    case Dest::kState: {
      if (cut_from_state.count(node) != 0) {
        *hang = true;
        return {};
      }
      if (state_down || refused_by_state.count(node) != 0) return {503, ""};
      if (state_busy && call.target.rfind("/grants/", 0) != 0) return {429, ""};
      auto [status, reply] = state.Handle(now, call.method, call.target, body);
      return {status, wire::Pack(reply)};
    }
    case Dest::kCloud: {
      auto [status, reply] = Cloud(call.method, call.target, body);
      return {status, wire::Pack(reply)};
    }
    case Dest::kWorker: break;
  }
  for (auto& [name, w] : workers) {
    if (w->addr != call.addr || w->dead) continue;
    if (!w->Reaches(node) || w->hung || w->unhearing || cut_from_workers.count(node) != 0 ||
        w->lease_from > now) {
      *hang = true;
      return {};
    }
    w->Advance(now);
    if (call.target == "/show") return {200, wire::EncodeReport(w->MakeReport())};
    if (body.at("baton").get<uint64_t>() < w->token ||
        body.at("shift").get<uint64_t>() != w->session) {
      return {409, wire::EncodeReport(w->MakeReport())};
    }
    if (body.at("baton").get<uint64_t>() > w->token) {
      w->token = body.at("baton").get<uint64_t>();
      w->next_report = std::min(w->next_report, now + 100 * kMilli);
    }
    w->Apply(now, body.at("orders"));
    return {200, wire::EncodeReport(w->MakeReport())};
  }
  *hang = true;
  return {};
}

void World::Carry(size_t node, const Call& call) {
  uint64_t boot = nodes_[node].boot;
  if (call.dest == Dest::kWatch) {
    watches_.push_back({node, boot, call, std::stoull(Param(call.target, "from")),
                        now + std::stoll(Param(call.target, "hold_ms")) * kMilli});
    return;
  }
  if (keep_calls && call.method == "POST") carried.emplace_back(node, call);
  if (lose && lose(node, call)) {
    held.emplace_back(node, call);
    At(now + call.timeout, [this, node, boot, id = call.id] {
      if (nodes_[node].core != nullptr && nodes_[node].boot == boot) {
        Dispatch(node, nodes_[node].core->HandleAnswer(now, id, kNoAnswer, ""));
      }
    });
    return;
  }
  const Micros slow = call.dest == Dest::kState ? state_latency : 0;
  At(now + kLatency + slow, [this, node, boot, call] {
    bool hang = false;
    auto [status, body] = Serve(node, call, &hang);
    if (!hang) {
      AnswerCall(node, boot, call.id, status, body);
      return;
    }
    At(now + call.timeout, [this, node, boot, id = call.id] {
      if (nodes_[node].core != nullptr && nodes_[node].boot == boot) {
        Dispatch(node, nodes_[node].core->HandleAnswer(now, id, kNoAnswer, ""));
      }
    });
  });
}

void World::ServeLater(size_t node, const Call& call, Micros after) {
  At(now + after, [this, node, call] {
    bool hang = false;
    Serve(node, call, &hang);
  });
}

void World::ReportLater(FakeWorker* w, size_t node, Micros after) {
  Report report = w->MakeReport();
  At(now + after,
     [this, node, body = wire::EncodeReport(report)] { Ask(node, "POST", "/v1/report", body); });
}

void World::SetRunTime(const std::string& job, Micros time) {
  run_time[job] = time;
  for (auto& [name, w] : workers) w->run_time[job] = time;
}

void World::DeliverHeld() {
  auto late = std::move(held);
  held.clear();
  for (auto& [node, call] : late) {
    bool hang = false;
    Serve(node, call, &hang);
  }
}

void World::Dispatch(size_t node, const Outbox& out) {
  for (const Call& call : out.calls) Carry(node, call);
  for (const PeerMessage& m : out.peers) {
    if (mesh_down) break;
    size_t to = static_cast<size_t>(m.to.back() - '0');
    if (cut_from_mesh.count(node) != 0 || cut_from_mesh.count(to) != 0) continue;
    if (cut_links.count({node, to}) != 0 || cut_links.count({to, node}) != 0) continue;
    // Through the codec, as on the network.
    std::string frame = mesh::Encode(m.message);
    std::string_view in = frame;
    uint64_t n = 0;
    mesh::GetVarint(&in, &n);
    std::string body(in);
    auto arrive = [this, node, to, body] {
      Deliver(to, [this, node, to, body] {
        if (nodes_[to].core == nullptr) return;
        std::optional<mesh::Message> message = mesh::Decode(body);
        Dispatch(to, nodes_[to].core->HandlePeer(now, "node-" + std::to_string(node), *message));
      });
    };
    if (hold_mesh) {
      held_mesh_.push_back(std::move(arrive));
    } else {
      At(now + kLatency, std::move(arrive));
    }
  }
  for (const Reply& reply : out.replies) {
    auto it = nodes_[node].waiting.find(reply.id);
    if (it == nodes_[node].waiting.end()) continue;
    auto run = std::move(it->second);
    nodes_[node].waiting.erase(it);
    run(reply);
  }
}

void World::ReleaseMesh() {
  hold_mesh = false;
  auto held = std::move(held_mesh_);
  held_mesh_.clear();
  for (auto& arrive : held) arrive();
}

std::shared_ptr<World::Answered> World::Ask(size_t node, const std::string& method,
                                            const std::string& target, const std::string& body) {
  auto out = std::make_shared<Answered>();
  Node& n = nodes_[node];
  if (n.core == nullptr) {
    out->status = -1;
    return out;
  }
  Request request{n.next_request++, method, target, body};
  if (target == "/api/jobs") {
    std::string why;
    auto spec = wire::DecodeSubmission(body, &why);
    if (spec) jobs_[spec->id].spec = *spec;
  } else if (auto path = wire::ParseJobPath(target); path && path->abort) {
    auto known = jobs_.find(path->id);
    if (known != jobs_.end()) known->second.asked_cancel = true;
  }
  n.waiting[request.id] = [this, out, method, target, body, asked = now](const Reply& reply) {
    NoteAnswer(asked, target, method, body, reply);
    out->status = reply.status;
    out->body = wire::Unpack(reply.body).value_or(Json());
    out->retry_after = reply.retry_after_s;
  };
  Dispatch(node, n.core->HandleRequest(now, request));
  return out;
}

std::shared_ptr<World::Answered> World::Submit(size_t node, const JobSpec& spec) {
  return Ask(node, "POST", "/api/jobs", wire::EncodeSubmission(spec));
}

World::Answered World::AskUntil(size_t node, const std::string& method, const std::string& target,
                                const std::string& body) {
  std::shared_ptr<Answered> a;
  for (int i = 0; i < 60; ++i) {
    a = Ask(node, method, target, body);
    Until([&] { return a->status != -100; }, 5 * kSecond);
    if (a->status == 200 || a->status == 201 || a->status == 404 || a->status == 400 ||
        a->status == 422) {
      break;
    }
    Run(kSecond);
  }
  return *a;
}

void World::WorkerReports(FakeWorker* w) {
  w->reporting = true;
  size_t node = w->node;
  Node& n = nodes_[node];
  Micros sent = now;
  uint64_t session = w->session;
  auto next = [this, w](size_t to, Micros when) {
    w->reporting = false;
    w->node = to;
    w->next_report = now + when;
  };
  std::string body = wire::EncodeReport(w->MakeReport());
  if (keep_reports) kept.emplace_back(w->name, body);
  if (n.core == nullptr || cut_from_workers.count(node) != 0 || !w->Reaches(node)) {
    // Refused or hung: on to the next one.
    At(now + (n.core == nullptr ? 0 : 4 * kSecond),
       [this, next, node] { next((node + 1) % nodes_.size(), kSecond); });
    return;
  }
  Request request{n.next_request++, "POST", "/v1/report", body};
  auto over = std::make_shared<bool>(false);
  At(now + 4 * kSecond, [this, next, node, over] {
    if (*over) return;
    *over = true;  // no answer: on to the next one
    next((node + 1) % nodes_.size(), kSecond);
  });
  n.waiting[request.id] = [this, w, next, node, sent, session, over](const Reply& reply) {
    if (*over) return;
    *over = true;
    if (w->hung) {
      next(node, kReport);
      return;
    }
    Json doc = wire::Unpack(reply.body).value_or(Json::object());
    if (w->unhearing) {
      next((node + 1) % nodes_.size(), 5 * kSecond);
      return;
    }
    if (reply.status == 200) {
      next(node, kReport);
      uint64_t token = doc.value("baton", uint64_t{0});
      if (w->dead || w->silent || token < w->token || session != w->session) return;
      if (token > w->token) w->next_report = std::min(w->next_report, now + 500 * kMilli);
      w->token = token;
      w->lease_from = std::max(w->lease_from, sent);
      w->Apply(now, doc.at("orders"));
      return;
    }
    std::string to = reply.status == 421 ? doc.value("foreman", "") : "";
    if (to.empty() || to.back() - '0' == static_cast<int>(node)) {
      next((node + 1) % nodes_.size(), kSecond);
    } else {
      next(static_cast<size_t>(to.back() - '0'), 100 * kMilli);
    }
  };
  At(now + kLatency, [this, node, boot = n.boot, request] {
    Deliver(node, [this, node, boot, request] {
      if (nodes_[node].core == nullptr || nodes_[node].boot != boot) return;
      Dispatch(node, nodes_[node].core->HandleRequest(now, request));
    });
  });
}

void World::Step() {
  now += kMilli;
  if (now >= next_check_) {
    next_check_ = now + kCheck;
    CheckRules();
  }
  if (!state_down) state.Expire(now);
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& n = nodes_[i];
    if (n.core == nullptr || n.frozen || now < n.next_tick) continue;
    n.next_tick = now + kTick;
    Dispatch(i, n.core->Tick(now, now + 1'700'000'000 * kSecond));
  }
  for (auto& [name, w] : workers) {
    if (w->dead || w->hung || w->lease_from > now) continue;
    w->Advance(now);
    if (!w->silent && !w->mute && !w->reporting && now >= w->next_report) WorkerReports(w.get());
  }
  for (size_t i = 0; i < watches_.size();) {
    OpenWatch& w = watches_[i];
    bool blocked =
        state_down || cut_from_state.count(w.node) != 0 || refused_by_state.count(w.node) != 0;
    Json events = Json::array();
    if (!blocked) {
      for (const FakeState::Change& c : state.changes) {
        if (c.revision <= w.after) continue;
        if (c.erase) {
          events.push_back({{"delete", c.key}, {"stamp", c.revision}});
        } else {
          auto it = state.items.find(c.key);
          if (it == state.items.end() || it->second.version != c.revision) continue;
          events.push_back({{"put", c.key}, {"v", it->second.value}, {"stamp", c.revision}});
        }
      }
    }
    if (!blocked && (!events.empty() || now >= w.until)) {
      AnswerCall(w.node, w.boot, w.call.id, 200,
                 wire::Pack(Json{{"ledger", state.revision}, {"events", events}}));
      watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
    } else if (now >= w.until + 2 * kSecond) {
      AnswerCall(w.node, w.boot, w.call.id, kNoAnswer, "");
      watches_.erase(watches_.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  while (!events_.empty() && events_.front().at <= now) {
    std::pop_heap(events_.begin(), events_.end(), std::greater<>());
    auto run = std::move(events_.back().run);
    events_.pop_back();
    run();
  }
}

void World::Run(Micros time) {
  Micros end = now + time;
  while (now < end) Step();
}

bool World::Until(const std::function<bool()>& holds, Micros most) {
  Micros end = now + most;
  while (now < end) {
    if (holds()) return true;
    Step();
  }
  return holds();
}

int World::OnMachines(const std::string& job) const {
  int n = 0;
  for (const auto& [name, w] : workers) {
    if (w->dead) continue;
    for (const auto& [key, t] : w->tasks) {
      n += key.first == job && t.state != TaskState::kExited ? 1 : 0;
    }
  }
  return n;
}

int World::LeaderOf(int shard_id) const {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].core != nullptr && nodes_[i].core->IsLeader(shard_id)) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace troutlink::test
