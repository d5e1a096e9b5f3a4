#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/fleet_owner_impl.h"
#include "jobs/job_partitions.h"
#include "plantainhead/core/jobs/fleet_list.h"

namespace plantainhead::jobs {
namespace {

// Name of the host list in metrics and logs; it is not a topic of the store.
constexpr const char* kFleetList = "fleet list";

}  // namespace

void fleet_owner::impl::ApplyRecords(const std::set<std::string>& keys) {
  const auto work = Meter();
  bool has_new_wave = false;
  for (const auto& [number, wave] : deps_.view->waves()) {
    has_new_wave = maintenance_.AddWave(wave) || has_new_wave;
  }
  if (has_new_wave) {
    // Records of the wave may have been read before the wave itself.
    for (const auto& [key, value] : deps_.view->fleet_records()) {
      ApplyRecord(key);
    }
  }
  for (const std::string& key : keys) {
    ApplyRecord(key);
  }
  balancer_.UpdateShortage(!undersized_pools_.empty());
  maintenance_.UpdateUndersized(undersized_pools_);
  UpdateVacancies();
}

void fleet_owner::impl::ApplyRecord(const std::string& key) {
  const auto& records = deps_.view->fleet_records();
  const auto found = records.find(key);
  const std::string* value = found == records.end() ? nullptr : &found->second;
  if (const auto hinted = HintedVmOf(key)) {
    const auto hint =
        value == nullptr ? std::nullopt : DecodeVacancyHint(key, *value);
    if (hint) {
      vacancy_checker_.NoteHint(*hint);
    } else {
      vacancy_checker_.DropHint(hinted->vm, hinted->reason);
    }
  } else if (const auto closing = ClosedVmOf(key)) {
    maintenance_.NoteClosed(*closing, value != nullptr);
    balancer_.NoteClosed(*closing, value != nullptr);
  } else if (const auto pool = WantedVmsPoolOf(key)) {
    NoteWanted(*pool, value);
  } else if (value == nullptr) {
    // The removal of a record does not undo what it reported.
    return;
  } else if (const auto serviced = ServicedHostOf(key)) {
    maintenance_.NoteServiced(serviced->wave, serviced->host);
  } else if (const auto wave = CompletedWaveOf(key)) {
    maintenance_.NoteCompleted(*wave);
  }
}

void fleet_owner::impl::NoteWanted(const core::jobs::pool_id& pool,
                                   const std::string* value) {
  const bool is_known = value != nullptr;
  const wanted_vms wanted = is_known ? DecodeWantedVms(*value) : wanted_vms();
  balancer_.NoteWanted(pool,
                       is_known ? std::optional(wanted.count) : std::nullopt);
  if (wanted.is_undersized) {
    undersized_pools_.insert(pool);
  } else {
    undersized_pools_.erase(pool);
  }
}

void fleet_owner::impl::UpdateVacancies() {
  using core::jobs::vacancy_reason;
  const auto work = Meter();
  for (const auto& [partition, vm] : deps_.view->TakeChangedVacancies()) {
    const bool is_vacant = deps_.view->VacantVms(partition).count(vm) != 0;
    vacancy_checker_.NoteVacant(partition, vm, is_vacant);
  }
  for (const core::jobs::vacancy_change& change :
       vacancy_checker_.TakeChanges()) {
    if (change.reason == vacancy_reason::kOffered) {
      balancer_.NoteOffer(change.vm, change.is_confirmed);
    } else {
      maintenance_.NoteEmpty(change.vm, change.is_confirmed);
    }
  }
  for (const std::uint32_t partition :
       vacancy_checker_.TakePartitionsToRead()) {
    deps_.view->RefreshProgress(
        partition, [self = weak_from_this(), partition](bool is_read) {
          const auto owner = self.lock();
          if (owner && !owner->is_closed_) {
            owner->OnPartitionRefreshed(partition, is_read);
          }
        });
  }
}

void fleet_owner::impl::OnPartitionRefreshed(std::uint32_t partition,
                                             bool is_read) {
  vacancy_checker_.OnPartitionRead(partition, is_read,
                                   deps_.view->VacantVms(partition));
  if (is_read) {
    UpdateVacancies();
    RunCycle();
  }
}

void fleet_owner::impl::List() {
  is_listing_ = true;
  list_requested_at_ = BootTime();
  page_hosts_.clear();
  page_faults_.clear();
  ListPage("");
}

void fleet_owner::impl::ListPage(const std::string& page) {
  client_.ListHosts(
      page, settings_.order_timeout,
      [self = weak_from_this()](const adapter::fleet_page& reply) {
        const auto owner = self.lock();
        if (owner && !owner->is_closed_) {
          owner->OnPage(reply);
        }
      });
}

void fleet_owner::impl::OnPage(const adapter::fleet_page& reply) {
  const auto work = Meter();
  if (!reply.is_read) {
    for (const adapter::unreadable_host& row : reply.unreadable_hosts) {
      deps_.view->faults().Note(kFleetList, row.host, row.fault);
    }
    is_listing_ = false;
    listed_at_ = BootTime();
    return;
  }
  page_hosts_.insert(page_hosts_.end(), reply.hosts.begin(), reply.hosts.end());
  page_faults_.insert(page_faults_.end(), reply.unreadable_hosts.begin(),
                      reply.unreadable_hosts.end());
  if (!reply.next_page_token.empty()) {
    ListPage(reply.next_page_token);
    return;
  }
  is_listing_ = false;
  listed_at_ = BootTime();
  AddUnreadableHosts();
  RemoveStaleOffers();
  std::set<core::jobs::pool_id> spare;
  for (const core::jobs::pool_settings& pool :
       deps_.view->routes().configuration().pools) {
    if (pool.is_spare) {
      spare.insert(pool.id);
    }
  }
  maintenance_.UpdateHosts(page_hosts_, spare, list_requested_at_);
  balancer_.UpdateHosts(page_hosts_, spare, list_requested_at_);
  UpdatePlaces();
  UpdateVacancies();
  RunCycle();
}

void fleet_owner::impl::UpdatePlaces() {
  std::map<core::jobs::vm_id, std::uint32_t> partitions;
  for (const core::jobs::fleet_host& host : page_hosts_) {
    if (!host.vm.empty()) {
      partitions[host.vm] = PoolPartitionOf(host.pool);
    }
  }
  vacancy_checker_.UpdatePlaces(std::move(partitions));
}

void fleet_owner::impl::AddUnreadableHosts() {
  std::vector<core::jobs::host_id> faulty;
  for (const adapter::unreadable_host& row : page_faults_) {
    deps_.view->faults().Note(kFleetList, row.host, row.fault);
    faulty.push_back(row.host);
  }
  page_hosts_ = core::jobs::AddUnreadableHosts(std::move(page_hosts_), faulty,
                                               known_hosts_);
  known_hosts_ = page_hosts_;
}

void fleet_owner::impl::RemoveStaleOffers() {
  std::set<core::jobs::vm_id> present = deps_.view->registry().Listed();
  for (const core::jobs::fleet_host& host : page_hosts_) {
    present.insert(host.vm);
  }
  for (const core::jobs::vm_id& vm :
       vacancy_checker_.TakeStaleOffers(present, BootTime())) {
    fleet_outbox_.Put(EncodeOfferedVmRemoval(vm));
  }
}

}  // namespace plantainhead::jobs
