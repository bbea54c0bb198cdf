// The cloud's side of the wire.
#include <cmath>

#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::wire {

std::string MachineTypesTarget() { return "/flavors"; }
std::string RentTarget() { return "/rentals"; }
std::string ReturnTarget() { return "/rentals/return"; }
std::string MachinesTarget(std::string_view after, int limit) {
  std::string t = "/rentals?limit=" + std::to_string(limit);
  if (!after.empty()) t.append("&from=").append(after);
  return t;
}

std::optional<std::vector<MachineType>> DecodeMachineTypes(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  const Json* list = doc ? Find(*doc, "builds") : nullptr;
  if (list == nullptr || !list->is_array()) return std::nullopt;
  std::vector<MachineType> out;
  for (const Json& m : *list) {
    MachineType t;
    std::optional<std::string> name = Text(m, "sku");
    if (!name) continue;
    t.name = *name;
    auto milli = [&m](const char* key) {
      return static_cast<int64_t>(std::llround(Number(m, key).value_or(0) * 1000));
    };
    t.size = {milli("cpus"), milli("cards"), milli("memory_gb")};
    t.cache_gb = Number(m, "local_gb").value_or(0);
    t.fetch_gb_per_s = Number(m, "fetch_gb_per_s").value_or(0);
    t.price = Number(m, "price").value_or(0);
    t.spot_price = Number(m, "spot_price").value_or(0);
    t.boot = FromSeconds(Number(m, "ready_s").value_or(60));
    if (const Json* zones = Find(m, "rooms"); zones != nullptr && zones->is_array()) {
      for (const Json& z : *zones) {
        if (z.is_string()) t.zones.push_back(z.get<std::string>());
      }
    }
    out.push_back(std::move(t));
  }
  return out;
}

std::string EncodeRent(const RentRequest& r) {
  return Pack(Json{{"hire", r.request},
                   {"build", r.type},
                   {"room", r.zone},
                   {"loaners", r.spot},
                   {"number", r.count}});
}

std::optional<std::vector<std::string>> DecodeRented(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  const Json* list = doc ? Find(*doc, "hosts") : nullptr;
  if (list == nullptr || !list->is_array()) return std::nullopt;
  std::vector<std::string> out;
  for (const Json& h : *list) {
    if (!h.is_string()) return std::nullopt;
    out.push_back(h.get<std::string>());
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
  for (const Json& h : *list) {
    std::optional<std::string> name = Text(h, "name_id");
    if (!name) continue;
    ListedMachine m;
    m.name = *name;
    m.addr = Text(h, "address").value_or("");
    m.type = Text(h, "build").value_or("");
    m.zone = Text(h, "room").value_or("");
    m.spot = Flag(h, "loaners").value_or(false);
    std::string state = Text(h, "status").value_or("");
    m.state = state == "failed"    ? ListedMachine::State::kFailed
              : state == "booting" ? ListedMachine::State::kBooting
                                   : ListedMachine::State::kRunning;
    m.age = FromSeconds(Number(h, "age_s").value_or(0));
    page.machines.push_back(std::move(m));
  }
  return page;
}

}  // namespace troutlink::wire
