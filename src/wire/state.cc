// The state service's side of the wire.
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::wire {

std::string ListTarget(std::string_view prefix, std::string_view after, int limit) {
  std::string target = "/store?under=" + std::string(prefix) + "&limit=" + std::to_string(limit);
  if (!after.empty()) target.append("&from=").append(after);
  return target;
}
std::string WatchTarget(std::string_view prefix, uint64_t after, Micros wait) {
  return "/follow?under=" + std::string(prefix) + "&from=" + std::to_string(after) +
         "&hold_ms=" + std::to_string(wait / kMilli);
}
std::string CommitTarget() { return "/commit"; }
std::string GrantTarget() { return "/grants"; }
std::string RenewTarget(uint64_t lease) { return "/grants/" + std::to_string(lease) + "/renew"; }

std::optional<StatePage> DecodeList(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  const Json* items = doc ? Find(*doc, "items") : nullptr;
  std::optional<uint64_t> revision = doc ? Count(*doc, "ledger") : std::nullopt;
  if (items == nullptr || !items->is_array() || !revision) return std::nullopt;
  StatePage page;
  page.revision = *revision;
  page.more = Flag(*doc, "truncated").value_or(false);
  for (const Json& item : *items) {
    std::optional<std::string> key = Text(item, "key");
    std::optional<uint64_t> version = Count(item, "stamp");
    auto value = item.find("v");
    if (!key || !version || value == item.end()) return std::nullopt;
    page.items.push_back({*key, Pack(*value), *version});
  }
  return page;
}

std::string EncodeTxn(const StateTxn& txn) {
  Json conditions = Json::array(), writes = Json::array();
  for (const auto& [key, version] : txn.conditions) {
    conditions.push_back({{"key", key}, {"stamp", version}});
  }
  for (const StateWrite& write : txn.writes) {
    if (write.erase) {
      writes.push_back({{"delete", write.key}});
      continue;
    }
    Json put = {{"put", write.key}, {"v", Unpack(write.value).value_or(Json())}};
    if (write.lease != 0) put["permit"] = write.lease;
    writes.push_back(std::move(put));
  }
  return Pack(Json{{"if", std::move(conditions)}, {"writes", std::move(writes)}});
}

std::optional<TxnReply> DecodeTxnReply(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  std::optional<uint64_t> revision = doc ? Count(*doc, "ledger") : std::nullopt;
  if (!revision) return std::nullopt;
  TxnReply reply;
  reply.revision = *revision;
  if (const Json* failed = Find(*doc, "failed"); failed != nullptr && failed->is_array()) {
    for (const Json& key : *failed) {
      if (key.is_string()) reply.failed.push_back(key.get<std::string>());
    }
  }
  return reply;
}

std::optional<WatchReply> DecodeWatch(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  const Json* events = doc ? Find(*doc, "events") : nullptr;
  std::optional<uint64_t> revision = doc ? Count(*doc, "ledger") : std::nullopt;
  if (!revision || events == nullptr || !events->is_array()) return std::nullopt;
  WatchReply reply;
  reply.revision = *revision;
  for (const Json& map : *events) {
    StateEvent event;
    std::optional<uint64_t> version = Count(map, "stamp");
    if (!version) return std::nullopt;
    event.version = *version;
    if (std::optional<std::string> key = Text(map, "put")) {
      auto value = map.find("v");
      if (value == map.end()) return std::nullopt;
      event.key = *key;
      event.value = Pack(*value);
    } else if (std::optional<std::string> gone = Text(map, "delete")) {
      event.key = *gone;
      event.erase = true;
    } else {
      return std::nullopt;
    }
    reply.events.push_back(std::move(event));
  }
  return reply;
}

std::string EncodeGrant(Micros ttl) { return Pack(Json{{"life_ms", ttl / kMilli}}); }

std::optional<uint64_t> DecodeGrant(std::string_view body) {
  std::optional<Json> doc = Unpack(body);
  return doc ? Count(*doc, "permit") : std::nullopt;
}

}  // namespace troutlink::wire
