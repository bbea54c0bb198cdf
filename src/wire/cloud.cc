// Wire format of the cloud: machine types, rentals and returns.
#include <array>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/micros.h"
#include "wire/messages.h"
#include "wire/pack.h"
#include "wire/types.h"
#include "wire/words.h"

namespace troutlink::wire {
namespace {

// Fields of a machine type.
constexpr const char* kTypes = "builds";
constexpr const char* kTypeName = "sku";
constexpr const char* kCpus = "cpus";
constexpr const char* kGpus = "cards";
constexpr const char* kMemoryGb = "memory_gb";
constexpr const char* kCacheGb = "local_gb";
constexpr const char* kFetchGbPerSecond = "fetch_gb_per_s";
constexpr const char* kPrice = "price";
constexpr const char* kSpotPrice = "spot_price";
constexpr const char* kBootSeconds = "ready_s";
constexpr const char* kZones = "rooms";
// Fields of a rental request, some of them also of a machine.
constexpr const char* kRequestId = "hire";
constexpr const char* kType = "build";
constexpr const char* kZone = "room";
constexpr const char* kSpot = "loaners";
constexpr const char* kCount = "number";
// Fields of a machine and of lists of machines.
constexpr const char* kMachines = "hosts";
constexpr const char* kMore = "truncated";
constexpr const char* kMachineName = "name_id";
constexpr const char* kAddress = "address";
constexpr const char* kState = "status";
constexpr const char* kAgeSeconds = "age_s";

// Any other word means a running machine.
constexpr auto kStateWords = std::to_array<EnumWord<ListedMachine::State>>(
    {{ListedMachine::State::kFailed, "failed"}, {ListedMachine::State::kBooting, "booting"}});

constexpr double kThousandthsPerUnit = 1000;
// Defaults for machine types that do not specify it.
constexpr double kDefaultBootSeconds = 60;

// The list `key` of `doc`, or null.
const Json* FindList(const std::optional<Json>& doc, const char* key) {
  const Json* list = doc ? Find(*doc, key) : nullptr;
  return list != nullptr && list->is_array() ? list : nullptr;
}

// The field in thousandths; 0 if it is missing.
int64_t Thousandths(const Json& map, const char* key) {
  return std::llround(Number(map, key).value_or(0) * kThousandthsPerUnit);
}

// Nothing without a name.
std::optional<MachineType> DecodeMachineType(const Json& map) {
  std::optional<std::string> name = Text(map, kTypeName);
  if (!name) return std::nullopt;
  MachineType type;
  type.name = *std::move(name);
  type.size = {.cpus = Thousandths(map, kCpus),
               .gpus = Thousandths(map, kGpus),
               .memory = Thousandths(map, kMemoryGb)};
  type.cache_gb = Number(map, kCacheGb).value_or(0);
  type.fetch_gb_per_s = Number(map, kFetchGbPerSecond).value_or(0);
  type.price = Number(map, kPrice).value_or(0);
  type.spot_price = Number(map, kSpotPrice).value_or(0);
  type.boot = FromSeconds(Number(map, kBootSeconds).value_or(kDefaultBootSeconds));
  if (const Json* zones = Find(map, kZones); zones != nullptr && zones->is_array()) {
    for (const Json& zone : *zones) {
      if (zone.is_string()) type.zones.push_back(zone.get<std::string>());
    }
  }
  return type;
}

// Nothing without a name.
std::optional<ListedMachine> DecodeMachine(const Json& map) {
  std::optional<std::string> name = Text(map, kMachineName);
  if (!name) return std::nullopt;
  ListedMachine machine;
  machine.name = *std::move(name);
  machine.addr = Text(map, kAddress).value_or("");
  machine.type = Text(map, kType).value_or("");
  machine.zone = Text(map, kZone).value_or("");
  machine.spot = Flag(map, kSpot).value_or(false);
  machine.state = ParseWord(kStateWords, Text(map, kState).value_or(""))
                      .value_or(ListedMachine::State::kRunning);
  machine.age = FromSeconds(Number(map, kAgeSeconds).value_or(0));
  return machine;
}

}  // namespace

std::string MachineTypesTarget() { return "/flavors"; }
std::string RentTarget() { return "/rentals"; }
std::string ReturnTarget() { return "/rentals/return"; }
std::string MachinesTarget(std::string_view after, int limit) {
  std::string target = "/rentals?limit=" + std::to_string(limit);
  if (!after.empty()) target.append("&from=").append(after);
  return target;
}

std::optional<std::vector<MachineType>> DecodeMachineTypes(std::string_view body) {
  const std::optional<Json> doc = Unpack(body);
  const Json* list = FindList(doc, kTypes);
  if (list == nullptr) return std::nullopt;
  std::vector<MachineType> types;
  for (const Json& map : *list) {
    if (std::optional<MachineType> type = DecodeMachineType(map)) {
      types.push_back(*std::move(type));
    }
  }
  return types;
}

std::string EncodeRent(const RentRequest& request) {
  return Pack(Json{{kRequestId, request.id},
                   {kType, request.type},
                   {kZone, request.zone},
                   {kSpot, request.spot},
                   {kCount, request.count}});
}

std::optional<std::vector<std::string>> DecodeRented(std::string_view body) {
  const std::optional<Json> doc = Unpack(body);
  const Json* list = FindList(doc, kMachines);
  if (list == nullptr) return std::nullopt;
  std::vector<std::string> machines;
  for (const Json& name : *list) {
    if (!name.is_string()) return std::nullopt;
    machines.push_back(name.get<std::string>());
  }
  return machines;
}

std::string EncodeReturn(const std::vector<std::string>& machines) {
  return Pack(Json{{kMachines, machines}});
}

std::optional<MachinePage> DecodeMachines(std::string_view body) {
  const std::optional<Json> doc = Unpack(body);
  const Json* list = FindList(doc, kMachines);
  if (list == nullptr) return std::nullopt;
  MachinePage page;
  page.more = Flag(*doc, kMore).value_or(false);
  for (const Json& map : *list) {
    if (std::optional<ListedMachine> machine = DecodeMachine(map)) {
      page.machines.push_back(*std::move(machine));
    }
  }
  return page;
}

}  // namespace troutlink::wire
