#include <set>
#include <utility>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/fleet_owner_impl.h"
#include "plantainhead/core/jobs/fleet_list.h"

namespace plantainhead::jobs {
namespace {

// How metrics and logs call the list, which isn't one of the store's topics.
constexpr const char* kFleetList = "fleet list";

}  // namespace

void fleet_owner::impl::TakeRecords() {
  const auto work = Meter();
  for (const auto& [number, wave] : deps_.world->waves()) {
    keeper_.AddWave(wave);
  }
  std::set<core::jobs::vm_id> closed;
  std::vector<core::jobs::vacancy_hint> hints;
  std::map<core::jobs::pool_id, std::uint32_t> wanted;
  std::set<core::jobs::pool_id> short_pools;
  for (const auto& [key, value] : deps_.world->fleet_records()) {
    if (auto hint = DecodeVacancyHint(key, value)) {
      hints.push_back(std::move(*hint));
    } else if (const auto closing = ClosedVmOf(key)) {
      closed.insert(*closing);
    } else if (const auto pool = WantingPoolOf(key)) {
      const wanted_vms want = DecodeWantedVms(value);
      wanted[*pool] = want.count;
      if (want.is_short) {
        short_pools.insert(*pool);
      }
    } else if (const auto serviced = ServicedHostOf(key)) {
      keeper_.NoteServiced(serviced->wave, serviced->host);
    } else if (const auto wave = CompletedWaveOf(key)) {
      keeper_.NoteCompleted(*wave);
    }
  }
  balancer_.UpdateScarce(!short_pools.empty());
  keeper_.UpdateShort(std::move(short_pools));
  keeper_.UpdateClosed(closed);
  balancer_.UpdateClosed(std::move(closed));
  balancer_.UpdateWanted(std::move(wanted));
  vacancies_.UpdateHints(hints);
  TakeVacancies();
}

void fleet_owner::impl::TakeVacancies() {
  const auto work = Meter();
  using core::jobs::vacancy_reason;
  for (const std::uint32_t partition : vacancies_.Partitions()) {
    vacancies_.UpdateVacant(partition, deps_.world->VacantVms(partition));
  }
  keeper_.UpdateEmpty(vacancies_.Confirmed(vacancy_reason::kForService));
  balancer_.UpdateOffers(vacancies_.Confirmed(vacancy_reason::kOffered));
  for (const std::uint32_t partition : vacancies_.TakeReadings()) {
    deps_.world->RefreshProgress(
        partition, [self = weak_from_this(), partition](bool is_read) {
          const auto owner = self.lock();
          if (owner && !owner->is_closed_) {
            owner->TakeReading(partition, is_read);
          }
        });
  }
}

void fleet_owner::impl::TakeReading(std::uint32_t partition, bool is_read) {
  vacancies_.EndReading(partition, is_read, deps_.world->VacantVms(partition));
  if (is_read) {
    TakeVacancies();
    Work();
  }
}

void fleet_owner::impl::List() {
  is_listing_ = true;
  requested_at_ = BootTime();
  page_hosts_.clear();
  page_faults_.clear();
  ListPage("");
}

void fleet_owner::impl::ListPage(const std::string& page) {
  client_.List(page, settings_.order_timeout,
               [self = weak_from_this()](const adapter::fleet_page& reply) {
                 const auto owner = self.lock();
                 if (owner && !owner->is_closed_) {
                   owner->TakePage(reply);
                 }
               });
}

void fleet_owner::impl::TakePage(const adapter::fleet_page& reply) {
  const auto work = Meter();
  if (!reply.is_read) {
    for (const adapter::faulty_host& row : reply.faults) {
      deps_.world->faults().Note(kFleetList, row.host, row.fault);
    }
    is_listing_ = false;
    listed_at_ = BootTime();
    return;
  }
  page_hosts_.insert(page_hosts_.end(), reply.hosts.begin(), reply.hosts.end());
  page_faults_.insert(page_faults_.end(), reply.faults.begin(),
                      reply.faults.end());
  if (!reply.next.empty()) {
    ListPage(reply.next);
    return;
  }
  is_listing_ = false;
  listed_at_ = BootTime();
  KeepFaultyHosts();
  DropOffersOfGoneVms();
  std::set<core::jobs::pool_id> spare;
  for (const core::jobs::pool_settings& pool :
       deps_.world->routes().configuration().pools) {
    if (pool.is_spare) {
      spare.insert(pool.id);
    }
  }
  keeper_.UpdateHosts(page_hosts_, spare, requested_at_);
  balancer_.UpdateHosts(page_hosts_, spare, requested_at_);
  Work();
}

void fleet_owner::impl::KeepFaultyHosts() {
  std::vector<core::jobs::host_id> faulty;
  for (const adapter::faulty_host& row : page_faults_) {
    deps_.world->faults().Note(kFleetList, row.host, row.fault);
    faulty.push_back(row.host);
  }
  page_hosts_ =
      core::jobs::KeepFaultyHosts(std::move(page_hosts_), faulty, known_hosts_);
  known_hosts_ = page_hosts_;
}

void fleet_owner::impl::DropOffersOfGoneVms() {
  std::set<core::jobs::vm_id> present = deps_.world->registry().Listed();
  for (const core::jobs::fleet_host& host : page_hosts_) {
    present.insert(host.vm);
  }
  for (const core::jobs::vm_id& vm :
       vacancies_.TakeGoneOffers(present, BootTime())) {
    records_.Put(DropOfferedVm(vm));
  }
}

std::set<core::jobs::vm_id> fleet_owner::impl::LeavingVms() const {
  return deps_.world->registry().Leaving();
}

}  // namespace plantainhead::jobs
