#include "cases.h"

#include <deque>

#include "base/ids.h"
#include "core/store/records.h"

namespace review {

using troutlink::StableHash;

namespace {
constexpr double kNoise = 1e-6;

// An id with that remainder: jobs that fit all shards alike go to the shard of their hash.
std::string IdFor(size_t shard, int from) {
  for (int number = from;; ++number) {
    char id[32];
    std::snprintf(id, sizeof id, "job-%06d", number);
    if (StableHash(id) % kNodes == shard) return id;
  }
}

Json Array(const std::string& id, const std::string& team, int pieces, double cpus,
           double expect_s) {
  return {{"name_id", id},      {"docket", "quote-batch"}, {"owner", team},    {"form", "array"},
          {"rank", "urgent"},   {"pieces", pieces},        {"cpus", cpus},     {"cards", 0.0},
          {"memory_gb", 16.0},  {"bundle", "img-01"},      {"size_gb", 1.0},   {"builds", nullptr},
          {"room", nullptr},    {"together", false},       {"spread", false},  {"loaners", false},
          {"expect_s", expect_s}, {"bookmark_s", 0.0},     {"stash_s", 0.0},   {"due_s", nullptr}};
}

Json Team(const std::string& name, double cpus, double cpus_max) {
  return {{"name", name}, {"cpus", cpus}, {"cpus_max", cpus_max}, {"gpus", 0.0}, {"gpus_max", 0.0}};
}
}  // namespace

std::map<std::string, Play> Cases() {
  return {{"quota", PlayQuota}, {"stuck", PlayStuck}, {"stranded", PlayStranded}};
}

// A controller that ends reads the state service anew, in pages, when it is back. Jobs that another
// controller accepts and starts between two of its pages count for nothing when it later compares
// the use of a team with its limit.
int PlayQuota(WorldOptions options, bool trouble) {
  constexpr double kLimit = 96;
  constexpr int kHistory = 620;  // more than one page
  const std::string team = "amortization";
  options.teams = Json::array({Team(team, 48, kLimit)});
  options.workers = 15;
  World world(options);
  for (size_t node = 0; node < kNodes; ++node) world.StartController(node);
  for (size_t node = 0; node < kNodes; ++node) {
    if (!world.WaitUp(node, 20 * kSecond)) return 2;
  }
  double most = 0;
  auto check = [&] { most = std::max(most, world.TeamCpus(team)); };
  world.on_tick = check;
  world.Run(5 * kSecond);

  // Jobs of earlier: one that its user cancels, and others that name it, which are over at once.
  const std::string first = "job-500000";
  world.AddJob(Array(first, team, 1, 1, 60), 60 * kSecond);
  if (!world.Submit(first, 0)) return 2;
  if (world.Abort(first, 0).status != 200) return 2;
  std::deque<std::string> waiting;
  for (int i = 1; i <= kHistory; ++i) {
    const std::string id = "job-" + std::to_string(500000 + i);
    Json spec = Array(id, team, 1, 1, 60);
    spec["awaits"] = {first};
    world.AddJob(spec, 60 * kSecond);
    waiting.push_back(id);
  }
  int over = 0;
  size_t turn = 0;
  const Micros begun = world.now();
  Micros next = begun;
  world.Run(45 * kSecond, [&] {
    if (over >= kHistory) return true;
    if (waiting.empty() || world.now() < next) return false;
    next = std::max(next + 41 * kMillisecond, world.now() - 50 * kMillisecond);
    const std::string id = waiting.front();
    waiting.pop_front();
    world.Send(
        turn++ % kNodes, "POST", "/api/jobs", troutlink::wire::Pack(world.jobs.at(id).spec),
        [&, id](const Answer& answer) {
          if (answer.status == 201 || answer.status == 200) {
            ++over;
          } else {
            waiting.push_back(id);
          }
        },
        5 * kSecond);
    return false;
  });
  world.record.Say(std::to_string(over) + " jobs of earlier are over");
  if (over < kHistory) return 2;

  const std::string j1 = IdFor(1, 100), j2 = IdFor(2, 100), k = IdFor(0, 600);
  world.AddJob(Array(j1, team, 4, 8, 600), 600 * kSecond);
  world.AddJob(Array(j2, team, 4, 8, 600), 600 * kSecond);
  world.AddJob(Array(k, team, 12, 8, 600), 600 * kSecond);
  bool submitted = false;
  auto submit = [&] {
    if (submitted) return;
    submitted = true;
    world.SubmitAsync(j1, 1);
    world.SubmitAsync(j2, 2);
  };
  if (trouble) {
    world.KillController(0);
    world.Run(5 * kSecond);
    int pages = 0;
    // Now and then an answer takes a few hundred milliseconds: here that of one page.
    world.state->extra_delay = [&](size_t node, const Request& request) -> Micros {
      if (node != 0 || request.target.rfind("/store?", 0) != 0) return 0;
      if (request.target.find("&from=") == std::string::npos) return 0;
      if (++pages != 1) return 0;
      world.record.Say("the state service takes 400 ms for a page of worker-0");
      return 400 * kMillisecond;
    };
    world.state->on_answer = [&](size_t node, const Request& request, int status) {
      if (node != 0 || request.target.rfind("/store?", 0) != 0) return;
      world.record.Say("state service answers worker-0's GET " + request.target + ": " +
                       std::to_string(status));
      if (request.target.find("&from=") == std::string::npos) submit();
    };
    world.StartController(0);
    if (!world.WaitUp(0, 20 * kSecond)) return 2;
  }
  submit();
  world.Run(10 * kSecond,
            [&] { return world.Running(j1) == 4 && world.Running(j2) == 4; });
  world.record.Say("running: " + std::to_string(world.Running(j1)) + " tasks of " + j1 + ", " +
                   std::to_string(world.Running(j2)) + " of " + j2);
  if (world.Running(j1) != 4 || world.Running(j2) != 4) return 2;
  world.Run(trouble ? 25 * kSecond : 3 * kSecond);
  if (!world.Submit(k, 0)) return 2;
  world.Run(12 * kSecond);
  world.record.Say("running: " + std::to_string(world.Running(j1)) + " tasks of " + j1 + ", " +
                   std::to_string(world.Running(j2)) + " of " + j2 + ", " +
                   std::to_string(world.Running(k)) + " of " + k);
  world.record.Say("most cpus in use by " + team + ": " + std::to_string(most) + ", limit " +
                   std::to_string(kLimit));
  return most > kLimit + kNoise ? 1 : 0;
}

// The state service has its smaller limits. Many arrays have one task left that runs for long; then
// jobs of one task come.
int PlayStuck(WorldOptions options, bool trouble) {
  constexpr int kArrays = 210;
  constexpr Micros kMostWaiting = 90 * kSecond;
  const std::string team = "amortization";
  options.teams = Json::array({Team(team, 200, 400)});
  options.workers = 36;
  // The settings announce the limits; with the disruption they are in force.
  options.next_limits = {{"value_kb", 2.0}, {"txn_ops", 8}, {"write_rps", 21.0}};
  if (!trouble) options.next_limits = Json();
  World world(options);
  if (trouble) {
    world.state->value_bytes = 2 * 1024;
    world.state->txn_ops = 8;
    world.state->write_rps = 21;
  }
  for (size_t node = 0; node < kNodes; ++node) world.StartController(node);
  for (size_t node = 0; node < kNodes; ++node) {
    if (!world.WaitUp(node, 20 * kSecond)) return 2;
  }
  world.Run(1500 * kMillisecond);
  std::deque<std::string> waiting;
  std::vector<std::string> arrays, late;
  auto add = [&](const std::string& id, int pieces) -> Job& {
    Json spec = Array(id, team, pieces, 0.25, 5);
    spec["memory_gb"] = 1.0;
    return world.AddJob(spec, 1 * kSecond);
  };
  for (int i = 0; i < kArrays; ++i) {
    arrays.push_back("job-" + std::to_string(200000 + i));
    Job& job = add(arrays.back(), 10);
    job.slow_from = 9;
    job.slow_run = 40 * kSecond;
    waiting.push_back(arrays.back());
  }
  int taken = 0;
  size_t turn = 0;
  Micros next = world.now();
  world.Run(14 * kSecond, [&] {
    if (waiting.empty() || world.now() < next) return taken == kArrays;
    next = std::max(next + 42 * kMillisecond, world.now() - 40 * kMillisecond);
    const std::string id = waiting.front();
    waiting.pop_front();
    world.Send(
        turn++ % kNodes, "POST", "/api/jobs", troutlink::wire::Pack(world.jobs.at(id).spec),
        [&, id](const Answer& answer) {
          if (answer.status == 201 || answer.status == 200) {
            ++taken;
          } else {
            waiting.push_back(id);
          }
        },
        5 * kSecond);
    return false;
  });
  world.record.Say(std::to_string(taken) + " arrays are accepted");
  if (taken < kArrays) return 2;
  // Until nothing but the last tasks is left, or nothing has changed for 3 s.
  int left = 0, before = -1;
  Micros changed = world.now();
  world.Run(10 * kSecond, [&] {
    left = 0;
    for (const std::string& id : arrays) left += world.Running(id);
    if (left != before) changed = world.now();
    before = left;
    return world.now() - changed > 2 * kSecond;
  });
  world.record.Say(std::to_string(left) + " tasks of arrays run");
  for (size_t i = 0; i < 6; ++i) {
    late.push_back("job-00030" + std::to_string(i));
    add(late.back(), 1).run = 600 * kSecond;
    if (!world.Submit(late.back(), i % kNodes)) return 2;
  }
  const Micros accepted = world.now();
  // For how long each has waited without a task on a machine, while one of the zone has room.
  std::map<std::string, Micros> since;
  for (const std::string& id : late) since[id] = accepted;
  Micros longest = 0, said = 0;
  double least_room = 1e9;
  world.Run(kMostWaiting + 3 * kSecond, [&] {
    const Micros now = world.now();
    double room = 0;
    for (const auto& [name, worker] : world.workers) {
      if (worker->gone) continue;
      double free = worker->cpus;
      for (const auto& [key, task] : worker->tasks) {
        if (task.status != "ended") free -= world.jobs.at(key.first.substr(0, key.first.rfind('/'))).cpus;
      }
      room = std::max(room, free);
    }
    least_room = std::min(least_room, room);
    int running = 0;
    for (const std::string& id : late) {
      const int on = world.Running(id);
      running += on;
      if (on > 0 || room < 1 || world.TeamCpus(team) + 1 > 400) since[id] = now;
      longest = std::max(longest, now - since[id]);
    }
    if (now - said > 10 * kSecond) {
      said = now;
      world.record.Say(std::to_string(running) + " of 6 late jobs run; the team uses " +
                       std::to_string(static_cast<int>(world.TeamCpus(team))) +
                       " of 400 cpus; most room on a machine: " +
                       std::to_string(static_cast<int>(room)) + " cpus");
    }
    return longest > kMostWaiting || running == 6;
  });
  for (const std::string& id : late) {
    const Answer answer = world.Get(0, id);
    world.record.Say(id + ": " + std::to_string(answer.status) + " " + answer.status_text() +
                     ", tasks on machines: " + std::to_string(world.Running(id)));
  }
  for (const auto& [key, item] : world.state->items) {
    if (key.find("/table/") == std::string::npos && key.find("/roster/") == std::string::npos)
      continue;
    world.record.Say("stored: " + key + ", " + std::to_string(troutlink::StoredSize(item.value)) +
                     " bytes");
  }
  world.record.Say("longest wait beside room: " + std::to_string(longest / kSecond) + " s");
  return longest > kMostWaiting ? 1 : 0;
}

// One of three spot machines is taken. An array on it has one task done and one to do; the other machines
// of this part are full, those of the others are not.
int PlayStranded(WorldOptions options, bool trouble) {
  constexpr Micros kMostWaiting = 90 * kSecond;
  constexpr double kTaskCpus = 6, kLimit = 400;
  const std::string team = "amortization";
  options.teams = Json::array({Team(team, 200, kLimit)});
  options.workers = 6;
  options.spot_workers = 3;
  World world(options);
  for (size_t node = 0; node < kNodes; ++node) world.StartController(node);
  for (size_t node = 0; node < kNodes; ++node) {
    if (!world.WaitUp(node, 20 * kSecond)) return 2;
  }
  world.Run(4 * kSecond);
  // Long work: one task on each machine but the spot machine of the first part.
  std::vector<std::string> fillers;
  for (size_t part = 0; part < kNodes; ++part) {
    const std::string id = IdFor(part, 100 + 100 * static_cast<int>(part));
    fillers.push_back(id);
    Json spec = part == 0 ? Array(id, team, 2, 12, 600) : Array(id, team, 3, 9, 600);
    spec["loaners"] = part != 0;
    world.AddJob(spec, 600 * kSecond);
    if (!world.Submit(id, part)) return 2;
    world.Run(4 * kSecond, [&] { return world.Running(id) == (part == 0 ? 2 : 3); });
  }
  const std::string job = IdFor(0, 700);
  Json spec = Array(job, team, 2, kTaskCpus, 60);
  spec["loaners"] = true;
  Job& added = world.AddJob(spec, 3 * kSecond);
  added.slow_from = 1;
  added.slow_run = 600 * kSecond;
  if (!world.Submit(job, 0)) return 2;
  world.Run(9 * kSecond);
  const Answer before = world.Get(0, job);
  world.record.Say(job + ": " + before.status_text() + ", done " + before.body["done"].dump() +
                   ", on machines " + std::to_string(world.Running(job)));
  for (const std::string& id : fillers) {
    if (world.Running(id) != world.jobs.at(id).spec["pieces"]) return 2;
  }
  if (world.Running(job) != 1 || before.body["done"] != 1) return 2;
  // It runs on a spot machine that it has for itself.
  std::string taken;
  for (const auto& [name, worker] : world.workers) {
    bool has = false, others = false;
    for (const auto& [key, task] : worker->tasks) {
      const bool its = key.first.rfind(job + "/", 0) == 0;
      has = has || its;
      others = others || !its;
    }
    if (has && !others && worker->spot) taken = name;
  }
  if (taken.empty()) return 2;
  if (trouble) world.TakeMachine(taken);
  // For how long the job has waited without a task, while a steady machine has room for one.
  Micros since = world.now(), longest = 0, said = 0;
  const Micros end = world.now() + kMostWaiting + 2 * kSecond;
  world.Run(end - world.now(), [&] {
    const Micros now = world.now();
    double room = 0;
    for (const auto& [name, worker] : world.workers) {
      if (worker->gone) continue;
      double free = worker->cpus;
      for (const auto& [key, task] : worker->tasks) {
        if (task.status == "ended") continue;
        free -= world.jobs.at(key.first.substr(0, key.first.rfind('/'))).cpus;
      }
      room = std::max(room, free);
    }
    if (world.Running(job) > 0 || room < kTaskCpus || world.TeamCpus(team) + kTaskCpus > kLimit) {
      since = now;
    }
    longest = std::max(longest, now - since);
    if (now - said > 10 * kSecond) {
      said = now;
      world.record.Say(job + ": " + std::to_string(world.Running(job)) +
                       " tasks on machines; most room on a machine: " +
                       std::to_string(static_cast<int>(room)) + " cpus; the team uses " +
                       std::to_string(static_cast<int>(world.TeamCpus(team))) + " of 400");
    }
    return longest > kMostWaiting;
  });
  const Answer after = world.Get(1, job);
  world.record.Say(job + ": " + after.status_text() + "; longest wait beside room: " +
                   std::to_string(longest / kSecond) + " s");
  return longest > kMostWaiting ? 1 : 0;
}

}  // namespace review
