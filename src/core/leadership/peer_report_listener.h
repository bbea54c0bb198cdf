// Listener for jobs and machines reported in the heartbeats of peers.
#ifndef TROUTLINK_CORE_LEADERSHIP_PEER_REPORT_LISTENER_H_
#define TROUTLINK_CORE_LEADERSHIP_PEER_REPORT_LISTENER_H_

#include <string>

#include "base/micros.h"
#include "mesh/codec.h"

namespace troutlink {

// Called by HeartbeatExchange in the order of the message.
class PeerReportListener {
 public:
  virtual ~PeerReportListener() = default;
  // The job is cancelled, possibly before the replica shows it.
  virtual void OnCancellationReported(Micros now, const std::string& job) = 0;
  // All service images that the machine has cached.
  virtual void OnCachedImagesReported(Micros now, const mesh::CachedImages& cached) = 0;
  // The machine's leader has not heard from it for `silent`. Returns false, and ignores the report,
  // if the machine is not in a shard that another node leads.
  virtual bool OnMachineSilent(Micros now, const std::string& machine, Micros silent) = 0;
  // The machine's leader, which had reported it as silent, hears it again.
  virtual void OnMachineHeardAgain(const std::string& machine) = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_LEADERSHIP_PEER_REPORT_LISTENER_H_
