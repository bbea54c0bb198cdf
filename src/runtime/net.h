// Clocks and non-blocking TCP sockets. Every socket is close-on-exec and sends without
// delay.
#ifndef TROUTLINK_RUNTIME_NET_H_
#define TROUTLINK_RUNTIME_NET_H_

#include "base/micros.h"
#include "config/settings.h"

namespace troutlink::runtime {

// Time of the machine's steady clock, which is never set.
Micros SteadyNow();
// Time since 1970, which may be set forwards or backwards.
Micros WallNow();

// A socket that listens at `at`, or -1 with errno set.
int Listen(const Endpoint& at);
// A socket that is connecting or connected to `to`, or -1.
int Dial(const Endpoint& to);
// The next connection of `listener`, or -1 when none waits.
int Accept(int listener);
// The result of connecting: 0 when `fd` is connected, an errno otherwise.
int ConnectError(int fd);

}  // namespace troutlink::runtime

#endif  // TROUTLINK_RUNTIME_NET_H_
