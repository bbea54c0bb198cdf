// The state service lowers its limits while many small one-task jobs share a machine.
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "case_main.h"
#include "runtime/clock.h"

namespace review {
namespace {

constexpr double kMostWaiting = 90;  // seconds that a job may wait beside a machine with room
constexpr int kSmallJobs = 160;
constexpr double kSmallCpus = 0.175;
constexpr double kPerSecond = 10;

std::string Id(int number) {
  char id[32];
  std::snprintf(id, sizeof id, "job-%06d", number);
  return id;
}

Verdict Play(World* world, int /*argc*/, char** /*argv*/) {
  world->AddMachine(world->options.zones[0]);
  for (size_t node = 0; node < 3; ++node) {
    if (!world->StartController(node)) return Verdict::kNotRun;
  }
  for (size_t node = 0; node < 3; ++node) {
    if (!WaitUntilUp(world, node, 15)) return Verdict::kNotRun;
  }
  const Worker& machine = *world->cloud->workers[0];
  if (world->options.trouble) {
    StateLimits lower = world->options.limits;
    lower.value_kb = 2;
    lower.txn_ops = 4;
    lower.write_rps = 21;
    world->state->SetLimits(lower);
    world->record.Say("TROUBLE: the state service lowers its limits: values of 2 KiB, 4 "
                      "changes a transaction, 21 a second");
  }
  // Small jobs of one task, one after the other.
  const auto accepted = std::make_shared<int>(0);
  int sent = 0;
  Micros next = 0;
  world->Run(22, [&](Micros now) {
    if (sent < kSmallJobs && now >= next) {
      next = now + troutlink::FromSeconds(1 / kPerSecond);
      const std::string id = Id(100 + sent);
      const Json body = world->JobBody(id, "array", 1, kSmallCpus, 0.9, 150);
      world->jobs.all[id] = {body, 225 * kSecond};
      world->users->Submit(static_cast<size_t>(sent++) % 3, body,
                           [accepted](const Answer& answer) { *accepted += answer.status == 201; });
    }
    return *accepted < kSmallJobs;
  });
  world->record.Say(std::to_string(*accepted) + " small jobs were accepted");
  // A job of another class.
  const std::string id = "job-000412";
  const Json body = world->JobBody(id, "array", 1, 1, 2, 20);
  world->jobs.all[id] = {body, 20 * kSecond};
  if (!SubmitUntilAccepted(world, body, 10)) return Verdict::kNotRun;
  bool had_room = true;
  Micros next_said = 0, next_poll = 0;
  const Micros since = troutlink::runtime::SteadyNow();
  size_t node = 0;
  world->Run(kMostWaiting, [&](Micros now) {
    had_room = had_room && machine.FreeCpus() >= 1;
    if (now >= next_poll) {
      next_poll = now + 5 * kSecond;
      world->users->Poll(node++ % 3, id, nullptr);
    }
    if (now >= next_said) {
      next_said = now + 10 * kSecond;
      world->record.Say(id + " waits for " + std::to_string((now - since) / kSecond) + " s; " +
                        machine.name() + " has " + std::to_string(machine.FreeCpus()) +
                        " of 32 CPUs free");
    }
    return world->Running(id) == 0;
  });
  if (world->Running(id) > 0) return Verdict::kHeld;
  world->record.Say(id + " was not started for 90 s; the machine had room " +
                    (had_room ? "all the time" : "not all the time"));
  return had_room ? Verdict::kBroken : Verdict::kNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Options options;
  options.type = "brigade";
  options.machine_cpus = 32;
  options.machine_memory_gb = 256;
  options.ready_s = 30;
  options.capacity = 8;
  options.zones = {"salle-mtl"};
  options.teams = {"saguenay", "laurentides"};
  options.limits = {250, 30, 16, 12};
  options.times = {2, 12};
  options.cancel_s = 42;
  options.mem_mb = 72;
  options.fd_limit = 900;
  const char* trouble = std::getenv("TROUBLE");
  if (trouble == nullptr || std::string(trouble) != "0") {
    options.next_limits = {{"value_kb", 2.0}, {"txn_ops", 4}, {"write_rps", 21.0}};
  }
  return review::CaseMain(argc, argv, std::move(options), &review::Play);
}
