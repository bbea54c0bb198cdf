// The binary form of the messages between controllers.
//
// A frame is varint(length) and that many bytes, its content: varint(kind), then the
// message's fields in the order of their declaration. Integers are varints (varint.h), texts
// and lists are preceded by their length. Unknown kinds are skipped by receivers.
#ifndef TROUTLINK_MESH_CODEC_H_
#define TROUTLINK_MESH_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "mesh/framer.h"    // IWYU pragma: export
#include "mesh/messages.h"  // IWYU pragma: export
#include "mesh/varint.h"    // IWYU pragma: export

namespace troutlink::mesh {

// `message` as one frame, its length included.
[[nodiscard]] std::string Encode(const Message& message);
// The message in the content of a frame (without its length); nothing when the content
// is malformed or of an unknown kind. Receivers skip both, so they are not told apart.
// Bytes after the last field are ignored.
[[nodiscard]] std::optional<Message> Decode(std::string_view content);

}  // namespace troutlink::mesh

#endif  // TROUTLINK_MESH_CODEC_H_
