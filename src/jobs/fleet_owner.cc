#include "jobs/fleet_owner.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/fleet_records.h"
#include "jobs/record_codec.h"
#include "jobs/record_outbox.h"
#include "plantainhead/core/visit.h"
#include "platform/configuration_codec.h"
#include "platform/fleet_client.h"

namespace plantainhead::jobs {
namespace {

using adapter::duty_outcome;
using core::jobs::service_result;

service_result ToResult(duty_outcome outcome) {
  switch (outcome) {
    case duty_outcome::kAccepted:
      return service_result::kAccepted;
    case duty_outcome::kInvalid:
    case duty_outcome::kNotOfWave:
      return service_result::kNever;
    case duty_outcome::kUnknown:
      return service_result::kUnknown;
    case duty_outcome::kFenced:
    case duty_outcome::kBusy:
    case duty_outcome::kRefused:
      return service_result::kNotNow;
  }
  return service_result::kUnknown;
}

using host_order =
    std::variant<core::jobs::move_host, core::jobs::service_host>;

const core::jobs::host_id& HostOf(const host_order& order) {
  return std::visit(
      [](const auto& kind) -> const core::jobs::host_id& { return kind.host; },
      order);
}

std::string StatusKey(std::uint64_t wave) {
  return adapter::kWaveKeyPrefix + std::to_string(wave);
}

}  // namespace

class fleet_owner::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(dependencies dependencies, const fleet_settings& settings)
      : deps_(std::move(dependencies)),
        settings_(settings),
        client_(deps_.context, settings.address, deps_.holder),
        writer_(deps_.context,
                deps_.store,
                {kProgressTopic, kFleetPartition},
                settings.writer),
        records_(deps_.context, deps_.store, {kFleetTopic, 0}, {}),
        status_(deps_.context, deps_.store, {adapter::kStatusTopic, 0}, {}),
        timer_(*deps_.context),
        keeper_(settings.waves),
        balancer_(settings.balancer),
        vacancies_(settings.vacancies) {}

  void Start(std::uint64_t generation) {
    generation_ = generation;
    ReadBeforeClaim();
  }

  void Close() {
    is_closed_ = true;
    timer_.cancel();
  }

  void OnFleetRecords() {
    if (is_active_) {
      TakeRecords();
    }
  }

 private:
  void After(std::chrono::milliseconds pause, void (impl::*action)()) {
    timer_.expires_after(pause);
    timer_.async_wait([self = weak_from_this(),
                       action](const boost::system::error_code& error) {
      const auto owner = self.lock();
      if (owner && !error && !owner->is_closed_) {
        (owner.get()->*action)();
      }
    });
  }

  void ReadBeforeClaim() {
    deps_.world->RefreshProgress(kFleetPartition, [self = weak_from_this()](
                                                      bool is_read) {
      const auto owner = self.lock();
      if (!owner || owner->is_closed_) {
        return;
      }
      if (is_read) {
        owner->Claim();
      } else {
        owner->After(owner->settings_.takeover_retry, &impl::ReadBeforeClaim);
      }
    });
  }

  void Claim() {
    const std::uint64_t before = deps_.world->OwnerOf(kFleetPartition).epoch;
    epoch_ = std::max({generation_, before + 1, epoch_ + 1});
    writer_.Claim(epoch_, deps_.member, deps_.world->CursorOf(kFleetPartition),
                  [self = weak_from_this()](progress_writer::result result) {
                    const auto owner = self.lock();
                    if (!owner || owner->is_closed_) {
                      return;
                    }
                    if (result == progress_writer::result::kStored) {
                      owner->Begin();
                    } else {
                      owner->After(owner->settings_.takeover_retry,
                                   &impl::ReadBeforeClaim);
                    }
                  });
  }

  void Begin() {
    LogEvent(job_event::kOwnershipGained,
             {{"partition", "fleet"}, {"epoch", std::to_string(epoch_)}});
    is_active_ = true;
    for (const core::jobs::host_id& host : deps_.world->ordered_hosts()) {
      ordered_[host] = BootTime();
      closed_until_[host] = BootTime() + ClosedTime();
    }
    TakeRecords();
    Tick();
  }

  void TakeRecords() {
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
    keeper_.UpdateShort(std::move(short_pools));
    keeper_.UpdateClosed(closed);
    balancer_.UpdateClosed(std::move(closed));
    balancer_.UpdateWanted(std::move(wanted));
    vacancies_.UpdateHints(hints);
    TakeVacancies();
  }

  void TakeVacancies() {
    using core::jobs::vacancy_reason;
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

  void TakeReading(std::uint32_t partition, bool is_read) {
    vacancies_.EndReading(partition, is_read,
                          deps_.world->VacantVms(partition));
    if (is_read) {
      TakeVacancies();
      Work();
    }
  }

  void Tick() {
    // Repeats readings that have failed.
    TakeVacancies();
    Work();
    After(settings_.tick, &impl::Tick);
  }

  void Work() {
    const core::time_point now = BootTime();
    if (!deps_.is_sure()) {
      return;
    }
    if (!is_listing_ && now - listed_at_ >= settings_.list_interval) {
      List();
    }
    for (const core::jobs::wave_action& action : keeper_.Plan(now)) {
      std::visit([this](const auto& kind) { Do(kind); }, action);
    }
    balancer_.UpdateLeaving(LeavingVms());
    for (const core::jobs::move_host& move :
         balancer_.Plan(keeper_.BusyHosts(), now)) {
      orders_.emplace_back(move);
    }
    SendOrders(now);
  }

  std::set<core::jobs::vm_id> LeavingVms() const {
    std::set<core::jobs::vm_id> leaving;
    for (const auto& [vm, description] : deps_.world->registry()) {
      if (description.draining) {
        leaving.insert(vm);
      }
    }
    return leaving;
  }

  core::duration ClosedTime() const {
    return settings_.holder_lease + settings_.lease_reserve;
  }

  // Two owners must not give orders for one host at about the same time. Each
  // order is recorded before it is sent, under this owner's epoch: once a new
  // owner has claimed the fleet the store refuses the record, and what was
  // recorded before tells the new owner which hosts to leave alone for a while.
  // It needn't wait for all others, so that hosts move on at once.
  void SendOrders(core::time_point now) {
    if (writer_.IsBusy()) {
      return;
    }
    const auto batch = std::make_shared<std::vector<host_order>>();
    std::vector<host_order> later;
    for (host_order& order : orders_) {
      const auto closed = closed_until_.find(HostOf(order));
      const bool is_closed =
          closed != closed_until_.end() && now < closed->second;
      (is_closed ? later : *batch).push_back(std::move(order));
    }
    orders_ = std::move(later);
    std::vector<adapter::keyed_record> records;
    for (const host_order& order : *batch) {
      records.push_back(Encode(order_record{HostOf(order), false}));
      ordered_[HostOf(order)] = now;
    }
    for (auto it = ordered_.begin(); it != ordered_.end();) {
      const bool is_old = now - it->second > ClosedTime();
      if (is_old) {
        records.push_back(Encode(order_record{it->first, true}));
      }
      it = is_old ? ordered_.erase(it) : std::next(it);
    }
    if (records.empty()) {
      return;
    }
    writer_.Write(std::move(records), [self = weak_from_this(),
                                       batch](progress_writer::result result) {
      const auto owner = self.lock();
      if (owner && !owner->is_closed_) {
        owner->TakeRecorded(*batch, result);
      }
    });
  }

  void TakeRecorded(const std::vector<host_order>& batch,
                    progress_writer::result result) {
    if (result != progress_writer::result::kStored) {
      Lose();
      return;
    }
    // This process may have been suspended since it asked for the record.
    if (!deps_.is_sure()) {
      orders_.insert(orders_.end(), batch.begin(), batch.end());
      return;
    }
    for (const host_order& order : batch) {
      std::visit([this](const auto& kind) { Send(kind); }, order);
    }
  }

  void Lose() {
    LogEvent(job_event::kOwnershipLost,
             {{"partition", "fleet"},
              {"epoch", std::to_string(epoch_)},
              {"reason", "a newer owner has claimed it"}});
    const auto on_fenced = deps_.on_fenced;
    Close();
    on_fenced();
  }

  void Send(const core::jobs::move_host& move) {
    client_.Move(move.host, move.pool, epoch_, settings_.order_timeout,
                 [self = weak_from_this(), move](duty_outcome outcome) {
                   const auto owner = self.lock();
                   if (owner && !owner->is_closed_) {
                     owner->TakeMove(move, outcome);
                   }
                 });
  }

  void TakeMove(const core::jobs::move_host& move, duty_outcome outcome) {
    LogEvent(job_event::kHostMoved,
             {{"host", move.host},
              {"pool", move.pool},
              {"outcome", std::string(core::NameOf(outcome))}});
    balancer_.OnMoveAnswer(move.host, outcome == duty_outcome::kAccepted,
                           outcome != duty_outcome::kUnknown, BootTime());
  }

  void DropOffersOfGoneVms() {
    std::set<core::jobs::vm_id> present;
    for (const core::jobs::fleet_host& host : page_hosts_) {
      present.insert(host.vm);
    }
    for (const auto& [vm, description] : deps_.world->registry()) {
      present.insert(vm);
    }
    for (const core::jobs::vm_id& vm :
         vacancies_.TakeGoneOffers(present, BootTime())) {
      records_.Put(DropOfferedVm(vm));
    }
  }

  void List() {
    is_listing_ = true;
    requested_at_ = BootTime();
    page_hosts_.clear();
    ListPage("");
  }

  void ListPage(const std::string& page) {
    client_.List(page, settings_.order_timeout,
                 [self = weak_from_this()](const adapter::fleet_page& reply) {
                   const auto owner = self.lock();
                   if (owner && !owner->is_closed_) {
                     owner->TakePage(reply);
                   }
                 });
  }

  void TakePage(const adapter::fleet_page& reply) {
    if (!reply.is_read) {
      is_listing_ = false;
      listed_at_ = BootTime();
      return;
    }
    page_hosts_.insert(page_hosts_.end(), reply.hosts.begin(),
                       reply.hosts.end());
    if (!reply.next.empty()) {
      ListPage(reply.next);
      return;
    }
    is_listing_ = false;
    listed_at_ = BootTime();
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

  void Do(const core::jobs::close_vm& action) {
    records_.Put(EncodeClosedVm(action.vm));
  }

  void Do(const core::jobs::release_vm& action) {
    records_.Put(DropClosedVm(action.vm));
    records_.Put(DropEmptyVm(action.vm));
  }

  void Do(const core::jobs::service_host& action) {
    orders_.emplace_back(action);
  }

  void Send(const core::jobs::service_host& action) {
    client_.Service(action.host, action.wave, epoch_, settings_.order_timeout,
                    [self = weak_from_this(), action](duty_outcome outcome) {
                      const auto owner = self.lock();
                      if (owner && !owner->is_closed_) {
                        owner->TakeService(action, outcome);
                      }
                    });
  }

  void Do(const core::jobs::complete_wave& action) {
    LogEvent(job_event::kWaveCompleted,
             {{"wave", std::to_string(action.wave)}});
    records_.Put(EncodeCompletedWave(action.wave));
    status_.Put({StatusKey(action.wave), adapter::EncodeWaveStatus(true)});
  }

  void TakeService(const core::jobs::service_host& action,
                   duty_outcome outcome) {
    const bool is_accepted = outcome == duty_outcome::kAccepted;
    LogEvent(
        is_accepted ? job_event::kHostServiced : job_event::kHostNotServiced,
        {{"host", action.host},
         {"wave", std::to_string(action.wave)},
         {"outcome", std::string(core::NameOf(outcome))}});
    if (outcome == duty_outcome::kFenced) {
      Lose();
      return;
    }
    keeper_.OnServiceAnswer(action.wave, action.host, ToResult(outcome),
                            BootTime());
    if (is_accepted) {
      records_.Put(EncodeServicedHost({action.wave, action.host}));
    }
  }

  dependencies deps_;
  fleet_settings settings_;
  adapter::fleet_client client_;
  progress_writer writer_;
  /// What pools' owners and later owners of the fleet are told.
  record_outbox records_;
  record_outbox status_;
  boost::asio::steady_timer timer_;
  core::jobs::wave_keeper keeper_;
  core::jobs::fleet_balancer balancer_;
  core::jobs::vacancy_checker vacancies_;
  std::uint64_t generation_ = 0;
  std::uint64_t epoch_ = 0;
  bool is_active_ = false;
  bool is_closed_ = false;
  bool is_listing_ = false;
  core::time_point listed_at_;
  core::time_point requested_at_;
  std::vector<host_order> orders_;
  /// Hosts with a record of an order, and when it was given.
  std::map<core::jobs::host_id, core::time_point> ordered_;
  /// Hosts for which an earlier owner may have given an order.
  std::map<core::jobs::host_id, core::time_point> closed_until_;
  std::vector<core::jobs::fleet_host> page_hosts_;
};

fleet_owner::fleet_owner(dependencies dependencies,
                         const fleet_settings& settings)
    : impl_(std::make_shared<impl>(std::move(dependencies), settings)) {}

fleet_owner::~fleet_owner() {
  impl_->Close();
}

void fleet_owner::Start(std::uint64_t generation) {
  impl_->Start(generation);
}

void fleet_owner::OnFleetRecords() {
  impl_->OnFleetRecords();
}

}  // namespace plantainhead::jobs
