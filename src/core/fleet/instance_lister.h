// Paged list of the instances rented from the cloud.
#ifndef TROUTLINK_CORE_FLEET_INSTANCE_LISTER_H_
#define TROUTLINK_CORE_FLEET_INSTANCE_LISTER_H_

#include <functional>
#include <string>
#include <vector>

#include "base/micros.h"
#include "core/io/effects.h"
#include "core/io/token_bucket.h"
#include "wire/messages.h"
#include "wire/types.h"

namespace troutlink {

// Lists the instances repeatedly, at a pace that leaves calls for rentals and returns, and delivers
// each complete list. A failed list starts over.
class InstanceLister {
 public:
  // Parameters of the pace.
  struct Pacing {
    int shard_count = 1;   // controllers that share the rate
    double cloud_rps = 0;  // call rate limit of the cloud, for all controllers
    Micros list_lag = 0;   // maximum age of a list
  };
  // Whether to list again soon, as some instance is silent.
  using ListSoon = std::function<bool()>;
  // Receives a complete list, whose first page was requested at `asked`.
  using Completed =
      std::function<void(Micros now, Micros asked, const std::vector<ListedMachine>& instances)>;

  // `effects` and `cloud_calls` must outlive this object.
  InstanceLister(const Pacing& pacing, Effects* effects, TokenBucket* cloud_calls,
                 ListSoon list_soon, Completed completed);

  // Requests the next page or starts the next list if due and within the call budget. Call at every
  // tick while leading a shard, after its rentals and returns.
  void Advance(Micros now);

  // The last list as far as it was read. Empty after a failure.
  const std::vector<ListedMachine>& instances() const { return instances_; }

 private:
  void BeginList(Micros now);
  // Requests the page after the instance `after`; empty: the first page.
  void RequestPage(const std::string& after);
  void OnPage(Micros now, int status, const std::string& body);
  // Time from the start of a complete list to the start of the next one.
  Micros ListInterval() const;

  const Pacing pacing_;
  Effects* const effects_;
  TokenBucket* const cloud_calls_;
  const ListSoon list_soon_;
  const Completed completed_;
  std::vector<ListedMachine> instances_;
  bool list_in_progress_ = false;
  std::string next_page_after_;  // empty: no page is due
  int pages_ = 0;
  Micros list_started_at_ = 0;  // start of the list
  Micros next_list_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_INSTANCE_LISTER_H_
