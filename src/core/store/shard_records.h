// What the state service holds of one shard, as last read.
#ifndef TROUTLINK_CORE_STORE_SHARD_RECORDS_H_
#define TROUTLINK_CORE_STORE_SHARD_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/micros.h"
#include "core/store/records.h"

namespace troutlink {

// One chunk of an assignment table, without its content.
struct StoredChunk {
  uint64_t version = 0;            // revision of the state service
  std::vector<std::string> names;  // of its machines
  size_t bytes = 0;
};

// The records of one shard. Written by TableReplica only; everybody else reads them.
struct ShardRecords {
  uint64_t leadership_version = 0;  // revision; 0: nobody holds it
  Leadership leadership_record;
  std::map<int, StoredChunk> chunks;  // of the table's form
  // Of a table in the compact form: what is left of the original one, which does not change
  // any more.
  std::map<int, StoredChunk> original_chunks;
  AssignmentTable assignments;
  std::map<int, uint64_t> progress_versions;   // by page
  std::map<int, std::string> progress_values;  // as stored
  Progress progress;                           // of open jobs, of all pages
  Micros changed_at = 0;                       // last change of the assignment table

  // Revision of a page of progress; 0: it was never stored.
  uint64_t ProgressVersion(int page) const {
    auto found = progress_versions.find(page);
    return found == progress_versions.end() ? 0 : found->second;
  }
  // Whether that page of progress is stored with exactly this value.
  bool HoldsProgress(int page, const std::string& value) const {
    auto found = progress_values.find(page);
    return found != progress_values.end() && found->second == value;
  }
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_SHARD_RECORDS_H_
