// Unsigned LEB128 integers (varints): seven bits per byte, least significant first, with a
// continuation bit.
#ifndef TROUTLINK_MESH_VARINT_H_
#define TROUTLINK_MESH_VARINT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace troutlink::mesh {

// Maximum length of a 64-bit varint in bytes.
inline constexpr size_t kMaxVarintBytes = 10;

// Appends `value` to `out`.
void PutVarint(std::string* out, uint64_t value);
// Reads a varint from the front of `in` and advances it. Returns false if it ends early or exceeds
// 64 bits.
bool GetVarint(std::string_view* in, uint64_t* value);

}  // namespace troutlink::mesh

#endif  // TROUTLINK_MESH_VARINT_H_
