// Converts between wire formats and the structs of types.h. Decoders never throw: they return
// nothing or a typed error for a malformed body.
#ifndef TROUTLINK_WIRE_MESSAGES_H_
#define TROUTLINK_WIRE_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "wire/json_fwd.h"
#include "wire/types.h"

namespace troutlink::wire {

// Paths and path suffixes.
inline constexpr std::string_view kJobsPath = "/api/jobs";
inline constexpr std::string_view kAbortEnd = "/abort";
inline constexpr std::string_view kUpPath = "/up";
inline constexpr std::string_view kHeartbeatPath = "/v1/report";
inline constexpr std::string_view kCommandsPath = "/commands";
inline constexpr std::string_view kShowPath = "/show";

// --- users -----------------------------------------------------------------

// Reason for refusing a submission.
enum class SubmissionFault {
  kNotAMap,   // not a MessagePack map with string keys
  kBadField,  // a field is missing or invalid
};
// A job, or why it is refused.
using SpecResult = Result<JobSpec, SubmissionFault>;
// Decodes the body of a submission.
SpecResult DecodeSubmission(std::string_view body);
// Encodes the body of a submission.
std::string EncodeSubmission(const JobSpec& spec);
// Decodes a job that is part of another document.
SpecResult DecodeSpec(const Json& map);
// Encodes a job as part of another document.
Json EncodeSpec(const JobSpec& spec);
// Encodes the answer to a submission or abort.
std::string EncodeJobState(std::string_view id, JobPhase state);
// Encodes the answer to a poll.
std::string EncodeJobStatus(const JobStatus& status);
// Decodes either answer. Missing counts are 0; an unknown state is malformed.
std::optional<JobStatus> DecodeJobStatus(std::string_view body);
// Encodes the body of a refusal; `why` is one line for the user.
std::string EncodeError(std::string_view why);
// Job and action in `/api/jobs/{id}` or `/api/jobs/{id}/abort`.
struct JobPath {
  std::string id;
  bool abort = false;
};
// Nothing if `target` is neither path. Does not check the id.
std::optional<JobPath> ParseJobPath(std::string_view target);

// --- agents ----------------------------------------------------------------

// Decodes the body of an agent's heartbeat. Partly readable bodies are malformed.
std::optional<AgentHeartbeat> DecodeAgentHeartbeat(std::string_view body);
// Encodes the body of an agent's heartbeat.
std::string EncodeAgentHeartbeat(const AgentHeartbeat& heartbeat);
// Encodes the reply to a heartbeat: the fencing token and commands.
std::string EncodeHeartbeatReply(uint64_t token, const std::vector<Command>& commands);
// Encodes commands sent directly to an agent; `incarnation` is the agent's.
std::string EncodeCommands(uint64_t token, uint64_t incarnation,
                           const std::vector<Command>& commands);
// Encodes a redirect of an agent to the controller `label`; empty: to any.
std::string EncodeRedirect(std::string_view label);

// --- cloud -----------------------------------------------------------------

// Path of the list of machine types.
std::string MachineTypesTarget();
// Path to rent machines.
std::string RentTarget();
// Path to return machines.
std::string ReturnTarget();
// Path of a page of rented machines, starting after the machine `after`.
std::string MachinesTarget(std::string_view after, int limit);
// Decodes machine types; entries without a name are dropped.
std::optional<std::vector<MachineType>> DecodeMachineTypes(std::string_view body);
// Encodes a rental request.
std::string EncodeRent(const RentRequest& request);
// Decodes the names of rented machines.
std::optional<std::vector<std::string>> DecodeRented(std::string_view body);
// Encodes a request to return machines.
std::string EncodeReturn(const std::vector<std::string>& machines);
// A page of rented machines; `more`: the list continues.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
// Entries without a name are dropped.
std::optional<MachinePage> DecodeMachines(std::string_view body);

// --- key-value store --------------------------------------------------------

// Path of a page of the keys under `prefix`, starting after the key `after`.
std::string ListTarget(std::string_view prefix, std::string_view after, int limit);
// Path of a watch that waits up to `wait` for changes under `prefix` after revision `after`.
std::string WatchTarget(std::string_view prefix, uint64_t after, Micros wait);
// Path to commit a transaction.
std::string CommitTarget();
// Path to grant a lease.
std::string GrantTarget();
// Path to renew a lease.
std::string RenewTarget(uint64_t lease);
// A page of keys as of `revision`; `more`: the list continues.
struct StatePage {
  std::vector<StateItem> items;
  bool more = false;
  uint64_t revision = 0;
};
// Decodes a page; partly readable pages are malformed.
std::optional<StatePage> DecodeList(std::string_view body);
// Encodes a transaction.
std::string EncodeTxn(const StateTxn& txn);
// Answer to a transaction: the keys whose conditions failed; none if it is committed.
struct TxnReply {
  uint64_t revision = 0;
  std::vector<std::string> failed;
};
// Nothing without a revision.
std::optional<TxnReply> DecodeTxnReply(std::string_view body);
// Changes up to `revision`, in order.
struct WatchReply {
  uint64_t revision = 0;
  std::vector<StateEvent> events;
};
// Decodes changes; partly readable lists are malformed.
std::optional<WatchReply> DecodeWatch(std::string_view body);
// Encodes a request for a lease that lives for `ttl` after each renewal.
std::string EncodeGrant(Micros ttl);
// Decodes the id of a granted lease.
std::optional<uint64_t> DecodeGrant(std::string_view body);

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_MESSAGES_H_
