#include "core/scheduler/order.h"

#include <algorithm>
#include <queue>

namespace troutlink {

void DeferLargest(Micros now, double capacity, double ahead, std::vector<OrderItem>* items) {
  if (capacity <= 0) return;
  auto less_work = [](const OrderItem* a, const OrderItem* b) { return a->work < b->work; };
  size_t limit_count = 0;
  for (const OrderItem& item : *items)
    limit_count = std::max(limit_count, item.latest_starts->size());
  for (size_t limit_index = 0; limit_index < limit_count; ++limit_index) {
    std::vector<OrderItem*> at_limit;
    for (OrderItem& item : *items) {
      if (item.limit_index == limit_index && limit_index < item.latest_starts->size())
        at_limit.push_back(&item);
    }
    std::stable_sort(at_limit.begin(), at_limit.end(),
                     [limit_index](const OrderItem* a, const OrderItem* b) {
                       return (*a->latest_starts)[limit_index] < (*b->latest_starts)[limit_index];
                     });
    std::priority_queue<OrderItem*, std::vector<OrderItem*>, decltype(less_work)> scheduled(
        less_work);
    for (OrderItem* item : at_limit) {
      ahead += item->work;
      scheduled.push(item);
      if (now + FromSeconds(ahead / capacity) <= (*item->latest_starts)[limit_index]) continue;
      OrderItem* largest = scheduled.top();
      scheduled.pop();
      ahead -= largest->work;
      ++largest->limit_index;
    }
  }
}

}  // namespace troutlink
