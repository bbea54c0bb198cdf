#include "core/api/request_forwarder.h"

#include <utility>
#include <vector>

#include "core/api/http_status.h"
#include "core/api/retry_after.h"
#include "wire/messages.h"

namespace troutlink {

namespace {

// Well above the usual latency of the key-value store.
constexpr Micros kForwardAfter = 100 * kMillisecond;
constexpr Micros kForwardTimeout = 2 * kSecond;
constexpr Micros kRequestTimeout = 10 * kSecond;  // by then the user's connection has ended
constexpr size_t kMaxPeerRequests = 1000;         // in progress

bool IsCancel(const Request& request) {
  std::optional<wire::JobPath> path = wire::ParseJobPath(request.target);
  return path && path->abort;
}

}  // namespace

void RequestForwarder::Register(Micros now, const Request& request, bool forward_now) {
  OpenRequest& open = open_[request.id];
  open.request = request;
  open.since = now;
  if (forward_now) Forward(now, &open);
}

bool RequestForwarder::MayHaveCopy(uint64_t request_id) const {
  if (peer_requests_.count(request_id) != 0) return true;
  auto open = open_.find(request_id);
  return open == open_.end() || open->second.forwarded_at != 0;
}

// A peer of version 1 would ignore the dependencies of a job and start it at once.
bool RequestForwarder::MayForward(const Request& request) const {
  if (status_->AllNodesCurrent() || request.method != "POST" ||
      wire::ParseJobPath(request.target)) {
    return true;
  }
  const wire::SpecResult spec = wire::DecodeSubmission(request.body);
  return !spec || spec->dependencies.empty();
}

void RequestForwarder::Forward(Micros now, OpenRequest* open) {
  open->forward_tried = true;
  if (!MayForward(open->request)) {
    ++counters_->not_forwarded;
    return;
  }
  std::string peer = status_->MostRecentPeer(now);
  if (peer.empty()) return;
  ++counters_->forwards;
  open->forward_id = next_id_++;
  open->forwarded_at = now;
  forwarded_[open->forward_id] = open->request.id;
  effects_->SendToPeer(
      {std::move(peer), mesh::ForwardedRequest{open->forward_id, open->request.method,
                                               open->request.target, open->request.body}});
}

void RequestForwarder::Tick(Micros now) {
  std::vector<uint64_t> finished;
  for (auto& [id, open] : open_) {
    if (!open.forward_tried && now - open.since > kForwardAfter) Forward(now, &open);
    if (open.forward_id != 0 && now - open.forwarded_at > kForwardTimeout) {
      forwarded_.erase(open.forward_id);
      open.forward_id = 0;
      if (open.refusal) finished.push_back(id);
    } else if (now - open.since > kRequestTimeout) {
      finished.push_back(id);
    }
  }
  for (uint64_t id : finished) Finish(id);
}

void RequestForwarder::Finish(uint64_t request_id) {
  OpenRequest& open = open_[request_id];
  open.forward_id = 0;
  if (open.refusal) {
    const Reply refusal = *open.refusal;
    Answer(request_id, refusal.status, refusal.body, refusal.retry_after_s);
  } else {
    Answer(request_id, http_status::kServiceUnavailable, wire::EncodeError("no answer"),
           kRetryAfter);
  }
}

std::optional<Request> RequestForwarder::Accept(const std::string& from,
                                                const mesh::ForwardedRequest& forward) {
  const uint64_t id = next_id_++;
  if (peer_requests_.size() >= kMaxPeerRequests) return std::nullopt;
  peer_requests_[id] = {from, forward.id};
  return Request{id, forward.method, forward.target, forward.body};
}

void RequestForwarder::HandleReply(Micros now, const mesh::ForwardedResponse& reply) {
  auto forwarded = forwarded_.find(reply.id);
  if (forwarded == forwarded_.end()) return;
  const uint64_t request_id = forwarded->second;
  forwarded_.erase(forwarded);
  auto open = open_.find(request_id);
  if (open == open_.end()) return;
  open->second.forward_id = 0;
  if (!http_status::IsTemporary(reply.status)) {
    // Apply a cancellation reported to a user here too, as the peer may end before its
    // heartbeat reports it.
    std::optional<JobStatus> status;
    if (reply.status == http_status::kOk) status = wire::DecodeJobStatus(reply.body);
    if (status && status->state == JobPhase::kCancelled) {
      cancellations_->LearnCancellation(now, status->id);
    }
    Answer(request_id, static_cast<int>(reply.status), reply.body);
  } else if (open->second.refusal) {
    Finish(request_id);
  }
}

void RequestForwarder::Answer(uint64_t request_id, int status, std::string body,
                              int retry_after_s) {
  auto from_peer = peer_requests_.find(request_id);
  if (from_peer != peer_requests_.end()) {
    effects_->SendToPeer(
        {from_peer->second.peer,
         mesh::ForwardedResponse{from_peer->second.forward_id, static_cast<uint64_t>(status),
                                 static_cast<uint64_t>(retry_after_s), std::move(body)}});
    peer_requests_.erase(from_peer);
    return;
  }
  auto open = open_.find(request_id);
  if (open != open_.end()) {
    const bool in_progress_at_peer = open->second.forward_id != 0;
    if (in_progress_at_peer && status == http_status::kNotFound && IsCancel(open->second.request)) {
      // The copy at the peer may still find a job that is submitted after this 404.
      status = http_status::kServiceUnavailable;
      body = wire::EncodeError("no such job so far");
      retry_after_s = kRetryAfter;
    }
    if (in_progress_at_peer && http_status::IsTemporary(static_cast<uint64_t>(status))) {
      open->second.refusal = Reply{request_id, status, std::move(body), retry_after_s};
      return;
    }
    open_.erase(open);
  }
  effects_->SendReply({request_id, status, std::move(body), retry_after_s});
}

}  // namespace troutlink
