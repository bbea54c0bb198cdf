// Bytes that wait until a non-blocking socket takes them.
#ifndef TROUTLINK_RUNTIME_WRITE_BUFFER_H_
#define TROUTLINK_RUNTIME_WRITE_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "runtime/socket.h"

namespace troutlink::runtime {

// A queue of bytes to send on one connection. It has no limit by itself: whoever appends
// bounds it.
class WriteBuffer {
 public:
  // Replaces what is in the buffer by `bytes`.
  void Assign(std::string bytes);
  // Adds `bytes` at the end.
  void Append(std::string_view bytes);
  // Forgets all bytes that were not sent.
  void Clear();
  // Sends as many bytes as `fd` takes now: their number, which is 0 when the socket is full.
  // What is left stays in the buffer. Never fails with kWouldBlock.
  [[nodiscard]] Result<size_t, SocketError> Flush(int fd);

  // Bytes that are not sent yet.
  [[nodiscard]] size_t size() const { return bytes_.size() - sent_; }
  // Whether everything is sent.
  [[nodiscard]] bool empty() const { return size() == 0; }

 private:
  std::string bytes_;
  size_t sent_ = 0;  // from the front of `bytes_`
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_WRITE_BUFFER_H_
