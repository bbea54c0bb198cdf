#include "core/records.h"

#include <charconv>

#include "base/ids.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink {
namespace {

using wire::Json;

int ToInt(std::string_view s) {
  int v = -1;
  auto r = std::from_chars(s.data(), s.data() + s.size(), v);
  return r.ec == std::errc() && r.ptr == s.data() + s.size() ? v : -1;
}

}  // namespace

std::string JobKey(std::string_view id) { return std::string(kRoot).append("job/").append(id); }
std::string ClaimKey(int part) { return std::string(kRoot) + "claim/" + std::to_string(part); }
std::string RosterKey(int part, int chunk) {
  return std::string(kRoot) + "roster/" + std::to_string(part) + "/" + std::to_string(chunk);
}
std::string ProgressKey(int part) {
  return std::string(kRoot) + "progress/" + std::to_string(part);
}

Key ParseKey(std::string_view key) {
  Key out;
  if (key.substr(0, kRoot.size()) != kRoot) return out;
  key.remove_prefix(kRoot.size());
  size_t slash = key.find('/');
  if (slash == std::string_view::npos) return out;
  std::string_view kind = key.substr(0, slash), rest = key.substr(slash + 1);
  if (kind == "job") {
    out.kind = Key::Kind::kJob;
    out.id = rest;
  } else if (kind == "claim" || kind == "progress") {
    out.part = ToInt(rest);
    if (out.part < 0) return out;
    out.kind = kind == "claim" ? Key::Kind::kClaim : Key::Kind::kProgress;
  } else if (kind == "roster") {
    size_t s = rest.find('/');
    if (s == std::string_view::npos) return out;
    out.part = ToInt(rest.substr(0, s));
    out.chunk = ToInt(rest.substr(s + 1));
    if (out.part >= 0 && out.chunk >= 0) out.kind = Key::Kind::kRoster;
  }
  return out;
}

std::string EncodeJob(const JobRecord& job) {
  // The specification is kept in the form in which users send it.
  Json spec = wire::Unpack(wire::EncodeSubmission(job.spec)).value_or(Json());
  return wire::Pack(Json{{"spec", std::move(spec)},
                         {"part", job.part},
                         {"state", static_cast<int>(job.state)},
                         {"submitted", job.submitted},
                         {"moves", job.moves}});
}

std::optional<JobRecord> DecodeJob(std::string_view value) {
  std::optional<Json> doc = wire::Unpack(value);
  if (!doc) return std::nullopt;
  const Json* spec = wire::Find(*doc, "spec");
  std::optional<uint64_t> part = wire::Count(*doc, "part"), state = wire::Count(*doc, "state"),
                          submitted = wire::Count(*doc, "submitted");
  if (spec == nullptr || !part || !state || *state > 2) return std::nullopt;
  std::string why;
  std::optional<JobSpec> parsed = wire::DecodeSubmission(wire::Pack(*spec), &why);
  if (!parsed) return std::nullopt;
  JobRecord job;
  job.spec = std::move(*parsed);
  job.part = static_cast<int>(*part);
  job.state = static_cast<JobState>(*state);
  job.submitted = static_cast<Micros>(submitted.value_or(0));
  job.moves = static_cast<int>(wire::Count(*doc, "moves").value_or(0));
  return job;
}

std::string EncodeClaim(const Claim& claim) {
  return wire::Pack(Json{{"owner", claim.owner}, {"boot", claim.boot}});
}

std::optional<Claim> DecodeClaim(std::string_view value) {
  std::optional<Json> doc = wire::Unpack(value);
  std::optional<std::string> owner = doc ? wire::Text(*doc, "owner") : std::nullopt;
  if (!owner) return std::nullopt;
  return Claim{*owner, wire::Count(*doc, "boot").value_or(0)};
}

int ChunkOf(const std::string& machine, int chunks) {
  return chunks <= 1 ? 0 : static_cast<int>(StableHash(machine) % static_cast<uint64_t>(chunks));
}

std::string EncodeChunk(const Roster& roster, int chunk) {
  Json machines = Json::array();
  for (const auto& [name, m] : roster.machines) {
    if (ChunkOf(name, roster.chunks) != chunk) continue;
    // Attempts are grouped by job: [job, task, attempt, task, attempt, ...].
    std::map<std::string, Json> by_job;
    for (const Attempt& a : m.attempts) {
      Json& list = by_job.try_emplace(a.job, Json::array({a.job})).first->second;
      list.push_back(a.task);
      list.push_back(a.number);
    }
    Json attempts = Json::array();
    for (auto& [job, list] : by_job) attempts.push_back(std::move(list));
    machines.push_back(
        Json::array({name, m.addr, m.type, m.zone, (m.spot ? 1 : 0) + (m.leaving ? 2 : 0), m.helps,
                     std::move(attempts)}));
  }
  Json out = {{"m", std::move(machines)}};
  if (chunk == 0) {
    out["n"] = roster.chunks;
    out["next"] = roster.next_number;
    Json hires = Json::array(), shares = Json::object(), helps = Json::object();
    for (const auto& [id, h] : roster.hires) {
      hires.push_back(Json::array({id, h.ask.type, h.ask.zone, h.ask.spot, h.ask.count, h.helps}));
    }
    for (const auto& [team, s] : roster.shares) shares[team] = Json::array({s.cpus, s.gpus});
    for (const auto& [job, h] : roster.helps) helps[job] = h.credit;
    out["hires"] = std::move(hires);
    out["shares"] = std::move(shares);
    out["helps"] = std::move(helps);
  }
  return wire::Pack(out);
}

bool DecodeChunk(std::string_view value, int chunk, Roster* roster) {
  std::optional<Json> doc = wire::Unpack(value);
  if (!doc || !doc->is_object()) return false;
  try {
    for (const Json& j : doc->at("m")) {
      RosterMachine m;
      m.name = j.at(0).get<std::string>();
      m.addr = j.at(1).get<std::string>();
      m.type = j.at(2).get<std::string>();
      m.zone = j.at(3).get<std::string>();
      int flags = j.at(4).get<int>();
      m.spot = (flags & 1) != 0;
      m.leaving = (flags & 2) != 0;
      m.helps = j.at(5).get<std::string>();
      for (const Json& list : j.at(6)) {
        std::string job = list.at(0).get<std::string>();
        for (size_t i = 1; i + 1 < list.size(); i += 2) {
          m.attempts.push_back({job, list[i].get<int>(), list[i + 1].get<uint64_t>()});
        }
      }
      std::string name = m.name;
      roster->machines[name] = std::move(m);
    }
    if (chunk != 0) return true;
    roster->chunks = doc->at("n").get<int>();
    roster->next_number = doc->at("next").get<uint64_t>();
    for (const Json& h : doc->at("hires")) {
      Hire hire;
      hire.ask = {h.at(0).get<std::string>(), h.at(1).get<std::string>(),
                  h.at(2).get<std::string>(), h.at(3).get<bool>(), h.at(4).get<int>()};
      hire.helps = h.at(5).get<std::string>();
      roster->hires[hire.ask.request] = hire;
    }
    for (const auto& [team, s] : doc->at("shares").items()) {
      roster->shares[team] = {s.at(0).get<int64_t>(), s.at(1).get<int64_t>()};
    }
    for (const auto& [job, credit] : doc->at("helps").items()) {
      roster->helps[job] = {credit.get<double>()};
    }
  } catch (const Json::exception&) {
    return false;
  }
  return true;
}

int64_t StoredSize(std::string_view value) {
  std::optional<Json> doc = wire::Unpack(value);
  return doc ? static_cast<int64_t>(
                   doc->dump(-1, ' ', false, Json::error_handler_t::replace).size())
             : 0;
}

std::string EncodeProgress(const Progress& progress) {
  Json out = Json::object();
  for (const auto& [job, done] : progress) {
    // Runs of task numbers: [first, length, first, length, ...].
    Json runs = Json::array();
    auto it = done.begin();
    while (it != done.end()) {
      int first = *it, length = 0;
      while (it != done.end() && *it == first + length) ++length, ++it;
      runs.push_back(first);
      runs.push_back(length);
    }
    out[job] = std::move(runs);
  }
  return wire::Pack(out);
}

std::optional<Progress> DecodeProgress(std::string_view value) {
  std::optional<Json> doc = wire::Unpack(value);
  if (!doc || !doc->is_object()) return std::nullopt;
  Progress out;
  try {
    for (const auto& [job, runs] : doc->items()) {
      for (size_t i = 0; i + 1 < runs.size(); i += 2) {
        int first = runs[i].get<int>(), length = runs[i + 1].get<int>();
        if (first < 0 || length < 0 || length > 100000) return std::nullopt;
        for (int k = 0; k < length; ++k) out[job].insert(first + k);
      }
    }
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return out;
}

}  // namespace troutlink
