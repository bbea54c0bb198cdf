// The users of the simulation: what they requested and learned.
#ifndef TROUTLINK_TESTS_USERS_H_
#define TROUTLINK_TESTS_USERS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace troutlink::test {

// The content of a response about one job.
struct UserReply {
  std::string id;
  std::string method;
  bool submission = false;
  int status = 0;
  std::string job_status;  // empty if the response has none
  Micros requested_at = 0, answered_at = 0;
};

// Records what users requested and learned. The RuleChecker judges it.
class Users {
 public:
  // One job. Times are those of the first response that said so; 0: none.
  struct TrackedJob {
    JobSpec spec;
    bool requested_cancel = false;
    Micros accepted = 0, done = 0, cancelled = 0;
  };

  // Records a request of a user.
  void NoteRequest(const std::string& target, const std::string& body);
  // Records a response, after the RuleChecker has checked it.
  void RecordReply(const UserReply& answer);
  // Parses a response; nothing if it is not about a job.
  static std::optional<UserReply> Read(Micros requested_at, Micros answered_at,
                                       const std::string& method, const std::string& target,
                                       const std::string& body, const Reply& reply);
  // All direct and indirect dependencies of the job.
  std::vector<const TrackedJob*> DependenciesOf(const std::string& id) const;
  // The job, or null if it was not submitted.
  const TrackedJob* Find(const std::string& id) const;
  // All submitted jobs, including refused ones.
  const std::map<std::string, TrackedJob>& jobs() const { return jobs_; }

 private:
  std::map<std::string, TrackedJob> jobs_;
};

}  // namespace troutlink::test

#endif  // TROUTLINK_TESTS_USERS_H_
