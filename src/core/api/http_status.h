// HTTP statuses of replies to users and of answers from the key-value store.
#ifndef TROUTLINK_CORE_API_HTTP_STATUS_H_
#define TROUTLINK_CORE_API_HTTP_STATUS_H_

#include <cstdint>

namespace troutlink::http_status {

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

// Whether a retry, or another controller, may succeed: 429 and every 5xx.
constexpr bool IsTemporary(uint64_t status) { return status >= kTooManyRequests; }

}  // namespace troutlink::http_status

#endif  // TROUTLINK_CORE_API_HTTP_STATUS_H_
