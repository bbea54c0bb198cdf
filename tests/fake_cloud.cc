#include "fake_cloud.h"

#include <algorithm>

namespace troutlink::test {
namespace {
constexpr Micros kNever = 1000000000 * kSecond;

Json MachineTypes() {
  Json types = Json::array();
  types.push_back({{"sku", "small"},
                   {"cpus", 16},
                   {"cards", 0},
                   {"memory_gb", 64},
                   {"local_gb", 40},
                   {"fetch_gb_per_s", 1.0},
                   {"price", 1.0},
                   {"spot_price", 0.3},
                   {"ready_s", 5},
                   {"rooms", {"z1", "z2"}}});
  return {{"builds", types}};
}

}  // namespace

FakeCloud::FakeCloud(Agents* agents, MakeAgent make_agent,
                     std::function<void(const std::string&)> report)
    : agents_(agents), make_agent_(std::move(make_agent)), report_(std::move(report)) {}

std::pair<int, Json> FakeCloud::Handle(Micros now, const std::string& method,
                                       const std::string& target, const Json& body) {
  if (down) return {503, {{"error", "trouble"}}};
  if (target == "/flavors") return {200, MachineTypes()};
  if (target == "/rentals/return") return Return(body);
  if (method == "POST") return Rent(now, body);
  return List(now);
}

std::pair<int, Json> FakeCloud::Return(const Json& body) {
  for (const Json& host : body.at("hosts")) {
    auto it = agents_->find(host.get<std::string>());
    if (it == agents_->end()) continue;
    if (!it->second->dead && rented_names_.count(it->first) != 0) ++capacity;
    it->second->dead = true;
    it->second->tasks.clear();
    ++returns;
  }
  return {200, Json::object()};
}

std::pair<int, Json> FakeCloud::Rent(Micros now, const Json& body) {
  const std::string request_name = body.at("hire").get<std::string>();
  // A repeated request gets the same answer and rents nothing.
  auto known = rented_.find(request_name);
  if (known != rented_.end()) {
    if (known->second.first != body) report_("a request name was used for another rental");
    return {200, known->second.second};
  }
  const int count = std::min(body.at("number").get<int>(), capacity);
  if (count == 0) return {503, {{"error", "no capacity"}}};
  capacity -= count;
  rentals += count;
  Json hosts = Json::array();
  for (int i = 0; i < count; ++i) {
    FakeAgent& agent =
        make_agent_(body.at("build").get<std::string>(), body.at("loaners").get<bool>());
    agent.zone = body.at("room").get<std::string>();
    agent.next_heartbeat = agent.lease_from = now + (boot_time ? boot_time() : 5 * kSecond);
    if (failing_zones.count(agent.zone) != 0) agent.lease_from = agent.next_heartbeat = kNever;
    hosts.push_back(agent.name);
    rented_names_.insert(agent.name);
  }
  Json answer = {{"hosts", hosts}};
  rented_[request_name] = {body, answer};
  return {200, answer};
}

std::pair<int, Json> FakeCloud::List(Micros now) const {
  Json list = Json::array();
  for (const auto& [name, agent] : *agents_) {
    if (agent->dead) continue;
    list.push_back({{"name_id", name},
                    {"address", agent->addr},
                    {"build", agent->type},
                    {"room", agent->zone},
                    {"loaners", agent->spot},
                    {"status", agent->lease_from > now ? "booting" : "running"},
                    {"age_s", 60.0}});
  }
  return {200, {{"hosts", list}, {"truncated", false}}};
}

}  // namespace troutlink::test
