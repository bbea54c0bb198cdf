// The cloud's side of the wire.
#include <cmath>

#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::wire {

std::string MachineTypesTarget() { return "/flavors"; }
std::string RentTarget() { return "/rentals"; }
std::string ReturnTarget() { return "/rentals/return"; }
std::string MachinesTarget(std::string_view after, int limit) {
  std::string target = "/rentals?limit=" + std::to_string(limit);
  if (!after.empty()) target.append("&from=").append(after);
  return target;
}

std::optional<std::vector<MachineType>> DecodeMachineTypes(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  const Json* list = doc ? Find(*doc, "builds") : nullptr;
  if (list == nullptr || !list->is_array()) return std::nullopt;
  std::vector<MachineType> out;
  for (const Json& map : *list) {
    MachineType type;
    std::optional<std::string> name = Text(map, "sku");
    if (!name) continue;
    type.name = *name;
    auto milli = [&map](const char* key) {
      return static_cast<int64_t>(std::llround(Number(map, key).value_or(0) * 1000));
    };
    type.size = {milli("cpus"), milli("cards"), milli("memory_gb")};
    type.cache_gb = Number(map, "local_gb").value_or(0);
    type.fetch_gb_per_s = Number(map, "fetch_gb_per_s").value_or(0);
    type.price = Number(map, "price").value_or(0);
    type.spot_price = Number(map, "spot_price").value_or(0);
    type.boot = FromSeconds(Number(map, "ready_s").value_or(60));
    if (const Json* zones = Find(map, "rooms"); zones != nullptr && zones->is_array()) {
      for (const Json& zone : *zones) {
        if (zone.is_string()) type.zones.push_back(zone.get<std::string>());
      }
    }
    out.push_back(std::move(type));
  }
  return out;
}

std::string EncodeRent(const RentRequest& request) {
  return Pack(Json{{"hire", request.request},
                   {"build", request.type},
                   {"room", request.zone},
                   {"loaners", request.spot},
                   {"number", request.count}});
}

std::optional<std::vector<std::string>> DecodeRented(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  const Json* list = doc ? Find(*doc, "hosts") : nullptr;
  if (list == nullptr || !list->is_array()) return std::nullopt;
  std::vector<std::string> out;
  for (const Json& host : *list) {
    if (!host.is_string()) return std::nullopt;
    out.push_back(host.get<std::string>());
  }
  return out;
}

std::string EncodeReturn(const std::vector<std::string>& machines) {
  return Pack(Json{{"hosts", machines}});
}

std::optional<MachinePage> DecodeMachines(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  const Json* list = doc ? Find(*doc, "hosts") : nullptr;
  if (list == nullptr || !list->is_array()) return std::nullopt;
  MachinePage page;
  page.more = Flag(*doc, "truncated").value_or(false);
  for (const Json& map : *list) {
    std::optional<std::string> name = Text(map, "name_id");
    if (!name) continue;
    ListedMachine machine;
    machine.name = *name;
    machine.addr = Text(map, "address").value_or("");
    machine.type = Text(map, "build").value_or("");
    machine.zone = Text(map, "room").value_or("");
    machine.spot = Flag(map, "loaners").value_or(false);
    std::string state = Text(map, "status").value_or("");
    machine.state = state == "failed"    ? ListedMachine::State::kFailed
                    : state == "booting" ? ListedMachine::State::kBooting
                                         : ListedMachine::State::kRunning;
    machine.age = FromSeconds(Number(map, "age_s").value_or(0));
    page.machines.push_back(std::move(machine));
  }
  return page;
}

}  // namespace troutlink::wire
