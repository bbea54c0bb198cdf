// The state service's side of the wire.
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::wire {

std::string ListTarget(std::string_view prefix, std::string_view after, int limit) {
  std::string t = "/store?under=" + std::string(prefix) + "&limit=" + std::to_string(limit);
  if (!after.empty()) t.append("&from=").append(after);
  return t;
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
  for (const Json& i : *items) {
    std::optional<std::string> key = Text(i, "key");
    std::optional<uint64_t> version = Count(i, "stamp");
    auto value = i.find("v");
    if (!key || !version || value == i.end()) return std::nullopt;
    page.items.push_back({*key, Pack(*value), *version});
  }
  return page;
}

std::string EncodeTxn(const StateTxn& txn) {
  Json conditions = Json::array(), writes = Json::array();
  for (const auto& [key, version] : txn.conditions) {
    conditions.push_back({{"key", key}, {"stamp", version}});
  }
  for (const StateWrite& w : txn.writes) {
    if (w.erase) {
      writes.push_back({{"delete", w.key}});
      continue;
    }
    Json put = {{"put", w.key}, {"v", Unpack(w.value).value_or(Json())}};
    if (w.lease != 0) put["permit"] = w.lease;
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
    for (const Json& k : *failed) {
      if (k.is_string()) reply.failed.push_back(k.get<std::string>());
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
  for (const Json& e : *events) {
    StateEvent event;
    std::optional<uint64_t> version = Count(e, "stamp");
    if (!version) return std::nullopt;
    event.version = *version;
    if (std::optional<std::string> key = Text(e, "put")) {
      auto value = e.find("v");
      if (value == e.end()) return std::nullopt;
      event.key = *key;
      event.value = Pack(*value);
    } else if (std::optional<std::string> gone = Text(e, "delete")) {
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
