// The controllers under test, as child processes.
#ifndef TROUTLINK_TESTS_SOAK_CONTROLLERS_H_
#define TROUTLINK_TESTS_SOAK_CONTROLLERS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "config/settings.h"

namespace troutlink::soak {

// A loopback address of this process's own, so that soaks side by side, and whatever else runs,
// do not take the port of a controller that was killed and is to come back.
std::string LoopbackHost();
// A free port of it below those that connections get; never the same one twice. 0: there is none.
int FreePort();
Endpoint Loopback(int port);

// One controller's process. It is ended with its owner, by its id.
class Controller {
 public:
  // Runs `binary` with the settings file; what it logs is appended to `log`.
  Controller(std::string binary, std::string settings, std::string log)
      : binary_(std::move(binary)), settings_(std::move(settings)), log_(std::move(log)) {}
  ~Controller() { Kill(); }
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // False when the process cannot be started.
  bool Start();
  void Kill();
  void Pause();
  void Continue();
  bool running() const { return pid_ > 0; }
  // Whether the process ended without having been killed here.
  bool EndedByItself();

 private:
  std::string binary_, settings_, log_;
  pid_t pid_ = -1;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_CONTROLLERS_H_
