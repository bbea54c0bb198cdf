#include "users.h"

#include <set>

#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::test {

void Users::NoteRequest(const std::string& target, const std::string& body) {
  if (target == "/api/jobs") {
    auto spec = wire::DecodeSubmission(body);
    if (spec) jobs_[spec->id].spec = *spec;
  } else if (auto path = wire::ParseJobPath(target); path && path->abort) {
    auto known = jobs_.find(path->id);
    if (known != jobs_.end()) known->second.requested_cancel = true;
  }
}

std::optional<UserReply> Users::Read(Micros requested_at, Micros answered_at,
                                     const std::string& method, const std::string& target,
                                     const std::string& body, const Reply& reply) {
  UserReply answer;
  answer.submission = target == "/api/jobs";
  if (answer.submission) {
    auto spec = wire::DecodeSubmission(body);
    if (!spec) return std::nullopt;
    answer.id = spec->id;
  } else if (auto path = wire::ParseJobPath(target)) {
    answer.id = path->id;
  } else {
    return std::nullopt;
  }
  answer.method = method;
  answer.status = reply.status;
  if (reply.status == 200 || reply.status == 201) {
    answer.job_status =
        wire::Unpack(reply.body).value_or(wire::Json::object()).value("status", std::string());
  }
  answer.requested_at = requested_at;
  answer.answered_at = answered_at;
  return answer;
}

void Users::RecordReply(const UserReply& answer) {
  auto it = jobs_.find(answer.id);
  if (it == jobs_.end() || (answer.status != 200 && answer.status != 201)) return;
  TrackedJob& known = it->second;
  if (known.accepted == 0) known.accepted = answer.answered_at;
  if (answer.job_status == "done" && known.done == 0) known.done = answer.answered_at;
  if (answer.job_status == "cancelled" && known.cancelled == 0)
    known.cancelled = answer.answered_at;
}

std::vector<const Users::TrackedJob*> Users::DependenciesOf(const std::string& id) const {
  std::vector<const TrackedJob*> all;
  std::set<std::string> seen = {id};
  std::vector<std::string> open = {id};
  while (!open.empty()) {
    const TrackedJob* known = Find(open.back());
    open.pop_back();
    if (known == nullptr) continue;
    for (const std::string& dependency : known->spec.dependencies) {
      if (!seen.insert(dependency).second) continue;
      open.push_back(dependency);
      if (const TrackedJob* found = Find(dependency)) all.push_back(found);
    }
  }
  return all;
}

const Users::TrackedJob* Users::Find(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

}  // namespace troutlink::test
