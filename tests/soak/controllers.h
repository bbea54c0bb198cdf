// The controllers under test, as child processes.
#ifndef TROUTLINK_TESTS_SOAK_CONTROLLERS_H_
#define TROUTLINK_TESTS_SOAK_CONTROLLERS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "config/settings.h"

namespace troutlink::soak {

// A loopback address of this process, so that other processes do not take the port of a controller
// that was killed and will restart.
std::string LoopbackHost();
// A free port of that address below the ephemeral range, never the same one twice. 0: there is
// none.
int FreePort();
Endpoint Loopback(int port);

// A controller process, which is ended with this object.
class Controller {
 public:
  // Runs `binary` with the settings file and appends its output to `log`.
  Controller(std::string binary, std::string settings, std::string log)
      : binary_(std::move(binary)), settings_(std::move(settings)), log_(std::move(log)) {}
  ~Controller() { Kill(); }
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Returns false if the process cannot be started.
  bool Start();
  void Kill();
  void Pause();
  void Continue();
  bool running() const { return pid_ > 0; }
  // Whether the process ended by itself.
  bool EndedByItself();

 private:
  std::string binary_, settings_, log_;
  pid_t pid_ = -1;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_CONTROLLERS_H_
