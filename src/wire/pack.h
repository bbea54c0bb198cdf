// MessagePack documents and their fields, for the wire package. UnpackStrict() accepts
// only what users may send: maps keyed by text, no repeated key, no binary data, no
// trailing bytes, bounded depth.
#ifndef TROUTLINK_WIRE_PACK_H_
#define TROUTLINK_WIRE_PACK_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "wire/json_fwd.h"

namespace troutlink::wire {

// `value` as MessagePack.
std::string Pack(const Json& value);
// The document in `body`, from the platform; nothing when it is malformed.
std::optional<Json> Unpack(std::string_view body);
// The document in `body`, from a user; nothing also for repeated keys, binary data and
// deep nesting.
std::optional<Json> UnpackStrict(std::string_view body);

// Fields of a map. Missing, null and wrongly typed ones read as nothing, and so does any
// field of a value that is not a map.

// The field, of any type.
const Json* Find(const Json& map, const char* key);
// The field as a text.
std::optional<std::string> Text(const Json& map, const char* key);
// The field as an integer that is not negative.
std::optional<uint64_t> Count(const Json& map, const char* key);
// The field as an integer of 64 bits, which may be negative.
std::optional<int64_t> Integer(const Json& map, const char* key);
// The field as a finite number.
std::optional<double> Number(const Json& map, const char* key);
// The field as a boolean.
std::optional<bool> Flag(const Json& map, const char* key);

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_PACK_H_
