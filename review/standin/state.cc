#include <algorithm>

#include "world.h"

namespace review {

namespace {
constexpr size_t kConnections = 64;
constexpr size_t kKeptChanges = 10000;
constexpr size_t kMostItems = 1000;
constexpr size_t kMostBytes = 512 * 1024;
constexpr size_t kMostTxnBytes = 66 * 1024;  // with the frame

std::string Parameter(const std::string& target, const std::string& name) {
  for (const char* lead : {"?", "&"}) {
    const size_t at = target.find(lead + name + "=");
    if (at == std::string::npos) continue;
    const size_t from = at + name.size() + 2;
    return target.substr(from, target.find('&', from) - from);
  }
  return "";
}

uint64_t Number(const std::string& text, uint64_t otherwise) {
  return text.empty() ? otherwise : std::stoull(text);
}

// MessagePack by hand, as the values are kept packed.
void PutText(std::string* out, const std::string& text) {
  out->push_back('\xda');
  out->push_back(static_cast<char>(text.size() >> 8));
  out->push_back(static_cast<char>(text.size() & 0xff));
  out->append(text);
}
void PutNumber(std::string* out, uint64_t value) {
  out->push_back('\xcf');
  for (int shift = 56; shift >= 0; shift -= 8) out->push_back(static_cast<char>(value >> shift));
}
void PutArray(std::string* out, size_t size) {
  out->push_back('\xdd');
  for (int shift = 24; shift >= 0; shift -= 8) out->push_back(static_cast<char>(size >> shift));
}
void PutMap(std::string* out, size_t size) { out->push_back(static_cast<char>(0x80 | size)); }
void PutFlag(std::string* out, bool value) { out->push_back(value ? '\xc3' : '\xc2'); }
}  // namespace

void Record::Open(const std::string& path) {
  out_.open(path);
  started_ = SteadyNow();
}

void Record::Say(const std::string& what) {
  const Micros at = SteadyNow() - started_;
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(at) / 1e6);
  out_ << time << what << std::endl;
}

bool StateService::Bucket::Take(Micros now, double rate, double count) {
  if (at == 0) tokens = rate;
  if (at != 0) tokens = std::min(rate, tokens + rate * static_cast<double>(now - at) / 1e6);
  at = now;
  if (tokens < count) return false;
  tokens -= count;
  return true;
}

Endpoint StateService::Listen(const std::string& host) {
  const size_t node = servers_.size();
  servers_.push_back(std::make_unique<troutlink::runtime::HttpServer>(
      loop_, kConnections, [this, node](const Request& request) { OnRequest(node, request); }));
  auto at = servers_.back()->Open({host, 0, host + ":0"});
  return at ? *at : Endpoint();
}

void StateService::Answer(size_t node, const Request& request, int status, std::string body) {
  ++answered;
  if (status == 429) ++limited;
  if (on_answer) on_answer(node, request, status);
  servers_[node]->Send({request.id, status, std::move(body), 0});
}

void StateService::OnRequest(size_t node, const Request& request) {
  const Micros now = SteadyNow();
  const bool watch = request.target.rfind("/follow", 0) == 0;
  if (!watch && Refuses(node)) {
    Answer(node, request, 503, "");
    return;
  }
  if (!requests_.Take(now, rps, 1)) {
    Answer(node, request, 429, "");
    return;
  }
  if (watch) {
    const Micros hold = static_cast<Micros>(std::min<uint64_t>(
                            60000, Number(Parameter(request.target, "hold_ms"), 0))) *
                        kMillisecond;
    watches_.push_back({node, request.id, Number(Parameter(request.target, "from"), 0),
                        Parameter(request.target, "under"), now + hold});
    return;
  }
  Micros delay = latency;
  if (extra_delay) delay += extra_delay(node, request);
  due_.push_back({now + delay, node, request});
}

void StateService::CarryOut(Micros now, size_t node, const Request& request) {
  if (Refuses(node)) {
    Answer(node, request, 503, "");
    return;
  }
  const Json body = troutlink::wire::Unpack(request.body).value_or(Json::object());
  if (request.target == "/commit" && request.method == "POST") {
    auto [status, reply] = Commit(now, body);
    Answer(node, request, status, std::move(reply));
  } else if (request.target == "/grants" && request.method == "POST") {
    const Micros life = body.value("life_ms", int64_t{0}) * kMillisecond;
    const uint64_t id = next_lease_++;
    leases_[id] = {life, now + life};
    Answer(node, request, 200, troutlink::wire::Pack({{"permit", id}}));
  } else if (request.target.rfind("/grants/", 0) == 0 && request.method == "POST") {
    auto lease = leases_.find(std::stoull(request.target.substr(8)));
    if (lease != leases_.end()) lease->second.until = now + lease->second.life;
    Answer(node, request, lease != leases_.end() ? 200 : 404,
           troutlink::wire::Pack(Json::object()));
  } else if (request.method == "GET" && request.target.rfind("/store?", 0) == 0) {
    Answer(node, request, 200, List(request.target));
  } else {
    record_->Say("state service: unexpected " + request.method + " " + request.target);
    Answer(node, request, 400, "");
  }
}

void StateService::Changed(const std::string& key, bool erase) {
  changes_.push_back({ledger, key, erase});
  while (changes_.size() > kKeptChanges) {
    dropped_up_to_ = changes_.front().stamp;
    changes_.pop_front();
  }
}

std::pair<int, std::string> StateService::Commit(Micros now, const Json& body) {
  using troutlink::wire::Pack;
  const Json none = Json::array();
  const Json& conditions = body.contains("if") ? body["if"] : none;
  const Json& writes = body.contains("writes") ? body["writes"] : none;
  if (writes.size() > txn_ops || conditions.size() > 4 * txn_ops ||
      body.dump(-1, ' ', false, Json::error_handler_t::replace).size() > kMostTxnBytes) {
    return {400, Pack({{"error", "too large"}})};
  }
  for (const Json& write : writes) {
    const size_t bytes =
        write.contains("v")
            ? write["v"].dump(-1, ' ', false, Json::error_handler_t::replace).size()
            : 0;
    if (bytes > value_bytes) return {400, Pack({{"error", "too large"}})};
  }
  if (!writes.empty() && !writes_.Take(now, write_rps, static_cast<double>(writes.size()))) {
    return {429, ""};
  }
  Json failed = Json::array();
  for (const Json& condition : conditions) {
    auto item = items.find(condition.at("key").get<std::string>());
    const uint64_t stamp = item == items.end() ? 0 : item->second.stamp;
    if (stamp != condition.at("stamp").get<uint64_t>()) failed.push_back(condition.at("key"));
  }
  if (!failed.empty()) return {409, Pack({{"failed", failed}, {"ledger", ledger}})};
  for (const Json& write : writes) {
    if (write.contains("permit") && leases_.count(write["permit"].get<uint64_t>()) == 0) {
      return {400, Pack({{"error", "no such lease"}})};
    }
  }
  if (!writes.empty()) ++ledger;
  for (const Json& write : writes) {
    if (write.contains("put")) {
      const std::string key = write["put"];
      items[key] = {Pack(write.at("v")), ledger, write.value("permit", uint64_t{0})};
      Changed(key, false);
    } else if (items.erase(write.at("delete").get<std::string>()) != 0) {
      Changed(write["delete"], true);
    }
  }
  return {200, Pack({{"ledger", ledger}})};
}

std::string StateService::List(const std::string& target) const {
  const std::string under = Parameter(target, "under"), from = Parameter(target, "from");
  const size_t limit = std::min<size_t>(kMostItems, Number(Parameter(target, "limit"), kMostItems));
  std::string entries;
  size_t count = 0;
  bool more = false;
  auto item = from.empty() || from < under ? items.lower_bound(under) : items.upper_bound(from);
  for (; item != items.end() && item->first.rfind(under, 0) == 0; ++item) {
    if (count >= limit || entries.size() + item->second.value.size() > kMostBytes) {
      more = true;
      break;
    }
    ++count;
    PutMap(&entries, 3);
    PutText(&entries, "key");
    PutText(&entries, item->first);
    PutText(&entries, "v");
    entries.append(item->second.value);
    PutText(&entries, "stamp");
    PutNumber(&entries, item->second.stamp);
  }
  std::string out;
  PutMap(&out, 3);
  PutText(&out, "items");
  PutArray(&out, count);
  out.append(entries);
  PutText(&out, "truncated");
  PutFlag(&out, more);
  PutText(&out, "ledger");
  PutNumber(&out, ledger);
  return out;
}

bool StateService::HasEvents(const Watch& watch) const {
  for (auto change = changes_.rbegin(); change != changes_.rend() && change->stamp > watch.from;
       ++change) {
    if (change->key.rfind(watch.under, 0) == 0) return true;
  }
  return false;
}

std::string StateService::Events(const Watch& watch) const {
  Json events = Json::array();
  auto change = std::upper_bound(
      changes_.begin(), changes_.end(), watch.from,
      [](uint64_t stamp, const Change& entry) { return stamp < entry.stamp; });
  for (; change != changes_.end(); ++change) {
    if (change->key.rfind(watch.under, 0) != 0) continue;
    if (change->erase) {
      events.push_back({{"delete", change->key}, {"stamp", change->stamp}});
      continue;
    }
    auto item = items.find(change->key);
    // A later change of the same key is told by its own event.
    if (item == items.end() || item->second.stamp != change->stamp) continue;
    events.push_back({{"put", change->key},
                      {"v", troutlink::wire::Unpack(item->second.value).value_or(Json())},
                      {"stamp", change->stamp}});
  }
  return troutlink::wire::Pack({{"ledger", ledger}, {"events", events}});
}

void StateService::Expire(Micros now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (now <= lease->second.until) {
      ++lease;
      continue;
    }
    for (auto item = items.begin(); item != items.end();) {
      if (item->second.lease != lease->first) {
        ++item;
        continue;
      }
      ++ledger;
      const std::string key = item->first;
      item = items.erase(item);
      Changed(key, true);
      record_->Say("state service: lease " + std::to_string(lease->first) + " ended, " + key +
                   " is removed");
    }
    lease = leases_.erase(lease);
  }
}

void StateService::EndOutage(Micros now) {
  down = false;
  for (auto& [id, lease] : leases_) lease.until = now + lease.life;
}

void StateService::Tick(Micros now) {
  if (!down) Expire(now);
  std::vector<Due> due, later;
  for (Due& one : due_) (one.at <= now ? due : later).push_back(std::move(one));
  due_ = std::move(later);
  for (const Due& one : due) CarryOut(now, one.node, one.request);
  std::vector<Watch> open;
  for (const Watch& watch : watches_) {
    if (Refuses(watch.node)) {
      open.push_back(watch);
      continue;
    }
    Request request;
    request.id = watch.request;
    request.target = "/follow";
    if (watch.from < dropped_up_to_) {
      Answer(watch.node, request, 410, "");
    } else if (HasEvents(watch) || now >= watch.until) {
      Answer(watch.node, request, 200, Events(watch));
    } else {
      open.push_back(watch);
    }
  }
  watches_ = std::move(open);
  for (auto& server : servers_) server->Tick(now);
}

}  // namespace review
