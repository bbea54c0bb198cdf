#include "runtime/write_buffer.h"

#include <utility>

namespace troutlink::runtime {

void WriteBuffer::Assign(std::string bytes) {
  bytes_ = std::move(bytes);
  sent_ = 0;
}

void WriteBuffer::Append(std::string_view bytes) {
  // Compact only here, so that a long body is not moved for each piece sent.
  bytes_.erase(0, sent_);
  sent_ = 0;
  bytes_.append(bytes);
}

void WriteBuffer::Clear() {
  bytes_.clear();
  sent_ = 0;
}

Result<size_t, SocketError> WriteBuffer::Flush(int fd) {
  size_t total = 0;
  while (!empty()) {
    const Result<size_t, SocketError> count = Send(fd, std::string_view(bytes_).substr(sent_));
    if (!count) {
      if (count.error().code == SocketError::kWouldBlock) return total;
      return count.error();
    }
    sent_ += *count;
    total += *count;
  }
  Clear();
  return total;
}

}  // namespace troutlink::runtime
