// Destination of answers to users' requests.
#ifndef TROUTLINK_CORE_API_RESPONDER_H_
#define TROUTLINK_CORE_API_RESPONDER_H_

#include <cstdint>
#include <string>

namespace troutlink {

// Implemented by RequestForwarder, which knows the origin of each request.
class Responder {
 public:
  virtual ~Responder() = default;

  // Sends the only answer to the request. `retry_after_s` in seconds; 0: none.
  virtual void Answer(uint64_t request_id, int status, std::string body, int retry_after_s = 0) = 0;
  // Whether another controller may be executing a copy of the request, or it was answered already.
  virtual bool MayHaveCopy(uint64_t request_id) const = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_API_RESPONDER_H_
