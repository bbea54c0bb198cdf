// Keeps the replica up to date: the calls to the state service that read it.
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

// Lists everything once, page by page, then follows by one watch after the other, and lists anew
// when a watch cannot go on. ReplicaFeed decides which of these is next. Also publishes the
// node's own version.
class ReplicaSync {
 public:
  // What the class works on and with; all must outlive it.
  struct Parts {
    Replica* replica;
    const JobTable* jobs;  // of the replica, for the log
    ClusterVersion* cluster_version;
    Effects* effects;
    NodeHealth* node_health;      // is told of every answer of the state service
    TokenBucket* state_requests;  // that every request to the state service is charged to
    TokenBucket* state_writes;
    ReplicaObserver* observer;
  };
  // `boot` differs at every start of the process.
  ReplicaSync(const Settings& settings, uint64_t boot, const Parts& parts)
      : settings_(settings), boot_(boot), parts_(parts) {}

  // Begins a list or a watch if one is due. Several times a second.
  void Run(Micros now);
  // Stores the node's version if that is due.
  void PublishVersion(Micros now);
  // Something shows that the replica lacks a change: everything is read again soon.
  void RequestList() { feed_.RequestList(); }

  // How far the replica has been read.
  const ReplicaFeed& feed() const { return feed_; }

 private:
  struct ListItem {
    std::string value;
    uint64_t version = 0;
  };

  void StartList(Micros now);
  void ReadListPage(const std::string& after);
  // `page`: nothing when the answer holds none.
  void OnListPage(Micros now, std::optional<wire::StatePage> page);
  void FinishList(Micros now);
  // What was deleted while no watch could tell.
  void EraseUnlisted(Micros now);
  void StartWatch(Micros now);
  void OnWatchAnswered(Micros now, Micros sent, const WatchAnswer& answer);
  void ApplyEvents(Micros now, const std::vector<StateEvent>& events);
  void OnVersionPublished(Micros now, const StateWrite& write, int status, const std::string& body);

  const Settings& settings_;
  const uint64_t boot_;
  const Parts parts_;
  ReplicaFeed feed_;
  std::map<std::string, ListItem> list_items_;  // of the list under way, by key
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_STORE_REPLICA_SYNC_H_
