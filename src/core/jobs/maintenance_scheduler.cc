#include "plantainhead/core/jobs/maintenance_scheduler.h"

#include <algorithm>
#include <iterator>

namespace plantainhead::core::jobs {

bool maintenance_scheduler::AddWave(const maintenance_wave& wave) {
  auto [found, is_new] = waves_.try_emplace(wave.number);
  if (!is_new) {
    return false;
  }
  found->second.wave = wave;
  for (const host_id& host : wave.hosts) {
    found->second.hosts.try_emplace(host);
  }
  return true;
}

// A record of an earlier scheduler may be read after this one has begun to
// drain the host. If draining went on, the host would be serviced twice and its
// tasks would be terminated again. A host that is done is not ordered, and its
// VM is released as no longer needed. A host that was already ordered waits for
// the answer to its order, and a host that is down waits for its return, since
// the record read may be that of this scheduler's own order.
void maintenance_scheduler::NoteServiced(std::uint64_t wave,
                                         const host_id& host) {
  const auto found = waves_.find(wave);
  if (found == waves_.end()) {
    return;
  }
  const auto progress = found->second.hosts.find(host);
  if (progress == found->second.hosts.end()) {
    return;
  }
  const host_phase phase = progress->second.phase;
  if (phase == host_phase::kDue || phase == host_phase::kClosing) {
    SetPhase(wave, host, &progress->second, host_phase::kDone);
  }
}

void maintenance_scheduler::NoteCompleted(std::uint64_t wave) {
  const auto found = waves_.find(wave);
  if (found != waves_.end()) {
    found->second.is_complete = true;
  }
}

void maintenance_scheduler::UpdateHosts(const std::vector<fleet_host>& hosts,
                                        const std::set<pool_id>& spare,
                                        time_point requested_at) {
  for (auto& [name, listed] : hosts_) {
    if (!listed.unlisted_since) {
      listed.unlisted_since = requested_at;
    }
  }
  host_of_vm_.clear();
  for (const fleet_host& host : hosts) {
    hosts_[host.host] = {host, requested_at, std::nullopt};
    host_of_vm_[host.vm] = host.host;
  }
  spare_ = spare;
  if (!is_listed_) {
    first_requested_at_ = requested_at;
  }
  requested_at_ = requested_at;
  is_listed_ = true;
}

void maintenance_scheduler::UpdateClosed(const std::set<vm_id>& vms) {
  closed_ = vms;
  std::erase_if(released_,
                [this](const vm_id& vm) { return closed_.count(vm) == 0; });
}

void maintenance_scheduler::NoteClosed(const vm_id& vm, bool is_closed) {
  if (is_closed) {
    closed_.insert(vm);
  } else {
    closed_.erase(vm);
    released_.erase(vm);
  }
}

void maintenance_scheduler::NoteEmpty(const vm_id& vm, bool is_empty) {
  if (is_empty) {
    empty_.insert(vm);
  } else {
    empty_.erase(vm);
  }
}

void maintenance_scheduler::OnServiceAnswer(std::uint64_t wave,
                                            const host_id& host,
                                            service_result result,
                                            time_point now) {
  const auto found = waves_.find(wave);
  if (found == waves_.end()) {
    return;
  }
  host_progress& progress = found->second.hosts[host];
  progress.is_order_in_flight = false;
  progress.answered_at = now;
  progress.next_order_at = now + settings_.order_retry;
  switch (result) {
    case service_result::kAccepted:
      progress.accepted_at = now;
      SetPhase(wave, host, &progress, host_phase::kDown);
      return;
    case service_result::kTemporaryFailure:
      // A host that an earlier order has taken down is refused as busy. It
      // counts as down until a list shows what became of that order.
      if (!progress.may_have_begun) {
        SetPhase(wave, host, &progress, host_phase::kClosing);
      }
      return;
    case service_result::kPermanentFailure:
      SetPhase(wave, host, &progress, host_phase::kDone);
      return;
    case service_result::kUnknown:
      // The host counts as down until a list or an answer shows otherwise.
      progress.may_have_begun = true;
      return;
  }
}

bool maintenance_scheduler::MayService(const service_host& order) const {
  const auto wave = waves_.find(order.wave);
  if (wave == waves_.end()) {
    return false;
  }
  const auto progress = wave->second.hosts.find(order.host);
  const listed_host* listed = FindHost(order.host);
  return progress != wave->second.hosts.end() && listed != nullptr &&
         progress->second.phase == host_phase::kOrdered &&
         IsDrained(progress->second, *listed);
}

void maintenance_scheduler::SetPhase(std::uint64_t wave,
                                     const host_id& host,
                                     host_progress* progress,
                                     host_phase phase) {
  if (progress->phase == phase) {
    return;
  }
  host_phase_change change;
  change.wave = wave;
  change.host = host;
  change.from = progress->phase;
  change.to = phase;
  change.vm = progress->vm;
  if (const listed_host* listed = FindHost(host)) {
    change.listed_state = listed->host.state;
    change.listed_vm = listed->host.vm;
    change.listed_at = listed->last_listed;
  }
  phase_changes_.push_back(std::move(change));
  progress->phase = phase;
}

bool maintenance_scheduler::HasWork() const {
  return std::any_of(waves_.begin(), waves_.end(), [](const auto& entry) {
    return !entry.second.is_complete ||
           std::any_of(entry.second.hosts.begin(), entry.second.hosts.end(),
                       [](const auto& host) {
                         return host.second.phase == host_phase::kDown;
                       });
  });
}

std::set<host_id> maintenance_scheduler::BusyHosts() const {
  std::set<host_id> busy;
  for (const auto& [number, wave] : waves_) {
    for (const auto& [host, progress] : wave.hosts) {
      if (progress.phase != host_phase::kDue &&
          progress.phase != host_phase::kDone) {
        busy.insert(host);
      }
    }
  }
  return busy;
}

const maintenance_scheduler::listed_host* maintenance_scheduler::FindHost(
    const host_id& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : &found->second;
}

const maintenance_scheduler::listed_host* maintenance_scheduler::FindHost(
    const host_id& host,
    host_progress* progress) {
  if (progress->listed == nullptr) {
    progress->listed = FindHost(host);
  }
  return progress->listed;
}

// Only lists that omit the host show that it has left. If absence were measured
// from the last list that contained the host, a period in which no list can be
// read would count as absence, and a single list without a briefly absent host
// would complete the wave.
bool maintenance_scheduler::IsMissing(const listed_host* listed) const {
  const std::optional<time_point> since =
      listed == nullptr ? first_requested_at_ : listed->unlisted_since;
  return since && requested_at_ - *since > settings_.missing_limit;
}

// Returns the number of VMs of each pool that are being drained or are down.
std::map<pool_id, std::uint32_t> maintenance_scheduler::CountBusy() {
  std::map<pool_id, std::uint32_t> busy;
  for (auto& [number, wave] : waves_) {
    for (auto& [host, progress] : wave.hosts) {
      const bool is_busy = progress.phase != host_phase::kDue &&
                           progress.phase != host_phase::kDone;
      const listed_host* listed = is_busy ? FindHost(host, &progress) : nullptr;
      if (listed != nullptr) {
        ++busy[listed->host.pool];
      }
    }
  }
  return busy;
}

// A list that was requested before the host went down shows it as up, and a
// host of a spare pool has no incarnation to compare. Such a list must not
// count as a return, since one host too many would be taken down. A host that
// was serviced before the order that was accepted does not go down at all.
bool maintenance_scheduler::IsBack(const host_progress& progress,
                                   const listed_host& listed) const {
  if (listed.host.state != host_state::kUp ||
      listed.last_listed <= progress.accepted_at) {
    return false;
  }
  return progress.vm.empty() || listed.host.vm != progress.vm ||
         progress.was_seen_down ||
         listed.last_listed - progress.accepted_at >
             settings_.service_visible_limit;
}

void maintenance_scheduler::NoteReturns(fleet_wave* wave,
                                        std::vector<wave_action>* actions) {
  for (auto& [host, progress] : wave->hosts) {
    if (progress.phase != host_phase::kDown) {
      continue;
    }
    const listed_host* listed = FindHost(host, &progress);
    if (listed == nullptr) {
      continue;
    }
    progress.was_seen_down = progress.was_seen_down ||
                             (listed->host.state == host_state::kInService &&
                              listed->last_listed > progress.accepted_at);
    if (IsBack(progress, *listed)) {
      SetPhase(wave->wave.number, host, &progress, host_phase::kDone);
      if (!progress.vm.empty()) {
        Release(progress.vm, actions);
      }
    }
  }
}

bool maintenance_scheduler::MayBelongToOther(std::uint64_t wave,
                                             const host_id& host) const {
  return std::any_of(waves_.begin(), waves_.end(), [&](const auto& entry) {
    const auto found = entry.second.hosts.find(host);
    return entry.first != wave && found != entry.second.hosts.end() &&
           (found->second.phase == host_phase::kOrdered ||
            found->second.phase == host_phase::kDown);
  });
}

void maintenance_scheduler::Restart(std::uint64_t wave,
                                    const host_id& host,
                                    host_progress* progress,
                                    std::vector<wave_action>* actions) {
  if (!progress->vm.empty()) {
    Release(progress->vm, actions);
  }
  SetPhase(wave, host, progress, host_phase::kDue);
  *progress = {};
}

// The answer to a later order does not tell whether an earlier order without an
// answer was carried out, so lists that were requested after it decide. A host
// in service was taken down by it. A host that is up in another incarnation may
// have been serviced or may have restarted by itself. It runs tasks again, so
// that it is drained before it is ordered once more.
void maintenance_scheduler::ResolveOrders(fleet_wave* wave,
                                          std::vector<wave_action>* actions) {
  const std::uint64_t number = wave->wave.number;
  for (auto& [host, progress] : wave->hosts) {
    const bool is_unanswered =
        progress.phase == host_phase::kOrdered && !progress.is_order_in_flight;
    const listed_host* listed =
        is_unanswered ? FindHost(host, &progress) : nullptr;
    if (listed == nullptr || !listed->host.is_readable ||
        listed->last_listed <= progress.answered_at) {
      continue;
    }
    if (wave->is_complete && listed->host.state != host_state::kInService) {
      Restart(number, host, &progress, actions);
      continue;
    }
    switch (listed->host.state) {
      case host_state::kInService:
        if (!MayBelongToOther(number, host)) {
          progress.accepted_at = progress.answered_at;
          SetPhase(number, host, &progress, host_phase::kDown);
          actions->emplace_back(record_service{number, host});
        }
        break;
      case host_state::kUp:
        if (listed->host.vm != progress.vm) {
          Restart(number, host, &progress, actions);
        }
        break;
      case host_state::kMoving:
      case host_state::kDown:
        // It is not in service, and the next host need not wait for it.
        SetPhase(number, host, &progress, host_phase::kClosing);
        break;
    }
  }
}

bool maintenance_scheduler::IsReady(const host_progress& progress,
                                    const fleet_host& host) const {
  return host.vm.empty() || spare_.count(host.pool) != 0 ||
         empty_.count(progress.vm) != 0;
}

bool maintenance_scheduler::IsDrained(const host_progress& progress,
                                      const listed_host& listed) const {
  return listed.host.state == host_state::kUp &&
         listed.host.vm == progress.vm && IsReady(progress, listed.host);
}

bool maintenance_scheduler::RunsTasks(const fleet_host& host) const {
  return !host.vm.empty() && spare_.count(host.pool) == 0;
}

// Returns how many hosts of the pools must be drained or in service at the same
// time for the wave to finish in time. If the wave's publication time is
// unknown, returns the maximum.
std::uint32_t maintenance_scheduler::RequiredConcurrency(const fleet_wave& wave,
                                                         time_point now) const {
  const std::uint32_t most = wave.wave.max_concurrent + settings_.drained_ahead;
  if (!wave.wave.published_at) {
    return most;
  }
  const auto usable = static_cast<std::int64_t>(
      static_cast<double>(wave.wave.time_limit.count()) *
      settings_.deadline_share);
  const duration left = *wave.wave.published_at + duration(usable) - now;
  const auto open = std::count_if(
      wave.hosts.begin(), wave.hosts.end(), [](const auto& entry) {
        return entry.second.phase != host_phase::kDone &&
               entry.second.phase != host_phase::kDown;
      });
  if (left <= settings_.cycle) {
    return most;
  }
  const auto needed = (open * settings_.cycle + left - duration(1)) / left;
  return std::min(most, static_cast<std::uint32_t>(needed));
}

std::vector<maintenance_scheduler::due_host> maintenance_scheduler::DueHosts(
    fleet_wave* wave,
    std::map<pool_id, std::uint32_t>* busy) {
  std::vector<due_host> due;
  for (auto& [host, progress] : wave->hosts) {
    const listed_host* listed = progress.phase == host_phase::kDue
                                    ? FindHost(host, &progress)
                                    : nullptr;
    if (listed != nullptr && listed->host.state == host_state::kUp) {
      due.push_back({&progress, &listed->host, &(*busy)[listed->host.pool]});
    }
  }
  return due;
}

// Returns a host whose VM an earlier scheduler has already closed. Its pool
// already lacks this VM; if another host were closed first, the pool would lack
// both.
maintenance_scheduler::due_iterator maintenance_scheduler::FindClosed(
    std::vector<due_host>* due) const {
  return std::find_if(due->begin(), due->end(), [this](const due_host& next) {
    return closed_.count(next.host->vm) != 0;
  });
}

// Returns the next host to close. Hosts are chosen evenly across pools, so that
// no pool loses many VMs at once.
maintenance_scheduler::due_iterator maintenance_scheduler::FindNext(
    std::vector<due_host>* due,
    bool only_spare,
    bool protect_undersized) const {
  auto next = due->end();
  std::uint32_t least = 0;
  for (auto it = due->begin(); it != due->end(); ++it) {
    const bool runs_tasks = RunsTasks(*it->host);
    const bool is_protected = runs_tasks && protect_undersized &&
                              undersized_.count(it->host->pool) != 0;
    if (is_protected || (runs_tasks && only_spare)) {
      continue;
    }
    const std::uint32_t busy = runs_tasks ? 1 + *it->busy : 0;
    if (next == due->end() || busy < least) {
      next = it;
      least = busy;
    }
  }
  return next;
}

// While no pool lacks VMs, no one needs the hosts of the spare pool, and most
// hosts are spare at one time or another. These hosts are therefore serviced
// first, as many as the wave allows. While a pool lacks VMs, a spare host in
// service would delay that pool by the time of two moves, so only as many hosts
// are taken as the wave's time limit requires. The same limit always applies to
// hosts of the pools, and hosts of a pool that lacks VMs are not taken before
// the time limit requires the maximum that the wave allows.
void maintenance_scheduler::CloseNext(fleet_wave* wave,
                                      time_point now,
                                      std::vector<wave_action>* actions) {
  const std::uint32_t most =
      wave->wave.max_concurrent + settings_.drained_ahead;
  const std::uint32_t needed = RequiredConcurrency(*wave, now);
  std::uint32_t begun = 0;
  std::uint32_t begun_in_pools = 0;
  for (const auto& [host, progress] : wave->hosts) {
    const bool is_begun = progress.phase != host_phase::kDue &&
                          progress.phase != host_phase::kDone;
    begun += is_begun ? 1 : 0;
    begun_in_pools += is_begun && !progress.vm.empty() ? 1 : 0;
  }
  const std::uint32_t limit = undersized_.empty() ? most : needed;
  if (begun >= most) {
    return;
  }
  std::map<pool_id, std::uint32_t> busy = CountBusy();
  std::vector<due_host> due = DueHosts(wave, &busy);
  for (; begun < most; ++begun) {
    auto next = FindClosed(&due);
    if (next == due.end() && begun >= limit) {
      return;
    }
    if (next == due.end()) {
      next = FindNext(&due, begun_in_pools >= needed, needed < most);
    }
    if (next == due.end()) {
      return;
    }
    const fleet_host& host = *next->host;
    next->progress->vm = host.vm;
    SetPhase(wave->wave.number, host.host, next->progress,
             host_phase::kClosing);
    ++*next->busy;
    if (RunsTasks(host)) {
      ++begun_in_pools;
      released_.erase(host.vm);
      actions->emplace_back(close_vm{host.vm});
    }
    due.erase(next);
  }
}

// An earlier scheduler may have ordered a blocked host just before it was lost,
// so that the host goes down after the list was read. Only a host that runs no
// tasks can have been ordered.
bool maintenance_scheduler::MayBeDown(const host_id& host,
                                      const host_progress& progress,
                                      const listed_host* listed) const {
  if (progress.phase == host_phase::kOrdered ||
      progress.phase == host_phase::kDown) {
    return true;
  }
  if (listed == nullptr) {
    return false;
  }
  const fleet_host& shown = listed->host;
  if (shown.state != host_state::kUp || blocked_.count(host) == 0) {
    return shown.state == host_state::kInService;
  }
  return progress.phase != host_phase::kDone &&
         (!RunsTasks(shown) || closed_.count(shown.vm) != 0);
}

void maintenance_scheduler::OrderServices(fleet_wave* wave,
                                          time_point now,
                                          std::vector<wave_action>* actions) {
  const std::uint64_t number = wave->wave.number;
  auto down = std::count_if(
      wave->hosts.begin(), wave->hosts.end(), [this](auto& entry) {
        return MayBeDown(entry.first, entry.second,
                         FindHost(entry.first, &entry.second));
      });
  for (auto& [host, progress] : wave->hosts) {
    const bool is_begun = progress.phase == host_phase::kClosing ||
                          progress.phase == host_phase::kOrdered;
    const listed_host* listed = is_begun ? FindHost(host, &progress) : nullptr;
    if (listed == nullptr || progress.is_order_in_flight ||
        now < progress.next_order_at) {
      continue;
    }
    const bool is_new_life = progress.phase == host_phase::kClosing &&
                             listed->host.state == host_state::kUp &&
                             listed->host.vm != progress.vm;
    if (is_new_life) {
      // The incarnation that was being drained has ended on its own.
      Restart(number, host, &progress, actions);
      continue;
    }
    if (!IsDrained(progress, *listed) || blocked_.count(host) != 0) {
      continue;
    }
    const bool is_repeat = progress.phase == host_phase::kOrdered;
    if (is_repeat || down < wave->wave.max_concurrent) {
      down += is_repeat ? 0 : 1;
      SetPhase(number, host, &progress, host_phase::kOrdered);
      progress.is_order_in_flight = true;
      actions->emplace_back(service_host{number, host});
    }
  }
}

void maintenance_scheduler::Complete(fleet_wave* wave,
                                     std::vector<wave_action>* actions) {
  wave->is_complete = true;
  // Hosts that were still being drained have left. If one returns, it is
  // available again.
  for (auto& [host, progress] : wave->hosts) {
    if (progress.phase == host_phase::kClosing) {
      SetPhase(wave->wave.number, host, &progress, host_phase::kDone);
    }
  }
  actions->emplace_back(complete_wave{wave->wave.number});
}

void maintenance_scheduler::PlanWave(fleet_wave* wave,
                                     time_point now,
                                     std::vector<wave_action>* actions) {
  NoteReturns(wave, actions);
  ResolveOrders(wave, actions);
  if (wave->is_complete) {
    return;
  }
  const bool is_complete =
      std::all_of(wave->hosts.begin(), wave->hosts.end(), [this](auto& entry) {
        const host_phase phase = entry.second.phase;
        return phase == host_phase::kDone || phase == host_phase::kDown ||
               IsMissing(FindHost(entry.first, &entry.second));
      });
  if (is_complete) {
    Complete(wave, actions);
    return;
  }
  OrderServices(wave, now, actions);
  CloseNext(wave, now, actions);
}

// Returns the VMs that are being drained, or may be serviced, for a wave.
std::set<vm_id> maintenance_scheduler::NeededVms() const {
  std::set<vm_id> needed;
  for (const auto& [number, wave] : waves_) {
    for (const auto& [host, progress] : wave.hosts) {
      const listed_host* listed = FindHost(host);
      const bool is_due = !wave.is_complete &&
                          progress.phase == host_phase::kDue &&
                          listed != nullptr;
      const bool is_in_hand = progress.phase != host_phase::kDue &&
                              progress.phase != host_phase::kDone;
      if (is_due) {
        needed.insert(listed->host.vm);
      } else if (is_in_hand) {
        needed.insert(progress.vm);
      }
    }
  }
  return needed;
}

bool maintenance_scheduler::IsConfirmedNeeded(const vm_id& vm) const {
  const auto host = host_of_vm_.find(vm);
  if (host == host_of_vm_.end()) {
    return false;
  }
  return std::any_of(waves_.begin(), waves_.end(), [&](const auto& entry) {
    const fleet_wave& wave = entry.second;
    const auto found = wave.hosts.find(host->second);
    if (found == wave.hosts.end() || found->second.phase == host_phase::kDone) {
      return false;
    }
    return found->second.phase == host_phase::kDue ? !wave.is_complete
                                                   : found->second.vm == vm;
  });
}

// A VM may be closed for a host that turns out not to belong to the wave or
// that had left when the wave ended, or by a scheduler that was lost before it
// could revoke the closing. The VM would accept no tasks for the rest of its
// incarnation although its pool needs it. Once released, it is used again, or
// handed over to other pools if it is vacant already.
void maintenance_scheduler::ReleaseUnneeded(std::vector<wave_action>* actions) {
  std::vector<vm_id> unreleased;
  std::set_difference(closed_.begin(), closed_.end(), released_.begin(),
                      released_.end(), std::back_inserter(unreleased));
  std::erase_if(unreleased,
                [this](const vm_id& vm) { return IsConfirmedNeeded(vm); });
  if (unreleased.empty()) {
    return;
  }
  const std::set<vm_id> needed = NeededVms();
  for (const vm_id& vm : unreleased) {
    if (needed.count(vm) == 0) {
      Release(vm, actions);
    }
  }
}

void maintenance_scheduler::Release(const vm_id& vm,
                                    std::vector<wave_action>* actions) {
  if (closed_.count(vm) != 0) {
    released_.insert(vm);
  }
  actions->emplace_back(release_vm{vm});
}

std::vector<wave_action> maintenance_scheduler::Plan(time_point now) {
  std::vector<wave_action> actions;
  if (!is_listed_) {
    return actions;
  }
  for (auto& [number, wave] : waves_) {
    PlanWave(&wave, now, &actions);
  }
  ReleaseUnneeded(&actions);
  return actions;
}

}  // namespace plantainhead::core::jobs
