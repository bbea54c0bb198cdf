// A controller is restarted. While it reads the state service page by page, another one accepts
// and starts a job of a team. Then the team submits a second job.
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "base/ids.h"
#include "case_main.h"
#include "core/store/records.h"
#include "runtime/clock.h"

namespace review {
namespace {

constexpr double kLimit = 48;  // CPUs of the team
constexpr double kTaskCpus = 8;
constexpr size_t kRestarted = 0;

// Jobs that users submitted in the hours before, all done, as the service's own encoder stores
// them.
void LoadHistory(World* world, int jobs) {
  for (int i = 0; i < jobs; ++i) {
    char id[32];
    std::snprintf(id, sizeof id, "job-%06d", 100000 + i);
    troutlink::JobRecord record;
    record.spec.id = id;
    record.spec.tasks = 3;
    record.spec.team = world->options.teams[0];
    record.spec.task_resources = {8000, 0, 50000};
    record.shard_id = i % 3;
    record.state = troutlink::JobState::kDone;
    record.finished = 1700000000 * kSecond + i;
    world->state->Load(troutlink::JobKey(id), *troutlink::wire::Unpack(EncodeJob(record)));
  }
}

// The first free id from `from` on that hashes to the part. Equal parts get jobs and unknown
// machines by this hash, so that the case can say which controller does what.
std::string IdOf(int from, uint64_t part) {
  for (;; ++from) {
    char id[32];
    std::snprintf(id, sizeof id, "job-%06d", from);
    if (troutlink::StableHash(id) % 3 == part) return id;
  }
}

double Used(const World& world, const std::vector<std::string>& ids) {
  double cpus = 0;
  for (const auto& worker : world.cloud->workers) {
    for (const std::string& id : ids) cpus += kTaskCpus * worker->Running(id);
  }
  return cpus;
}

Verdict Play(World* world, int argc, char** argv) {
  const int history = argc > 0 ? std::atoi(argv[0]) : 40000;
  LoadHistory(world, history);
  world->record.Say("the state service holds " + std::to_string(history) + " jobs that are done");
  // Four machines for each controller.
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
    world->AddMachine(world->options.zones[world->next_machine % 3]);
  }
  for (size_t node = 0; node < 3; ++node) {
    if (!world->StartController(node)) return Verdict::kNotRun;
    if (!WaitUntilUp(world, node, 15)) return Verdict::kNotRun;
  }
  world->Run(6, [](Micros) { return true; });
  const std::string first = IdOf(100, 1), second = IdOf(200, kRestarted);
  const Json first_body = world->JobBody(first, "array", 2, kTaskCpus, 50, 300);
  const Json second_body = world->JobBody(second, "array", 6, kTaskCpus, 50, 300);
  world->jobs.all[first] = {first_body, 300 * kSecond};
  world->jobs.all[second] = {second_body, 300 * kSecond};
  if (world->options.trouble) {
    world->record.Say("TROUBLE: " + world->labels[kRestarted] + " ends");
    world->controllers[kRestarted]->Kill();
    world->Run(0.3, [](Micros) { return true; });
    const uint64_t pages = world->state->lists_by_node[kRestarted];
    if (!world->StartController(kRestarted)) return Verdict::kNotRun;
    // The user submits while the controller reads the state service.
    world->Run(10, [&](Micros) { return world->state->lists_by_node[kRestarted] < pages + 3; });
    world->record.Say(world->labels[kRestarted] + " has read 2 pages of the state service");
  }
  const auto accepted = std::make_shared<bool>(false);
  world->users->Submit(1, first_body, [accepted](const Answer& answer) {
    *accepted = answer.status == 201;
  });
  world->Run(5, [&](Micros) { return Used(*world, {first}) < 2 * kTaskCpus; });
  if (!*accepted) return Verdict::kNotRun;
  // Until the restarted controller has its part of the machines back.
  world->Run(5, [](Micros) { return true; });
  if (!SubmitUntilAccepted(world, second_body, 10)) return Verdict::kNotRun;
  double most = 0;
  Micros next_said = 0;
  world->Run(20, [&](Micros now) {
    const double used = Used(*world, {first, second});
    if (used > most || now >= next_said) {
      next_said = now + 5 * kSecond;
      world->record.Say("the team's tasks use " + std::to_string(used) + " CPUs, its limit is " +
                        std::to_string(kLimit));
    }
    most = std::max(most, used);
    return most <= kLimit;
  });
  // Both jobs run up to the limit, or the case has shown nothing.
  if (most < kLimit) return Verdict::kNotRun;
  return most > kLimit ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Options options;
  options.times = {3, 26};
  options.cancel_s = 51;
  options.team_cpus_max = review::kLimit;
  return review::CaseMain(argc, argv, std::move(options), &review::Play);
}
