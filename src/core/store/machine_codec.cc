#include "core/store/machine_codec.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/digits.h"
#include "base/ids.h"

namespace troutlink {
namespace {

constexpr uint64_t kSpot = 1;
constexpr uint64_t kDraining = 2;
constexpr uint64_t kHasTailJob = 4;

// Strings shared by many machines are written once, at the front.
class StringTable {
 public:
  uint64_t Index(const std::string& text) {
    auto [it, inserted] = index_.try_emplace(text, texts_.size());
    if (inserted) texts_.push_back(text);
    return it->second;
  }
  std::string Encode() const {
    std::string out;
    AppendTextVarint(&out, texts_.size());
    for (const std::string& text : texts_) AppendSizedText(&out, text);
    return out;
  }

 private:
  std::map<std::string, uint64_t> index_;
  std::vector<std::string> texts_;
};

// Job ids without their common prefix.
std::string ShortId(std::string_view id) { return std::string(id.substr(kJobPrefix.size())); }
std::string LongId(std::string_view short_id) { return std::string(kJobPrefix).append(short_id); }

// Encodes machines in one of the forms.
class Writer {
 public:
  explicit Writer(TableForm form) : compact_(form == TableForm::kCompact) {}

  void Put(const AssignedMachine& machine) {
    PutName(machine.name);
    PutAddress(machine.addr);
    AppendTextVarint(&body_, table_.Index(machine.type));
    AppendTextVarint(&body_, table_.Index(machine.zone));
    const bool has_tail_job = !machine.tail_job.empty();
    AppendTextVarint(&body_, (machine.spot ? kSpot : 0) | (machine.draining ? kDraining : 0) |
                                 (has_tail_job ? kHasTailJob : 0));
    if (has_tail_job) PutJob(machine.tail_job);
    PutAttempts(machine.attempts);
    ++count_;
  }
  std::string Finish() const {
    std::string out = table_.Encode();
    AppendTextVarint(&out, count_);
    return out + body_;
  }

 private:
  void PutName(const std::string& name) {
    if (compact_) {
      PutFrontCoded(&name_, name);
    } else {
      AppendSizedText(&body_, name);
    }
  }
  // The compact form writes the port separately, as most machines have the same one.
  void PutAddress(const std::string& address) {
    if (!compact_) {
      AppendSizedText(&body_, address);
      return;
    }
    const size_t colon = std::min(address.rfind(':'), address.size());
    PutFrontCoded(&host_, address.substr(0, colon));
    AppendTextVarint(&body_, table_.Index(address.substr(colon)));
  }
  void PutJob(const std::string& job) {
    if (compact_) {
      AppendTextVarint(&body_, table_.Index(ShortId(job)));
    } else {
      AppendSizedText(&body_, ShortId(job));
    }
  }
  // Grouped by job: the id, the number of attempts, and task and number of each.
  void PutAttempts(const std::vector<Attempt>& attempts) {
    std::map<std::string_view, std::vector<const Attempt*>> by_job;
    for (const Attempt& attempt : attempts) by_job[attempt.job].push_back(&attempt);
    AppendTextVarint(&body_, by_job.size());
    for (const auto& [job, list] : by_job) {
      PutJob(std::string(job));
      AppendTextVarint(&body_, list.size());
      for (const Attempt* attempt : list) {
        AppendTextVarint(&body_, static_cast<uint64_t>(attempt->task));
        AppendTextVarint(&body_, attempt->number);
      }
    }
  }
  // Front coding: length of the prefix shared with `previous`, then the rest.
  void PutFrontCoded(std::string* previous, const std::string& text) {
    const auto end = std::mismatch(previous->begin(), previous->end(), text.begin(), text.end());
    const auto shared = static_cast<size_t>(end.first - previous->begin());
    AppendTextVarint(&body_, shared);
    AppendSizedText(&body_, std::string_view(text).substr(shared));
    *previous = text;
  }

  const bool compact_;
  StringTable table_;
  std::string body_;
  uint64_t count_ = 0;
  std::string name_, host_;  // of the previous machine
};

// Decodes the output of Writer.
class Reader {
 public:
  Reader(TableForm form, std::string_view in) : compact_(form == TableForm::kCompact), in_(in) {}

  bool ReadAll(AssignmentTable* assignments) {
    uint64_t count = 0;
    if (!ReadTexts() || !ReadTextVarint(&in_, &count) || count > in_.size()) return false;
    for (; count > 0; --count) {
      AssignedMachine machine;
      if (!ReadMachine(&machine)) return false;
      std::string name = machine.name;
      assignments->machines[name] = std::move(machine);
    }
    return in_.empty();
  }

 private:
  bool ReadTexts() {
    uint64_t count = 0;
    if (!ReadTextVarint(&in_, &count) || count > in_.size()) return false;
    texts_.resize(count);
    return std::all_of(texts_.begin(), texts_.end(),
                       [this](std::string& text) { return ReadSizedText(&in_, &text); });
  }
  bool ReadMachine(AssignedMachine* machine) {
    uint64_t flags = 0;
    if (!ReadName(&machine->name) || !ReadAddress(&machine->addr) ||
        !ReadTableString(&machine->type) || !ReadTableString(&machine->zone) ||
        !ReadTextVarint(&in_, &flags)) {
      return false;
    }
    machine->spot = (flags & kSpot) != 0;
    machine->draining = (flags & kDraining) != 0;
    if ((flags & kHasTailJob) != 0 && !ReadJob(&machine->tail_job)) return false;
    return ReadAttempts(&machine->attempts);
  }
  bool ReadName(std::string* name) {
    return compact_ ? ReadFrontCoded(&name_, name) : ReadSizedText(&in_, name);
  }
  bool ReadAddress(std::string* address) {
    if (!compact_) return ReadSizedText(&in_, address);
    std::string port;
    if (!ReadFrontCoded(&host_, address) || !ReadTableString(&port)) return false;
    *address += port;
    return true;
  }
  bool ReadJob(std::string* job) {
    std::string short_id;
    if (!(compact_ ? ReadTableString(&short_id) : ReadSizedText(&in_, &short_id))) return false;
    *job = LongId(short_id);
    return true;
  }
  bool ReadAttempts(std::vector<Attempt>* attempts) {
    uint64_t jobs = 0;
    if (!ReadTextVarint(&in_, &jobs) || jobs > in_.size()) return false;
    for (; jobs > 0; --jobs) {
      std::string job;
      uint64_t count = 0;
      if (!ReadJob(&job) || !ReadTextVarint(&in_, &count) || count > in_.size()) return false;
      for (; count > 0; --count) {
        uint64_t task = 0, number = 0;
        if (!ReadTextVarint(&in_, &task) || !ReadTextVarint(&in_, &number)) return false;
        attempts->push_back({job, static_cast<int>(task), number});
      }
    }
    return true;
  }
  bool ReadTableString(std::string* text) {
    uint64_t index = 0;
    if (!ReadTextVarint(&in_, &index) || index >= texts_.size()) return false;
    *text = texts_[index];
    return true;
  }
  bool ReadFrontCoded(std::string* previous, std::string* text) {
    uint64_t shared = 0;
    std::string rest;
    if (!ReadTextVarint(&in_, &shared) || shared > previous->size() ||
        !ReadSizedText(&in_, &rest)) {
      return false;
    }
    *text = previous->substr(0, shared) + rest;
    *previous = *text;
    return true;
  }

  const bool compact_;
  std::string_view in_;
  std::vector<std::string> texts_;
  std::string name_, host_;  // of the previous machine
};

}  // namespace

std::string EncodeMachines(TableForm form, const MachineList& machines) {
  Writer writer(form);
  for (const AssignedMachine* machine : machines) writer.Put(*machine);
  return writer.Finish();
}

bool DecodeMachines(TableForm form, std::string_view in, AssignmentTable* assignments) {
  return Reader(form, in).ReadAll(assignments);
}

}  // namespace troutlink
