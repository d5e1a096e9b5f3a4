#include "plantainhead/core/jobs/host_order_tracker.h"

namespace plantainhead::core::jobs {

void host_order_tracker::Inherit(const std::map<host_id, std::string>& holders,
                                 time_point now) {
  for (const auto& [host, holder] : holders) {
    const bool is_own = !holder.empty() && holder == holder_;
    recorded_[host] = now;
    blocked_until_[host] =
        now + (is_own ? settings_.max_delivery_time : BlockTime());
  }
}

void host_order_tracker::NoteOrder(const host_id& host, time_point now) {
  recorded_[host] = now;
}

bool host_order_tracker::MayOrder(const host_id& host, time_point now) const {
  const auto blocked = blocked_until_.find(host);
  return blocked == blocked_until_.end() || now >= blocked->second;
}

std::set<host_id> host_order_tracker::BlockedHosts(time_point now) const {
  std::set<host_id> blocked;
  for (const auto& [host, until] : blocked_until_) {
    if (now < until) {
      blocked.insert(host);
    }
  }
  return blocked;
}

std::vector<host_id> host_order_tracker::TakeExpired(time_point now) {
  std::vector<host_id> expired;
  for (auto it = recorded_.begin(); it != recorded_.end();) {
    const bool is_expired = now - it->second > BlockTime();
    if (is_expired) {
      expired.push_back(it->first);
    }
    it = is_expired ? recorded_.erase(it) : std::next(it);
  }
  return expired;
}

}  // namespace plantainhead::core::jobs
