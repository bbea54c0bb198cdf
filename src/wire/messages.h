// Bodies of the published interfaces <-> plain structs. Decoders never throw;
// they return nothing (and, where asked, why) on anything malformed.
#ifndef TROUTLINK_WIRE_MESSAGES_H_
#define TROUTLINK_WIRE_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "wire/pack.h"
#include "wire/types.h"

namespace troutlink::wire {

// Paths.
inline constexpr std::string_view kJobsPath = "/api/jobs";
inline constexpr std::string_view kAbortEnd = "/abort";
inline constexpr std::string_view kUpPath = "/up";
inline constexpr std::string_view kReportPath = "/v1/report";
inline constexpr std::string_view kCommandsPath = "/commands";
inline constexpr std::string_view kShowPath = "/show";

// Users.
enum class SubmissionFault {
  kNotAMap,   // not one MessagePack map keyed by text
  kBadField,  // a field is missing or out of its range
};
using SpecResult = Result<JobSpec, SubmissionFault>;
SpecResult DecodeSubmission(std::string_view body);
std::string EncodeSubmission(const JobSpec& spec);
// The same as a part of another document.
SpecResult DecodeSpec(const Json& map);
Json EncodeSpec(const JobSpec& spec);
std::string EncodeJobState(std::string_view id, JobPhase state);
std::string EncodeJobStatus(const JobStatus& status);
// Of either answer; counts that are missing are 0.
std::optional<JobStatus> DecodeJobStatus(std::string_view body);
std::string EncodeError(std::string_view why);
// The job id of `/api/jobs/{id}` or `/api/jobs/{id}/abort`; empty: no such path.
struct JobPath {
  std::string id;
  bool abort = false;
};
std::optional<JobPath> ParseJobPath(std::string_view target);

// Workers.
std::optional<Report> DecodeReport(std::string_view body);
std::string EncodeReport(const Report& report);
std::string EncodeReportReply(uint64_t token, const std::vector<Command>& commands);
std::string EncodeCommands(uint64_t token, uint64_t session, const std::vector<Command>& commands);
std::string EncodeReportTo(std::string_view label);

// Cloud.
std::string MachineTypesTarget();
std::string RentTarget();
std::string ReturnTarget();
std::string MachinesTarget(std::string_view after, int limit);
std::optional<std::vector<MachineType>> DecodeMachineTypes(std::string_view body);
std::string EncodeRent(const RentRequest& request);
std::optional<std::vector<std::string>> DecodeRented(std::string_view body);
std::string EncodeReturn(const std::vector<std::string>& machines);
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
std::optional<MachinePage> DecodeMachines(std::string_view body);

// State service.
std::string ListTarget(std::string_view prefix, std::string_view after, int limit);
std::string WatchTarget(std::string_view prefix, uint64_t after, Micros wait);
std::string CommitTarget();
std::string GrantTarget();
std::string RenewTarget(uint64_t lease);
struct StatePage {
  std::vector<StateItem> items;
  bool more = false;
  uint64_t revision = 0;
};
std::optional<StatePage> DecodeList(std::string_view body);
std::string EncodeTxn(const StateTxn& txn);
struct TxnReply {
  uint64_t revision = 0;
  std::vector<std::string> failed;
};
std::optional<TxnReply> DecodeTxnReply(std::string_view body);
struct WatchReply {
  uint64_t revision = 0;
  std::vector<StateEvent> events;
};
std::optional<WatchReply> DecodeWatch(std::string_view body);
std::string EncodeGrant(Micros ttl);
std::optional<uint64_t> DecodeGrant(std::string_view body);

}  // namespace troutlink::wire

#endif  // TROUTLINK_WIRE_MESSAGES_H_
