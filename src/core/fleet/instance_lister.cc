#include "core/fleet/instance_lister.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/fleet/cloud_answers.h"

namespace troutlink {

namespace {
constexpr int kPageLimit = 500;
constexpr Micros kListTimeoutTotal = 30 * kSecond;
constexpr Micros kRetryPeriod = 3 * kSecond;
constexpr Micros kHurriedPeriod = 1500 * kMillisecond;
constexpr Micros kLeastPeriod = 2 * kSecond;
constexpr double kReserve = 1;  // calls left for rentals and returns
}  // namespace

InstanceLister::InstanceLister(const Pacing& pacing, Effects* effects, TokenBucket* cloud_calls,
                               Hurry hurry, Completed completed)
    : pacing_(pacing),
      effects_(effects),
      cloud_calls_(cloud_calls),
      hurry_(std::move(hurry)),
      completed_(std::move(completed)) {}

void InstanceLister::Advance(Micros now) {
  if (reading_ && !next_page_after_.empty()) {
    if (now - asked_ > kListTimeoutTotal) {
      reading_ = false;  // the first pages are outdated
    } else if (cloud_calls_->Take(now, 1, kReserve)) {
      AskPage(std::exchange(next_page_after_, {}));
    }
  } else if (!reading_ && now >= next_list_ && cloud_calls_->Take(now, 1, kReserve)) {
    BeginList(now);
  }
}

void InstanceLister::BeginList(Micros now) {
  reading_ = true;
  asked_ = now;
  instances_.clear();
  pages_ = 0;
  next_page_after_.clear();
  AskPage("");
}

void InstanceLister::AskPage(const std::string& after) {
  effects_->Send(
      Dest::kCloud, "", "GET", wire::MachinesTarget(after, kPageLimit), "", kCloudTimeout,
      [this](Micros t, int status, const std::string& body) { OnPage(t, status, body); });
}

void InstanceLister::OnPage(Micros now, int status, const std::string& body) {
  std::optional<wire::MachinePage> page = DecodeInstanceListAnswer(status, body);
  if (!page) {
    reading_ = false;
    instances_.clear();
    next_list_ = now + kRetryPeriod;
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
  reading_ = false;
  next_page_after_.clear();
  next_list_ = asked_ + Period();
  completed_(now, asked_, instances_);
}

Micros InstanceLister::Period() const {
  // Half of this node's calls are left for rentals and returns.
  const auto paced = static_cast<Micros>(2.0 * pages_ * pacing_.shard_count / pacing_.cloud_rps *
                                         static_cast<double>(kSecond));
  return std::max(paced, hurry_() ? kHurriedPeriod
                                  : std::max<Micros>(kLeastPeriod, pacing_.list_lag / 2 + kSecond));
}

}  // namespace troutlink
