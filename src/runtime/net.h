// Non-blocking TCP helpers.
#ifndef TROUTLINK_RUNTIME_NET_H_
#define TROUTLINK_RUNTIME_NET_H_

#include "base/micros.h"
#include "config/settings.h"

namespace troutlink::runtime {

Micros SteadyNow();
Micros WallNow();

// A listening socket, or -1 with errno set.
int Listen(const Endpoint& at);
// A socket that is connecting or connected, or -1.
int Dial(const Endpoint& to);
// Accepts one connection, or -1.
int Accept(int listener);
// 0 once connected; an errno otherwise.
int ConnectError(int fd);

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_NET_H_
