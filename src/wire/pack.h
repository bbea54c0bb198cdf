// MessagePack documents and their fields. UnpackStrict() accepts only what users may send: maps
// with string keys, no repeated keys, no binary data, no trailing bytes, bounded depth.
#ifndef TROUTLINK_WIRE_PACK_H_
#define TROUTLINK_WIRE_PACK_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "wire/json_fwd.h"

namespace troutlink::wire {

// Encodes `value`.
std::string Pack(const Json& value);
// Decodes a document of the platform; nothing if it is malformed.
std::optional<Json> Unpack(std::string_view body);
// Decodes a document of a user; nothing also for repeated keys, binary data and deep nesting.
std::optional<Json> UnpackStrict(std::string_view body);

// Fields of a map. Missing, null and wrongly typed fields read as nothing, as does any field of a
// value that is not a map.

// The field, of any type.
const Json* Find(const Json& map, const char* key);
// The field as a string.
std::optional<std::string> Text(const Json& map, const char* key);
// The field as a non-negative integer.
std::optional<uint64_t> Count(const Json& map, const char* key);
// The field as a 64-bit integer.
std::optional<int64_t> Integer(const Json& map, const char* key);
// The field as a finite number.
std::optional<double> Number(const Json& map, const char* key);
// The field as a boolean.
std::optional<bool> Flag(const Json& map, const char* key);

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_PACK_H_
