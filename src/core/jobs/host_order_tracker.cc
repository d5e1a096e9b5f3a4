#include "plantainhead/core/jobs/host_order_tracker.h"

namespace plantainhead::core::jobs {

void host_order_ledger::Inherit(const std::map<host_id, std::string>& holders,
                                time_point now) {
  for (const auto& [host, holder] : holders) {
    const bool is_own = !holder.empty() && holder == holder_;
    recorded_[host] = now;
    closed_until_[host] =
        now + (is_own ? settings_.arrival_reserve : ClosedTime());
  }
}

void host_order_ledger::NoteOrder(const host_id& host, time_point now) {
  recorded_[host] = now;
}

bool host_order_ledger::MayOrder(const host_id& host, time_point now) const {
  const auto closed = closed_until_.find(host);
  return closed == closed_until_.end() || now >= closed->second;
}

std::set<host_id> host_order_ledger::Closed(time_point now) const {
  std::set<host_id> closed;
  for (const auto& [host, until] : closed_until_) {
    if (now < until) {
      closed.insert(host);
    }
  }
  return closed;
}

std::vector<host_id> host_order_ledger::TakeOutdated(time_point now) {
  std::vector<host_id> outdated;
  for (auto it = recorded_.begin(); it != recorded_.end();) {
    const bool is_outdated = now - it->second > ClosedTime();
    if (is_outdated) {
      outdated.push_back(it->first);
    }
    it = is_outdated ? recorded_.erase(it) : std::next(it);
  }
  return outdated;
}

}  // namespace plantainhead::core::jobs
