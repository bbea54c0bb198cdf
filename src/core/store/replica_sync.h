// Keeps the replica up to date with the key-value store.
#ifndef TROUTLINK_CORE_STORE_REPLICA_SYNC_H_
#define TROUTLINK_CORE_STORE_REPLICA_SYNC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "core/io/effects.h"
#include "core/io/token_bucket.h"
#include "core/store/cluster_version.h"
#include "core/store/job_table.h"
#include "core/store/node_health.h"
#include "core/store/replica.h"
#include "core/store/replica_feed.h"
#include "core/store/replica_observer.h"
#include "core/store/state_answers.h"
#include "wire/messages.h"

namespace troutlink {

// Lists all records once, then follows by consecutive watches, and lists again if a watch cannot
// continue; ReplicaFeed decides which is next. Also publishes this node's version.
class ReplicaSync {
 public:
  // Must outlive this object.
  struct Collaborators {
    Replica* replica;
    const JobTable* jobs;  // of the replica, for the log
    ClusterVersion* cluster_version;
    Effects* effects;
    NodeHealth* node_health;      // receives every answer of the store
    TokenBucket* state_requests;  // charged for every request
    TokenBucket* state_writes;
    ReplicaObserver* observer;
  };
  // `boot` identifies this incarnation of the process.
  ReplicaSync(const Settings& settings, uint64_t boot, const Collaborators& collaborators)
      : settings_(settings), boot_(boot), collaborators_(collaborators) {}

  // Starts a list or a watch if one is due. Call several times a second.
  void Run(Micros now);
  // Stores this node's version if due.
  void PublishVersion(Micros now);
  // Requests a new list, as the replica seems to lack a change.
  void RequestList() { feed_.RequestList(); }

  // Progress of the replica.
  const ReplicaFeed& feed() const { return feed_; }

 private:
  struct ListItem {
    std::string value;
    uint64_t version = 0;
  };

  void StartList(Micros now);
  void ReadListPage(const std::string& after);
  // `page`: nothing if the call failed.
  void OnListPage(Micros now, std::optional<wire::StatePage> page);
  void FinishList(Micros now);
  // Erases records that were deleted without a watch showing it.
  void EraseUnlisted(Micros now);
  void StartWatch(Micros now);
  void OnWatchAnswered(Micros now, Micros sent, const WatchAnswer& answer);
  void ApplyEvents(Micros now, const std::vector<StateEvent>& events);
  void OnVersionPublished(Micros now, const StateWrite& write, int status, const std::string& body);

  const Settings& settings_;
  const uint64_t boot_;
  const Collaborators collaborators_;
  ReplicaFeed feed_;
  std::map<std::string, ListItem> list_items_;  // of the current list, by key
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_REPLICA_SYNC_H_
