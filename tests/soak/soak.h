// A soak run: real controllers over loopback, with faults from a schedule, and rules checked from
// outside.
#ifndef TROUTLINK_TESTS_SOAK_SOAK_H_
#define TROUTLINK_TESTS_SOAK_SOAK_H_

#include <ev.h>

#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent_pool.h"
#include "controllers.h"
#include "fake_state_server.h"
#include "relay.h"
#include "schedule.h"
#include "user_traffic.h"

namespace troutlink::soak {

// Options of a run.
struct SoakOptions {
  std::string binary;     // of the controllers
  std::string directory;  // for logs, settings and the timeline
  uint64_t seed = 1;
  int seconds = 40;  // of faults; up to 90 s follow to finish jobs
  int agents = 12;
};

// Result of a run, as in the exit code.
enum class SoakResult { kKept = 0, kBroken = 1, kNotRun = 2 };

class Soak {
 public:
  explicit Soak(SoakOptions options);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  SoakResult Run();
  // One line per violation, or why the run failed to start.
  const std::vector<std::string>& findings() const { return findings_; }
  // Summary in one line.
  std::string Summary() const;

 private:
  static constexpr int kNodes = 3;
  struct Ending {
    Micros at = 0;
    Fault fault;
  };

  // --- start ---
  bool Listen();
  bool WriteSettings();
  std::string SettingsOf(int node) const;

  // --- step ---
  static void OnTimer(struct ev_loop* loop, ev_timer* watcher, int events);
  // On SIGINT or SIGTERM: ends the run and its processes.
  static void OnSignal(struct ev_loop* loop, ev_signal* watcher, int events);
  void Step();
  void RunSchedule(Micros now);
  void CheckControllers(Micros now);
  void ReadMetrics();
  void ReadElections();

  // --- faults ---
  void Begin(Micros now, const Fault& fault);
  void BeginStateFault(const Fault& fault, int change);
  void BeginMachineFault(const Fault& fault, bool on);
  void End(Micros now, const Fault& fault);

  // --- the end ---
  bool Settled(Micros now, std::string* waits) const;
  bool Backlog(Micros now, const test::Users::TrackedJob& known) const;
  void CheckEffects();
  void Finish();
  void Say(const std::string& what);

  SoakOptions options_;
  struct ev_loop* loop_;
  ev_timer timer_{};
  ev_signal interrupt_{}, terminate_{};
  bool interrupted_ = false;
  Micros started_ = 0;
  Micros next_act_ = 0, next_check_ = 0, next_metrics_ = 0, next_repeat_ = 0;
  Settings settings_;
  std::vector<int> serve_ports_, mesh_ports_, state_ports_;
  int cloud_port_ = 0;
  std::vector<std::vector<int>> relay_ports_;
  std::unique_ptr<FakeStateServer> state_;
  std::unique_ptr<AgentPool> pool_;
  std::unique_ptr<UserTraffic> traffic_;
  std::unique_ptr<test::RuleChecker> rules_;
  std::unique_ptr<HttpCalls> probes_;
  std::vector<std::vector<std::unique_ptr<Relay>>> relays_;  // by sender and receiver
  std::vector<std::unique_ptr<Controller>> controllers_;
  std::vector<Fault> schedule_;
  size_t next_fault_ = 0;
  std::vector<Ending> endings_;
  std::vector<int> killed_, paused_;          // number of faults that affect each controller
  std::map<std::string, Micros> last_start_;  // by job
  size_t broken_said_ = 0;
  uint64_t kills_ = 0, pauses_ = 0, machine_faults_ = 0, elections_ = 0, metrics_read_ = 0;
  uint64_t first_elections_ = 0;  // before the first fault
  bool done_ = false;
  std::vector<std::string> findings_;
  std::ofstream timeline_;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_SOAK_H_
