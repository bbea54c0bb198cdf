// Splits the byte stream of a peer connection into frames.
#ifndef TROUTLINK_MESH_FRAMER_H_
#define TROUTLINK_MESH_FRAMER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace troutlink::mesh {

// Maximum length of a frame's content in bytes; a longer one ends the connection.
inline constexpr size_t kMaxFrame = size_t{256} * 1024;

// Accepts a stream in pieces of any size and returns the contents of its frames. A frame is
// varint(length) followed by that many bytes.
class Framer {
 public:
  // Appends bytes of the stream.
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // Takes the content of the next frame. Returns false if none is complete. Sets `*bad` if the
  // stream is malformed and must be closed.
  bool Next(std::string* frame, bool* bad);

 private:
  std::string buffer_;  // bytes that are not taken yet
};

}  // namespace troutlink::mesh

#endif  // TROUTLINK_MESH_FRAMER_H_
