// Forward declaration of the document type, so that headers need not include the JSON library.
#ifndef TROUTLINK_WIRE_JSON_FWD_H_
#define TROUTLINK_WIRE_JSON_FWD_H_

#include <nlohmann/json_fwd.hpp>

namespace troutlink::wire {

// A document in memory.
using Json = nlohmann::json;

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_JSON_FWD_H_
