// Users' API: requests and their forwarding. A node that cannot reach the state service, or
// waits for it too long, has a peer carry a request out as well.
#include "core/core.h"

namespace troutlink {

namespace {
// The state service usually answers within some ten milliseconds.
constexpr Micros kForwardAfter = 100 * kMilli;
constexpr Micros kForwardPatience = 2 * kSecond;
constexpr Micros kRequestPatience = 10 * kSecond;  // its connection is long gone
constexpr size_t kMaxForeign = 1000;               // requests of peers that are being carried out
}  // namespace

void Core::UserRequest(Micros now, const Request& request) {
  OpenRequest& open = open_[request.id];
  open.request = request;
  open.since = now;
  if (!StateFresh(now) || !feed_.synced() || machine_types_.empty()) ForwardRequest(now, &open);
  Route(now, request);
}

void Core::Route(Micros now, const Request& request) {
  std::string_view target = request.target;
  target = target.substr(0, target.find('?'));
  std::optional<wire::JobPath> path = wire::ParseJobPath(target);
  if (!path) {
    Submit(now, request);
    return;
  }
  Query query;
  query.kind = path->abort ? Query::Kind::kAbort : Query::Kind::kPoll;
  query.request = request.id;
  query.id = path->id;
  query.since = now;
  ++(path->abort ? counters_.aborts : counters_.polls);
  if (path->abort) {
    Abort(now, std::move(query));
  } else {
    Poll(now, std::move(query));
  }
}

std::string Core::FreshPeer(Micros now) const {
  const Peer* best = nullptr;
  for (const auto& [label, peer] : peers_) {
    if (peer.heard == 0 || now - peer.heard > kSecond || peer.state_age > kSecond) continue;
    if (best == nullptr || peer.state_age < best->state_age) best = &peer;
  }
  return best == nullptr ? "" : best->label;
}

bool Core::HasCopy(uint64_t request) const {
  if (foreign_.count(request) != 0) return true;
  auto open = open_.find(request);
  return open == open_.end() || open->second.forwarded_at != 0;
}

// A peer of version 1 would store a job without the dependencies that it does not know: its tasks
// would start at once, and it would not be cancelled with the jobs before it.
bool Core::MayPassOn(const Request& request) const {
  if (all_nodes_current_ || request.method != "POST" || wire::ParseJobPath(request.target)) {
    return true;
  }
  const wire::SpecResult spec = wire::DecodeSubmission(request.body);
  return !spec || spec->dependencies.empty();
}

bool Core::ForwardRequest(Micros now, OpenRequest* open) {
  open->tried = true;
  if (!MayPassOn(open->request)) {
    ++counters_.kept_from_forwarding;
    return false;
  }
  std::string to = FreshPeer(now);
  if (to.empty()) return false;
  ++counters_.forwards;
  open->forward = next_foreign_++;
  open->forwarded_at = now;
  forwards_[open->forward] = open->request.id;
  effects_.SendToPeer({to, mesh::Forward{open->forward, open->request.method, open->request.target,
                                         open->request.body}});
  return true;
}

void Core::RunForwards(Micros now) {
  std::vector<uint64_t> ended;
  for (auto& [id, open] : open_) {
    if (!open.tried && now - open.since > kForwardAfter) ForwardRequest(now, &open);
    if (open.forward != 0 && now - open.forwarded_at > kForwardPatience) {
      forwards_.erase(open.forward);
      open.forward = 0;
      if (open.refused) ended.push_back(id);
    } else if (now - open.since > kRequestPatience) {
      ended.push_back(id);
    }
  }
  for (uint64_t id : ended) EndRequest(id);
}

void Core::EndRequest(uint64_t id) {
  OpenRequest& open = open_[id];
  open.forward = 0;
  if (open.refused) {
    const Reply refusal = open.refusal;
    Answer(id, refusal.status, refusal.body, refusal.retry_after_s);
  } else {
    Answer(id, 503, wire::EncodeError("no answer"), kRetryAfter);
  }
}

void Core::HandleForward(Micros now, const std::string& from, const mesh::Forward& forward) {
  const uint64_t id = next_foreign_++;
  if (foreign_.size() >= kMaxForeign) return;
  foreign_[id] = {from, forward.id};
  Route(now, {id, forward.method, forward.target, forward.body});
}

void Core::HandleForwardReply(Micros now, const mesh::ForwardReply& answer) {
  auto forward = forwards_.find(answer.id);
  if (forward == forwards_.end()) return;
  const uint64_t request = forward->second;
  forwards_.erase(forward);
  auto open = open_.find(request);
  if (open == open_.end()) return;
  open->second.forward = 0;
  if (answer.status < 429) {
    // What we tell a user we act on as well, even if the peer ends before it
    // tells us as one of its cancels.
    std::optional<JobStatus> status;
    if (answer.status == 200) status = wire::DecodeJobStatus(answer.body);
    if (status && status->state == JobPhase::kCancelled) LearnCancellation(now, status->id);
    Answer(request, static_cast<int>(answer.status), answer.body);
  } else if (open->second.refused) {
    const Reply refusal = open->second.refusal;
    Answer(request, refusal.status, refusal.body, refusal.retry_after_s);
  }
}

}  // namespace troutlink
