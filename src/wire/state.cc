// Wire format of the key-value store: keys, transactions, changes and leases.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/micros.h"
#include "wire/messages.h"
#include "wire/pack.h"
#include "wire/types.h"

namespace troutlink::wire {
namespace {

// Fields of answers.
constexpr const char* kRevision = "ledger";
constexpr const char* kItems = "items";
constexpr const char* kMore = "truncated";
constexpr const char* kEvents = "events";
constexpr const char* kFailed = "failed";
// Fields of keys, changes and transactions.
constexpr const char* kKey = "key";
constexpr const char* kVersion = "stamp";
constexpr const char* kValue = "v";
constexpr const char* kPut = "put";
constexpr const char* kDelete = "delete";
constexpr const char* kConditions = "if";
constexpr const char* kWrites = "writes";
// Fields of leases.
constexpr const char* kLease = "permit";
constexpr const char* kLifeMillis = "life_ms";

// A value may be null, so a null field counts as present.
const Json* FindValue(const Json& map) {
  if (!map.is_object()) return nullptr;
  const auto value = map.find(kValue);
  return value == map.end() ? nullptr : &*value;
}

std::optional<StateItem> DecodeItem(const Json& map) {
  std::optional<std::string> key = Text(map, kKey);
  const std::optional<uint64_t> version = Count(map, kVersion);
  const Json* value = FindValue(map);
  if (!key || !version || value == nullptr) return std::nullopt;
  return StateItem{.key = *std::move(key), .value = Pack(*value), .version = *version};
}

std::optional<StateEvent> DecodeEvent(const Json& map) {
  const std::optional<uint64_t> version = Count(map, kVersion);
  if (!version) return std::nullopt;
  if (std::optional<std::string> key = Text(map, kPut)) {
    const Json* value = FindValue(map);
    if (value == nullptr) return std::nullopt;
    return StateEvent{
        .key = *std::move(key), .value = Pack(*value), .version = *version, .erase = false};
  }
  if (std::optional<std::string> key = Text(map, kDelete)) {
    return StateEvent{.key = *std::move(key), .value = "", .version = *version, .erase = true};
  }
  return std::nullopt;
}

Json EncodeWrite(const StateWrite& write) {
  if (write.erase) return {{kDelete, write.key}};
  Json put = {{kPut, write.key}, {kValue, Unpack(write.value).value_or(Json())}};
  if (write.lease != 0) put[kLease] = write.lease;
  return put;
}

}  // namespace

std::string ListTarget(std::string_view prefix, std::string_view after, int limit) {
  std::string target = "/store?under=" + std::string(prefix) + "&limit=" + std::to_string(limit);
  if (!after.empty()) target.append("&from=").append(after);
  return target;
}
std::string WatchTarget(std::string_view prefix, uint64_t after, Micros wait) {
  return "/follow?under=" + std::string(prefix) + "&from=" + std::to_string(after) +
         "&hold_ms=" + std::to_string(wait / kMillisecond);
}
std::string CommitTarget() { return "/commit"; }
std::string GrantTarget() { return "/grants"; }
std::string RenewTarget(uint64_t lease) { return "/grants/" + std::to_string(lease) + "/renew"; }

std::optional<StatePage> DecodeList(std::string_view body) {
  const std::optional<Json> doc = Unpack(body);
  const Json* items = doc ? Find(*doc, kItems) : nullptr;
  const std::optional<uint64_t> revision = doc ? Count(*doc, kRevision) : std::nullopt;
  if (items == nullptr || !items->is_array() || !revision) return std::nullopt;
  StatePage page;
  page.revision = *revision;
  page.more = Flag(*doc, kMore).value_or(false);
  for (const Json& map : *items) {
    std::optional<StateItem> item = DecodeItem(map);
    if (!item) return std::nullopt;
    page.items.push_back(*std::move(item));
  }
  return page;
}

std::string EncodeTxn(const StateTxn& txn) {
  Json conditions = Json::array();
  for (const StateCondition& condition : txn.conditions) {
    conditions.push_back({{kKey, condition.key}, {kVersion, condition.version}});
  }
  Json writes = Json::array();
  for (const StateWrite& write : txn.writes) writes.push_back(EncodeWrite(write));
  return Pack(Json{{kConditions, std::move(conditions)}, {kWrites, std::move(writes)}});
}

std::optional<TxnReply> DecodeTxnReply(std::string_view body) {
  const std::optional<Json> doc = Unpack(body);
  const std::optional<uint64_t> revision = doc ? Count(*doc, kRevision) : std::nullopt;
  if (!revision) return std::nullopt;
  TxnReply reply;
  reply.revision = *revision;
  if (const Json* failed = Find(*doc, kFailed); failed != nullptr && failed->is_array()) {
    for (const Json& key : *failed) {
      if (key.is_string()) reply.failed.push_back(key.get<std::string>());
    }
  }
  return reply;
}

std::optional<WatchReply> DecodeWatch(std::string_view body) {
  const std::optional<Json> doc = Unpack(body);
  const Json* events = doc ? Find(*doc, kEvents) : nullptr;
  const std::optional<uint64_t> revision = doc ? Count(*doc, kRevision) : std::nullopt;
  if (events == nullptr || !events->is_array() || !revision) return std::nullopt;
  WatchReply reply;
  reply.revision = *revision;
  for (const Json& map : *events) {
    std::optional<StateEvent> event = DecodeEvent(map);
    if (!event) return std::nullopt;
    reply.events.push_back(*std::move(event));
  }
  return reply;
}

std::string EncodeGrant(Micros ttl) { return Pack(Json{{kLifeMillis, ttl / kMillisecond}}); }

std::optional<uint64_t> DecodeGrant(std::string_view body) {
  const std::optional<Json> doc = Unpack(body);
  return doc ? Count(*doc, kLease) : std::nullopt;
}

}  // namespace troutlink::wire
