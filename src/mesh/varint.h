// Unsigned LEB128 integers (varints): seven bits a byte, the least significant first; the
// eighth bit says whether more bytes follow.
#ifndef TROUTLINK_MESH_VARINT_H_
#define TROUTLINK_MESH_VARINT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace troutlink::mesh {

// The most bytes that a varint of 64 bits takes.
inline constexpr size_t kMaxVarintBytes = 10;

// Appends `value` to `out` as a varint.
void PutVarint(std::string* out, uint64_t value);
// Reads a varint from the front of `in` and advances it; false when it ends early or
// does not fit 64 bits.
bool GetVarint(std::string_view* in, uint64_t* value);

}  // namespace troutlink::mesh

#endif  // TROUTLINK_MESH_VARINT_H_
