#include "core/api/job_record_store.h"

#include <optional>
#include <utility>

#include "core/api/http_status.h"
#include "core/store/records.h"
#include "wire/messages.h"

namespace troutlink {

void JobRecordStore::Write(Micros now, const std::string& job_id, uint64_t expected_version,
                           std::string value, WriteDone done) {
  write_budget_->Force(now, 1);
  StateTxn txn;
  txn.conditions.push_back({JobKey(job_id), expected_version});
  txn.writes.push_back({JobKey(job_id), std::move(value), 0, false});
  ++counters_->record_writes;
  effects_->Send(Dest::kState, "", "POST", wire::CommitTarget(), wire::EncodeTxn(txn), kCallTimeout,
                 [this, write = txn.writes[0], done = std::move(done)](Micros answered, int status,
                                                                       const std::string& body) {
                   const CommitOutcome outcome = DecodeCommitOutcome(status, body);
                   if (outcome.readable) status_->NoteStateAnswer(answered);
                   if (outcome.kind == CommitOutcome::Kind::kCommitted) {
                     jobs_->ApplyPut(answered, write.key, write.value, outcome.revision);
                   } else if (outcome.kind == CommitOutcome::Kind::kRateLimited) {
                     write_budget_->Drain(answered);
                   }
                   done(answered, outcome);
                 });
}

void JobRecordStore::Read(const std::string& job_id, ReadDone done) {
  // Reads one key as a list with that prefix and a limit of one. Longer ids have the prefix too,
  // but come later in the list.
  effects_->Send(
      Dest::kState, "", "GET", wire::ListTarget(JobKey(job_id), "", 1), "", kCallTimeout,
      [this, done = std::move(done)](Micros answered, int status, const std::string& body) {
        std::optional<wire::StatePage> page;
        if (status == http_status::kOk) page = wire::DecodeList(body);
        if (page) {
          status_->NoteStateAnswer(answered);
          for (const StateItem& item : page->items) {
            jobs_->ApplyPut(answered, item.key, item.value, item.version);
          }
        }
        done(answered, page.has_value());
      });
}

void JobRecordStore::Refresh(Micros now, const std::string& job_id) {
  if (!state_budget_->Has(now, 1)) return;
  Read(job_id, [](Micros, bool) {});
}

}  // namespace troutlink
