#include "mesh/varint.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace troutlink::mesh {
namespace {

constexpr int kPayloadBits = 7;
constexpr uint8_t kPayloadMask = 0x7f;
constexpr uint8_t kMoreFollow = 0x80;
// The tenth byte holds the last of the 64 bits.
constexpr int kLastShift = 63;

}  // namespace

void PutVarint(std::string* out, uint64_t value) {
  while (value >= kMoreFollow) {
    out->push_back(static_cast<char>((value & kPayloadMask) | kMoreFollow));
    value >>= kPayloadBits;
  }
  out->push_back(static_cast<char>(value));
}

bool GetVarint(std::string_view* in, uint64_t* value) {
  *value = 0;
  for (int shift = 0; shift <= kLastShift; shift += kPayloadBits) {
    if (in->empty()) return false;
    const auto byte = static_cast<uint8_t>(in->front());
    in->remove_prefix(1);
    if (shift == kLastShift && byte > 1) return false;
    *value |= static_cast<uint64_t>(byte & kPayloadMask) << shift;
    if ((byte & kMoreFollow) == 0) return true;
  }
  return false;
}

}  // namespace troutlink::mesh
