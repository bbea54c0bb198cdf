// Where answers to users' requests go.
#ifndef TROUTLINK_CORE_API_RESPONDER_H_
#define TROUTLINK_CORE_API_RESPONDER_H_

#include <cstdint>
#include <string>

namespace troutlink {

// Implemented by RequestForwarder, which knows where each request came from.
class Responder {
 public:
  virtual ~Responder() = default;

  // Answers the request with an HTTP status; `retry_after_s` is in seconds, 0 for none. A request
  // is answered once: whoever calls this does not work on it any more.
  virtual void Answer(uint64_t request_id, int status, std::string body, int retry_after_s = 0) = 0;
  // Whether another controller may be at work on the same request, or it is answered already.
  virtual bool MayHaveCopy(uint64_t request_id) const = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_RESPONDER_H_
