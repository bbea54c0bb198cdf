// The cloud's list of our instances, read page by page.
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

// Reads the list again and again, at a pace that leaves calls to rentals and returns, and hands
// each one on when it is complete. A list that fails on the way begins anew.
class InstanceLister {
 public:
  // What the pace follows from.
  struct Pacing {
    int shard_count = 1;   // controllers that share the rate
    double cloud_rps = 0;  // calls in a second that the cloud takes, of all controllers
    Micros list_lag = 0;   // how old a list may be
  };
  // Whether the next list should come soon, as some instance is silent.
  using Hurry = std::function<bool()>;
  // A list is complete; its first page was asked for at `asked`.
  using Completed =
      std::function<void(Micros now, Micros asked, const std::vector<ListedMachine>& instances)>;

  // `effects` and `cloud_calls` must outlive this.
  InstanceLister(const Pacing& pacing, Effects* effects, TokenBucket* cloud_calls, Hurry hurry,
                 Completed completed);

  // Asks for the next page, or begins the next list, when that is due and there is a call for
  // it; called at every tick of a controller that leads a shard, after its rentals and returns.
  void Advance(Micros now);

  // What was read of the last list so far. Empty after a failure.
  const std::vector<ListedMachine>& instances() const { return instances_; }

 private:
  void BeginList(Micros now);
  // Asks for the page that follows the instance `after`; empty: for the first one.
  void AskPage(const std::string& after);
  void OnPage(Micros now, int status, const std::string& body);
  // How long after its begin the next list follows a complete one.
  Micros Period() const;

  const Pacing pacing_;
  Effects* const effects_;
  TokenBucket* const cloud_calls_;
  const Hurry hurry_;
  const Completed completed_;
  std::vector<ListedMachine> instances_;
  bool reading_ = false;
  std::string next_page_after_;  // empty: none is due
  int pages_ = 0;
  Micros asked_ = 0;  // when the list was begun
  Micros next_list_ = 0;
};

}  // namespace troutlink

#endif  // TROUTLINK_CORE_FLEET_INSTANCE_LISTER_H_
