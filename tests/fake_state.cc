#include "fake_state.h"

#include <algorithm>

namespace troutlink::test {

std::string QueryParameter(const std::string& target, const std::string& name) {
  size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

void FakeState::Expire(Micros now) {
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : leases) {
    if (now > lease.until) ended.push_back(id);
  }
  for (uint64_t id : ended) {
    leases.erase(id);
    for (auto it = items.begin(); it != items.end();) {
      if (it->second.lease == id) {
        changes.push_back({++revision, it->first, true});
        it = items.erase(it);
      } else {
        ++it;
      }
    }
  }
}

void FakeState::Refresh(Micros now) {
  for (auto& [id, lease] : leases) lease.until = now + lease.life;
}

Json FakeState::EventsAfter(uint64_t after) const {
  Json events = Json::array();
  // Log entries are ordered by revision.
  auto change = std::upper_bound(
      changes.begin(), changes.end(), after,
      [](uint64_t revision, const Change& entry) { return revision < entry.revision; });
  for (; change != changes.end(); ++change) {
    if (change->erase) {
      events.push_back({{"delete", change->key}, {"stamp", change->revision}});
      continue;
    }
    auto it = items.find(change->key);
    if (it == items.end() || it->second.version != change->revision) continue;
    events.push_back({{"put", change->key}, {"v", it->second.value}, {"stamp", change->revision}});
  }
  return events;
}

std::pair<int, Json> FakeState::Handle(Micros now, const std::string& method,
                                       const std::string& target, const Json& body) {
  if (target == "/commit") return Commit(body);
  if (target == "/grants") return Grant(now, body);
  if (target.rfind("/grants/", 0) == 0) return Renew(now, std::stoull(target.substr(8)));
  if (method == "GET" && target.rfind("/store?", 0) == 0) return List(target);
  return {400, Json::object()};
}

bool FakeState::WithinLimits(const Json& body) const {
  const Json& writes = body.at("writes");
  if (limits.txn_ops == 0) return true;  // no limits set
  if (static_cast<int>(writes.size()) > limits.txn_ops ||
      static_cast<int>(body.at("if").size()) > limits.conditions()) {
    return false;
  }
  for (const Json& write : writes) {
    const auto value = write.find("v");
    if (value != write.end() && static_cast<int64_t>(value->dump().size()) > limits.value_bytes) {
      return false;
    }
  }
  return true;
}

std::pair<int, Json> FakeState::Commit(const Json& body) {
  ++commits;
  if (!WithinLimits(body)) {
    ++too_large;
    return {400, {{"error", "too large"}}};
  }
  Json failed = Json::array();
  for (const Json& condition : body.at("if")) {
    auto it = items.find(condition.at("key").get<std::string>());
    const uint64_t have = it == items.end() ? 0 : it->second.version;
    if (have != condition.at("stamp").get<uint64_t>()) failed.push_back(condition.at("key"));
  }
  if (!failed.empty()) return {409, {{"failed", failed}, {"ledger", revision}}};
  for (const Json& write : body.at("writes")) {
    if (write.contains("permit") && leases.count(write.at("permit").get<uint64_t>()) == 0) {
      return {400, {{"error", "no such lease"}}};
    }
  }
  if (body.at("writes").empty()) return {200, {{"ledger", revision}}};
  ++revision;
  for (const Json& write : body.at("writes")) {
    if (write.contains("put")) {
      std::string key = write.at("put").get<std::string>();
      items[key] = {write.at("v"), revision, write.value("permit", uint64_t{0})};
      changes.push_back({revision, key, false});
    } else {
      std::string key = write.at("delete").get<std::string>();
      if (items.erase(key) != 0) changes.push_back({revision, key, true});
    }
  }
  return {200, {{"ledger", revision}}};
}

std::pair<int, Json> FakeState::Grant(Micros now, const Json& body) {
  const uint64_t id = next_lease++;
  const Micros life = body.at("life_ms").get<Micros>() * kMillisecond;
  leases[id] = {life, now + life};
  return {200, {{"permit", id}}};
}

std::pair<int, Json> FakeState::Renew(Micros now, uint64_t id) {
  auto it = leases.find(id);
  if (it == leases.end()) return {404, Json::object()};
  it->second.until = now + it->second.life;
  return {200, Json::object()};
}

std::pair<int, Json> FakeState::List(const std::string& target) const {
  const std::string prefix = QueryParameter(target, "under");
  const std::string after = QueryParameter(target, "from");
  const size_t limit = std::stoul(QueryParameter(target, "limit"));
  Json list = Json::array();
  bool more = false;
  for (const auto& [key, item] : items) {
    if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) continue;
    if (list.size() >= limit) {
      more = true;
      break;
    }
    list.push_back({{"key", key}, {"v", item.value}, {"stamp", item.version}});
  }
  return {200, {{"items", list}, {"truncated", more}, {"ledger", revision}}};
}

}  // namespace troutlink::test
