// The type of a document in memory, declared only: headers that merely name it need not read the
// whole JSON library.
#ifndef TROUTLINK_WIRE_JSON_FWD_H_
#define TROUTLINK_WIRE_JSON_FWD_H_

#include <nlohmann/json_fwd.hpp>

namespace troutlink::wire {

// A document in memory.
using Json = nlohmann::json;

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_JSON_FWD_H_
