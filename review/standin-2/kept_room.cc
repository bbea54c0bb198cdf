// One of three cheap machines is taken back; a steady one has room, but an array is not started there.
#include <cstdio>
#include <memory>

#include "base/ids.h"
#include "case_main.h"
#include "runtime/clock.h"

namespace review {
namespace {

constexpr double kMostWaiting = 90;

// All machines go to one controller, as unknown ones are shared out by a hash of their names.
Worker* AddMachine(World* world, bool spot) {
  for (;; ++world->next_machine) {
    char name[16];
    std::snprintf(name, sizeof name, "n-%06u", world->next_machine);
    if (troutlink::StableHash(name) % 3 == 0) break;
  }
  return world->AddMachine(world->options.zones[0], spot);
}

// An array as `partage`: 8 CPUs a task, saves every 20 s, may use cheap machines.
Json Partage(const World& world, const std::string& id, int pieces) {
  Json body = world.JobBody(id, "array", pieces, 8, 26, 40);
  body["docket"] = "partage";
  body["rank"] = "standard";
  body["loaners"] = true;
  body["bookmark_s"] = 20.0;
  body["stash_s"] = 2.0;
  return body;
}

Verdict Play(World* world, int /*argc*/, char** /*argv*/) {
  const Worker& steady = *AddMachine(world, false);
  Worker* cheap[3] = {};
  for (Worker*& machine : cheap) machine = AddMachine(world, true);
  for (size_t node = 0; node < 3; ++node) {
    if (!world->StartController(node)) return Verdict::kNotRun;
  }
  for (size_t node = 0; node < 3; ++node) {
    if (!WaitUntilUp(world, node, 15)) return Verdict::kNotRun;
  }
  world->Run(3, [](Micros) { return true; });
  const std::string service = "job-000077";
  const Json replica = world->JobBody(service, "service", 1, 2, 4.1, 0);
  world->jobs.all[service] = {replica, 0};
  if (!SubmitUntilAccepted(world, replica, 10)) return Verdict::kNotRun;
  if (!PollUntil(world, service, "running", 10)) return Verdict::kNotRun;
  // Two of the three cheap machines are in use.
  const std::string other = "job-000101";
  const Json other_body = Partage(*world, other, 4);
  world->jobs.all[other] = {other_body, 300 * kSecond};
  if (!SubmitUntilAccepted(world, other_body, 10)) return Verdict::kNotRun;
  world->Run(10, [&](Micros) { return world->Running(other) < 4; });
  world->Run(1, [](Micros) { return true; });
  Worker* idle = nullptr;
  for (Worker* machine : cheap) {
    if (machine->FreeCpus() >= 16) idle = machine;
  }
  if (idle == nullptr || world->Running(other) < 4) {
    world->record.Say("the first array does not run on two of the three cheap machines");
    return Verdict::kNotRun;
  }
  if (world->options.trouble) {
    world->record.Say("TROUBLE: the cloud takes back " + idle->name() +
                      ", one of three cheap machines, without notice");
    idle->returned = true;
  }
  // Longer than the workers' lease, so that the loss is known.
  world->Run(14, [](Micros) { return true; });
  const std::string id = "job-000412";
  const Json body = Partage(*world, id, 1);
  world->jobs.all[id] = {body, 40 * kSecond};
  if (!SubmitUntilAccepted(world, body, 10)) return Verdict::kNotRun;
  bool had_room = true;
  Micros next_said = 0, next_poll = 0;
  const Micros since = troutlink::runtime::SteadyNow();
  size_t node = 0;
  world->Run(kMostWaiting, [&](Micros now) {
    had_room = had_room && !steady.returned && steady.FreeCpus() >= 8;
    if (now >= next_poll) {
      next_poll = now + 5 * kSecond;
      world->users->Poll(node++ % 3, id, nullptr);
    }
    if (now >= next_said) {
      next_said = now + 10 * kSecond;
      world->record.Say(id + " waits for " + std::to_string((now - since) / kSecond) + " s; " +
                        steady.name() + " has " + std::to_string(steady.FreeCpus()) +
                        " of 16 CPUs free");
    }
    return world->Running(id) == 0;
  });
  if (world->Running(id) > 0) return Verdict::kHeld;
  world->record.Say(id + " was not started for 90 s; the steady machine had room " +
                    (had_room ? "all the time" : "not all the time"));
  return had_room ? Verdict::kBroken : Verdict::kNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Options options;
  options.type = "comptoir";
  options.machine_cpus = 16;
  options.machine_memory_gb = 64;
  options.ready_s = 20;
  options.zones = {"salle-mtl"};
  options.teams = {"laurentides", "capitale", "estrie", "montreal", "conformite"};
  options.team_cpus_max = 216;
  options.limits = {250, 30, 16, 12};
  options.times = {2, 12};
  options.cancel_s = 42;
  options.mem_mb = 72;
  options.fd_limit = 900;
  return review::CaseMain(argc, argv, std::move(options), &review::Play);
}
