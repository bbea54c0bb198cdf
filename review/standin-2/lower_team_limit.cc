// The controllers are restarted one after the other with settings in which a team's limit is lower.
// All earlier tasks of the team have ended by then.
#include <cstdio>
#include <memory>

#include "base/ids.h"
#include "case_main.h"
#include "runtime/clock.h"

namespace review {
namespace {

constexpr double kLimitBefore = 64;  // CPUs of the team
constexpr double kLimitAfter = 32;
constexpr double kTaskCpus = 8;

// The first id from `from` on that hashes to the part, to which its job goes while all parts have
// equal room.
std::string IdOf(int from, uint64_t part) {
  for (;; ++from) {
    char id[32];
    std::snprintf(id, sizeof id, "job-%06d", from);
    if (troutlink::StableHash(id) % 3 == part) return id;
  }
}

Verdict Play(World* world, int /*argc*/, char** /*argv*/) {
  // Four machines for each controller, as unknown machines are shared out by a hash of their names.
  int machines[3] = {0, 0, 0};
  while (machines[0] + machines[1] + machines[2] < 12) {
    char name[16];
    std::snprintf(name, sizeof name, "n-%06u", world->next_machine);
    const uint64_t part = troutlink::StableHash(name) % 3;
    if (machines[part] == 4) {
      ++world->next_machine;
      continue;
    }
    ++machines[part];
    world->AddMachine(world->options.zones[0]);
  }
  for (size_t node = 0; node < 3; ++node) {
    if (!world->StartController(node)) return Verdict::kNotRun;
  }
  for (size_t node = 0; node < 3; ++node) {
    if (!WaitUntilUp(world, node, 15)) return Verdict::kNotRun;
  }
  world->Run(4, [](Micros) { return true; });
  const std::string first = IdOf(100, 0), second = IdOf(200, 0);
  const Json first_body = world->JobBody(first, "array", 6, kTaskCpus, 26, 5);
  const Json second_body = world->JobBody(second, "array", 6, kTaskCpus, 26, 300);
  world->jobs.all[first] = {first_body, 5 * kSecond};
  world->jobs.all[second] = {second_body, 300 * kSecond};
  if (!SubmitUntilAccepted(world, first_body, 10)) return Verdict::kNotRun;
  if (!PollUntil(world, first, "done", 20)) return Verdict::kNotRun;
  const double limit = world->options.trouble ? kLimitAfter : kLimitBefore;
  for (size_t node = 0; node < 3; ++node) {
    world->record.Say("platform ends " + world->labels[node]);
    world->controllers[node]->Kill();
    world->SetTeamLimit(node, limit);
    world->Run(1, [](Micros) { return true; });
    if (!world->StartController(node)) return Verdict::kNotRun;
    if (!WaitUntilUp(world, node, 10)) return Verdict::kNotRun;
    world->Run(4, [](Micros) { return true; });
  }
  world->record.Say((world->options.trouble ? "TROUBLE: " : "") +
                    std::string("all controllers run with settings in which the team's limit is ") +
                    std::to_string(limit) + " CPUs; none of its tasks runs");
  if (!SubmitUntilAccepted(world, second_body, 10)) return Verdict::kNotRun;
  double most = 0;
  Micros next_said = 0;
  world->Run(20, [&](Micros now) {
    const double used = kTaskCpus * world->Running(second);
    if (used > most || now >= next_said) {
      next_said = now + 5 * kSecond;
      world->record.Say("the team's tasks use " + std::to_string(used) + " CPUs, its limit is " +
                        std::to_string(limit));
    }
    most = std::max(most, used);
    return true;
  });
  if (most > limit) return Verdict::kBroken;
  return most > 0 ? Verdict::kHeld : Verdict::kNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Options options;
  options.type = "comptoir";
  options.machine_memory_gb = 64;
  options.zones = {"salle-mtl"};
  options.teams = {"capitale"};
  options.team_cpus_max = review::kLimitBefore;
  options.limits = {250, 30, 16, 12};
  options.times = {2, 12};
  options.cancel_s = 42;
  options.mem_mb = 72;
  options.fd_limit = 900;
  return review::CaseMain(argc, argv, std::move(options), &review::Play);
}
