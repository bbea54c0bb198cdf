// Binary encoding of the messages between controllers.
//
// A frame is varint(length) followed by that many bytes of content: varint(kind), then the
// message's fields in declaration order. Integers are varints (varint.h); strings and lists are
// preceded by their length. Receivers skip unknown kinds.
#ifndef TROUTLINK_MESH_CODEC_H_
#define TROUTLINK_MESH_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "mesh/framer.h"    // IWYU pragma: export
#include "mesh/messages.h"  // IWYU pragma: export
#include "mesh/varint.h"    // IWYU pragma: export

namespace troutlink::mesh {

// Encodes `message` as one frame, including its length.
[[nodiscard]] std::string Encode(const Message& message);
// Decodes the content of a frame (without its length). Returns nothing if it is malformed or of an
// unknown kind; receivers skip both. Bytes after the last field are ignored.
[[nodiscard]] std::optional<Message> Decode(std::string_view content);

}  // namespace troutlink::mesh

#endif  // TROUTLINK_MESH_CODEC_H_
