#include "mesh/framer.h"

#include <cstdint>
#include <string>
#include <string_view>

#include "mesh/varint.h"

namespace troutlink::mesh {

bool Framer::Next(std::string* frame, bool* bad) {
  *bad = false;
  std::string_view rest = buffer_;
  uint64_t length = 0;
  if (!GetVarint(&rest, &length)) {
    // The length is either incomplete or not a varint.
    *bad = buffer_.size() >= kMaxVarintBytes;
    return false;
  }
  if (length > kMaxFrame) {
    *bad = true;
    return false;
  }
  if (rest.size() < length) return false;
  frame->assign(rest.substr(0, length));
  buffer_.erase(0, buffer_.size() - rest.size() + length);
  return true;
}

}  // namespace troutlink::mesh
