// Inputs and outputs of the core, which does no I/O, reads no clock and draws no random numbers.
#ifndef TROUTLINK_CORE_IO_IO_H_
#define TROUTLINK_CORE_IO_IO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/micros.h"
#include "mesh/codec.h"

namespace troutlink {

struct Request {
  uint64_t id = 0;
  std::string method;
  std::string target;
  std::string body;
};

struct Reply {
  uint64_t id = 0;
  int status = 0;
  std::string body;
  int retry_after_s = 0;
};

enum class Dest { kState, kWatch, kCloud, kAgent };

// Statuses of calls without an answer.
// Sent, at least in part: it may have been or may yet be executed.
inline constexpr int kNoAnswer = 0;
inline constexpr int kNotSent = -1;  // the connection was never opened: it will not be executed

struct Call {
  uint64_t id = 0;
  Dest dest = Dest::kState;
  std::string addr;  // for agents only
  std::string method;
  std::string target;
  std::string body;
  Micros timeout = 0;
};

struct PeerMessage {
  std::string to;
  mesh::Message message;
};

struct LogLine {
  enum class Level { kError, kInfo, kDebug } level;
  std::string text;
};

struct Outbox {
  std::vector<Reply> replies;
  std::vector<Call> calls;
  std::vector<PeerMessage> peers;
  std::vector<LogLine> log;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_IO_IO_H_
