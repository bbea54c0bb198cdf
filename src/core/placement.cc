#include "core/placement.h"

#include <algorithm>

namespace troutlink {

bool TypeAllowed(const JobSpec& spec, const std::string& type, bool spot) {
  if (spot && !spec.spot) return false;
  return spec.types.empty() ||
         std::find(spec.types.begin(), spec.types.end(), type) != spec.types.end();
}

int SpreadLimit(const JobSpec& spec) { return (spec.tasks + 1) / 2; }

bool Allowed(const JobSpec& spec, const JobSpread& spread, const PlaceMachine& m) {
  if (!TypeAllowed(spec, m.type, m.spot)) return false;
  if (!spec.zone.empty() && spec.zone != m.zone) return false;
  if (spec.one_zone) {
    for (const auto& [zone, n] : spread.by_zone) {
      if (n > 0 && zone != m.zone) return false;
    }
  }
  if (spec.spread) {
    auto it = spread.by_zone.find(m.zone);
    if (it != spread.by_zone.end() && it->second >= SpreadLimit(spec)) return false;
  }
  return true;
}

int64_t WarmFree(const std::vector<PlaceMachine>& machines, const std::string& image,
                 const std::string& except) {
  int64_t free = 0;
  for (const PlaceMachine& m : machines) {
    if (!m.usable || m.spot || m.name == except || !m.helps.empty()) continue;
    if (m.images.count(image) != 0) free += std::max<int64_t>(0, m.free.cpus) + m.soft;
  }
  return free;
}

int ChooseMachine(const PlaceRequest& r, const std::vector<PlaceMachine>& machines) {
  const JobSpec& spec = *r.spec;
  const bool service = spec.kind == JobKind::kService;
  int64_t steady_free = 0;
  std::map<std::string, int64_t> zone_free;
  for (const PlaceMachine& m : machines) {
    if (!m.usable || m.spot) continue;
    steady_free += std::max<int64_t>(0, m.free.cpus);
    if (r.zone_headroom > 0) zone_free[m.zone] += std::max<int64_t>(0, m.free.cpus);
  }
  std::map<std::string, int64_t> warm_free;
  // Work that saves nothing is stopped within moments: it may use the room that
  // is kept for services, and makes way for them.
  const bool soft = spec.checkpoint == 0;
  int best = -1;
  double best_score = 0;
  for (size_t i = 0; i < machines.size(); ++i) {
    const PlaceMachine& m = machines[i];
    if (!m.usable || !spec.each.Fits(m.free)) continue;
    if (!m.helps.empty() && m.helps != spec.id) continue;
    if (r.avoid != nullptr && *r.avoid == m.name) continue;
    if (!Allowed(spec, *r.spread, m)) continue;
    if (!service && !soft && !m.spot && !r.tail && spec.priority != Priority::kProduction &&
        (steady_free - spec.each.cpus < r.steady_headroom ||
         (r.zone_headroom > 0 && zone_free[m.zone] - spec.each.cpus < r.zone_headroom))) {
      continue;
    }
    if (!service && !soft && !m.spot && r.service_images != nullptr && r.image_headroom > 0 &&
        !r.tail && spec.priority != Priority::kProduction) {
      // A service starts at once only where its image is: room there is kept.
      bool keeps = true;
      for (const std::string& image : *r.service_images) {
        if (m.images.count(image) == 0) continue;
        auto [warm, fresh] = warm_free.try_emplace(image, 0);
        if (fresh) warm->second = WarmFree(machines, image, "");
        keeps = keeps && warm->second - spec.each.cpus >= r.image_headroom;
      }
      if (!keeps) continue;
    }
    // Seconds until the task can run there: its image, and fetches sharing the link.
    double score = 0;
    auto image = m.images.find(spec.image);
    if (image == m.images.end()) {
      score += spec.image_gb / std::max(0.01, m.fetch_gb_per_s) * (1.0 + m.fetching);
    } else if (!image->second) {
      score += 0.5 * spec.image_gb / std::max(0.01, m.fetch_gb_per_s);
    }
    if (service) {
      // Replicas apart, so that one machine's end takes one of them.
      auto same = m.tasks.find(spec.id);
      if (same != m.tasks.end()) score += 0.7 * same->second;
    } else if (r.tail) {
      score += m.spot ? 4.0 : 0.0;
      if (m.helps == spec.id) score -= 5.0;
    } else if (!m.spot && spec.spot) {
      score += 3.0;
    }
    if (spec.spread) {
      auto zone = r.spread->by_zone.find(m.zone);
      if (zone != r.spread->by_zone.end()) score += 0.2 * zone->second;
    }
    // Pack: prefer the machine with least left over, so that others get empty.
    score += 0.5 * static_cast<double>(m.free.cpus - spec.each.cpus) /
             static_cast<double>(std::max<int64_t>(1, m.size.cpus));
    if (best < 0 || score < best_score) {
      best = static_cast<int>(i);
      best_score = score;
    }
  }
  return best;
}

}  // namespace troutlink
