// Splits the byte stream of a connection between controllers into frames.
#ifndef TROUTLINK_MESH_FRAMER_H_
#define TROUTLINK_MESH_FRAMER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace troutlink::mesh {

// The longest content of a frame, in bytes; a longer one ends the connection.
inline constexpr size_t kMaxFrame = size_t{256} * 1024;

// Takes a stream in pieces of any size and gives the contents of its frames. A frame is
// varint(length) and that many bytes.
class Framer {
 public:
  // Appends bytes of the stream.
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Takes the next frame's content; false when there is no whole frame. `*bad` is set
  // when the stream is malformed and must be closed.
  bool Next(std::string* frame, bool* bad);

 private:
  std::string buffer_;  // bytes that belong to no frame taken so far
};

}  // namespace troutlink::mesh

#endif  // TROUTLINK_MESH_FRAMER_H_
