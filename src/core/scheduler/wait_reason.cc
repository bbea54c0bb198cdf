#include "core/scheduler/wait_reason.h"

namespace troutlink {

std::string_view NameOf(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNone: return "none";
    case WaitReason::kCycleLimit: return "cycle_limit";
    case WaitReason::kStartBackoff: return "start_backoff";
    case WaitReason::kGangIncomplete: return "gang_incomplete";
    case WaitReason::kTeamQuota: return "team_quota";
    case WaitReason::kServiceQuota: return "service_quota";
    case WaitReason::kNoRoom: return "no_room";
    case WaitReason::kOtherShard: return "other_shard";
    case WaitReason::kShardHeadroom: return "shard_headroom";
    case WaitReason::kClosedChunk: return "closed_chunk";
    case WaitReason::kPreemption: return "preemption";
    case WaitReason::kProductionPreemption: return "production_preemption";
    case WaitReason::kTailMachine: return "tail_machine";
    case WaitReason::kReservedMachine: return "reserved_machine";
    case WaitReason::kZoneHeadroom: return "zone_headroom";
    case WaitReason::kImageHeadroom: return "image_headroom";
    case WaitReason::kServiceHeadroom: return "service_headroom";
  }
  return "";
}

}  // namespace troutlink
