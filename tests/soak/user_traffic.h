// Users that submit, poll, cancel and repeat requests on all controllers.
#ifndef TROUTLINK_TESTS_SOAK_USER_TRAFFIC_H_
#define TROUTLINK_TESTS_SOAK_USER_TRAFFIC_H_

#include <ev.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "http_calls.h"
#include "rule_checker.h"
#include "users.h"

namespace troutlink::soak {

// Sends random requests; responses go to the rule checker and to `users`.
class UserTraffic {
 public:
  // `set_run_time`: called for each new job before its submission.
  UserTraffic(struct ev_loop* loop, uint64_t seed, std::vector<Endpoint> controllers,
              std::function<void(const std::string& job, Micros time)> set_run_time)
      : rng_(seed),
        controllers_(std::move(controllers)),
        set_run_time_(std::move(set_run_time)),
        calls_(loop, kConnections) {}

  void SetChecker(test::RuleChecker* rules) { rules_ = rules; }
  // One step of the users. `busy`: they also submit and cancel.
  void Act(bool busy);
  // Polls one controller about the job.
  void Poll(const std::string& id);
  // Repeats submissions that no controller has accepted so far.
  void RepeatUnanswered();
  void Tick(Micros now) { calls_.Tick(now); }

  test::Users users;
  uint64_t answers = 0, cancels_told = 0;
  // Accepted pipelines.
  uint64_t dependents = 0;

 private:
  static constexpr size_t kConnections = 600;
  static constexpr Micros kTimeout = 5 * kSecond;

  int Draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(rng_); }
  bool Chance(double p) { return std::bernoulli_distribution(p)(rng_); }
  void Submit(const JobSpec& spec);
  JobSpec NewJob();
  std::string AnyJob();
  void Cancel(const std::string& id);
  void SendRequest(const std::string& method, const std::string& target, const std::string& body);
  void Take(const test::UserReply& answer);

  std::mt19937_64 rng_;
  std::vector<Endpoint> controllers_;
  std::function<void(const std::string& job, Micros time)> set_run_time_;
  HttpCalls calls_;
  test::RuleChecker* rules_ = nullptr;
  int next_job_ = 100;
};

}  // namespace troutlink::soak

#endif  // TROUTLINK_TESTS_SOAK_USER_TRAFFIC_H_
