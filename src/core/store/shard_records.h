// Records of one shard as last read.
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

// Metadata of one chunk of an assignment table.
struct StoredChunk {
  uint64_t version = 0;            // revision of the chunk
  std::vector<std::string> names;  // names of its machines
  size_t bytes = 0;
};

// Written by TableReplica only; all modules may read it.
struct ShardRecords {
  uint64_t leadership_version = 0;  // revision of the record; 0: there is none
  Leadership leadership_record;
  std::map<int, StoredChunk> chunks;  // in the current form of the table
  // Chunks of the original form that remain beside the compact form and no longer change.
  std::map<int, StoredChunk> original_chunks;
  AssignmentTable assignments;
  std::map<int, uint64_t> progress_versions;   // by page
  std::map<int, std::string> progress_values;  // encoded, by page
  Progress progress;                           // of open jobs, from all pages
  Micros changed_at = 0;                       // last change of the assignment table

  // Revision of a progress page; 0: never stored.
  uint64_t ProgressVersion(int page) const {
    auto found = progress_versions.find(page);
    return found == progress_versions.end() ? 0 : found->second;
  }
  // Whether the page is stored with exactly this value.
  bool HoldsProgress(int page, const std::string& value) const {
    auto found = progress_values.find(page);
    return found != progress_values.end() && found->second == value;
  }
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_SHARD_RECORDS_H_
