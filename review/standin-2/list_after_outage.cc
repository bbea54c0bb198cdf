// After a short outage of the state service all controllers read it anew at the same time.
#include <cstdio>
#include <cstdlib>

#include "case_main.h"
#include "core/store/records.h"
#include "runtime/clock.h"

namespace review {
namespace {

constexpr double kForgottenAfter = 75;  // seconds without an answered question

// Jobs that users submitted in the days before, all done. Their records are made by the service's
// own encoder.
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

Verdict Play(World* world, int argc, char** argv) {
  const int history = argc > 0 ? std::atoi(argv[0]) : 60000;
  const double outage_s = argc > 1 ? std::atof(argv[1]) : 12;
  LoadHistory(world, history);
  world->record.Say("the state service holds " + std::to_string(history) + " jobs that are done");
  for (int i = 0; i < 3; ++i) world->AddMachine(world->options.zones[static_cast<size_t>(i) % 3]);
  // The controllers come up one after the other.
  for (size_t node = 0; node < 3; ++node) {
    if (!world->StartController(node)) return Verdict::kNotRun;
    if (!WaitUntilUp(world, node, 15)) return Verdict::kNotRun;
  }
  const std::string id = "job-000412";
  const Json body = world->JobBody(id, "service", 1, 2, 9.8, 0);
  world->jobs.all[id] = {body, 0};
  if (!SubmitUntilAccepted(world, body, 15)) return Verdict::kNotRun;
  if (!PollUntil(world, id, "running", 15)) return Verdict::kNotRun;
  for (size_t node = 0; node < 3; ++node) {
    world->record.Say(world->labels[node] + " holds " +
                      std::to_string(world->controllers[node]->Memory()) + " KiB, has used " +
                      std::to_string(world->controllers[node]->CpuSeconds()) + " s of a core, and read " +
                      std::to_string(world->state->lists_by_node[node]) + " pages");
  }
  if (world->options.trouble) {
    world->record.Say("TROUBLE: the state service is down");
    world->state->SetOutage(troutlink::runtime::SteadyNow(), true);
    world->Run(outage_s, [](Micros) { return true; });
    world->state->SetOutage(troutlink::runtime::SteadyNow(), false);
    world->record.Say("the state service is back; no trouble from here on");
  } else {
    world->Run(outage_s, [](Micros) { return true; });
  }
  // The user asks every second, at one node after the other.
  const State::Counts before = world->state->counts;
  int asked = 0, answered = 0;
  Micros next = 0, next_said = 0;
  world->Run(kForgottenAfter, [&](Micros now) {
    if (now >= next) {
      next = now + kSecond;
      world->users->Poll(static_cast<size_t>(asked++) % 3, id,
                         [&answered](const Answer& answer) { answered += answer.status == 200; });
    }
    if (now >= next_said) {
      next_said = now + 10 * kSecond;
      const State::Counts& counts = world->state->counts;
      world->record.Say("state service since the outage: " +
                        std::to_string(counts.requests - before.requests) + " requests, " +
                        std::to_string(counts.rate_limited - before.rate_limited) +
                        " answered 429, " + std::to_string(counts.lists - before.lists) +
                        " pages read");
    }
    return !(answered > 0 && asked > 20);
  });
  for (size_t node = 0; node < 3; ++node) {
    world->record.Say(world->labels[node] + " holds " +
                      std::to_string(world->controllers[node]->Memory()) + " KiB, has used " +
                      std::to_string(world->controllers[node]->CpuSeconds()) + " s of a core, and read " +
                      std::to_string(world->state->lists_by_node[node]) + " pages");
  }
  world->record.Say(std::to_string(answered) + " of " + std::to_string(asked) +
                    " questions were answered with 200");
  return answered == 0 ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::Options options;
  options.times = {3, 26};
  options.cancel_s = 51;
  return review::CaseMain(argc, argv, std::move(options), &review::Play);
}
