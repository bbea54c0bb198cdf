// Ownership of a file descriptor.
#ifndef TROUTLINK_RUNTIME_UNIQUE_FD_H_
#define TROUTLINK_RUNTIME_UNIQUE_FD_H_

#include <unistd.h>

#include <utility>

namespace troutlink::runtime {

// Owns at most one open file descriptor, and closes it on destruction or replacement.
//
// A libev watcher must be stopped before its descriptor is closed: declare the watcher after the
// UniqueFd, so that it is destroyed first.
class UniqueFd {
 public:
  // Owns nothing.
  UniqueFd() = default;
  // Takes ownership of `fd`; negative: none.
  explicit UniqueFd(int fd) : fd_(fd) {}
  ~UniqueFd() { reset(); }
  UniqueFd(UniqueFd&& other) noexcept : fd_(std::exchange(other.fd_, kNone)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    if (this != &other) {
      reset();
      fd_ = std::exchange(other.fd_, kNone);
    }
    return *this;
  }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;

  // Whether it owns a descriptor.
  explicit operator bool() const { return fd_ >= 0; }
  // The descriptor, still owned; negative: none.
  [[nodiscard]] int get() const { return fd_; }
  // Closes the descriptor, if any.
  void reset() {
    if (fd_ >= 0) close(fd_);
    fd_ = kNone;
  }
  // Releases the descriptor to the caller, who must close it.
  [[nodiscard]] int release() { return std::exchange(fd_, kNone); }

 private:
  static constexpr int kNone = -1;

  int fd_ = kNone;
};

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_UNIQUE_FD_H_
