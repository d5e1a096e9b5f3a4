#include "plantainhead/core/jobs/fleet_balancer.h"

#include <algorithm>

namespace plantainhead::core::jobs {

void fleet_balancer::UpdateHosts(const std::vector<fleet_host>& hosts,
                                 const std::set<pool_id>& spare,
                                 time_point requested_at) {
  hosts_ = hosts;
  spare_ = spare;
  // A list that was asked for after a move was accepted shows it.
  for (auto it = moves_.begin(); it != moves_.end();) {
    const bool is_shown =
        it->second.is_accepted && requested_at > it->second.changed_at;
    it = is_shown ? moves_.erase(it) : std::next(it);
  }
}

void fleet_balancer::OnMoveAnswer(const host_id& host,
                                  bool is_accepted,
                                  bool is_settled,
                                  time_point now) {
  const auto found = moves_.find(host);
  if (found == moves_.end()) {
    return;
  }
  if (is_settled && !is_accepted) {
    moves_.erase(found);
    return;
  }
  found->second.is_in_flight = false;
  found->second.is_accepted = is_accepted;
  found->second.changed_at = now;
}

std::optional<time_point> fleet_balancer::OrderedAt(const host_id& host) const {
  const auto found = moves_.find(host);
  return found == moves_.end() ? std::nullopt
                               : std::optional(found->second.changed_at);
}

// Returns how many VMs each pool has or is getting, without those that take no
// tasks.
std::map<pool_id, std::uint32_t> fleet_balancer::Counts() const {
  std::map<pool_id, std::uint32_t> counts;
  for (const fleet_host& host : hosts_) {
    const auto move = moves_.find(host.host);
    if (move != moves_.end()) {
      ++counts[move->second.pool];
      continue;
    }
    const bool is_coming = host.state == host_state::kMoving;
    const bool is_usable =
        host.state == host_state::kUp && offers_.count(host.vm) == 0 &&
        closed_.count(host.vm) == 0 && leaving_.count(host.vm) == 0;
    if (is_coming || is_usable) {
      ++counts[host.pool];
    }
  }
  return counts;
}

balance_figures fleet_balancer::Figures(const std::set<host_id>& busy) const {
  balance_figures figures;
  std::map<pool_id, std::uint32_t> counts = Counts();
  for (const auto& [pool, wanted] : wanted_) {
    figures.wanted += wanted;
    figures.missing += wanted - std::min(wanted, counts[pool]);
  }
  for (const fleet_host& host : hosts_) {
    const auto move = moves_.find(host.host);
    const bool is_accepted = move != moves_.end() && move->second.is_accepted;
    if (is_accepted || host.state == host_state::kMoving) {
      ++figures.moving;
    } else if (move != moves_.end()) {
      ++figures.ordered;
    } else if (IsFree(host, busy)) {
      ++figures.free;
    }
  }
  return figures;
}

bool fleet_balancer::IsFree(const fleet_host& host,
                            const std::set<host_id>& busy) const {
  const bool is_idle = spare_.count(host.pool) != 0 ||
                       (!host.vm.empty() && offers_.count(host.vm) != 0);
  // The platform refuses to move a VM that leaves.
  return host.state == host_state::kUp && is_idle &&
         leaving_.count(host.vm) == 0 && moves_.count(host.host) == 0 &&
         busy.count(host.host) == 0;
}

void fleet_balancer::Order(const host_id& host,
                           const pool_id& pool,
                           time_point now,
                           std::vector<move_host>* moves) {
  pending_move& move = moves_[host];
  move.pool = pool;
  move.is_in_flight = true;
  move.changed_at = now;
  moves->push_back({host, pool});
}

std::vector<move_host> fleet_balancer::Plan(const std::set<host_id>& busy,
                                            time_point now) {
  std::vector<move_host> moves;
  for (auto& [host, move] : moves_) {
    const bool is_due = !move.is_in_flight && !move.is_accepted &&
                        now - move.changed_at >= settings_.order_retry;
    if (is_due) {
      move.is_in_flight = true;
      moves.push_back({host, move.pool});
    }
  }
  std::map<pool_id, std::uint32_t> counts = Counts();
  std::vector<const fleet_host*> free;
  for (const fleet_host& host : hosts_) {
    if (IsFree(host, busy)) {
      free.push_back(&host);
    }
  }
  // The pool that misses most goes first, VM by VM.
  std::set<pool_id> unserved;
  while (!free.empty()) {
    const pool_id* neediest = nullptr;
    std::int64_t most = 0;
    for (const auto& [pool, wanted] : wanted_) {
      const std::int64_t missing = std::int64_t{wanted} - counts[pool];
      if (missing > most && unserved.count(pool) == 0) {
        most = missing;
        neediest = &pool;
      }
    }
    if (neediest == nullptr) {
      break;
    }
    // A move to the pool that a host is in has no effect: the VM that was given
    // away there would never be used again. It goes by way of the spare pool.
    const auto chosen = std::find_if(
        free.rbegin(), free.rend(),
        [&](const fleet_host* host) { return host->pool != *neediest; });
    if (chosen == free.rend()) {
      unserved.insert(*neediest);
      continue;
    }
    Order((*chosen)->host, *neediest, now, &moves);
    ++counts[*neediest];
    free.erase(std::next(chosen).base());
  }
  PutAside(free, unserved, now, &moves);
  return moves;
}

// Sends hosts that nobody has wanted for a while to the spare pool; at once
// those that their own pools want back, since there is no other way.
void fleet_balancer::PutAside(const std::vector<const fleet_host*>& unwanted,
                              const std::set<pool_id>& wanting,
                              time_point now,
                              std::vector<move_host>* moves) {
  const duration delay =
      is_scarce_ ? settings_.scarce_spare_delay : settings_.spare_delay;
  std::map<host_id, time_point> since;
  for (const fleet_host* host : unwanted) {
    if (spare_.empty() || spare_.count(host->pool) != 0) {
      continue;
    }
    const auto known = free_since_.find(host->host);
    const time_point begin = known == free_since_.end() ? now : known->second;
    const bool is_wanted_back = wanting.count(host->pool) != 0;
    if (is_wanted_back || now - begin >= delay) {
      Order(host->host, *spare_.begin(), now, moves);
    } else {
      since[host->host] = begin;
    }
  }
  free_since_ = std::move(since);
}

}  // namespace plantainhead::core::jobs
