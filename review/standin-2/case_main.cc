#include "case_main.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <sstream>
#include <utility>

namespace review {

int CaseMain(int argc, char** argv, Options options,
             Verdict (*play)(World* world, int argc, char** argv)) {
  constexpr int kOwnArguments = 4;
  if (argc < kOwnArguments) return static_cast<int>(Verdict::kNotRun);
  options.folder = argv[1];
  options.scratch = argv[2];
  std::istringstream command(argv[3]);
  for (std::string word; command >> word;) options.command.push_back(word);
  const char* trouble = std::getenv("TROUBLE");
  options.trouble = trouble == nullptr || std::string(trouble) != "0";
  Verdict verdict = Verdict::kNotRun;
  try {
    World world(std::move(options));
    verdict = play(&world, argc - kOwnArguments, argv + kOwnArguments);
    for (auto& controller : world.controllers) {
      if (controller->EndedByItself()) world.record.Say("a controller has ended by itself");
    }
    world.record.Say(verdict == Verdict::kBroken ? "the rule was broken"
                     : verdict == Verdict::kHeld ? "the rule held"
                                                 : "the case could not run");
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "the case could not run: %s\n", exception.what());
  }
  return static_cast<int>(verdict);
}

bool WaitUntilUp(World* world, size_t node, double most_seconds) {
  const auto up = std::make_shared<bool>(false);
  Micros next = 0;
  world->Run(most_seconds, [&](Micros now) {
    if (now >= next) {
      next = now + kSecond / 2;
      world->users->Send(node, "GET", "/up", Json(), kSecond, "", [up](const Answer& answer) {
        *up = *up || answer.status == 200;
      });
    }
    return !*up;
  });
  world->record.Say(world->labels[node] + (*up ? " is up" : " does not come up"));
  return *up;
}

bool SubmitUntilAccepted(World* world, const Json& body, double most_seconds) {
  const auto accepted = std::make_shared<bool>(false);
  const auto waits = std::make_shared<bool>(false);
  size_t node = 0;
  Micros next = 0;
  world->Run(most_seconds, [&](Micros now) {
    if (!*waits && !*accepted && now >= next) {
      *waits = true;
      next = now + kSecond;
      world->users->Submit(node++ % world->serve.size(), body, [=](const Answer& answer) {
        *waits = false;
        *accepted = *accepted || answer.status == 200 || answer.status == 201;
      });
    }
    return !*accepted;
  });
  return *accepted;
}

bool PollUntil(World* world, const std::string& id, const std::string& status,
               double most_seconds) {
  const auto reached = std::make_shared<bool>(false);
  size_t node = 0;
  Micros next = 0;
  world->Run(most_seconds, [&](Micros now) {
    if (!*reached && now >= next) {
      next = now + kSecond / 2;
      world->users->Poll(node++ % world->serve.size(), id, [=](const Answer& answer) {
        *reached = *reached || (answer.status == 200 && answer.body.value("status", "") == status);
      });
    }
    return !*reached;
  });
  return *reached;
}

}  // namespace review
