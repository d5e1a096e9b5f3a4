#include "plantainhead/core/jobs/fleet_balancer.h"

#include <algorithm>
#include <iterator>

namespace plantainhead::core::jobs {

void fleet_balancer::UpdateHosts(const std::vector<fleet_host>& hosts,
                                 const std::set<pool_id>& spare,
                                 time_point requested_at) {
  spare_ = spare;
  ++list_;
  counts_.clear();
  free_spares_.clear();
  free_offers_.clear();
  by_vm_.clear();
  ordered_ = 0;
  moving_ = 0;
  for (std::size_t position = 0; position < hosts.size(); ++position) {
    known_host& known = hosts_[hosts[position].host];
    known.host = hosts[position];
    known.position = position;
    known.list = list_;
    known.counted_as = {};
    if (!known.host.vm.empty()) {
      by_vm_[known.host.vm] = &known;
    }
  }
  std::erase_if(
      hosts_, [this](const auto& entry) { return entry.second.list != list_; });
  DropResolvedMoves(requested_at);
  for (auto& [name, known] : hosts_) {
    Reclassify(&known);
  }
}

// A list that was requested after the move was accepted already shows the move.
// A host whose order was not answered has moved, or has restarted by itself, if
// it is no longer as it was when the move was planned. It may run tasks again,
// which another order would terminate.
void fleet_balancer::DropResolvedMoves(time_point requested_at) {
  std::erase_if(moves_, [this, requested_at](const auto& entry) {
    const pending_move& move = entry.second;
    if (move.is_in_flight || requested_at <= move.changed_at) {
      return false;
    }
    const auto known = hosts_.find(entry.first);
    return move.is_accepted ||
           (known != hosts_.end() && known->second.host.is_readable &&
            !IsStillMovable(entry.first, move));
  });
}

bool fleet_balancer::IsStillMovable(const host_id& host,
                                    const pending_move& move) const {
  const auto known = hosts_.find(host);
  return known != hosts_.end() && known->second.host.vm == move.vm &&
         IsMovable(known->second.host);
}

bool fleet_balancer::MayMove(const move_host& move) const {
  const auto found = moves_.find(move.host);
  return found != moves_.end() && IsStillMovable(move.host, found->second);
}

void fleet_balancer::NoteWanted(const pool_id& pool,
                                std::optional<std::uint32_t> wanted) {
  if (wanted) {
    wanted_[pool] = *wanted;
  } else {
    wanted_.erase(pool);
  }
}

void fleet_balancer::Reclassify(known_host* known) {
  ++visited_hosts_;
  UpdateCounts(known, false);
  const fleet_host& host = known->host;
  const auto move = moves_.find(host.host);
  const bool has_move = move != moves_.end();
  const bool is_coming = host.state == host_state::kMoving;
  const bool is_usable =
      host.state == host_state::kUp && offers_.count(host.vm) == 0 &&
      closed_.count(host.vm) == 0 && leaving_.count(host.vm) == 0;
  host_classification next;
  if (has_move) {
    next.pool = move->second.pool;
  } else if (is_coming || is_usable) {
    next.pool = host.pool;
  }
  next.is_moving = is_coming || (has_move && move->second.is_accepted);
  next.is_ordered = has_move && !next.is_moving;
  next.is_free = !has_move && IsMovable(host);
  next.is_spare = spare_.count(host.pool) != 0;
  known->counted_as = next;
  if (!next.is_free || next.is_spare) {
    known->unwanted_since.reset();
  }
  UpdateCounts(known, true);
}

void fleet_balancer::UpdateCounts(known_host* known, bool is_added) {
  const host_classification& classification = known->counted_as;
  const std::uint32_t one = is_added ? 1U : ~0U;
  if (!classification.pool.empty()) {
    counts_[classification.pool] += one;
  }
  ordered_ += classification.is_ordered ? one : 0U;
  moving_ += classification.is_moving ? one : 0U;
  if (!classification.is_free) {
    return;
  }
  free_hosts& list = classification.is_spare ? free_spares_ : free_offers_;
  if (is_added) {
    list[known->position] = known;
  } else {
    list.erase(known->position);
  }
}

void fleet_balancer::ReclassifyHost(const host_id& host) {
  const auto found = hosts_.find(host);
  if (found != hosts_.end()) {
    Reclassify(&found->second);
  }
}

void fleet_balancer::SetMembership(std::set<vm_id>* vms,
                                   const vm_id& vm,
                                   bool is_member) {
  const bool is_changed =
      is_member ? vms->insert(vm).second : vms->erase(vm) != 0;
  const auto found = by_vm_.find(vm);
  if (is_changed && found != by_vm_.end()) {
    Reclassify(found->second);
  }
}

void fleet_balancer::Replace(std::set<vm_id>* vms,
                             const std::set<vm_id>& next) {
  std::vector<vm_id> changed;
  std::set_symmetric_difference(vms->begin(), vms->end(), next.begin(),
                                next.end(), std::back_inserter(changed));
  for (const vm_id& vm : changed) {
    SetMembership(vms, vm, next.count(vm) != 0);
  }
}

// The platform refuses to move a host that is moving already. If the refusal of
// a repeated order were taken to mean that the host has not moved, the host
// would be promised to another pool.
void fleet_balancer::OnMoveAnswer(const host_id& host,
                                  move_result result,
                                  time_point now) {
  const auto found = moves_.find(host);
  if (found == moves_.end()) {
    return;
  }
  pending_move& move = found->second;
  const bool is_over =
      result == move_result::kImpossible ||
      (result == move_result::kRefused && !move.may_have_begun);
  if (is_over) {
    moves_.erase(found);
  } else {
    move.is_in_flight = false;
    move.is_accepted = result == move_result::kAccepted;
    move.may_have_begun =
        move.may_have_begun || result == move_result::kUnknown;
    move.changed_at = now;
  }
  ReclassifyHost(host);
}

std::optional<time_point> fleet_balancer::OrderedAt(const host_id& host) const {
  const auto found = moves_.find(host);
  return found == moves_.end() ? std::nullopt
                               : std::optional(found->second.changed_at);
}

std::uint32_t fleet_balancer::CountOf(const pool_id& pool) const {
  const auto found = counts_.find(pool);
  return found == counts_.end() ? 0 : found->second;
}

balancer_stats fleet_balancer::Stats(const std::set<host_id>& busy) const {
  balancer_stats stats;
  for (const auto& [pool, wanted] : wanted_) {
    stats.wanted += wanted;
    stats.missing += wanted - std::min(wanted, CountOf(pool));
  }
  stats.moving = moving_;
  stats.ordered = ordered_;
  stats.free =
      static_cast<std::uint32_t>(free_spares_.size() + free_offers_.size());
  for (const host_id& host : busy) {
    const auto found = hosts_.find(host);
    const bool is_held =
        found != hosts_.end() && found->second.counted_as.is_free;
    stats.free -= is_held ? 1 : 0;
  }
  return stats;
}

bool fleet_balancer::IsMovable(const fleet_host& host) const {
  const bool is_idle = spare_.count(host.pool) != 0 ||
                       (!host.vm.empty() && offers_.count(host.vm) != 0);
  // The platform refuses to move a VM that is leaving.
  return host.state == host_state::kUp && is_idle &&
         leaving_.count(host.vm) == 0;
}

void fleet_balancer::OrderMove(known_host* known,
                               const pool_id& pool,
                               time_point now,
                               std::vector<move_host>* moves) {
  const host_id& host = known->host.host;
  pending_move& move = moves_[host];
  move.pool = pool;
  move.vm = known->host.vm;
  move.is_in_flight = true;
  move.changed_at = now;
  moves->push_back({host, pool});
  Reclassify(known);
}

// A move to the pool that the host is already in has no effect, and the VM that
// the pool released would never be used again. Such a host moves to the spare
// pool first.
fleet_balancer::known_host* fleet_balancer::FindMovable(
    const pool_id& pool,
    const std::set<host_id>& busy) {
  known_host* last = nullptr;
  for (const free_hosts* list : {&free_spares_, &free_offers_}) {
    for (auto it = list->rbegin(); it != list->rend(); ++it) {
      ++visited_hosts_;
      known_host* known = it->second;
      if (known->host.pool != pool && busy.count(known->host.host) == 0) {
        const bool is_later =
            last == nullptr || known->position > last->position;
        last = is_later ? known : last;
        break;
      }
    }
  }
  return last;
}

std::vector<move_host> fleet_balancer::Plan(const std::set<host_id>& busy,
                                            time_point now) {
  std::vector<move_host> moves;
  for (auto& [host, move] : moves_) {
    const bool is_due = !move.is_in_flight && !move.is_accepted &&
                        now - move.changed_at >= settings_.order_retry &&
                        IsStillMovable(host, move);
    if (is_due) {
      move.is_in_flight = true;
      moves.push_back({host, move.pool});
    }
  }
  // Serves the pool with the largest deficit first, one VM at a time.
  std::set<pool_id> unsatisfied;
  while (true) {
    const pool_id* most_deficient = nullptr;
    std::int64_t most = 0;
    for (const auto& [pool, wanted] : wanted_) {
      const std::int64_t missing = std::int64_t{wanted} - CountOf(pool);
      if (missing > most && unsatisfied.count(pool) == 0) {
        most = missing;
        most_deficient = &pool;
      }
    }
    if (most_deficient == nullptr) {
      break;
    }
    if (known_host* chosen = FindMovable(*most_deficient, busy)) {
      OrderMove(chosen, *most_deficient, now, &moves);
    } else {
      unsatisfied.insert(*most_deficient);
    }
  }
  MoveToSparePool(busy, unsatisfied, now, &moves);
  return moves;
}

// Moves released hosts that no pool has wanted for the configured delay to the
// spare pool. Hosts that their own pool wants back move there immediately,
// since they can return only by way of the spare pool.
void fleet_balancer::MoveToSparePool(const std::set<host_id>& busy,
                                     const std::set<pool_id>& wanting,
                                     time_point now,
                                     std::vector<move_host>* moves) {
  if (spare_.empty()) {
    return;
  }
  const duration delay =
      has_shortage_ ? settings_.shortage_spare_delay : settings_.spare_delay;
  std::vector<known_host*> unwanted;
  for (const auto& [position, known] : free_offers_) {
    unwanted.push_back(known);
  }
  visited_hosts_ += unwanted.size();
  for (known_host* known : unwanted) {
    if (busy.count(known->host.host) != 0) {
      known->unwanted_since.reset();
      continue;
    }
    const time_point begin = known->unwanted_since.value_or(now);
    const bool is_wanted_back = wanting.count(known->host.pool) != 0;
    if (is_wanted_back || now - begin >= delay) {
      OrderMove(known, *spare_.begin(), now, moves);
    } else {
      known->unwanted_since = begin;
    }
  }
}

}  // namespace plantainhead::core::jobs
