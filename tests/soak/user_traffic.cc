#include "user_traffic.h"

#include <iterator>

#include "runtime/clock.h"
#include "wire/messages.h"

namespace troutlink::soak {

namespace {
constexpr int kMostJobs = 260;
}  // namespace

JobSpec UserTraffic::NewJob() {
  JobSpec spec;
  spec.id = "job-" + std::to_string(next_job_++);
  spec.job_class = "batch";
  spec.team = Chance(0.4) ? "red" : "blue";
  spec.image = "img";
  spec.image_gb = 1;
  spec.tasks = Draw(1, 5);
  spec.task_resources = {2000, 0, 4000};
  if (Chance(0.15)) {
    spec.kind = JobKind::kService;
    // Services never end: those of a team with a limit would use it up.
    spec.team = "blue";
    spec.priority = Priority::kProduction;
    return spec;
  }
  spec.spot = Chance(0.7);
  spec.estimate = 3 * kSecond;
  set_run_time_(spec.id, Draw(300, 9000) * kMillisecond);
  for (int i = Draw(0, 2); i > 0 && !users.jobs().empty(); --i) {
    const test::Users::TrackedJob* known = users.Find(AnyJob());
    if (known->accepted != 0 && known->spec.kind == JobKind::kArray) {
      spec.dependencies.push_back(known->spec.id);
    }
  }
  return spec;
}

std::string UserTraffic::AnyJob() {
  const auto& jobs = users.jobs();
  auto it = jobs.begin();
  std::advance(it, Draw(0, static_cast<int>(jobs.size()) - 1));
  return it->first;
}

void UserTraffic::Submit(const JobSpec& spec) {
  SendRequest("POST", std::string(wire::kJobsPath), wire::EncodeSubmission(spec));
}

void UserTraffic::Poll(const std::string& id) {
  SendRequest("GET", std::string(wire::kJobsPath) + "/" + id, "");
}

void UserTraffic::Cancel(const std::string& id) {
  SendRequest("POST", std::string(wire::kJobsPath) + "/" + id + std::string(wire::kAbortEnd), "");
}

void UserTraffic::Act(bool busy) {
  const int submitted = next_job_ - 100;
  if (busy && submitted < kMostJobs && Chance(0.5)) Submit(NewJob());
  if (users.jobs().empty()) return;
  for (int i = 0; i < 3; ++i) Poll(AnyJob());
  if (Chance(0.2)) {
    const test::Users::TrackedJob* known = users.Find(AnyJob());
    if (known->accepted != 0 || busy) Submit(known->spec);
  }
  if (busy && Chance(0.12)) Cancel(AnyJob());
}

void UserTraffic::RepeatUnanswered() {
  std::vector<JobSpec> again;
  for (const auto& [id, known] : users.jobs()) {
    if (known.accepted == 0) again.push_back(known.spec);
  }
  for (const JobSpec& spec : again) Submit(spec);
}

void UserTraffic::SendRequest(const std::string& method, const std::string& target,
                              const std::string& body) {
  users.NoteRequest(target, body);
  const Endpoint& to =
      controllers_[static_cast<size_t>(Draw(0, static_cast<int>(controllers_.size()) - 1))];
  const Micros requested_at = runtime::SteadyNow();
  calls_.Send(to, method, target, body, kTimeout,
              [this, method, target, body, requested_at](int status, const std::string& answer) {
                const Reply reply{0, status, answer, 0};
                auto read = test::Users::Read(requested_at, runtime::SteadyNow(), method, target,
                                              body, reply);
                if (read) Take(*read);
              });
}

void UserTraffic::Take(const test::UserReply& answer) {
  rules_->OnAnswer(answer);
  const test::Users::TrackedJob* known = users.Find(answer.id);
  const bool first_cancel =
      known != nullptr && known->cancelled == 0 && answer.job_status == "cancelled";
  const bool first_accept = known != nullptr && known->accepted == 0;
  users.RecordReply(answer);
  if (answer.status == 200 || answer.status == 201) ++answers;
  if (first_cancel) ++cancels_told;
  if (first_accept && known->accepted != 0 && !known->spec.dependencies.empty()) ++dependents;
}

}  // namespace troutlink::soak
