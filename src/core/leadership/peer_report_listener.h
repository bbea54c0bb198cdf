// What heartbeats of peers report of jobs and machines.
#ifndef TROUTLINK_CORE_LEADERSHIP_PEER_REPORT_LISTENER_H_
#define TROUTLINK_CORE_LEADERSHIP_PEER_REPORT_LISTENER_H_

#include <string>

#include "base/micros.h"
#include "mesh/codec.h"

namespace troutlink {

// Told by HeartbeatExchange, in the order of the message.
class PeerReportListener {
 public:
  virtual ~PeerReportListener() = default;
  // The job is cancelled, perhaps before the replica has it.
  virtual void OnCancellationReported(Micros now, const std::string& job) = 0;
  // All images of services that the machine has cached.
  virtual void OnCachedImagesReported(Micros now, const mesh::CachedImages& cached) = 0;
  // The machine has been silent for so long to its leader. False when it is not a machine of a
  // shard that another node leads, and the report does not count.
  virtual bool OnMachineSilent(Micros now, const std::string& machine, Micros silent) = 0;
  // The machine's leader, which had reported it silent, hears it again.
  virtual void OnMachineHeardAgain(const std::string& machine) = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_PEER_REPORT_LISTENER_H_
