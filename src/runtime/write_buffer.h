// Bytes waiting to be sent on a non-blocking socket.
#ifndef TROUTLINK_RUNTIME_WRITE_BUFFER_H_
#define TROUTLINK_RUNTIME_WRITE_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "runtime/socket.h"

namespace troutlink::runtime {

// Send queue of one connection. It is unbounded: callers limit what they append.
class WriteBuffer {
 public:
  // Replaces the content by `bytes`.
  void Assign(std::string bytes);
  // Appends `bytes`.
  void Append(std::string_view bytes);
  // Drops all unsent bytes.
  void Clear();
  // Sends as many bytes as `fd` accepts and returns their number; 0 if the socket is full. The rest
  // stays in the buffer. Never fails with kWouldBlock.
  [[nodiscard]] Result<size_t, SocketError> Flush(int fd);

  // Number of unsent bytes.
  [[nodiscard]] size_t size() const { return bytes_.size() - sent_; }
  // Whether everything was sent.
  [[nodiscard]] bool empty() const { return size() == 0; }

 private:
  std::string bytes_;
  size_t sent_ = 0;  // from the front of `bytes_`
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_WRITE_BUFFER_H_
