#include "core/fleet/instance_lister.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/fleet/cloud_answers.h"

namespace troutlink {

namespace {
constexpr int kPageLimit = 500;
constexpr Micros kListTimeout = 30 * kSecond;
constexpr Micros kRetryDelay = 3 * kSecond;
constexpr Micros kUrgentListInterval = 1500 * kMillisecond;
constexpr Micros kMinListInterval = 2 * kSecond;
constexpr double kReservedCalls = 1;  // calls left for rentals and returns
}  // namespace

InstanceLister::InstanceLister(const Pacing& pacing, Effects* effects, TokenBucket* cloud_calls,
                               ListSoon list_soon, Completed completed)
    : pacing_(pacing),
      effects_(effects),
      cloud_calls_(cloud_calls),
      list_soon_(std::move(list_soon)),
      completed_(std::move(completed)) {}

void InstanceLister::Advance(Micros now) {
  if (list_in_progress_ && !next_page_after_.empty()) {
    if (now - list_started_at_ > kListTimeout) {
      list_in_progress_ = false;  // the first pages are outdated
    } else if (cloud_calls_->Take(now, 1, kReservedCalls)) {
      RequestPage(std::exchange(next_page_after_, {}));
    }
  } else if (!list_in_progress_ && now >= next_list_ &&
             cloud_calls_->Take(now, 1, kReservedCalls)) {
    BeginList(now);
  }
}

void InstanceLister::BeginList(Micros now) {
  list_in_progress_ = true;
  list_started_at_ = now;
  instances_.clear();
  pages_ = 0;
  next_page_after_.clear();
  RequestPage("");
}

void InstanceLister::RequestPage(const std::string& after) {
  effects_->Send(
      Dest::kCloud, "", "GET", wire::MachinesTarget(after, kPageLimit), "", kCloudTimeout,
      [this](Micros now, int status, const std::string& body) { OnPage(now, status, body); });
}

void InstanceLister::OnPage(Micros now, int status, const std::string& body) {
  std::optional<wire::MachinePage> page = DecodeInstanceListAnswer(status, body);
  if (!page) {
    list_in_progress_ = false;
    instances_.clear();
    next_list_ = now + kRetryDelay;
    return;  // start over with the next list
  }
  instances_.insert(instances_.end(), page->machines.begin(), page->machines.end());
  ++pages_;
  if (page->more && !page->machines.empty()) {
    // Wait for a call instead of dropping the list: otherwise a large fleet would never be listed
    // completely.
    next_page_after_ = page->machines.back().name;
    return;
  }
  list_in_progress_ = false;
  next_page_after_.clear();
  next_list_ = list_started_at_ + ListInterval();
  completed_(now, list_started_at_, instances_);
}

Micros InstanceLister::ListInterval() const {
  // Half of this node's calls are left for rentals and returns.
  const auto paced = static_cast<Micros>(2.0 * pages_ * pacing_.shard_count / pacing_.cloud_rps *
                                         static_cast<double>(kSecond));
  return std::max(paced, list_soon_()
                             ? kUrgentListInterval
                             : std::max<Micros>(kMinListInterval, pacing_.list_lag / 2 + kSecond));
}

}  // namespace troutlink
