// MessagePack for the wire package, strict where the protocol is: maps keyed
// by text, no repeated key, no binary data, no trailing bytes, bounded depth.
#ifndef TROUTLINK_WIRE_PACK_H_
#define TROUTLINK_WIRE_PACK_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace troutlink::wire {

using Json = nlohmann::json;

std::string Pack(const Json& value);
// Peers of the platform: well-formed input is the ordinary case.
std::optional<Json> Unpack(std::string_view body);
// Strangers: also turns repeated keys, binary data and deep nesting away.
std::optional<Json> UnpackStrict(std::string_view body);

// Missing, null and wrongly typed fields read as "nothing".
const Json* Find(const Json& map, const char* key);
std::optional<std::string> Text(const Json& map, const char* key);
std::optional<uint64_t> Count(const Json& map, const char* key);
std::optional<double> Number(const Json& map, const char* key);
std::optional<bool> Flag(const Json& map, const char* key);

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_PACK_H_
