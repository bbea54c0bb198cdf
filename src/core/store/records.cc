#include "core/store/records.h"

#include <algorithm>
#include <bit>
#include <charconv>

#include "base/digits.h"
#include "base/ids.h"
#include "core/store/machine_codec.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink {
namespace {

using wire::Json;

constexpr uint64_t kMaxTaskNumber = 100000;

int ParseNumber(std::string_view s) {
  int v = -1;
  auto r = std::from_chars(s.data(), s.data() + s.size(), v);
  return r.ec == std::errc() && r.ptr == s.data() + s.size() ? v : -1;
}

}  // namespace

std::string JobKey(std::string_view id) {
  return std::string(kKeyPrefix).append("job/").append(id);
}
std::string LeadershipKey(int shard_id) {
  return std::string(kKeyPrefix) + "claim/" + std::to_string(shard_id);
}
std::string AssignmentKey(int shard_id, int chunk, TableForm form) {
  const std::string family = form == TableForm::kCompact ? "table/" : "roster/";
  return std::string(kKeyPrefix) + family + std::to_string(shard_id) + "/" + std::to_string(chunk);
}
std::string ProgressKey(int shard_id, int page) {
  const std::string key = std::string(kKeyPrefix) + "progress/" + std::to_string(shard_id);
  return page == 0 ? key : key + "/" + std::to_string(page);
}
std::string NodeVersionKey(std::string_view label) {
  return std::string(kKeyPrefix).append("node/").append(label);
}

Key ParseKey(std::string_view key) {
  Key out;
  if (key.substr(0, kKeyPrefix.size()) != kKeyPrefix) return out;
  key.remove_prefix(kKeyPrefix.size());
  size_t slash = key.find('/');
  if (slash == std::string_view::npos) return out;
  std::string_view kind = key.substr(0, slash), rest = key.substr(slash + 1);
  if (kind == "job") {
    out.kind = Key::Kind::kJob;
    out.id = rest;
  } else if (kind == "node") {
    out.kind = Key::Kind::kNodeVersion;
    out.id = rest;
  } else if (kind == "claim") {
    out.shard_id = ParseNumber(rest);
    if (out.shard_id >= 0) out.kind = Key::Kind::kLeadership;
  } else if (kind == "progress") {
    const size_t end = rest.find('/');
    out.shard_id = ParseNumber(rest.substr(0, end));
    if (end != std::string_view::npos) out.chunk = ParseNumber(rest.substr(end + 1));
    if (out.shard_id >= 0 && out.chunk >= 0) out.kind = Key::Kind::kProgress;
  } else if (kind == "roster" || kind == "table") {
    const size_t end = rest.find('/');
    if (end == std::string_view::npos) return out;
    out.form = kind == "table" ? TableForm::kCompact : TableForm::kOriginal;
    out.shard_id = ParseNumber(rest.substr(0, end));
    out.chunk = ParseNumber(rest.substr(end + 1));
    if (out.shard_id >= 0 && out.chunk >= 0) out.kind = Key::Kind::kAssignments;
  }
  return out;
}

std::string EncodeJob(const JobRecord& job) {
  Json out = {{"part", job.shard_id}, {"state", static_cast<int>(job.state)}};
  if (job.state == JobState::kOpen) {
    // The specification is stored in the users' format.
    out["spec"] = wire::EncodeSpec(job.spec);
    out["submitted"] = job.submitted;
    out["moves"] = job.moves;
    return wire::Pack(out);
  }
  // Records of finished jobs are kept forever, so they contain only what polls and the resources of
  // remaining tasks need.
  if (job.finished != 0) out["finished"] = job.finished;
  const JobSpec& s = job.spec;
  out["end"] = Json::array({s.id, s.tasks, static_cast<int>(s.kind), s.team, s.task_resources.cpus,
                            s.task_resources.gpus, s.task_resources.memory, s.save, s.checkpoint});
  return wire::Pack(out);
}

std::optional<JobRecord> DecodeJob(std::string_view value) {
  std::optional<Json> doc = wire::Unpack(value);
  if (!doc) return std::nullopt;
  std::optional<uint64_t> shard_id = wire::Count(*doc, "part"), state = wire::Count(*doc, "state"),
                          submitted = wire::Count(*doc, "submitted"),
                          finished = wire::Count(*doc, "finished");
  if (!shard_id || !state || *state > 2) return std::nullopt;
  JobRecord job;
  job.shard_id = static_cast<int>(*shard_id);
  job.state = static_cast<JobState>(*state);
  if (const Json* spec = wire::Find(*doc, "spec")) {
    wire::SpecResult parsed = wire::DecodeSpec(*spec);
    if (!parsed) return std::nullopt;
    job.spec = std::move(*parsed);
    job.submitted = static_cast<Micros>(submitted.value_or(0));
    job.moves = static_cast<int>(wire::Count(*doc, "moves").value_or(0));
    return job;
  }
  job.finished = static_cast<Micros>(finished.value_or(0));
  const Json* end = wire::Find(*doc, "end");
  if (end == nullptr || job.state == JobState::kOpen) return std::nullopt;
  try {
    JobSpec& s = job.spec;
    s.id = end->at(0).get<std::string>();
    s.tasks = end->at(1).get<int>();
    s.kind = static_cast<JobKind>(end->at(2).get<int>());
    s.team = end->at(3).get<std::string>();
    s.task_resources = {end->at(4).get<int64_t>(), end->at(5).get<int64_t>(),
                        end->at(6).get<int64_t>()};
    s.save = end->at(7).get<Micros>();
    s.checkpoint = end->at(8).get<Micros>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return job;
}

std::string EncodeLeadership(const Leadership& leadership) {
  return wire::Pack(Json{{"owner", leadership.leader}, {"boot", leadership.boot}});
}

std::optional<Leadership> DecodeLeadership(std::string_view value) {
  std::optional<Json> doc = wire::Unpack(value);
  std::optional<std::string> leader = doc ? wire::Text(*doc, "owner") : std::nullopt;
  if (!leader) return std::nullopt;
  return Leadership{*leader, wire::Count(*doc, "boot").value_or(0)};
}

int ChunkOf(const std::string& machine, int chunks) {
  if (chunks <= 1) return 0;
  // Linear hashing: adding a chunk splits one and leaves the others unchanged, so that growth never
  // rewrites a whole table.
  auto n = static_cast<uint64_t>(chunks), level = std::bit_floor(n);
  uint64_t hash = StableHash(machine), chunk = hash & (2 * level - 1);
  return static_cast<int>(chunk < n ? chunk : hash & (level - 1));
}

int SplitChunk(int chunks) {
  auto n = static_cast<uint64_t>(chunks);
  return static_cast<int>(n - std::bit_floor(n));
}

int AssignmentTable::ChunkOfMachine(const std::string& machine) const {
  return form == TableForm::kCompact ? 1 + ChunkOf(machine, chunks - 1) : ChunkOf(machine, chunks);
}

int AssignmentTable::ChunkToSplit() const {
  return form == TableForm::kCompact ? 1 + SplitChunk(chunks - 1) : SplitChunk(chunks);
}

namespace {

MachineList MachinesOf(const AssignmentTable& assignments, int chunk) {
  MachineList machines;
  for (const auto& [name, machine] : assignments.machines) {
    if (assignments.ChunkOfMachine(name) == chunk) machines.push_back(&machine);
  }
  return machines;
}

}  // namespace

std::string EncodeChunk(const AssignmentTable& assignments, int chunk) {
  Json out = {{"m", EncodeMachines(assignments.form, MachinesOf(assignments, chunk))}};
  if (chunk == 0) {
    out["n"] = assignments.chunks;
    if (assignments.Migrating()) out["from"] = assignments.unmigrated_from;
    out["next"] = assignments.next_number;
    Json rentals = Json::array(), shares = Json::object(), helps = Json::object();
    for (const auto& [id, h] : assignments.rentals) {
      rentals.push_back(Json::array(
          {id, h.request.type, h.request.zone, h.request.spot, h.request.count, h.tail_job}));
    }
    for (const auto& [team, s] : assignments.shares) shares[team] = Json::array({s.cpus, s.gpus});
    for (const auto& [job, h] : assignments.tail_grants) helps[job] = h.credit;
    out["hires"] = std::move(rentals);
    out["shares"] = std::move(shares);
    out["helps"] = std::move(helps);
  }
  return wire::Pack(out);
}

bool DecodeChunk(std::string_view value, int chunk, AssignmentTable* assignments) {
  std::optional<Json> doc = wire::Unpack(value);
  if (!doc || !doc->is_object()) return false;
  try {
    if (!DecodeMachines(assignments->form, doc->at("m").get_ref<const std::string&>(), assignments))
      return false;
    if (chunk != 0) return true;
    assignments->chunks = doc->at("n").get<int>();
    assignments->unmigrated_from = doc->value("from", 0);
    assignments->next_number = doc->at("next").get<uint64_t>();
    for (const Json& h : doc->at("hires")) {
      Rental rental;
      rental.request = {h.at(0).get<std::string>(), h.at(1).get<std::string>(),
                        h.at(2).get<std::string>(), h.at(3).get<bool>(), h.at(4).get<int>()};
      rental.tail_job = h.at(5).get<std::string>();
      assignments->rentals[rental.request.id] = rental;
    }
    for (const auto& [team, s] : doc->at("shares").items()) {
      assignments->shares[team] = {s.at(0).get<int64_t>(), s.at(1).get<int64_t>()};
    }
    for (const auto& [job, credit] : doc->at("helps").items()) {
      assignments->tail_grants[job] = {credit.get<double>()};
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

int ChunksForCompactForm(const AssignmentTable& assignments, int64_t max_bytes) {
  constexpr int kMaxChunks = 1024;
  AssignmentTable compact = assignments;
  compact.form = TableForm::kCompact;
  // Doubling splits all chunks evenly.
  for (compact.chunks = 1 + 4; compact.chunks < kMaxChunks; compact.chunks += compact.chunks - 1) {
    int64_t largest = 0;
    for (int chunk = 1; chunk < compact.chunks; ++chunk) {
      largest = std::max(largest, StoredSize(EncodeChunk(compact, chunk)));
    }
    if (largest <= max_bytes) break;
  }
  return compact.chunks;
}

std::string EncodeProgress(const Progress& progress) {
  Json out = Json::object();
  for (const auto& [job, done] : progress) {
    // Run-length encoding of task numbers: gap, length, gap, length, ...
    std::string runs;
    int at = 0;
    for (auto it = done.begin(); it != done.end();) {
      int first = *it, length = 0;
      while (it != done.end() && *it == first + length) ++length, ++it;
      AppendTextVarint(&runs, static_cast<uint64_t>(first - at));
      AppendTextVarint(&runs, static_cast<uint64_t>(length));
      at = first + length;
    }
    out[job] = std::move(runs);
  }
  return wire::Pack(out);
}

std::string EncodeNodeVersion(uint64_t version) { return wire::Pack(Json{{"version", version}}); }

std::optional<uint64_t> DecodeNodeVersion(std::string_view value) {
  std::optional<Json> doc = wire::Unpack(value);
  return doc && doc->is_object() ? wire::Count(*doc, "version") : std::nullopt;
}

std::optional<Progress> DecodeProgress(std::string_view value) {
  std::optional<Json> doc = wire::Unpack(value);
  if (!doc || !doc->is_object()) return std::nullopt;
  Progress out;
  for (const auto& [job, runs] : doc->items()) {
    if (!runs.is_string()) return std::nullopt;
    std::string_view in = runs.get_ref<const std::string&>();
    std::set<int>& done = out[job];
    for (uint64_t at = 0; !in.empty();) {
      uint64_t gap = 0, length = 0;
      if (!ReadTextVarint(&in, &gap) || !ReadTextVarint(&in, &length) || gap > kMaxTaskNumber ||
          length > kMaxTaskNumber || at + gap + length > kMaxTaskNumber) {
        return std::nullopt;
      }
      at += gap;
      for (; length > 0; --length, ++at) done.insert(done.end(), static_cast<int>(at));
    }
  }
  return out;
}

}  // namespace troutlink
