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
        timer_(*deps_.context),
        keeper_(settings.waves),
        balancer_(settings.balancer) {}

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
    has_predecessor_ = before > 0;
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
    orders_from_ = BootTime();
    if (has_predecessor_) {
      orders_from_ += settings_.holder_wait;
    }
    TakeRecords();
    Tick();
  }

  void TakeRecords() {
    for (const auto& [number, wave] : deps_.world->waves()) {
      keeper_.AddWave(wave);
    }
    std::set<core::jobs::vm_id> empty;
    std::set<core::jobs::vm_id> closed;
    std::set<core::jobs::vm_id> offers;
    std::map<core::jobs::pool_id, std::uint32_t> wanted;
    for (const auto& [key, value] : deps_.world->fleet_records()) {
      if (const auto vm = EmptyVmOf(key)) {
        empty.insert(*vm);
      } else if (const auto closing = ClosedVmOf(key)) {
        closed.insert(*closing);
      } else if (const auto offered = OfferedVmOf(key)) {
        offers.insert(*offered);
      } else if (const auto pool = WantingPoolOf(key)) {
        wanted[*pool] = DecodeWantedVms(value).count;
      } else if (const auto serviced = ServicedHostOf(key)) {
        keeper_.NoteServiced(serviced->wave, serviced->host);
      } else if (const auto wave = CompletedWaveOf(key)) {
        keeper_.NoteCompleted(*wave);
      }
    }
    keeper_.UpdateEmpty(std::move(empty));
    balancer_.UpdateClosed(std::move(closed));
    balancer_.UpdateOffers(std::move(offers));
    balancer_.UpdateWanted(std::move(wanted));
  }

  void Tick() {
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
    if (now < orders_from_) {
      return;
    }
    for (const core::jobs::wave_action& action : keeper_.Plan(now)) {
      std::visit([this](const auto& kind) { Do(kind); }, action);
    }
    for (const core::jobs::move_host& move :
         balancer_.Plan(keeper_.BusyHosts(), now)) {
      Move(move);
    }
  }

  void Move(const core::jobs::move_host& move) {
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
    DropOffersOfGoneVms();
  }

  // The life that was offered ended with the move.
  void DropOffersOfGoneVms() {
    std::set<core::jobs::vm_id> present;
    for (const core::jobs::fleet_host& host : page_hosts_) {
      present.insert(host.vm);
    }
    std::vector<adapter::keyed_record> drops;
    for (const auto& [key, value] : deps_.world->fleet_records()) {
      const auto vm = OfferedVmOf(key);
      const bool is_gone = vm && present.count(*vm) == 0 &&
                           deps_.world->registry().count(*vm) == 0;
      if (is_gone && dropped_offers_.insert(*vm).second) {
        drops.push_back(DropOfferedVm(*vm));
      }
    }
    if (!drops.empty()) {
      Append(kFleetTopic, std::move(drops));
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

  void Append(const std::string& topic,
              std::vector<adapter::keyed_record> records) {
    adapter::append_call call;
    call.partition = {topic, 0};
    call.records = std::move(records);
    deps_.store->Append(
        call, settings_.writer.timeout,
        [self = weak_from_this(), call](const adapter::append_reply& reply) {
          const auto owner = self.lock();
          const bool is_retried =
              reply.outcome == adapter::append_outcome::kRefused ||
              reply.outcome == adapter::append_outcome::kUnknown;
          // The records name lives of VMs, so that storing one twice does no
          // harm.
          if (owner && !owner->is_closed_ && is_retried) {
            owner->AppendLater(call);
          }
        });
  }

  void AppendLater(const adapter::append_call& call) {
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(*deps_.context);
    timer->expires_after(settings_.takeover_retry);
    timer->async_wait([self = weak_from_this(), call,
                       timer](const boost::system::error_code& /*error*/) {
      const auto owner = self.lock();
      if (owner && !owner->is_closed_) {
        owner->Append(call.partition.topic, call.records);
      }
    });
  }

  void Do(const core::jobs::close_vm& action) {
    Append(kFleetTopic, {EncodeClosedVm(action.vm)});
  }

  void Do(const core::jobs::release_vm& action) {
    Append(kFleetTopic, {DropClosedVm(action.vm), DropEmptyVm(action.vm)});
  }

  void Do(const core::jobs::service_host& action) {
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
    Append(kFleetTopic, {EncodeCompletedWave(action.wave)});
    Append(adapter::kStatusTopic,
           {{StatusKey(action.wave), adapter::EncodeWaveStatus(true)}});
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
      const auto on_fenced = deps_.on_fenced;
      Close();
      on_fenced();
      return;
    }
    keeper_.OnServiceAnswer(action.wave, action.host, ToResult(outcome),
                            BootTime());
    if (is_accepted) {
      Append(kFleetTopic, {EncodeServicedHost({action.wave, action.host})});
    }
  }

  dependencies deps_;
  fleet_settings settings_;
  adapter::fleet_client client_;
  progress_writer writer_;
  boost::asio::steady_timer timer_;
  core::jobs::wave_keeper keeper_;
  core::jobs::fleet_balancer balancer_;
  std::set<core::jobs::vm_id> dropped_offers_;
  std::uint64_t generation_ = 0;
  std::uint64_t epoch_ = 0;
  bool has_predecessor_ = false;
  bool is_active_ = false;
  bool is_closed_ = false;
  bool is_listing_ = false;
  core::time_point listed_at_;
  core::time_point requested_at_;
  core::time_point orders_from_;
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
